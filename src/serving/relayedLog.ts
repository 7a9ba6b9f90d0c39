/**
 * Reads the topics of the platform's store through another instance of the same failure domain, so that the calls to
 * the store don't grow with the number of instances. An instance whose readers don't respond, can't read the store or
 * are late reads the store itself before its own data is too old. What a reader answers is as old as the reader's data at
 * that moment plus the time of the call, without the part for which the reader held it back.
 *
 * @packageDocumentation
 */
import {
    type Clock,
    createLogger,
    type InstanceId,
    type Milliseconds,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import {
    computeOwnAgeLimit,
    fallbackWaitMilliseconds,
    isTimedTopic,
    readerAgeLimitMilliseconds,
    readerWaitMilliseconds,
    relayMarginMilliseconds,
    relayWaitMilliseconds,
    secondReaderMilliseconds,
    staleWaitMilliseconds,
} from "./readTiming.js";
import type { RelayMessage } from "./relayMessages.js";
import { createStoreEras, type EraVerdict, isPlausibleRise, type StoreEra, type StoreEras } from "./storeEras.js";
import type { TopicCache } from "./topicCache.js";
import type { KeyedLog, KeyedSnapshot, KeyedTopic, StoreError } from "./types.js";

/** Dependencies of the relayed reads. */
export interface RelayedLogOptions {
    readonly clock: Clock;
    /** The platform's store. */
    readonly store: KeyedLog;
    /** Instances to read from, in the order in which they are tried; none if this instance reads the store itself. */
    readonly listReaders: () => readonly InstanceId[];
    /** Whether other instances read through this one. */
    readonly isReader: () => boolean;
    /** Asks another instance; `undefined` when it doesn't respond in time. */
    readonly ask: (
        reader: InstanceId,
        message: RelayMessage,
        timeout: Milliseconds,
    ) => Promise<RelayMessage | undefined>;
    /** Eras of the store, of which other instances may tell. @default the store names none */
    readonly eras?: Pick<StoreEras, "read" | "observe">;
    /** Answers an instance that asks for the configuration in force here. @default it gets no answer */
    readonly describeConfiguration?: (version: number | undefined) => RelayMessage;
    /** Copies of the topics that this instance follows. */
    readonly caches: Readonly<Record<KeyedTopic, TopicCache>>;
}

/** Reads through other instances, and the reads of others through this one. */
export interface RelayedLog {
    readonly log: KeyedLog;
    /** Answers the read of another instance. */
    readonly handleMessage: (message: RelayMessage) => Promise<RelayMessage | undefined>;
}

/** Time for which a silent reader isn't asked; it doubles while the reader stays silent. */
const initialSilenceMilliseconds = 1_000;
const maximumSilenceMilliseconds = 16_000;
/** Time below which no reader is asked: its answer would come too late. */
const shortestAskMilliseconds = staleWaitMilliseconds + 50;
const log = createLogger("serving");

/** Where a read begins. */
interface ReadPosition {
    /** `undefined` for the newest records of all keys. */
    readonly offset: number | undefined;
    /** Era in which the offset was given out. */
    readonly era: StoreEra;
}

interface SilentReader {
    readonly until: Milliseconds;
    readonly duration: Milliseconds;
}

/**
 * Creates the relayed reads.
 *
 * @param options - the store, the readers and the copies of this instance
 * @returns the log for the followers of this instance, and the handler for the reads of others
 */
export function createRelayedLog(options: RelayedLogOptions): RelayedLog {
    const { clock, store, eras = createStoreEras() } = options;
    const silent = new Map<InstanceId, SilentReader>();
    const markSilent = (reader: InstanceId, topic: KeyedTopic, reason: string): void => {
        const previous = silent.get(reader)?.duration ?? initialSilenceMilliseconds / 2;
        const duration = Math.min(maximumSilenceMilliseconds, previous * 2);
        silent.set(reader, { until: clock.now() + duration, duration });
        log.warn("reader not used", { reader, topic, reason, duration });
    };
    const isUsable = (reader: InstanceId): boolean => (silent.get(reader)?.until ?? 0) <= clock.now();
    const readThrough = async (
        reader: InstanceId,
        topic: KeyedTopic,
        { offset, era }: ReadPosition,
        wait: Milliseconds,
        timeout: Milliseconds,
    ): Promise<Result<KeyedSnapshot, StoreError> | undefined> => {
        const sentAt = clock.now();
        const message = { kind: "read", topic, offset, wait, ...offset !== undefined && era > 0 && { era } } as const;
        const response = await options.ask(reader, message, timeout);
        if (response?.kind === "expired") {
            return wrapError({ kind: "expired" });
        }
        if (response?.kind !== "records") {
            markSilent(reader, topic, response?.kind ?? "no response");
            return undefined;
        }
        const readEra = response.era ?? 0;
        // one that names no era is of an earlier build or has seen none: past as soon as this instance knows one
        const verdict = checkEra(response.era);
        if (verdict === "past" || verdict === "doubtful") {
            markSilent(reader, topic, `data of era ${readEra}`);
            return undefined;
        }
        if (offset !== undefined && eras.read() > era) {
            return wrapError({ kind: "restored", era: eras.read() });
        }
        // the time that the reader held the call back is part of the age at its answer
        const took = clock.now() - sentAt;
        const held = Math.min(response.held ?? 0, took);
        const receivedAge = response.age + took - held;
        if (isTimedTopic(topic) && receivedAge > readerAgeLimitMilliseconds + relayMarginMilliseconds) {
            markSilent(reader, topic, `data ${Math.round(receivedAge)} ms old`);
            return undefined;
        }
        silent.delete(reader);
        const records = response.records.map(([key, value, recordOffset]) => ({ key, value, offset: recordOffset }));
        return wrapValue({
            records,
            endOffset: response.endOffset,
            era: readEra,
            age: Math.max(0, response.age - held),
        });
    };
    // another instance is no second witness of an era that is far off
    const checkEra = (era: StoreEra | undefined): EraVerdict => {
        if (era === undefined && eras.read() === 0) {
            return "present";
        }
        return isPlausibleRise(eras.read(), era ?? 0) ? eras.observe(era ?? 0) : "doubtful";
    };
    // the time by which the store must be read, whatever the readers do
    const computeDeadline = (topic: KeyedTopic): Milliseconds => {
        const age = options.caches[topic].readAge();
        return isTimedTopic(topic) && Number.isFinite(age)
            ? clock.now() + computeOwnAgeLimit(topic) - age
            : Number.POSITIVE_INFINITY;
    };
    const readFromAny = async (
        readers: readonly InstanceId[],
        topic: KeyedTopic,
        position: ReadPosition,
        wait: Milliseconds,
    ): Promise<Result<KeyedSnapshot, StoreError> | undefined> => {
        const deadline = computeDeadline(topic);
        // after a reader has failed, the next one is asked for what it knows now, as time has passed
        let longestWait = Math.min(wait, relayWaitMilliseconds[topic]);
        for (const [index, reader] of readers.entries()) {
            const reserve = index < readers.length - 1 ? secondReaderMilliseconds : 0;
            const timeout = Math.min(longestWait + relayMarginMilliseconds, deadline - clock.now() - reserve);
            if (timeout < shortestAskMilliseconds) {
                return undefined;
            }
            const shortestWait = Math.min(longestWait, staleWaitMilliseconds);
            const relayWait = Math.max(shortestWait, timeout - relayMarginMilliseconds);
            const read = await readThrough(reader, topic, position, relayWait, timeout);
            if (read) {
                return read;
            }
            longestWait = shortestWait;
        }
        return undefined;
    };
    const limitWait = (topic: KeyedTopic, wait: Milliseconds, hasAsked: boolean): Milliseconds => {
        if (!isTimedTopic(topic)) {
            return wait;
        }
        if (hasAsked) {
            return Math.min(wait, fallbackWaitMilliseconds);
        }
        const isRelayed = options.isReader() || options.listReaders().length > 0;
        return isRelayed ? Math.min(wait, readerWaitMilliseconds[topic]) : wait;
    };
    const listUsableReaders = (): readonly InstanceId[] => options.listReaders().filter(isUsable);
    return {
        log: {
            readNewest: async topic =>
                await readFromAny(listUsableReaders(), topic, { offset: undefined, era: eras.read() }, 0) ??
                    store.readNewest(topic),
            readFrom: async (topic, offset, wait, era = eras.read()) => {
                if (eras.read() > era) {
                    return wrapError({ kind: "restored", era: eras.read() });
                }
                const readers = listUsableReaders();
                return await readFromAny(readers, topic, { offset, era }, wait) ??
                    store.readFrom(topic, offset, limitWait(topic, wait, readers.length > 0), era);
            },
            append: store.append,
        },
        handleMessage: async message => {
            switch (message.kind) {
                case "read":
                    return respondToRead(clock, options.caches[message.topic], message);
                case "askConfiguration":
                    return options.describeConfiguration?.(message.version);
                case "records":
                case "configuration":
                case "expired":
                case "unavailable":
                    return undefined;
            }
        },
    };
}

// the response comes with news or a confirmation, at the end of the wait, or when this instance can't read
async function respondToRead(
    clock: Clock,
    cache: TopicCache,
    { topic, offset, era, wait }: Extract<RelayMessage, { readonly kind: "read"; }>,
): Promise<RelayMessage> {
    const isTimed = isTimedTopic(topic);
    const ageLimit = isTimed ? readerAgeLimitMilliseconds : Number.POSITIVE_INFINITY;
    const receivedAt = clock.now();
    const until = receivedAt + Math.min(wait, relayWaitMilliseconds[topic]);
    // a call that has been held back ends when the data grows too old; one that comes later waits for the next read
    const staleUntil = cache.readAge() > ageLimit ? Math.min(until, receivedAt + staleWaitMilliseconds) : receivedAt;
    const confirmations = cache.countConfirmations();
    for (;;) {
        const now = clock.now();
        const age = cache.readAge();
        const isStale = age > ageLimit;
        if (isTimed && (cache.isFailing() || (isStale && now >= staleUntil))) {
            return { kind: "unavailable" };
        }
        const news = isStale ? undefined : cache.read(offset, era);
        // what an instance that is ahead of this one asks for comes with the next read
        if (news && (news.kind !== "unavailable" || !isTimed || now >= until)) {
            return markHeld(news, now - receivedAt);
        }
        const isConfirmed = isTimed && cache.countConfirmations() > confirmations;
        if (!news && !isStale && (isConfirmed || now >= until)) {
            return markHeld(cache.describeUnchanged(), now - receivedAt);
        }
        const end = isStale ? staleUntil : Math.min(until, now + ageLimit - age + 1);
        await waitForChange(clock, cache, Math.max(1, end - now));
    }
}

function markHeld(message: RelayMessage, held: Milliseconds): RelayMessage {
    return message.kind === "records" ? { ...message, held } : message;
}

function waitForChange(clock: Clock, cache: TopicCache, duration: Milliseconds): Promise<void> {
    return new Promise(resolve => {
        const cancel = new AbortController();
        const forget = cache.onChange(() => {
            cancel.abort();
            resolve();
        });
        const finish = (): void => {
            forget();
            resolve();
        };
        const waitAndFinish = async (): Promise<void> => {
            await clock.sleep(duration, cancel.signal);
            finish();
        };
        startTask("wait of a relayed read", waitAndFinish, finish);
    });
}
