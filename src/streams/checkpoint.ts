/**
 * Restating: the whole state is written to the log again before its records expire, pinned to one offset.
 *
 * @packageDocumentation
 */
import type { LogService, LogStream } from "../backends/index.js";
import type { Clock, LogOffset, Milliseconds } from "../shared/index.js";
import type { StreamRecord } from "./records.js";
import type { FinishedCheckpoint } from "./replay.js";

const delayPerRankMilliseconds = 30_000;
const firstCheckpointDelayMilliseconds = 10_000;
const appendPauseMilliseconds = 50;
const appendAttempts = 5;
const appendRetryMilliseconds = 1_000;

/** What decides when an instance restates. */
export interface CheckpointInputs {
    /** Wall-clock time, as the log stamps its records. */
    readonly wallNow: Milliseconds;
    /** Wall-clock time at which this instance had its first complete state. */
    readonly completeSince: Milliseconds;
    readonly lastPass: FinishedCheckpoint | undefined;
    readonly interval: Milliseconds;
    /** Place of this instance in the order of those that may restate; 0 goes first. */
    readonly rank: number;
}

/**
 * Says whether an instance is to restate the state now. Those behind in the order wait longer, so that one normally does it.
 *
 * @param inputs - times and the instance's place
 * @returns whether it is time
 */
export function isCheckpointDue(inputs: CheckpointInputs): boolean {
    const due = inputs.lastPass
        ? inputs.lastPass.endedAt + inputs.interval
        : inputs.completeSince + firstCheckpointDelayMilliseconds;
    return inputs.wallNow >= due + inputs.rank * delayPerRankMilliseconds;
}

/**
 * Creates the records of a pass.
 *
 * @param parts - the whole state at one offset
 * @param covering - that offset
 * @param pass - name of the pass, unique
 * @returns begin, parts and end, in the order to append
 */
export function createCheckpointRecords<Part>(
    parts: readonly Part[],
    covering: LogOffset,
    pass: string,
): readonly StreamRecord<never, Part>[] {
    return [
        { kind: "passBegin", pass, covering },
        ...parts.map((part, index): StreamRecord<never, Part> => ({ kind: "passPart", pass, index, part })),
        { kind: "passEnd", pass, parts: parts.length },
    ];
}

/** What writes a pass. */
export interface CheckpointWriter {
    readonly log: LogService;
    readonly stream: LogStream;
    readonly clock: Clock;
    /** Whether the pass is still wanted; false once another instance has finished one. */
    readonly isWanted: () => boolean;
}

/**
 * Appends a pass. A record whose answer was lost is appended again; readers take the first copy.
 *
 * @param writer - log, clock and whether to go on
 * @param payloads - the encoded records of the pass
 * @param signal - ends the pass, which readers then never use
 * @returns whether the end was appended
 */
export async function appendCheckpoint(
    writer: CheckpointWriter,
    payloads: readonly Uint8Array[],
    signal: AbortSignal,
): Promise<boolean> {
    for (const payload of payloads) {
        const appended = await appendRecord(writer, payload, signal);
        if (!appended) {
            return false;
        }
        await writer.clock.sleep(appendPauseMilliseconds, signal);
    }
    return true;
}

async function appendRecord(writer: CheckpointWriter, payload: Uint8Array, signal: AbortSignal): Promise<boolean> {
    for (let attempt = 0; attempt < appendAttempts; attempt++) {
        if (signal.aborted || !writer.isWanted()) {
            return false;
        }
        const appended = await writer.log.append(writer.stream, payload, signal);
        if (appended.ok) {
            return true;
        }
        await writer.clock.sleep(appendRetryMilliseconds, signal);
    }
    return false;
}
