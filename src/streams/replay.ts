/**
 * Replay of a stream. A reader that starts without a state holds the changes back until it has a complete state to
 * apply them to: the empty state if the log still has its first record, otherwise the state of a finished checkpoint
 * that covers all records before those that the reader has read. The records call a checkpoint a `pass`.
 *
 * @packageDocumentation
 */
import type { LogRecord } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";
import type { RecordPosition, StreamModel, StreamState } from "./model.js";
import { createRecordCodec, type StreamRecord } from "./records.js";

/** A checkpoint of which some records have been read. */
interface CheckpointProgress<Part> {
    readonly covering: LogOffset;
    readonly parts: Map<number, Part>;
}

/** A change that is held back until there is a complete state. */
interface WaitingChange<Change> {
    readonly position: RecordPosition;
    readonly change: Change;
}

/** Phase of a replay. */
export type ReplayPhase =
    /** Has no complete state yet, and holds changes back. */
    | { readonly kind: "gathering"; readonly from: LogOffset; readonly waitingChanges: number; }
    | { readonly kind: "complete"; }
    /** Has read a record of a newer format, and applies no further record. */
    | { readonly kind: "stopped"; readonly offset: LogOffset; readonly format: number; }
    /** Records between the last applied one and the next available one have expired, so this replay can't continue. */
    | { readonly kind: "gap"; readonly expected: LogOffset; readonly earliest: LogOffset; }
    /** Too many changes are held back for a complete state, so this replay can't continue. */
    | { readonly kind: "overflow"; readonly waitingChanges: number; };

/** Replay of one reader, whose single owner passes the records to it in the order of the log. */
export interface Replay<State, Event> {
    readonly phase: () => ReplayPhase;
    /** Returns the offset of the next record to apply. */
    readonly nextOffset: () => LogOffset;
    /** Returns the complete state, which the replay changes in place; `undefined` while there is none. */
    readonly state: () => State | undefined;
    /** Returns the latest finished checkpoint; `undefined` if none is known. */
    readonly lastPass: () => FinishedCheckpoint | undefined;
    /** Applies records in order, skips those already applied, and returns the events of the changes. */
    readonly apply: (records: readonly LogRecord[]) => readonly Event[];
}

/** A checkpoint whose last record is in the log. */
export interface FinishedCheckpoint {
    /** Unique name of the checkpoint. */
    readonly pass: string;
    /** Offset of the last record that the state of the checkpoint includes. */
    readonly covering: LogOffset;
    /** Offset of its last record. */
    readonly end: LogOffset;
    /** Wall-clock time at which the log service accepted its last record. */
    readonly endedAt: Milliseconds;
}

/** Maximum number of changes that a reader holds back; more than a day of changes at the design's target size. */
export const maximumWaitingChanges = 20_000;
const maximumOpenCheckpoints = 8;

/**
 * Creates a replay.
 *
 * @param model - model of the stream
 * @param start - complete state, which the replay then owns, or offset of the first record that it will receive
 * @param knownCheckpoint - latest finished checkpoint before the start, if one is known
 * @returns the replay; it is complete at once if it has a state or starts at offset 0
 */
