/**
 * Messages by which instances fetch the state and the records of a stream from each other.
 *
 * @packageDocumentation
 */
import type { LogRecord } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";
import type { FinishedCheckpoint } from "./replay.js";

/** Asks a peer for one part of a snapshot of its state. */
export interface SnapshotRequest {
    readonly kind: "snapshotRequest";
    /** Name of the snapshot; `undefined` asks for one of the peer's present state, which the peer then keeps. */
    readonly snapshot: string | undefined;
    /** Index of the part, from 0. */
    readonly index: number;
}

/** One part of a snapshot, all parts of which hold the state at the same offset. */
export interface SnapshotPart<Part> {
    readonly kind: "snapshotPart";
    readonly snapshot: string;
    readonly index: number;
    /** Number of parts of the snapshot. */
    readonly parts: number;
    /** Offset of the last record applied to the state. */
    readonly covering: LogOffset;
    /** Latest checkpoint that the peer has read to its end. */
    readonly lastPass: FinishedCheckpoint | undefined;
    readonly part: Part;
}

/** Consecutive records that a peer has read. */
export interface RecordsPage {
    readonly kind: "recordsPage";
    readonly records: readonly LogRecord[];
    /** Offset after the last record that the peer has read. */
    readonly head: LogOffset;
    /**
     * Time between the peer's latest request to the log that found no further record and the arrival of this request
     * at the peer. Negative if the peer sent its request later, while it held the response back; `undefined` if no
     * request of the peer has found the end of the log.
     */
    readonly confirmedBefore: Milliseconds | undefined;
}

/** Messages about one stream. */
export type StreamMessage<Part> =
    | SnapshotRequest
    | SnapshotPart<Part>
    /** The peer has no state yet (`notReady`), or no longer keeps the named snapshot (`gone`). */
    | { readonly kind: "snapshotRefused"; readonly reason: "notReady" | "gone"; }
    /** Asks for records from an offset on; the peer may hold the response back for `waitFor` while it has none. */
    | { readonly kind: "recordsRequest"; readonly from: LogOffset; readonly waitFor: Milliseconds; }
    | RecordsPage
    /** The peer has not read the stream yet (`notReady`), or no longer keeps the first requested record (`expired`). */
    | { readonly kind: "recordsRefused"; readonly reason: "notReady" | "expired"; };

/** Sends a message about a stream to a peer. Resolves with its response, or with `undefined` if none came in time. */
export type RequestFromPeer<Part> = (
    peer: string,
    message: StreamMessage<Part>,
    timeout: Milliseconds,
) => Promise<StreamMessage<Part> | undefined>;
