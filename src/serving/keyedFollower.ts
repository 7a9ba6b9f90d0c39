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
export interface KeyedFollowerHandlers {
    /** All keys that exist; those not among them are gone. */
    readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    /** Everything written before the read was sent has been told. */
    readonly onConfirmed: (sentAt: ClockReading) => void;
    readonly onFailure: (error: StoreError) => void;
}

/** Settings of a follower. */
export interface KeyedFollowerOptions extends KeyedFollowerHandlers {
    readonly log: KeyedLog;
    readonly topic: KeyedTopic;
    /** How long the store may keep a read waiting. */
    readonly wait: Milliseconds;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
}

const initialRetryMilliseconds = 50;
const maximumRetryMilliseconds = 400;

/**
 * Creates the task that follows a topic.
 *
 * @param options - topic, waiting time and what to tell
 * @returns the task
 */
export function createKeyedFollower(options: KeyedFollowerOptions): Task {
    return { name: `follow ${options.topic}`, run: signal => readTopic(options, signal) };
}

async function readTopic(options: KeyedFollowerOptions, signal: AbortSignal): Promise<void> {
    let nextOffset: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
        const result = await readOnce(options, nextOffset);
        if (signal.aborted) {
            return;
        }
        if (result.ok) {
            nextOffset = result.value;
            failures = 0;
            continue;
        }
        options.onFailure(result.error);
        // only after dropped records does the position mean nothing
        nextOffset = result.error.kind === "expired" || result.error.kind === "refused" ? undefined : nextOffset;
        await options.sleep(Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** failures), signal);
        failures++;
    }
}

async function readOnce(
    options: KeyedFollowerOptions,
    nextOffset: number | undefined,
): Promise<Result<number, StoreError>> {
    const sentAt = readClocks();
    const read = nextOffset === undefined
        ? await options.log.readNewest(options.topic)
        : await options.log.readFrom(options.topic, nextOffset, options.wait);
    if (!read.ok) {
        return read;
    }
    deliverRead(options, nextOffset === undefined, read.value);
    options.onConfirmed(sentAt);
    return wrapValue(read.value.endOffset);
}

function deliverRead(options: KeyedFollowerOptions, isSnapshot: boolean, read: KeyedSnapshot): void {
    if (isSnapshot) {
        options.onSnapshot(read.records);
    }
    else if (read.records.length > 0) {
        options.onRecords(read.records);
    }
}
