/**
 * Messages by which instances pass a stream on to each other.
 *
 * @packageDocumentation
 */
import type { LogRecord } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";
import type { FinishedCheckpoint } from "./replay.js";

/** Asks for a part of the peer's state; without a name, for the first part of one that the peer pins now. */
export interface SnapshotRequest {
    readonly kind: "snapshotRequest";
    readonly snapshot: string | undefined;
    readonly index: number;
}

/** A part of a state that is pinned to one offset. */
export interface SnapshotPart<Part> {
    readonly kind: "snapshotPart";
    readonly snapshot: string;
    readonly index: number;
    readonly parts: number;
    /** Offset that the state covers. */
    readonly covering: LogOffset;
    readonly lastPass: FinishedCheckpoint | undefined;
    readonly part: Part;
}

/** Records that the peer has read from the log. */
export interface RecordsPage {
    readonly kind: "recordsPage";
    readonly records: readonly LogRecord[];
    /** Offset after the last record that the peer has read. */
    readonly head: LogOffset;
    /**
     * How long before this request came the peer asked the log whether there is more, and there was not; below zero if
     * it asked later, while it held the answer back. `undefined` if it never did.
     */
    readonly confirmedBefore: Milliseconds | undefined;
}

/** Messages about one stream. */
export type StreamMessage<Part> =
    | SnapshotRequest
    | SnapshotPart<Part>
    | { readonly kind: "snapshotRefused"; readonly reason: "notReady" | "gone"; }
    /** Asks for records from an offset on; the peer may hold the answer back while it has none. */
    | { readonly kind: "recordsRequest"; readonly from: LogOffset; readonly waitFor: Milliseconds; }
    | RecordsPage
    | { readonly kind: "recordsRefused"; readonly reason: "notReady" | "expired"; };

/** Sends a message to a peer's task of the same stream; `undefined` if there was no answer. */
export type RequestFromPeer<Part> = (
    peer: string,
    message: StreamMessage<Part>,
    timeout: Milliseconds,
) => Promise<StreamMessage<Part> | undefined>;
