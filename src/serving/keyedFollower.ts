/**
 * Follows a keyed topic: reads the newest record of each key, then later records as they are written. Starts again
 * with the newest records when the store no longer has the next offset or refuses the read. A record at which a handler
 * throws is logged and passed over: it stays in the store, so that a follower which stopped there would never go on. An answer
 * that is a part of what there was confirms nothing of it (`readProgress.ts`); where the rest is larger than the newest records
 * of all keys, those are read instead. When the store has come back from an older copy, what was read before is compared with
 * it, and nothing counts as confirmed until its writers have had the time to write again what the copy has lost.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds, type Result, waitUnlessAborted, wrapError } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { type ClockReading, readClocks } from "./freshness.js";
import { createReadProgress, estimateLag, type ReadProgress, type TopicLag } from "./readProgress.js";
import type { StoreEra } from "./storeEras.js";
import type { TopicCache } from "./topicCache.js";
import { createTopicMemory, plainRules, type RestoreRules, type TopicMemory } from "./topicMemory.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot, KeyedTopic, StoreError } from "./types.js";

/** Callbacks of a follower. */
export interface KeyedFollowerHandlers {
    /** Called with the newest records of all keys; other keys no longer exist. */
    readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
    /** Called with later records, in their order. */
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
    /**
     * Called with a time before which all records written have been passed to `onSnapshot` or `onRecords`: after each read
     * that reaches an end which it or an earlier one has named; not while the store's copy may lack some.
     */
    readonly onConfirmed: (sentAt: ClockReading) => void;
    /** The same, also while the store's copy may lack records. @default nobody is told */
    readonly onAnswered?: (sentAt: ClockReading) => void;
    /** Called after each successful read with what is left to read of the topic. @default nobody is told */
    readonly onLag?: (lag: TopicLag) => void;
    /** Describes for the log what is in force of the topic while reads return parts of it. @default nothing */
    readonly describeState?: () => Readonly<Record<string, unknown>>;
    /**
     * Called when the store has come back from an older copy, before `onSnapshot`, with the records that it has lost.
     * @default nobody is told
     */
    readonly onRestored?: (lost: readonly KeyedRecord[]) => void;
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
    /** What of the topic doesn't go back with the store. @default the store's copy is taken as it is */
    readonly rules?: RestoreRules | undefined;
    /** Time from which the store has again all that was written to it, on the monotonic clock. @default it always has */
    readonly readSettledAt?: (() => Milliseconds) | undefined;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
    /** Reads the clocks. @default those of the process */
    readonly readClocks?: () => ClockReading;
}

const initialRetryMilliseconds = 50;
const maximumRetryMilliseconds = 400;
/** Pause between reads of the newest records while the store's copy may lack some. */
const unsettledPauseMilliseconds = 50;
/** Wait of a read while the store's copy may lack records, as the time of its end may become known meanwhile. */
const unsettledWaitMilliseconds = 100;
/** Reads after which a record that can't be taken is passed over. */
const maximumDeliveries = 3;
/** Size of the newest records of all keys in an answer of the store, whose values are in Base64, against that of the values. */
const base64Growth = 4 / 3;
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
    const position: FollowerPosition = {
        nextOffset: undefined,
        era: undefined,
        isNewestComplete: true,
        confirmedAt: Number.NEGATIVE_INFINITY,
        isConfirmed: true,
        isBehind: false,
        progress: createReadProgress(),
        memory: createTopicMemory(options.rules ?? plainRules),
        failedDeliveries: new Map(),
    };
    return { name: `follow ${options.topic}`, run: signal => readTopic(options, position, signal) };
}

