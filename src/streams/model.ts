/**
 * What a replicated stream is made of: a state that every reader computes alike from the records of the log.
 *
 * @packageDocumentation
 */
import type { z } from "zod";
import type { LogStream } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";

/** State of one reader; its one owner applies records to it in the order of the log. */
export interface StreamState {
    /** Offset of the last record taken into account; -1 before any. */
    appliedOffset: LogOffset;
}

/** Where a record stands. */
export interface RecordPosition {
    readonly offset: LogOffset;
    /** Wall-clock time at which the log took the record. */
    readonly appendedAt: Milliseconds;
}

/** Rules of one stream. */
export interface StreamModel<State extends StreamState, Change, Part, Event> {
    readonly stream: LogStream;
    /** Number of the record format; it stands for the schemas and for the rules that judge a change. */
    readonly format: number;
    readonly changeSchema: z.ZodType<Change>;
    readonly partSchema: z.ZodType<Part>;
    readonly createState: () => State;
    /** Applies a change in place; the outcome depends on the state and the record alone. */
    readonly applyChange: (state: State, position: RecordPosition, change: Change) => Event;
    /** Takes an offset into account, whatever its record was. */
    readonly advanceOffset: (state: State, offset: LogOffset) => void;
    /** Lists everything that another reader needs to go on from here; later changes don't show in it. */
    readonly listParts: (state: State) => readonly Part[];
    readonly restoreState: (parts: Iterable<Part>, offset: LogOffset) => State;
}
