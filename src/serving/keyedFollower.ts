/**
 * Follows a keyed topic: takes the newest records, then waits for later ones, and starts over when the store has dropped
 * what comes next.
 *
 * @packageDocumentation
 */
import { type Milliseconds, type Result, wrapValue } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { type ClockReading, readClocks } from "./freshness.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot, KeyedTopic, StoreError } from "./types.js";

/** What a follower tells its owner. */
export interface FollowerEvents {
    /** All keys that exist; those not among them are gone. */
    readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    /** Everything written before the read was sent has been told. */
    readonly onConfirmed: (sentAt: ClockReading) => void;
    readonly onFailure: (error: StoreError) => void;
}

/** Settings of a follower. */
export interface FollowerOptions extends FollowerEvents {
    readonly log: KeyedLog;
    readonly topic: KeyedTopic;
    /** How long the store may keep a read waiting. */
    readonly wait: Milliseconds;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
}

const firstRetryMilliseconds = 50;
const retryLimitMilliseconds = 400;

/**
 * Creates the task that follows a topic.
 *
 * @param options - topic, waiting time and what to tell
 * @returns the task
 */
export function createKeyedFollower(options: FollowerOptions): Task {
    return { name: `follow ${options.topic}`, run: signal => readTopic(options, signal) };
}

async function readTopic(options: FollowerOptions, signal: AbortSignal): Promise<void> {
    let position: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
        const step = await readOnce(options, position);
        if (signal.aborted) {
            return;
        }
        if (step.ok) {
            position = step.value;
            failures = 0;
            continue;
        }
        options.onFailure(step.error);
        // only after dropped records does the position mean nothing
        position = step.error.kind === "expired" || step.error.kind === "refused" ? undefined : position;
        await options.sleep(Math.min(retryLimitMilliseconds, firstRetryMilliseconds * 2 ** failures), signal);
        failures++;
    }
}

async function readOnce(
    options: FollowerOptions,
    position: number | undefined,
): Promise<Result<number, StoreError>> {
    const sentAt = readClocks();
    const read = position === undefined
        ? await options.log.readNewest(options.topic)
        : await options.log.readFrom(options.topic, position, options.wait);
    if (!read.ok) {
        return read;
    }
    publishRead(options, position === undefined, read.value);
    options.onConfirmed(sentAt);
    return wrapValue(read.value.endOffset);
}

function publishRead(options: FollowerOptions, isSnapshot: boolean, read: KeyedSnapshot): void {
    if (isSnapshot) {
        options.onSnapshot(read.records);
    }
    else if (read.records.length > 0) {
        options.onRecords(read.records);
    }
}
