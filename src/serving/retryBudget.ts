/**
 * Limits the retries that this instance sends to each service: a ratio of the requests that the instance received
 * itself, and an equal share of a fixed number that all instances may send together. Instances need no messages to keep
 * the total limit.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Limit on the retries of all instances together. */
export interface RetryBudgetOptions {
    /** Length of the sliding window in which requests and retries are counted. */
    readonly window: Milliseconds;
    /** Retries allowed per request of the window. */
    readonly ratio: number;
    /** Retries that all instances together may send in a window in addition. */
    readonly slack: number;
}

/** Retry budgets of all services. */
export interface RetryBudget {
    /** Counts an admitted request, which raises the budget of its service. */
    readonly countRequest: (service: string, now: Milliseconds) => void;
    /** Uses one retry of the service's budget; returns `false` when none is left. */
    readonly take: (service: string, now: Milliseconds) => boolean;
    /** Sets the number of instances among which `slack` is divided. */
    readonly setInstanceCount: (count: number) => void;
}

/**
 * Ratio of the budget that is used. The rest covers windows that an observer starts at other times than this counter.
 */
const usableRatio = 0.8;
/** Buckets per window; counts expire one bucket at a time. */
const bucketCount = 10;

/** Counter of events in the last window. */
interface SlidingWindowCounter {
    readonly add: (now: Milliseconds) => void;
    readonly sum: (now: Milliseconds) => number;
}

/**
 * Creates the budgets of all services; a service is added with its first request.
 *
 * @param options - limit over all instances
 * @returns the budgets, of which an instance needs one object
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const services = new Map<
        string,
        { readonly requests: SlidingWindowCounter; readonly retries: SlidingWindowCounter; }
    >();
    let instanceCount = 1;
    const getCounters = (
        service: string,
    ): { readonly requests: SlidingWindowCounter; readonly retries: SlidingWindowCounter; } => {
        const found = services.get(service) ??
            {
                requests: createSlidingWindowCounter(options.window),
                retries: createSlidingWindowCounter(options.window),
            };
        services.set(service, found);
        return found;
    };
    return {
        countRequest: (service, now) => getCounters(service).requests.add(now),
        take: (service, now) => {
            const counts = getCounters(service);
            const limit = options.ratio * counts.requests.sum(now) + options.slack / instanceCount;
            if (counts.retries.sum(now) + 1 > limit * usableRatio) {
                return false;
            }
            counts.retries.add(now);
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
