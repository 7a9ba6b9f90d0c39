/**
 * Popularity of adapters, in expected requests per second. It is estimated over two windows: a long one, which is
 * trusted less once an adapter has had no request for longer than its rate explains, and a short one, which quickly
 * detects an adapter that becomes active again.
 *
 * @packageDocumentation
 */
import type { AdapterId, Milliseconds } from "../shared/index.js";

interface DecayedCounts {
    /** Requests, with exponential decay over the long window. */
    longCount: number;
    /** Requests, with exponential decay over the short window. */
    shortCount: number;
    at: Milliseconds;
}

/** Popularity of all adapters that were requested recently. */
export interface Popularity {
    /** Counts requests for an adapter with the given total weight. */
    readonly add: (adapter: AdapterId, weight: number, now: Milliseconds) => void;
    /** Expected requests per second; 0 for an adapter that isn't known. */
    readonly estimateRate: (adapter: AdapterId, now: Milliseconds) => number;
    /** Removes adapters that had no request for several long windows. */
    readonly prune: (now: Milliseconds) => void;
    readonly list: () => Iterable<AdapterId>;
    readonly size: () => number;
}

/** Windows and prior of the estimate. */
export interface PopularityOptions {
    readonly longWindow: Milliseconds;
    readonly shortWindow: Milliseconds;
    /** Prior odds that an adapter is no longer requested at all. */
    readonly inactiveOdds: number;
}

const millisecondsPerSecond = 1_000;
const windowsBeforePruning = 4;

/**
 * Creates the popularity of adapters without any requests.
 *
 * @param options - windows and prior of the estimate
 * @returns an empty set, owned by the caller
 */
export function createPopularity(options: PopularityOptions): Popularity {
    const countsByAdapter = new Map<AdapterId, DecayedCounts>();
    const { longWindow, shortWindow, inactiveOdds } = options;
    return {
        add: (adapter, weight, now) => {
            const counts = countsByAdapter.get(adapter);
            if (!counts) {
                countsByAdapter.set(adapter, { longCount: weight, shortCount: weight, at: now });
                return;
            }
            counts.longCount = counts.longCount * Math.exp((counts.at - now) / longWindow) + weight;
            counts.shortCount = counts.shortCount * Math.exp((counts.at - now) / shortWindow) + weight;
            counts.at = now;
        },
        estimateRate: (adapter, now) => {
            const counts = countsByAdapter.get(adapter);
            if (!counts) {
                return 0;
            }
            const silence = now - counts.at;
            const longRate = counts.longCount / longWindow;
            // Bayes' rule: the probability that the adapter still has its long-term rate after a silence of this length
            const activeProbability = 1 / (1 + inactiveOdds * Math.exp(longRate * silence));
            // a single request is too little evidence of a new rate, so it is subtracted
            const recentCount = Math.max(0, counts.shortCount * Math.exp(-silence / shortWindow) - 1);
            return millisecondsPerSecond * Math.max(longRate * activeProbability, recentCount / shortWindow);
        },
        prune: now => {
            for (const [adapter, counts] of countsByAdapter) {
                if (now - counts.at > windowsBeforePruning * longWindow) {
                    countsByAdapter.delete(adapter);
                }
            }
        },
        list: () => countsByAdapter.keys(),
        size: () => countsByAdapter.size,
    };
}
