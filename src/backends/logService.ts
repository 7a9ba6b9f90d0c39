/**
 * What the system needs of the platform's append-only log service.
 *
 * @packageDocumentation
 */
import type { LogOffset, Milliseconds, RegionId, Result } from "../shared/index.js";

/** Name of a stream; each region has its own for ownership, and `outcomes-N` are the partitions of idempotency records. */
export type LogStream = "configuration" | `ownership-${RegionId}` | `outcomes-${number}`;

/** One record of a stream. */
export interface LogRecord {
    readonly offset: LogOffset;
    /** Wall-clock time at which the service took the record, in milliseconds since 1970. */
    readonly appendedAt: Milliseconds;
    readonly payload: Uint8Array;
}

/** Part of a stream. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Offset of the oldest record still kept. */
    readonly earliest: LogOffset;
    /** Offset that the next append will get. */
    readonly head: LogOffset;
}

/** Why a call of the log service failed. */
export type LogError =
    /** The service can't be reached or answers with a fault; an append had no effect. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** Too many appends; this one had no effect. */
    | { readonly kind: "rateLimited"; readonly retryAfter: Milliseconds; }
    /** No answer came; an append may have taken effect. */
    | { readonly kind: "unknownOutcome"; readonly detail: string; }
    /** The asked records have expired. */
    | { readonly kind: "expired"; readonly earliest: LogOffset; };

/** The append-only log service. A read of the head sees every append that was acknowledged before it. */
export interface LogService {
    /** Appends a record and answers its offset. */
    readonly append: (
        stream: LogStream,
        payload: Uint8Array,
        signal?: AbortSignal,
    ) => Promise<Result<LogOffset, LogError>>;
    /** Reads records from an offset on; waits up to `waitFor` for the first when there is none. */
    readonly read: (stream: LogStream, options: LogReadOptions) => Promise<Result<LogPage, LogError>>;
}

/** How to read a stream. */
export interface LogReadOptions {
    readonly from: LogOffset;
    /** @default 500 */
    readonly maximumRecords?: number;
    /** How long the service may hold the answer back while there is nothing new. @default 0 */
    readonly waitFor?: Milliseconds;
    readonly signal?: AbortSignal;
}