export function createReplay<State extends StreamState, Change, Part, Event>(
    model: StreamModel<State, Change, Part, Event>,
    start: State | LogOffset,
    knownCheckpoint?: FinishedCheckpoint,
): Replay<State, Event> {
    const codec = createRecordCodec(model);
    let state = typeof start === "number" ? undefined : start;
    if (start === 0) {
        state = model.createState();
    }
    const from = typeof start === "number" ? start : start.appliedOffset + 1;
    let nextOffset = from;
    let phase: ReplayPhase = state ? { kind: "complete" } : { kind: "gathering", from, waitingChanges: 0 };
    let lastPass = knownCheckpoint;
    let waiting: WaitingChange<Change>[] = [];
    const openCheckpoints = new Map<string, CheckpointProgress<Part>>();

    const finishCheckpoint = (
        pass: string,
        progress: CheckpointProgress<Part>,
        endRecord: LogRecord,
    ): readonly Event[] => {
        const end = endRecord.offset;
        lastPass = { pass, covering: progress.covering, end, endedAt: endRecord.appendedAt };
        if (state || progress.covering < from - 1) {
            return [];
        }
        const parts = [...progress.parts].sort(([left], [right]) => left - right).map(([, part]) => part);
        const restored = model.restoreState(parts, progress.covering);
        const events = waiting
            .filter(({ position }) => position.offset > progress.covering)
            .map(({ position, change }) => model.applyChange(restored, position, change));
        model.advanceOffset(restored, end);
        state = restored;
        waiting = [];
        openCheckpoints.clear();
        phase = { kind: "complete" };
        return events;
    };
    const applyOrHoldChange = (position: RecordPosition, change: Change): readonly Event[] => {
        if (state) {
            return [model.applyChange(state, position, change)];
        }
        waiting.push({ position, change });
        phase = waiting.length > maximumWaitingChanges
            ? { kind: "overflow", waitingChanges: waiting.length }
            : { kind: "gathering", from, waitingChanges: waiting.length };
        return [];
    };
    const applyDecodedRecord = (source: LogRecord, record: StreamRecord<Change, Part>): readonly Event[] => {
        const { offset, appendedAt } = source;
        switch (record.kind) {
            case "change":
                return applyOrHoldChange({ offset, appendedAt }, record.change);
            case "passBegin":
                if (record.covering < offset) {
                    openCheckpoint(openCheckpoints, record.pass, record.covering);
                }
                return [];
            case "passPart":
                // a reader with a complete state doesn't need the parts
                if (!state) {
                    openCheckpoints.get(record.pass)?.parts.set(record.index, record.part);
                }
                return [];
            case "passEnd": {
                const progress = openCheckpoints.get(record.pass);
                openCheckpoints.delete(record.pass);
                const whole = progress && (state || hasAllParts(progress, record.parts));
                return whole ? finishCheckpoint(record.pass, progress, source) : [];
            }
        }
    };
    const applyRecord = (record: LogRecord): readonly Event[] => {
        if (record.offset > nextOffset) {
            phase = { kind: "gap", expected: nextOffset, earliest: record.offset };
            return [];
        }
        const decoded = codec.decode(record.payload);
        if (decoded.kind === "unknownFormat") {
            phase = { kind: "stopped", offset: record.offset, format: decoded.format };
            return [];
        }
        nextOffset = record.offset + 1;
        const events = decoded.kind === "record" ? applyDecodedRecord(record, decoded.record) : [];
        if (state) {
            model.advanceOffset(state, record.offset);
        }
        return events;
    };
    return {
        phase: () => phase,
        nextOffset: () => nextOffset,
        state: () => state,
        lastPass: () => lastPass,
        apply: records => {
            const events: Event[] = [];
            for (const record of records) {
                if (phase.kind !== "complete" && phase.kind !== "gathering") {
                    break;
                }
                if (record.offset >= nextOffset) {
                    events.push(...applyRecord(record));
                }
            }
            return events;
        },
    };
}

function openCheckpoint<Part>(
    openCheckpoints: Map<string, CheckpointProgress<Part>>,
    pass: string,
    covering: LogOffset,
): void {
    if (openCheckpoints.has(pass)) {
        return;
    }
    openCheckpoints.set(pass, { covering, parts: new Map() });
    const oldest = openCheckpoints.keys().next().value;
    if (openCheckpoints.size > maximumOpenCheckpoints && oldest !== undefined) {
        openCheckpoints.delete(oldest);
    }
}

function hasAllParts(progress: CheckpointProgress<unknown>, parts: number): boolean {
    return Array.from({ length: parts }, (unused, index) => index).every(index => progress.parts.has(index));
}

/**
 * Describes why a replay hasn't a complete state or can't continue.
 *
 * @param phase - phase of the replay
 * @returns one line for operators; `undefined` in the phase `complete`
 */
export function describePhase(phase: ReplayPhase): string | undefined {
    switch (phase.kind) {
        case "complete":
            return undefined;
        case "gathering":
            return `waits for a complete state; reads from ${phase.from}, holds ${phase.waitingChanges} changes back`;
        case "stopped":
            return `record ${phase.offset} has format ${phase.format}, which this version can't read; upgrade it`;
        case "gap":
            return `records ${phase.expected} to ${phase.earliest - 1} have expired; replay starts again within 10 s`;
        case "overflow":
            return `${phase.waitingChanges} changes are too many to hold without a state; a retry needs a ready peer`;
    }
}
