/**
 * Replay of a stream. A reader that starts with nothing holds the records back until it has a complete
 * state to apply them to: the empty one if the log still has its first record, else a finished pass that covers all the
 * records before those it has read.
 *
 * @packageDocumentation
 */
import type { LogRecord } from "../backends/index.js";
import type { LogOffset, Milliseconds } from "../shared/index.js";
import type { RecordPosition, StreamModel, StreamState } from "./model.js";
import { createRecordCodec, type StreamRecord } from "./records.js";

/** A pass that is being read. */
interface CheckpointProgress<Part> {
    readonly covering: LogOffset;
    readonly parts: Map<number, Part>;
}

/** A change that waits for a complete state. */
interface WaitingChange<Change> {
    readonly position: RecordPosition;
    readonly change: Change;
}

/** How far a reader is. */
export type ReplayPhase =
    /** Has no complete state yet. */
    | { readonly kind: "gathering"; readonly from: LogOffset; readonly waitingChanges: number; }
    | { readonly kind: "complete"; }
    /** Met a record of a newer format; goes no further. */
    | { readonly kind: "stopped"; readonly offset: LogOffset; readonly format: number; }
    /** Records between the state's offset and the oldest kept one are lost to this reader. */
    | { readonly kind: "gap"; readonly expected: LogOffset; readonly earliest: LogOffset; }
    /** Too many changes wait for a complete state. */
    | { readonly kind: "overflow"; readonly waitingChanges: number; };

/** A reader's replay; its one owner feeds it the records in the order of the log. */
export interface Replay<State, Event> {
    readonly phase: () => ReplayPhase;
    /** Offset of the next record to feed. */
    readonly nextOffset: () => LogOffset;
    /** The complete state, or `undefined` while there is none. */
    readonly state: () => State | undefined;
    /** Offset at which the last finished pass ended, and what it covers. */
    readonly lastPass: () => FinishedCheckpoint | undefined;
    /** Feeds records in order; those already taken are skipped. */
    readonly apply: (records: readonly LogRecord[]) => readonly Event[];
}

/** A pass that was written to its end. */
export interface FinishedCheckpoint {
    readonly pass: string;
    readonly covering: LogOffset;
    readonly end: LogOffset;
    /** Wall-clock time at which the log took its end. */
    readonly endedAt: Milliseconds;
}

/** Most changes that a reader holds back; more than a day of them at the size the design aims at. */
export const maximumWaitingChanges = 20_000;
const maximumOpenCheckpoints = 8;

/**
 * Creates a replay.
 *
 * @param model - rules of the stream
 * @param start - a complete state, or the offset of the first record that the reader will be fed
 * @param knownCheckpoint - last finished pass before the start, if one is known
 * @returns the replay
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
                // a complete reader has all that a pass can say
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
 * Describes why a replay goes no further.
 *
 * @param phase - how far it is
 * @returns one line for operators, or `undefined` while it goes on
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
            return `records ${phase.expected} to ${phase.earliest - 1} are gone; restart this instance`;
        case "overflow":
            return `${phase.waitingChanges} changes wait for a complete state; restart it while a complete peer runs`;
    }
}
