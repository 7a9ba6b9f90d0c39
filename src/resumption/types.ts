/**
 * Streams that clients take up again, and the servers that may go on with them.
 *
 * @packageDocumentation
 */
import type { SoftwareVersion } from "../serving/types.js";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";

/** Service and software version that began a stream; only servers of both may go on with it. */
export interface StreamOrigin {
    readonly service: string;
    /** `undefined` when the entry of the server stated none. */
    readonly version: SoftwareVersion | undefined;
}

/** A stream, by the attempt that brought its first event. */
export interface StreamId {
    /** `undefined` for a request without a key. */
    readonly account: ClientAccountId | undefined;
    /** `undefined` when the client names none. */
    readonly firstAttemptId: string | undefined;
}

/** Host and path of the requests for a stream, which select its route. */
export interface StreamPath {
    readonly host: string;
    readonly target: string;
}

/** A time without gaps, on the monotonic clock of this instance; empty when it ends before it begins. */
export interface TimeSpan {
    readonly from: Milliseconds;
    readonly to: Milliseconds;
}

/** Origins that may have begun streams of which clients still want the rest, as one instance knows them. */
export interface OriginView {
    readonly origins: readonly StreamOrigin[];
    /**
     * Times over which the instance has followed the list of servers, oldest first. The last one ends when the list was last
     * confirmed: a server that joined later may have begun streams.
     */
    readonly followed: readonly TimeSpan[];
}

/** Whether the origin of a stream is known. */
export type OriginDecision =
    | { readonly kind: "known"; readonly origin: StreamOrigin; }
    | { readonly kind: "unknown"; readonly reason: string; };
