/**
 * Model of the platform's append-only log service with offsets, retention, an append rate limit, and faults that tests
 * can set.
 *
 * @packageDocumentation
 */
import type { LogError, LogPage, LogRecord, LogService } from "../backends/index.js";
import {
    type Clock,
    type LogOffset,
    type Milliseconds,
    millisecondsPerSecond,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";

/** Options of a log model. */
export interface LogModelOptions {
    readonly clock: Clock;
    /** Limit of appends per second over all streams; a burst of the same size is accepted. @default 300 */
    readonly appendsPerSecond?: number;
    /** Age at which a record expires. @default 3_600_000 */
    readonly retention?: Milliseconds;
    /** Returns the time for `appendedAt`. @default the time of `clock` */
    readonly readWallClock?: () => Milliseconds;
}

/** Faults of the log that a test sets. */
export interface LogFaults {
    /** Answers every call with `unavailable` for a time. */
    readonly startOutage: (duration: Milliseconds) => void;
    /** Delays the processing of every call by a time; 0 turns the delay off. */
    readonly setDelay: (delay: Milliseconds) => void;
    /** Performs the next `count` appends but loses their responses. */
    readonly loseAnswers: (count: number) => void;
    /** Performs the next `count` appends twice each. */
    readonly duplicateAppends: (count: number) => void;
    /** Expires the records of a stream below an offset, regardless of their age. */
    readonly expireBefore: (stream: string, offset: LogOffset) => void;
}

/** Result of a call: `lost` means that the call took effect and its response never reaches the caller. */
export type LogAnswer<Value> =
    | { readonly kind: "answered"; readonly result: Result<Value, LogError>; }
    | { readonly kind: "lost"; };

/** A simulated log service, used by the HTTP stand-in and by the in-memory service. */
export interface LogModel {
    readonly append: (stream: string, payload: Uint8Array) => Promise<LogAnswer<LogOffset>>;
    readonly read: (
        stream: string,
        options: LogModelReadOptions,
    ) => Promise<LogAnswer<LogPage>>;
    readonly faults: LogFaults;
}

/** Options of a read. */
export interface LogModelReadOptions {
    readonly from: LogOffset;
    readonly maximumRecords: number;
    /** Longest time to wait for a record at `from` if there is none; 0 returns at once. */
    readonly waitFor: Milliseconds;
    /** Ends the wait early when aborted. */
    readonly signal: AbortSignal | undefined;
}

interface StreamState {
    records: LogRecord[];
    appendTimes: Milliseconds[];
    head: LogOffset;
    readonly waiters: Set<() => void>;
}

const defaultAppendsPerSecond = 300;
const defaultRetentionMilliseconds = 3_600_000;
const defaultMaximumRecords = 500;

/**
 * Creates a log model.
 *
 * @param options - append rate, retention and clock
 * @returns the model, without records or faults
 */
export function createLogModel(options: LogModelOptions): LogModel {
    const { clock } = options;
    const rate = options.appendsPerSecond ?? defaultAppendsPerSecond;
    const retention = options.retention ?? defaultRetentionMilliseconds;
    const readWallClock = options.readWallClock ?? clock.now;
    const streams = new Map<string, StreamState>();
    let outageUntil: Milliseconds = -Infinity;
    let delay: Milliseconds = 0;
    let answersToLose = 0;
    let appendsToDuplicate = 0;
    let availableAppends = rate;
    let availableAppendsUpdatedAt = clock.now();

    const findOrCreateStream = (name: string): StreamState => {
        const known = streams.get(name);
        if (known) {
            return known;
        }
        const created: StreamState = { records: [], appendTimes: [], head: 0, waiters: new Set() };
        streams.set(name, created);
        return created;
    };
    const expireOldRecords = (stream: StreamState): void => {
        const oldest = clock.now() - retention;
        const kept = stream.appendTimes.findIndex(time => time >= oldest);
        removeRecords(stream, kept < 0 ? stream.records.length : kept);
    };
    const isDown = (): boolean => clock.now() < outageUntil;
    const takeAppendPermit = (): Milliseconds => {
        const now = clock.now();
        availableAppends = Math.min(
            rate,
            availableAppends + (now - availableAppendsUpdatedAt) * rate / millisecondsPerSecond,
        );
        availableAppendsUpdatedAt = now;
        if (availableAppends < 1) {
            return (1 - availableAppends) * millisecondsPerSecond / rate;
        }
        availableAppends--;
        return 0;
    };
    const storeRecord = (stream: StreamState, payload: Uint8Array): LogOffset => {
        const offset = stream.head++;
        stream.records.push({ offset, appendedAt: readWallClock(), payload: Uint8Array.from(payload) });
        stream.appendTimes.push(clock.now());
        return offset;
    };
    const append = async (name: string, payload: Uint8Array): Promise<LogAnswer<LogOffset>> => {
        await sleepIfNeeded(clock, delay);
        if (isDown()) {
            return describeOutage();
        }
        const retryAfter = takeAppendPermit();
        if (retryAfter > 0) {
            return { kind: "answered", result: wrapError({ kind: "rateLimited", retryAfter }) };
        }
        const stream = findOrCreateStream(name);
        const offset = storeRecord(stream, payload);
        if (appendsToDuplicate > 0) {
            appendsToDuplicate--;
            storeRecord(stream, payload);
        }
        wakeWaiters(stream);
        if (answersToLose > 0) {
            answersToLose--;
            return { kind: "lost" };
        }
        return { kind: "answered", result: wrapValue(offset) };
    };
    const read = async (name: string, wanted: LogModelReadOptions): Promise<LogAnswer<LogPage>> => {
        await sleepIfNeeded(clock, delay);
        const stream = findOrCreateStream(name);
        if (!isDown() && wanted.from >= stream.head && wanted.waitFor > 0) {
            await waitForRecord(clock, stream, wanted.waitFor, wanted.signal);
        }
        if (isDown()) {
            return describeOutage();
        }
        expireOldRecords(stream);
        return { kind: "answered", result: readPage(stream, wanted) };
    };
    const wakeAll = (): void => streams.forEach(wakeWaiters);
    return {
        append,
        read,
        faults: {
            startOutage: duration => {
                outageUntil = clock.now() + duration;
                wakeAll();
            },
            setDelay: wanted => delay = wanted,
            loseAnswers: count => answersToLose = count,
            duplicateAppends: count => appendsToDuplicate = count,
            expireBefore: (name, offset) => {
                const stream = findOrCreateStream(name);
                removeRecords(stream, stream.records.filter(record => record.offset < offset).length);
            },
        },
    };
}

/**
 * Creates a log service that calls the model directly, without HTTP, for tests in virtual time.
 *
 * @param model - log model that holds the records
 * @returns the service; a lost response becomes an `unknownOutcome` error
 */
export function createMemoryLogService(model: LogModel): LogService {
    return {
        append: async (stream, payload) => resolveAnswer(await model.append(stream, payload)),
        read: async (stream, wanted) =>
            resolveAnswer(
                await model.read(stream, {
                    from: wanted.from,
                    maximumRecords: wanted.maximumRecords ?? defaultMaximumRecords,
                    waitFor: wanted.waitFor ?? 0,
                    signal: wanted.signal,
                }),
            ),
    };
}

function resolveAnswer<Value>(answer: LogAnswer<Value>): Result<Value, LogError> {
    switch (answer.kind) {
        case "answered":
            return answer.result;
        case "lost":
            return wrapError({ kind: "unknownOutcome", detail: "the response was lost after the call took effect" });
    }
}

function describeOutage<Value>(): LogAnswer<Value> {
    return { kind: "answered", result: wrapError({ kind: "unavailable", detail: "the log service is down" }) };
}

function readPage(stream: StreamState, wanted: LogModelReadOptions): Result<LogPage, LogError> {
    const earliest = stream.head - stream.records.length;
    if (wanted.from < earliest) {
        return wrapError({ kind: "expired", earliest });
    }
    const start = wanted.from - earliest;
    const records = stream.records.slice(start, start + wanted.maximumRecords);
    return wrapValue({ records, earliest, head: stream.head });
}

function removeRecords(stream: StreamState, count: number): void {
    if (count > 0) {
        stream.records = stream.records.slice(count);
        stream.appendTimes = stream.appendTimes.slice(count);
    }
}

function wakeWaiters(stream: StreamState): void {
    for (const wake of stream.waiters) {
        wake();
    }
    stream.waiters.clear();
}

async function waitForRecord(
    clock: Clock,
    stream: StreamState,
    duration: Milliseconds,
    signal: AbortSignal | undefined,
): Promise<void> {
    const woken = new AbortController();
    const wake = (): void => woken.abort();
    stream.waiters.add(wake);
    await clock.sleep(duration, signal ? AbortSignal.any([signal, woken.signal]) : woken.signal);
    stream.waiters.delete(wake);
}

// a sleep of 0 ms would still add a step of virtual time
async function sleepIfNeeded(clock: Clock, duration: Milliseconds): Promise<void> {
    if (duration > 0) {
        await clock.sleep(duration);
    }
}
