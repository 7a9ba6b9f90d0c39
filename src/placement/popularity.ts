/**
 * Popularity of adapters, in expected requests a second: a long memory that is doubted as soon as an adapter is silent
 * for longer than its rate explains, and a short one for adapters that have just woken up.
 *
 * @packageDocumentation
 */
import type { AdapterId, Milliseconds } from "../shared/index.js";

interface DecayedCounts {
    /** Requests, decayed over the long window. */
    longCount: number;
    /** Requests, decayed over the short window. */
    shortCount: number;
    at: Milliseconds;
}

/** Popularity of all adapters that were asked for lately. */
export interface Popularity {
    readonly add: (adapter: AdapterId, weight: number, now: Milliseconds) => void;
    /** Expected requests a second. */
    readonly estimateRate: (adapter: AdapterId, now: Milliseconds) => number;
    /** Removes adapters that nobody has asked for in a long time. */
    readonly prune: (now: Milliseconds) => void;
    readonly list: () => Iterable<AdapterId>;
    readonly size: () => number;
}

/** Settings of the memories. */
export interface PopularityOptions {
    readonly longWindow: Milliseconds;
    readonly shortWindow: Milliseconds;
    /** Odds, before any silence, that an adapter is not asked for any more. */
    readonly inactiveOdds: number;
}

const millisecondsPerSecond = 1_000;
const windowsBeforePruning = 4;

/**
 * Creates an empty table.
 *
 * @param options - the memories
 * @returns the table
 */
export function createPopularity(options: PopularityOptions): Popularity {
    const countsByAdapter = new Map<AdapterId, DecayedCounts>();
    const { longWindow, shortWindow, inactiveOdds: inactiveOdds } = options;
    return {
        add: (adapter, weight, now) => {
            const known = countsByAdapter.get(adapter);
            if (!known) {
                countsByAdapter.set(adapter, { longCount: weight, shortCount: weight, at: now });
                return;
            }
            known.longCount = known.longCount * Math.exp((known.at - now) / longWindow) + weight;
            known.shortCount = known.shortCount * Math.exp((known.at - now) / shortWindow) + weight;
            known.at = now;
        },
        estimateRate: (adapter, now) => {
            const known = countsByAdapter.get(adapter);
            if (!known) {
                return 0;
            }
            const silence = now - known.at;
            const longRate = known.longCount / longWindow;
            // by Bayes: how likely the adapter still has its rate, after a silence of that length
            const activeProbability = 1 / (1 + inactiveOdds * Math.exp(longRate * silence));
            // one request alone says little, so it does not count
            const recentCount = Math.max(0, known.shortCount * Math.exp(-silence / shortWindow) - 1);
            return millisecondsPerSecond * Math.max(longRate * activeProbability, recentCount / shortWindow);
        },
        prune: now => {
            for (const [adapter, known] of countsByAdapter) {
                if (now - known.at > windowsBeforePruning * longWindow) {
                    countsByAdapter.delete(adapter);
                }
            }
        },
        list: () => countsByAdapter.keys(),
        size: () => countsByAdapter.size,
    };
}
