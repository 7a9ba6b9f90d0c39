/**
 * Repeats that this instance may send to a service: a part of the requests that it had itself, and its share of the slack
 * that all instances have together. Needs no messages.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Settings of the budget. */
export interface RetryBudgetOptions {
    readonly window: Milliseconds;
    readonly ratio: number;
    readonly slack: number;
}

/** Budget of all services. */
export interface RetryBudget {
    readonly countRequest: (service: string, now: Milliseconds) => void;
    /** Takes one repeat when there is one. */
    readonly take: (service: string, now: Milliseconds) => boolean;
    readonly setInstanceCount: (count: number) => void;
}

/** Part of the budget that is used; the rest covers windows that don't begin with ours. */
const usableRatio = 0.8;
const bucketCount = 10;

interface SlidingWindowCounter {
    readonly add: (now: Milliseconds) => void;
    readonly sum: (now: Milliseconds) => number;
}

/**
 * Creates the budget.
 *
 * @param options - window, ratio and slack over all instances
 * @returns the budget
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const services = new Map<
        string,
        { readonly requests: SlidingWindowCounter; readonly repeats: SlidingWindowCounter; }
    >();
    let instanceCount = 1;
    const findCounters = (
        service: string,
    ): { readonly requests: SlidingWindowCounter; readonly repeats: SlidingWindowCounter; } => {
        const found = services.get(service) ??
            {
                requests: createSlidingWindowCounter(options.window),
                repeats: createSlidingWindowCounter(options.window),
            };
        services.set(service, found);
        return found;
    };
    return {
        countRequest: (service, now) => findCounters(service).requests.add(now),
        take: (service, now) => {
            const counts = findCounters(service);
            const limit = options.ratio * counts.requests.sum(now) + options.slack / instanceCount;
            if (counts.repeats.sum(now) + 1 > limit * usableRatio) {
                return false;
            }
            counts.repeats.add(now);
            return true;
        },
        setInstanceCount: count => {
            instanceCount = Math.max(1, count);
        },
    };
}

function createSlidingWindowCounter(window: Milliseconds): SlidingWindowCounter {
    const width = window / bucketCount;
    const buckets = new Map<number, number>();
    const prune = (now: Milliseconds): void => {
        const oldest = Math.floor(now / width) - bucketCount;
        for (const index of buckets.keys()) {
            if (index < oldest) {
                buckets.delete(index);
            }
        }
    };
    return {
        add: now => {
            prune(now);
            const index = Math.floor(now / width);
            buckets.set(index, (buckets.get(index) ?? 0) + 1);
        },
        sum: now => {
            prune(now);
            return [...buckets.values()].reduce((total, count) => total + count, 0);
        },
    };
}