interface FollowerPosition {
    /** Offset of the next read; `undefined` to begin with the newest records of all keys. */
    nextOffset: number | undefined;
    /** Era of the last read; `undefined` before the first one. */
    era: StoreEra | undefined;
    /** Whether the last read of the newest records came after the era had settled. */
    isNewestComplete: boolean;
    /** Time up to which the last read knows what was written, on the monotonic clock. */
    confirmedAt: Milliseconds;
    /** Whether the last read confirmed what was passed on. */
    isConfirmed: boolean;
    /** Whether the last answer was a part. */
    isBehind: boolean;
    readonly progress: ReadProgress;
    readonly memory: TopicMemory;
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
        const wait = failures === 0 ? limitWait(options, position) : 0;
        const result = await waitUnlessAborted(readOnce(options, position, wait), signal);
        if (signal.aborted || !result) {
            return;
        }
        if (result.ok) {
            const { endOffset, age } = result.value;
            const isCollected = position.nextOffset === endOffset || age !== undefined || position.isBehind;
            position.nextOffset = isNewestSmaller(position, result.value) ? undefined : endOffset;
            failures = 0;
            if (isSecondReadDue(options, position)) {
                await options.sleep(unsettledPauseMilliseconds, signal);
            }
            if (!isCollected && options.pause) {
                await options.sleep(options.pause, signal);
            }
            continue;
        }
        if (result.error.kind === "restored") {
            log.info("topic read anew", { topic: options.topic, era: result.error.era, offset: position.nextOffset });
            position.nextOffset = undefined;
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
    const { readClocks: readNow = readClocks, readSettledAt = () => Number.NEGATIVE_INFINITY } = options;
    const sentAt = readNow();
    if (isSecondReadDue(options, position) && position.confirmedAt >= readSettledAt()) {
        position.nextOffset = undefined;
    }
    const { nextOffset, progress } = position;
    if (nextOffset === undefined) {
        progress.reset();
    }
    const read = nextOffset === undefined
        ? await options.log.readNewest(options.topic)
        : await options.log.readFrom(options.topic, nextOffset, wait, position.era);
    if (!read.ok) {
        return read;
    }
    const { age = 0, era = 0 } = read.value;
    if (nextOffset !== undefined && era !== position.era) {
        return wrapError({ kind: "restored", era });
    }
    if (isStandingStill(read.value, nextOffset)) {
        // all newest records are read next, which needs no record at this offset
        return wrapError({ kind: "refused", status: 200, detail: "no records before the end that the answer names" });
    }
    const sentBefore = { monotonic: sentAt.monotonic - age, timeOfDay: sentAt.timeOfDay - age };
    const confirmedAt = progress.takeAnswer(read.value, sentBefore);
    const isSettled = confirmedAt !== undefined && confirmedAt.monotonic >= readSettledAt();
    const untaken = nextOffset === undefined
        ? deliverNewest(options, position, read.value, isSettled)
        : deliverLater(options, position, read.value, isSettled);
    position.era = era;
    position.confirmedAt = confirmedAt?.monotonic ?? position.confirmedAt;
    position.isConfirmed = isSettled;
    if (nextOffset === undefined) {
        position.isNewestComplete = isSettled;
    }
    if (untaken.filter(record => isDeliveredAgain(options, position, record)).length > 0) {
        return wrapError({ kind: "unreachable", detail: "a record could not be taken" });
    }
    position.failedDeliveries.clear();
    recordLag(options, position, read.value, sentAt);
    if (confirmedAt) {
        options.cache?.markConfirmed(confirmedAt);
        options.onAnswered?.(confirmedAt);
    }
    if (confirmedAt && isSettled) {
        options.onConfirmed(confirmedAt);
    }
    return read;
}

function isPart({ endOffset, topicEnd = endOffset }: KeyedSnapshot): boolean {
    return topicEnd > endOffset;
}

function isStandingStill(answer: KeyedSnapshot, nextOffset: number | undefined): boolean {
    return isPart(answer) && answer.endOffset === nextOffset;
}

function recordLag(
    options: KeyedFollowerOptions,
    position: FollowerPosition,
    answer: KeyedSnapshot,
    sentAt: ClockReading,
): void {
    const { endOffset, topicEnd = endOffset, era } = answer;
    const lag = estimateLag(answer);
    options.onLag?.(lag);
    if (isPart(answer) || position.isBehind) {
        log.info(isPart(answer) ? "topic read in part" : "topic read to its end", {
            topic: options.topic,
            era,
            offset: endOffset,
            end: topicEnd,
            left: lag.records,
            bytes: lag.bytes,
            // of what was confirmed before, when the read was sent
            age: Math.round(sentAt.monotonic - position.confirmedAt),
            ...options.describeState?.(),
        });
    }
    position.isBehind = isPart(answer);
}

// versions that are out of date already aren't read one after the other; offsets of another instance come whole
function isNewestSmaller({ memory }: FollowerPosition, answer: KeyedSnapshot): boolean {
    return answer.age === undefined && isPart(answer) &&
        estimateLag(answer).bytes > memory.measureBytes() * base64Growth;
}

function isSecondReadDue({ rules }: KeyedFollowerOptions, { isNewestComplete }: FollowerPosition): boolean {
    return !isNewestComplete && rules?.needsSecondRead === true;
}

function limitWait(options: KeyedFollowerOptions, position: FollowerPosition): Milliseconds {
    const { wait, readSettledAt, readClocks: readNow = readClocks } = options;
    const isUnsettled = readSettledAt !== undefined && readNow().monotonic < readSettledAt();
    const isOpen = isUnsettled || !position.isConfirmed || isSecondReadDue(options, position);
    return isOpen ? Math.min(wait, unsettledWaitMilliseconds) : wait;
}

// returns the records that could not be taken
function deliverNewest(
    options: KeyedFollowerOptions,
    position: FollowerPosition,
    { records: copied, endOffset, era = 0, age }: KeyedSnapshot,
    isSettled: boolean,
): readonly KeyedRecord[] {
    const isReturn = position.era !== undefined && era > position.era;
    // a further read of a copy that may lack records takes nothing away either
    const isRestored = isReturn || (!position.isNewestComplete && !isSettled);
    const { records, lost } = position.memory.takeSnapshot(copied, endOffset, isRestored);
    log.info("newest records read", {
        topic: options.topic,
        era,
        endOffset,
        records: copied.length,
        age,
        ...isReturn && { lost: lost.length },
    });
    if (isReturn) {
        position.failedDeliveries.clear();
        options.onRestored?.(lost);
    }
    const untaken = deliverSnapshot(options, records);
    options.cache?.replaceAll(records, endOffset, era);
    return untaken;
}

function deliverLater(
    options: KeyedFollowerOptions,
    position: FollowerPosition,
    read: KeyedSnapshot,
    isSettled: boolean,
): readonly KeyedRecord[] {
    const records = position.memory.takeRecords(read.records, isSettled);
    const untaken = records.filter(record => !tryRecord(options, record));
    if (read.records.length > 0) {
        options.cache?.apply(records, read.endOffset);
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
