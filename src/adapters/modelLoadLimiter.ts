/**
 * Rate limiter for base model loads: keeps this instance within its share of the weight store's model load rate.
 *
 * @packageDocumentation
 */
import type { EngineLimits } from "../serving/types.js";
import { type Clock, millisecondsPerSecond } from "../shared/index.js";

/** Rate limiter for loads of base models from the weight store. */
export interface ModelLoadLimiter {
    /** Reserves one load and returns `true`, or returns `false` when the rate doesn't allow one now. */
    readonly tryAcquire: (limits: EngineLimits) => boolean;
}

/**
 * Creates a limiter that allows the first load at once.
 *
 * @param clock - source of the current time
 * @param countInstances - returns the number of instances that share the rate, this one included
 * @returns the limiter
 */
export function createModelLoadLimiter(clock: Clock, countInstances: () => number): ModelLoadLimiter {
    let nextAt = Number.NEGATIVE_INFINITY;
    return {
        tryAcquire: limits => {
            const now = clock.now();
            if (now < nextAt) {
                return false;
            }
            nextAt = now + millisecondsPerSecond * countInstances() / Math.max(limits.modelLoadsPerSecond, 0.01);
            return true;
        },
    };
}
