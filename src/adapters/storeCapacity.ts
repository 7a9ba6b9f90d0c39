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
    readonly read: () => number;
    /** Takes in a load that has ended, and the mean count of loads on their way in its time. */
    readonly addLoad: (took: Milliseconds, meanInFlight: number) => void;
    /** Time that a load takes when the store has room. */
    readonly readQuickest: () => Milliseconds;
    /** Time that a load takes while so many are on their way. */
    readonly estimateDuration: (inFlight: number) => Milliseconds;
}

const firstCapacity = 10;
const leastCapacity = 2;
const mostCapacity = 256;
const firstDurationMilliseconds = 250;
/** Time against the quickest load from which the store counts as overloaded. */
const slowFactor = 1.15;
/** Part of the capacity that was in use when a quick load says that there is more. */
const fullPart = 0.8;
const firstGrowth = 1.5;
/** Growth after the store was slow once, when its capacity is about known. */
const laterGrowth = 1.05;
const estimateWeight = 0.25;
/** A load counts as one of the quickest up to this time against them. */
const quickFactor = 1.05;
/** The quickest time is sought below what was seen, as loads are seen to end when they are polled. */
const baseFall = 0.998;
/** Rise when a load took longer though the store had room. */
const baseRise = 1.01;

/**
 * Creates the estimate.
 *
 * @returns a cautious first estimate
 */
export function createStoreCapacity(): StoreCapacity {
    let capacity = firstCapacity;
    let base: Milliseconds | undefined;
    let wasSlow = false;
    const readQuickest = (): Milliseconds => base ?? firstDurationMilliseconds;
    return {
        read: () => capacity,
        readQuickest,
        addLoad: (took, meanInFlight) => {
            const isFull = meanInFlight >= capacity * fullPart;
            base = updateBase(base ?? took, took, isFull);
            if (took > base * slowFactor && meanInFlight > leastCapacity) {
                const measured = meanInFlight * base / took;
                wasSlow = true;
                capacity += (measured - capacity) * estimateWeight;
            }
            else if (isFull && took <= base * quickFactor) {
                capacity *= wasSlow ? laterGrowth : firstGrowth;
            }
            capacity = Math.min(mostCapacity, Math.max(leastCapacity, capacity));
        },
        estimateDuration: inFlight => readQuickest() * Math.max(1, inFlight / capacity),
    };
}

function updateBase(base: Milliseconds, took: Milliseconds, isFull: boolean): Milliseconds {
    if (took <= base * quickFactor) {
        return Math.min(base, took) * baseFall;
    }
    return isFull ? base : base * baseRise;
}
