/**
 * Decides what the answers to reads of a topic confirm. A read returns so much at most, so that its answer may be a part of
 * what there was; it names the end of the topic at that time. All that was written before the read was sent is known once that
 * end is reached, however far the topic has grown meanwhile: a reader that lags behind steady writes still confirms.
 *
 * @packageDocumentation
 */
import type { ClockReading } from "./freshness.js";
import type { KeyedSnapshot } from "./types.js";

/** Progress of a reader through one topic in one era of the store. */
export interface ReadProgress {
    /**
     * Takes an answer to a read that was sent at a time. Returns the latest time before which all writes are known now;
     * `undefined` where the answer is a part and reaches no end that was named before.
     */
    readonly takeAnswer: (answer: AnswerRange, sentAt: ClockReading) => ClockReading | undefined;
    /** Forgets the ends that were named, as the next answer doesn't continue the last one. */
    readonly reset: () => void;
}

/** How far an answer goes, and how far the topic went. */
export type AnswerRange = Pick<KeyedSnapshot, "endOffset" | "topicEnd">;

interface NamedEnd {
    readonly offset: number;
    readonly sentAt: ClockReading;
}

/** Named ends that are kept; while there are more, later ones are left out, so that what they confirm is confirmed later. */
const maximumNamedEnds = 64;

/**
 * Creates the progress of a reader that has read nothing.
 *
 * @returns the progress, which its reader owns
 */
export function createReadProgress(): ReadProgress {
    let namedEnds: readonly NamedEnd[] = [];
    return {
        takeAnswer: ({ endOffset, topicEnd = endOffset }, sentAt) => {
            if (topicEnd <= endOffset) {
                namedEnds = [];
                return sentAt;
            }
            const reached = namedEnds.findLastIndex(({ offset }) => offset <= endOffset);
            const confirmedAt = namedEnds[reached]?.sentAt;
            namedEnds = namedEnds.slice(reached + 1);
            if (namedEnds.length < maximumNamedEnds) {
                namedEnds = [...namedEnds, { offset: topicEnd, sentAt }];
            }
            return confirmedAt;
        },
        reset: () => {
            namedEnds = [];
        },
    };
}

/** What of a topic a reader has still to read. */
export interface TopicLag {
    readonly records: number;
    /** By the mean size of the records of the last answer. */
    readonly bytes: number;
}

/**
 * Estimates what is left after an answer.
 *
 * @param answer - the answer
 * @returns the records up to the end that it names, and their size; zero after an answer that is whole
 */
export function estimateLag({ records, endOffset, topicEnd = endOffset }: KeyedSnapshot): TopicLag {
    const left = Math.max(0, topicEnd - endOffset);
    const bytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    return { records: left, bytes: Math.round(left * bytes / Math.max(1, records.length)) };
}
