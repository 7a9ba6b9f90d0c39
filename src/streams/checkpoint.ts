/**
 * Checkpoints: before the records of a stream expire, an instance appends the whole state at one offset to the stream.
 * The records and messages call a checkpoint a `pass`.
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

/** Inputs of the check whether an instance is to write a checkpoint. */
export interface CheckpointInputs {
    /** Current wall-clock time, which is compared with the timestamps of the log. */
    readonly wallNow: Milliseconds;
    /** Wall-clock time at which this instance had its first complete state. */
    readonly completeSince: Milliseconds;
    /** Latest finished checkpoint; `undefined` if this instance knows none. */
    readonly lastPass: FinishedCheckpoint | undefined;
    /** Time between the end of a checkpoint and the next one. */
    readonly interval: Milliseconds;
    /** Rank of this instance among those that may write the checkpoint, from 0; a higher rank waits longer. */
    readonly rank: number;
}

/**
 * Returns whether an instance is to write a checkpoint now. Each rank waits 30 s longer than the one before, so that
 * normally only one instance writes it.
 *
 * @param inputs - times, and the rank of the instance
 * @returns whether the checkpoint is due for this instance
 */
export function isCheckpointDue(inputs: CheckpointInputs): boolean {
    const due = inputs.lastPass
        ? inputs.lastPass.endedAt + inputs.interval
        : inputs.completeSince + firstCheckpointDelayMilliseconds;
    return inputs.wallNow >= due + inputs.rank * delayPerRankMilliseconds;
}

/**
 * Creates the records of a checkpoint.
 *
 * @param parts - the whole state at one offset
 * @param covering - that offset
 * @param pass - unique name of the checkpoint
 * @returns the first record, one record for each part and the last record, in the order in which to append them
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

/** Log and clock with which a checkpoint is written, and the check whether it is still needed. */
export interface CheckpointWriter {
    readonly log: LogService;
    readonly stream: LogStream;
    readonly clock: Clock;
    /** Returns whether the checkpoint is still needed; false once another instance has finished one. */
    readonly isWanted: () => boolean;
}

/**
 * Appends the records of a checkpoint. After a failed append it appends the record again, which may then be in the log
 * twice; readers accept such copies.
 *
 * @param writer - log, clock, and the check whether the checkpoint is still needed
 * @param payloads - encoded records of the checkpoint
 * @param signal - stops the checkpoint, which readers then never use
 * @returns whether the last record was appended
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
