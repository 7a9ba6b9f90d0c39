/**
 * Limits the models that this instance lets engines fetch from the weight store to its part of the store's rate.
 *
 * @packageDocumentation
 */
import type { EngineLimits } from "../serving/types.js";
import { type Clock, millisecondsPerSecond } from "../shared/index.js";

/** Limit of model loads. */
export interface ModelLoadLimiter {
    /** Takes one load when the rate allows it. */
    readonly tryAcquire: (limits: EngineLimits) => boolean;
}

/**
 * Creates the limit.
 *
 * @param clock - the present time
 * @param countInstances - instances that share the rate
 * @returns the limit
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
