/**
 * How many adapters the weight store loads at full speed. It isn't told; it follows from how long loads take against the
 * quickest ones, and how many were on their way meanwhile: a store that shares its speed takes longer in proportion.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Estimate of the store's capacity. */
export interface StoreCapacity {
    /** Loads at full speed. */
    readonly readLimit: () => number;
    /** Takes in a load that has ended, and the mean count of loads on their way in its time. */
    readonly recordLoad: (took: Milliseconds, meanInFlight: number) => void;
    /** Time that a load takes when the store has room. */
    readonly readBaseDuration: () => Milliseconds;
    /** Time that a load takes while so many are on their way. */
    readonly estimateDuration: (inFlight: number) => Milliseconds;
}

const initialCapacity = 10;
const minimumCapacity = 2;
const maximumCapacity = 256;
const initialBaseDurationMilliseconds = 250;
/** Time against the quickest load from which the store counts as overloaded. */
const overloadFactor = 1.15;
/** Part of the capacity that was in use when a quick load says that there is more. */
const saturationFraction = 0.8;
const initialGrowthFactor = 1.5;
/** Growth after the store was slow once, when its capacity is about known. */
const growthFactorAfterOverload = 1.05;
const smoothingWeight = 0.25;
/** A load counts as one of the quickest up to this time against them. */
const baseToleranceFactor = 1.05;
/** The quickest time is sought below what was seen, as loads are seen to end when they are polled. */
const baseDecayFactor = 0.998;
/** Rise when a load took longer though the store had room. */
const baseGrowthFactor = 1.01;

/**
 * Creates the estimate.
 *
 * @returns a cautious first estimate
 */
export function createStoreCapacity(): StoreCapacity {
    let capacity = initialCapacity;
    let baseDuration: Milliseconds | undefined;
    let wasOverloaded = false;
    const readBaseDuration = (): Milliseconds => baseDuration ?? initialBaseDurationMilliseconds;
    return {
        readLimit: () => capacity,
        readBaseDuration: readBaseDuration,
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
