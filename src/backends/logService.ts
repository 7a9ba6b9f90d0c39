/**
 * Interface to the platform's append-only log service.
 *
 * @packageDocumentation
 */
import type { LogOffset, Milliseconds, RegionId, Result } from "../shared/index.js";

/**
 * Name of a stream. Each region has its own ownership stream, and each `outcomes-N` stream holds one partition of the
 * idempotency records.
 */
export type LogStream = "configuration" | `ownership-${RegionId}` | `outcomes-${number}`;

/** A record as stored in a stream. */
export interface LogRecord {
    readonly offset: LogOffset;
    /** Wall-clock time at which the service accepted the record, in milliseconds since 1970. */
    readonly appendedAt: Milliseconds;
    readonly payload: Uint8Array;
}

/** Consecutive records of a stream, with the bounds of the stream at the time of the read. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Offset of the oldest record that the service still stores. */
    readonly earliest: LogOffset;
    /** Offset of the next record to be appended. */
    readonly head: LogOffset;
}

/** Why a call to the log service failed. */
export type LogError =
    /** The service is unreachable or refused the call, or a read failed; an append had no effect. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** The call exceeded a rate limit of the service; an append had no effect. */
    | { readonly kind: "rateLimited"; readonly retryAfter: Milliseconds; }
    /** No usable response was received, or the service failed during the append, which may have taken effect. */
    | { readonly kind: "unknownOutcome"; readonly detail: string; }
    /** The requested records have expired; `earliest` is the oldest offset still stored. */
    | { readonly kind: "expired"; readonly earliest: LogOffset; };

/** Client of the append-only log service. A read of the head includes every append acknowledged before the read. */
export interface LogService {
    /** Appends a record; resolves to its offset. */
    readonly append: (
        stream: LogStream,
        payload: Uint8Array,
        signal?: AbortSignal,
    ) => Promise<Result<LogOffset, LogError>>;
    /** Reads records from an offset on. If there are none yet, waits up to `waitFor` for the first one. */
    readonly read: (stream: LogStream, options: LogReadOptions) => Promise<Result<LogPage, LogError>>;
}

/** Options of a read. */
export interface LogReadOptions {
    /** Offset of the first record to read. */
    readonly from: LogOffset;
    /** Maximum number of records in the page. @default 500 */
    readonly maximumRecords?: number;
    /** Time for which the service may delay the response while there are no new records (long polling). @default 0 */
    readonly waitFor?: Milliseconds;
    readonly signal?: AbortSignal;
}
