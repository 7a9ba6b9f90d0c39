/**
 * Times of the reads of the store's topics, from which follows how old the data of an instance can be. Each promise has a
 * bound from the platform; the lists of hops split it into the parts that add up, and `docs/design/freshness.md` shows
 * them.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { KeyedTopic } from "./types.js";

/** Topics on whose age a promise rests. */
export type TimedTopic = "configuration" | "servers";

/** Bounds of the platform on the time from a change in the store until instances act by it. */
export const promiseBoundMilliseconds: Readonly<Record<TimedTopic, Milliseconds>> = {
    // `config_ms`; `revoke_ms` and `version_ms` rest on the same topic and are longer
    configuration: 2_000,
    // `drain_ms`
    servers: 2_000,
};
/** Time that a follower of the servers waits for more changes: each server writes its entry again and again. */
export const serversPauseMilliseconds = 400;
/** Wait of the store before it answers a read of a reader without news: what a reader passes on is as old as its last read. */
export const readerWaitMilliseconds: Readonly<Record<TimedTopic, Milliseconds>> = { configuration: 400, servers: 200 };
/**
 * Longest time for which a reader delays its response while there is nothing new. It must exceed the time between two
 * confirmations of the reader's data, as the response comes with the next one.
 */
export const relayWaitMilliseconds: Readonly<Record<KeyedTopic, Milliseconds>> = {
    configuration: 700,
    servers: 800,
    instances: 5_000,
    quarantines: 2_000,
};
/** Added to that wait; a reader that takes longer counts as silent. */
export const relayMarginMilliseconds = 250;
/** Age of its data at which a reader stops to pass it on. */
export const readerAgeLimitMilliseconds = 1_100;
/** Time for which a reader whose data is too old waits for its own next read before it says so. */
export const staleWaitMilliseconds = 100;
/** Wait of a read of the store after all readers have failed: the data of this instance has grown old meanwhile. */
export const fallbackWaitMilliseconds = 100;
/** Time for a read of the store by an instance that reaches it, a late event loop included. */
export const storeCallMilliseconds = 250;
/** Time for the repeat of a read that the store has refused, such as with too many calls, or that takes longer. */
export const repeatMilliseconds = 300;
/** Time in which a request that is already on its way reaches its server. */
export const sendMilliseconds = 100;
/** Time for the call to a second reader, beside its wait; there is less of it than for the first one. */
export const secondReaderMarginMilliseconds = 150;
/** Time for a second reader after the first one has failed. */
export const secondReaderMilliseconds = staleWaitMilliseconds + secondReaderMarginMilliseconds;

/**
 * Computes the age of its own data at which an instance waits for no reader any more and reads the store.
 *
 * @param topic - the topic
 * @returns the age in milliseconds
 */
export function computeOwnAgeLimit(topic: TimedTopic): Milliseconds {
    return promiseBoundMilliseconds[topic] - storeCallMilliseconds - repeatMilliseconds - sendMilliseconds;
}

/**
 * Returns whether a promise rests on the age of a topic.
 *
 * @param topic - the topic
 * @returns whether its reads have an age limit
 */
export function isTimedTopic(topic: KeyedTopic): topic is TimedTopic {
    return topic === "configuration" || topic === "servers";
}

/** A part of the longest age of data. */
export interface AgeHop {
    readonly what: string;
    readonly duration: Milliseconds;
}

/**
 * Lists the parts of the longest time from a change in the store until an instance acts by it, in the worst case: its
 * reader stops to pass on news right after it has confirmed its data, and the second reader is of no use. An instance
 * that reads through another one doesn't pause, as the other one does.
 *
 * @returns the parts, in the order in which they pass
 */
export function listRelayedHops(): readonly AgeHop[] {
    return [
        { what: "until the first reader counts as failed", duration: readerAgeLimitMilliseconds },
        { what: "second reader, its wait and the call", duration: secondReaderMilliseconds },
        { what: "own read of the store", duration: storeCallMilliseconds },
        { what: "its repeat", duration: repeatMilliseconds },
        { what: "requests on their way", duration: sendMilliseconds },
    ];
}

/**
 * Lists the parts of that time for an instance that reads the store itself, where news end the wait of a read.
 *
 * @param topic - the topic
 * @returns the parts, in the order in which they pass
 */
export function listDirectHops(topic: TimedTopic): readonly AgeHop[] {
    return [
        { what: "pause after news", duration: topic === "servers" ? serversPauseMilliseconds : 0 },
        { what: "own read of the store", duration: storeCallMilliseconds },
        { what: "its repeat", duration: repeatMilliseconds },
        { what: "requests on their way", duration: sendMilliseconds },
    ];
}

/**
 * Computes the longest time between two confirmations of the data of a reader that reaches the store: its pause after
 * news, and the wait of the next read.
 *
 * @param topic - the topic
 * @returns the time in milliseconds, without that of the calls
 */
export function computeReaderInterval(topic: TimedTopic): Milliseconds {
    return readerWaitMilliseconds[topic] + (topic === "servers" ? serversPauseMilliseconds : 0);
}
