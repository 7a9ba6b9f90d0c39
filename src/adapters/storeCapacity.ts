/**
 * Estimates how many adapter loads the weight store serves at full speed at the same time. The store doesn't publish
 * this number, so it is derived from load durations: when the store splits its bandwidth among too many concurrent
 * loads, each takes longer than the fastest known load, in proportion to their number.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Running estimate of the weight store's capacity and load duration. */
export interface StoreCapacity {
    /** Number of concurrent loads that the store serves at full speed; not rounded. */
    readonly readLimit: () => number;
    /** Updates the estimate with a completed load and the mean number of loads in flight while it ran. */
    readonly recordLoad: (took: Milliseconds, meanInFlight: number) => void;
    /** Duration of a load while the store is below its capacity. */
    readonly readBaseDuration: () => Milliseconds;
    /** Expected duration of a load while the given number of loads, this one included, is in flight. */
    readonly estimateDuration: (inFlight: number) => Milliseconds;
}

const initialCapacity = 10;
const minimumCapacity = 2;
const maximumCapacity = 256;
const initialBaseDurationMilliseconds = 250;
/** Ratio of a load's duration to the base duration above which the store counts as overloaded. */
const overloadFactor = 1.15;
/** Fraction of the estimated capacity that must be in use before a fast load raises the estimate. */
const saturationFraction = 0.8;
const initialGrowthFactor = 1.5;
/** Smaller growth once an overload was observed, because the estimate is then close to the real capacity. */
const growthFactorAfterOverload = 1.05;
const smoothingWeight = 0.25;
/** Ratio to the base duration up to which a load counts as running at full speed. */
const baseToleranceFactor = 1.05;
/** Lowers the base duration below the observed ones, because a load's end is only observed at the next poll. */
const baseDecayFactor = 0.998;
/** Raises the base duration when a load took longer although the store was below its capacity. */
const baseGrowthFactor = 1.01;

/**
 * Creates an estimate that starts from a low capacity.
 *
 * @returns the estimate; the caller feeds it with completed loads
 */
export function createStoreCapacity(): StoreCapacity {
    let capacity = initialCapacity;
    let baseDuration: Milliseconds | undefined;
    let wasOverloaded = false;
    const readBaseDuration = (): Milliseconds => baseDuration ?? initialBaseDurationMilliseconds;
    return {
        readLimit: () => capacity,
        readBaseDuration,
        recordLoad: (took, meanInFlight) => {
            const isSaturated = meanInFlight >= capacity * saturationFraction;
            baseDuration = updateBaseDuration(baseDuration ?? took, took, isSaturated);
            if (took > baseDuration * overloadFactor && meanInFlight > minimumCapacity) {
                const measured = meanInFlight * baseDuration / took;
                wasOverloaded = true;
                capacity += (measured - capacity) * smoothingWeight;
            }
            else if (isSaturated && took <= baseDuration * baseToleranceFactor) {
                capacity *= wasOverloaded ? growthFactorAfterOverload : initialGrowthFactor;
            }
            capacity = Math.min(maximumCapacity, Math.max(minimumCapacity, capacity));
        },
        estimateDuration: inFlight => readBaseDuration() * Math.max(1, inFlight / capacity),
    };
}

function updateBaseDuration(baseDuration: Milliseconds, took: Milliseconds, isSaturated: boolean): Milliseconds {
    if (took <= baseDuration * baseToleranceFactor) {
        return Math.min(baseDuration, took) * baseDecayFactor;
    }
    return isSaturated ? baseDuration : baseDuration * baseGrowthFactor;
}
