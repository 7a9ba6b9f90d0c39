/**
 * Reads the topics of the platform's store through another instance of the same failure domain, so that the calls to
 * the store don't grow with the number of instances. An instance whose readers don't respond, or whose data is too old,
 * reads the store itself. What a reader answers is as old as its own data plus the whole time of the call.
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
import type { RelayMessage } from "./relayMessages.js";
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
    /** Copies of the topics that this instance follows. */
    readonly caches: Readonly<Record<KeyedTopic, TopicCache>>;
}

/** Reads through other instances, and the reads of others through this one. */
export interface RelayedLog {
    readonly log: KeyedLog;
    /** Answers the read of another instance. */
    readonly handleMessage: (message: RelayMessage) => Promise<RelayMessage | undefined>;
}

/**
 * Time for which a reader delays its response while there is nothing new. Keys and routes must be known to be current;
 * a late entry of a server or an instance only makes a request go to another one first.
 */
const relayWaitMilliseconds: Readonly<Record<KeyedTopic, Milliseconds>> = {
    configuration: 400,
    servers: 1_000,
    instances: 5_000,
    quarantines: 2_000,
};
/** Topics that are read seldom; nothing depends on the age of their data. */
const seldomReadTopics: ReadonlySet<KeyedTopic> = new Set(["instances", "quarantines"]);
/** Added to that wait; a reader that takes longer counts as silent. */
const relayMarginMilliseconds = 250;
/** Wait of the reads of a reader: what it answers is as old as its last read. */
const readerWaitMilliseconds = 500;
/** Wait of a read after all readers have failed: the data of this instance has grown old meanwhile. */
const fallbackWaitMilliseconds = 100;
/** Age of a reader's data above which it isn't used: its own reads of the store fail. */
const readerAgeLimitMilliseconds = 1_700;
/** Time for which a silent reader isn't asked; it doubles while the reader stays silent. */
const initialSilenceMilliseconds = 1_000;
const maximumSilenceMilliseconds = 16_000;
const log = createLogger("serving");

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
    const { clock, store } = options;
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
        offset: number | undefined,
        wait: Milliseconds,
    ): Promise<Result<KeyedSnapshot, StoreError> | undefined> => {
        const response = await options.ask(
            reader,
            { kind: "read", topic, offset, wait },
            wait + relayMarginMilliseconds,
        );
        if (response?.kind === "expired") {
            return wrapError({ kind: "expired" });
        }
        if (response?.kind !== "records") {
            markSilent(reader, topic, response?.kind ?? "no response");
            return undefined;
        }
        if (!seldomReadTopics.has(topic) && response.age > readerAgeLimitMilliseconds) {
            markSilent(reader, topic, `data ${Math.round(response.age)} ms old`);
            return undefined;
        }
        silent.delete(reader);
        const records = response.records.map(([key, value, recordOffset]) => ({ key, value, offset: recordOffset }));
        return wrapValue({ records, endOffset: response.endOffset, age: response.age });
    };
    const readFromAny = async (
        topic: KeyedTopic,
        offset: number | undefined,
        wait: Milliseconds,
    ): Promise<Result<KeyedSnapshot, StoreError> | undefined> => {
        // after a reader has failed, the next one is asked for what it knows now, as time has passed
        let relayWait = Math.min(wait, relayWaitMilliseconds[topic]);
        for (const reader of options.listReaders().filter(isUsable)) {
            const read = await readThrough(reader, topic, offset, relayWait);
            if (read) {
                return read;
            }
            relayWait = 0;
        }
        return undefined;
    };
    const limitWait = (topic: KeyedTopic, wait: Milliseconds): Milliseconds => {
        if (seldomReadTopics.has(topic)) {
            return wait;
        }
        if (options.listReaders().length > 0) {
            return Math.min(wait, fallbackWaitMilliseconds);
        }
        return options.isReader() ? Math.min(wait, readerWaitMilliseconds) : wait;
    };
    const waitForChange = (cache: TopicCache, duration: Milliseconds): Promise<void> =>
        new Promise(resolve => {
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
    return {
        log: {
            readNewest: async topic => await readFromAny(topic, undefined, 0) ?? store.readNewest(topic),
            readFrom: async (topic, offset, wait) =>
                await readFromAny(topic, offset, wait) ?? store.readFrom(topic, offset, limitWait(topic, wait)),
            append: store.append,
        },
        handleMessage: async message => {
            if (message.kind !== "read") {
                return undefined;
            }
            const cache = options.caches[message.topic];
            const present = cache.read(message.offset);
            if (present) {
                return present;
            }
            const until = clock.now() + Math.min(message.wait, relayWaitMilliseconds[message.topic]);
            let response: RelayMessage | undefined;
            while (!response && clock.now() < until) {
                await waitForChange(cache, until - clock.now());
                response = cache.read(message.offset);
            }
            return response ?? cache.describeUnchanged();
        },
    };
}
