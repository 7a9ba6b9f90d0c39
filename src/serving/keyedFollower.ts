/**
 * Follows a keyed topic: reads the newest record of each key, then later records as they are written. Starts again
 * with the newest records when the store no longer has the next offset or refuses the read. A record at which a handler
 * throws is logged and passed over: it stays in the store, so that a follower which stopped there would never go on.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds, type Result, waitUnlessAborted, wrapError } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { type ClockReading, readClocks } from "./freshness.js";
import type { TopicCache } from "./topicCache.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot, KeyedTopic, StoreError } from "./types.js";

/** Callbacks of a follower. */
export interface KeyedFollowerHandlers {
    /** Called with the newest records of all keys; other keys no longer exist. */
    readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
    /** Called with later records, in their order. */
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    /**
     * Called after each successful read with a time before which all records written have been passed to `onSnapshot`
     * or `onRecords`.
     */
    readonly onConfirmed: (sentAt: ClockReading) => void;
    /** Called after each read that failed; the follower retries. */
    readonly onFailure: (error: StoreError) => void;
}

/** Settings of a follower. */
export interface KeyedFollowerOptions extends KeyedFollowerHandlers {
    readonly log: KeyedLog;
    readonly topic: KeyedTopic;
    /** Time that the store may delay a read while there are no new records. */
    readonly wait: Milliseconds;
    /**
     * Time that the follower waits after a read of the store with new records, to collect those that follow; another
     * instance that was read has already waited. @default 0
     */
    readonly pause?: Milliseconds;
    /** Copy of the topic from which other instances read; `undefined` for none. */
    readonly cache?: TopicCache | undefined;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
    /** Reads the clocks. @default those of the process */
    readonly readClocks?: () => ClockReading;
}

const initialRetryMilliseconds = 50;
const maximumRetryMilliseconds = 400;
/** Reads after which a record that can't be taken is passed over. */
const maximumDeliveries = 3;
const maximumDetailLength = 200;
const maximumKeyLength = 100;
const log = createLogger("serving");

/**
 * Creates a task that follows a topic until it is stopped. After a failure, as of a handler that throws, the next run goes
 * on from the last offset whose records were all delivered.
 *
 * @param options - topic, timing and callbacks
 * @returns the task, which the caller runs
 */
export function createKeyedFollower(options: KeyedFollowerOptions): Task {
    const position: FollowerPosition = { nextOffset: undefined, failedDeliveries: new Map() };
    return { name: `follow ${options.topic}`, run: signal => readTopic(options, position, signal) };
}

interface FollowerPosition {
    /** Offset of the next read; `undefined` to begin with the newest records of all keys. */
    nextOffset: number | undefined;
    /** Reads in which a record could not be taken, by the offset of the record. */
    readonly failedDeliveries: Map<number, number>;
}

async function readTopic(
    options: KeyedFollowerOptions,
    position: FollowerPosition,
    signal: AbortSignal,
): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
        // a stopped instance doesn't wait for the store, whose answer may take long
        // after a failure the store is asked for what there is, so that its return shows at once
        const wait = failures === 0 ? options.wait : 0;
        const result = await waitUnlessAborted(readOnce(options, position, wait), signal);
        if (signal.aborted || !result) {
            return;
        }
        if (result.ok) {
            const { endOffset, age } = result.value;
            const isCollected = position.nextOffset === endOffset || age !== undefined;
            position.nextOffset = endOffset;
            failures = 0;
            if (!isCollected && options.pause) {
                await options.sleep(options.pause, signal);
            }
            continue;
        }
        options.cache?.markFailed();
        options.onFailure(result.error);
        // other failures leave the offset valid, so that the follower needs no new snapshot
        if (result.error.kind === "expired" || result.error.kind === "refused") {
            position.nextOffset = undefined;
        }
        await options.sleep(Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** failures), signal);
        failures++;
    }
}

async function readOnce(
    options: KeyedFollowerOptions,
    position: FollowerPosition,
    wait: Milliseconds,
): Promise<Result<KeyedSnapshot, StoreError>> {
    const { nextOffset } = position;
    const sentAt = (options.readClocks ?? readClocks)();
    const read = nextOffset === undefined
        ? await options.log.readNewest(options.topic)
        : await options.log.readFrom(options.topic, nextOffset, wait);
    if (!read.ok) {
        return read;
    }
    const untaken = deliverRead(options, nextOffset === undefined, read.value);
    if (untaken.filter(record => isDeliveredAgain(options, position, record)).length > 0) {
        return wrapError({ kind: "unreachable", detail: "a record could not be taken" });
    }
    position.failedDeliveries.clear();
    const { age = 0 } = read.value;
    const confirmedAt = { monotonic: sentAt.monotonic - age, timeOfDay: sentAt.timeOfDay - age };
    options.cache?.markConfirmed(confirmedAt);
    options.onConfirmed(confirmedAt);
    return read;
}

// returns the records that could not be taken
function deliverRead(
    options: KeyedFollowerOptions,
    isSnapshot: boolean,
    read: KeyedSnapshot,
): readonly KeyedRecord[] {
    let untaken: readonly KeyedRecord[] = [];
    if (isSnapshot) {
        const { records, endOffset, era, age } = read;
        log.info("newest records read", { topic: options.topic, era, endOffset, records: records.length, age });
        untaken = deliverSnapshot(options, read.records);
        options.cache?.replaceAll(read.records, read.endOffset);
    }
    else if (read.records.length > 0) {
        untaken = read.records.filter(record => !tryRecord(options, record));
        options.cache?.apply(read.records, read.endOffset);
    }
    return untaken;
}

// an exception may have a cause that passes; a record that fails again and again must not keep the later ones back
function isDeliveredAgain(
    options: KeyedFollowerOptions,
    { failedDeliveries }: FollowerPosition,
    record: KeyedRecord,
): boolean {
    const deliveries = (failedDeliveries.get(record.offset) ?? 0) + 1;
    failedDeliveries.set(record.offset, deliveries);
    const isLast = deliveries >= maximumDeliveries;
    const event = isLast ? "record passed over" : "record tried again";
    log.error(event, { topic: options.topic, key: record.key.slice(0, maximumKeyLength), offset: record.offset });
    return !isLast;
}

// whole, as the handler learns from it which keys no longer exist; without the records that it can't take, if there are any
function deliverSnapshot(options: KeyedFollowerOptions, records: readonly KeyedRecord[]): readonly KeyedRecord[] {
    try {
        options.onSnapshot(records);
        return [];
    }
    catch {
        const usable = records.filter(record => tryRecord(options, record));
        if (usable.length === records.length) {
            log.error("newest records not taken as a whole", { topic: options.topic });
            return [];
        }
        const untaken = records.filter(record => !usable.includes(record));
        return [...untaken, ...deliverSnapshot(options, usable)];
    }
}

function tryRecord(options: KeyedFollowerOptions, record: KeyedRecord): boolean {
    try {
        options.onRecords([record]);
        return true;
    }
    catch (error) {
        log.error("record not taken", {
            topic: options.topic,
            key: record.key.slice(0, maximumKeyLength),
            offset: record.offset,
            error: String(error instanceof Error ? error.stack : error).slice(0, maximumDetailLength),
        });
        return false;
    }
}
