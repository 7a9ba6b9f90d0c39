/**
 * Definition of a replicated stream, whose state every reader computes in the same way from the records of the log.
 *
 * @packageDocumentation
 */
import type { z } from "zod";
import type { LogStream } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";

/** State of one reader, to which its single owner applies the records in the order of the log. */
export interface StreamState {
    /** Offset of the last applied record; -1 before the first. */
    appliedOffset: LogOffset;
}

/** Position of a record in its stream. */
export interface RecordPosition {
    readonly offset: LogOffset;
    /** Wall-clock time at which the log service accepted the record. */
    readonly appendedAt: Milliseconds;
}

/** Name, schemas and functions of one replicated stream. */
export interface StreamModel<State extends StreamState, Change, Part, Event> {
    readonly stream: LogStream;
    /** Number of the record format; it must change with the schemas and with the rules by which a change is applied. */
    readonly format: number;
    readonly changeSchema: z.ZodType<Change>;
    readonly partSchema: z.ZodType<Part>;
    /** Creates the state before the first record. */
    readonly createState: () => State;
    /** Applies a change in place; the result must depend on the state and the record only. */
    readonly applyChange: (state: State, position: RecordPosition, change: Change) => Event;
    /** Sets the offset of the last applied record, which may have been of any kind. */
    readonly advanceOffset: (state: State, offset: LogOffset) => void;
    /** Copies the whole state into parts from which another reader can continue; later changes don't affect them. */
    readonly listParts: (state: State) => readonly Part[];
    /** Creates the state at an offset from the parts that `listParts` returned there. */
    readonly restoreState: (parts: Iterable<Part>, offset: LogOffset) => State;
}
