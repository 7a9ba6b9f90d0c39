/**
 * Pseudo-random numbers from a seed, for repeatable runs.
 *
 * @packageDocumentation
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers that yields the same sequence for the same seed. */
export interface SeededRandom {
    /** Draws a number from 0 (included) to 1 (excluded). */
    readonly next: () => number;
    /** Draws an integer from `low` to `high`, both included. */
    readonly between: (low: number, high: number) => number;
    /** Returns true with the given probability. */
    readonly chance: (probability: number) => boolean;
    /** Draws one of the items; the list must not be empty. */
    readonly choose: <Item>(items: readonly Item[]) => Item;
}

const fractionSteps = 2 ** 31;

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - any integer
 * @returns a source at the beginning of the seed's sequence
 */
export function createSeededRandom(seed: number): SeededRandom {
    const generator = xoroshiro128plus(seed);
    const drawBetween = (low: number, high: number): number => uniformInt(generator, low, high);
    const drawFraction = (): number => drawBetween(0, fractionSteps - 1) / fractionSteps;
    return {
        next: drawFraction,
        between: drawBetween,
        chance: probability => drawFraction() < probability,
        choose: items => items[drawBetween(0, items.length - 1)]!,
    };
}
