/**
 * Remembers which share of an account's rate a bucket has given, so that what the rate gave while an instance started isn't
 * given out twice: in a planned stop the others get the share of the one that stops, after a crash nobody does.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Shares of one bucket, by time. */
export interface ShareHistory {
    /** Records the share that is given from now on. */
    readonly record: (share: number, now: Milliseconds) => void;
    /**
     * Measures the time, weighted by the share, for which a part of the rate wasn't given.
     *
     * @param since - begin of the time
     * @param until - end of the time
     * @param part - share of the rate that is asked for, 0 to 1
     * @returns at most `part` of the time
     */
    readonly measureSpare: (since: Milliseconds, until: Milliseconds, part: number) => Milliseconds;
}

interface ShareChange {
    readonly at: Milliseconds;
    readonly share: number;
}

/** Time for which changes are remembered, longer than a start takes. */
const memoryMilliseconds: Milliseconds = 30_000;

/**
 * Creates the history of a bucket that begins now.
 *
 * @param previousShare - what was given before: 0 where nobody decided, else the share of the previous holder's bucket
 * @returns the history, owned by the caller
 */
export function createShareHistory(previousShare: number): ShareHistory {
    let changes: ShareChange[] = [{ at: Number.NEGATIVE_INFINITY, share: previousShare }];
    return {
        record: (share, now) => {
            if (changes.at(-1)!.share === share) {
                return;
            }
            changes.push({ at: now, share });
            // the last one before the time that is remembered says what was given at its begin
            const first = changes.findLastIndex(({ at }) => at <= now - memoryMilliseconds);
            changes = changes.slice(Math.max(0, first));
        },
        measureSpare: (since, until, part) =>
            changes.reduce((sum, { at, share }, index) => {
                const begin = Math.max(since, index === 0 ? Number.NEGATIVE_INFINITY : at);
                const end = Math.min(until, changes[index + 1]?.at ?? Number.POSITIVE_INFINITY);
                return sum + Math.max(0, end - begin) * Math.min(part, Math.max(0, 1 - share));
            }, 0),
    };
}
