/**
 * Bounds what reads of topics take, page by page: a store that sends pages without end, or very many, must not take the
 * memory of this instance, nor its own time.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Reads of topics in progress. */
export interface TopicReads {
    /** Begins a read; `undefined` while the topic isn't read again, as a read of it has been given up. */
    readonly open: (topic: string, now: Milliseconds) => TopicRead | undefined;
}

/** One read of a topic. */
export interface TopicRead {
    /** Adds a page; returns why the read is given up, or `undefined` when it may go on. */
    readonly addPage: (page: PageSize, now: Milliseconds) => string | undefined;
    /** Ends the read, which counts no longer. */
    readonly close: () => void;
}

/** Size of a page. */
export interface PageSize {
    readonly bytes: number;
    readonly records: number;
}

/** Memory that one read may take. */
export const topicReadBytes = 32 * 1_048_576;
/** Memory that all reads in progress may take: a read that is larger than all others is given up beyond it. */
const allReadsBytes = 2 * topicReadBytes;
/** Memory of the objects of a record beside its bytes. */
const recordObjectBytes = 128;
/** What a page counts at least; one of 500 records, after which the store begins another, has as much. */
const smallestPageBytes = 500 * recordObjectBytes;
/** Time for which a topic isn't read again: a read that is given up takes up to a second of the processor. */
const pauseMilliseconds: Milliseconds = 5_000;

/**
 * Creates the reads, of which none is in progress.
 *
 * @returns the reads, which one client of the store shares
 */
export function createTopicReads(): TopicReads {
    const reads = new Map<TopicRead, number>();
    const pausedUntil = new Map<string, Milliseconds>();
    const sumOthers = (read: TopicRead): readonly [sum: number, largest: number] => {
        const others = [...reads].filter(([other]) => other !== read).map(([, bytes]) => bytes);
        return [others.reduce((sum, bytes) => sum + bytes, 0), Math.max(0, ...others)];
    };
    return {
        open: (topic, now) => {
            if (now < (pausedUntil.get(topic) ?? now)) {
                return undefined;
            }
            const read: TopicRead = {
                addPage: ({ bytes, records }, addedAt) => {
                    const taken = (reads.get(read) ?? 0) +
                        Math.max(smallestPageBytes, bytes + records * recordObjectBytes);
                    reads.set(read, taken);
                    const excess = describeExcess(taken, ...sumOthers(read));
                    if (excess !== undefined) {
                        pausedUntil.set(topic, addedAt + pauseMilliseconds);
                    }
                    return excess;
                },
                close: () => void reads.delete(read),
            };
            return read;
        },
    };
}

function describeExcess(taken: number, others: number, largestOther: number): string | undefined {
    if (taken > topicReadBytes) {
        return `topic of more than ${topicReadBytes} bytes`;
    }
    return taken + others > allReadsBytes && taken >= largestOther
        ? `topics of more than ${allReadsBytes} bytes together`
        : undefined;
}
