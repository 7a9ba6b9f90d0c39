/**
 * Fencing numbers of orders. The store counts the generations of the group within one era and may give one out again after
 * it has come back from an older copy, to another member; a fencing number must never be given to two.
 *
 * @packageDocumentation
 */
import type { StoreEra } from "../serving/storeEras.js";

/** An assignment of shards by the store. */
export interface Assignment {
    /** Era of the store in which the generation holds. @default 0 */
    readonly era?: StoreEra;
    readonly generation: number;
}

/** Generations of one era: with eras below `maximumStoreEra` all fencing numbers are whole numbers without loss. */
const generationsPerEra = 2 ** 32;
/** Highest generation that can be used. */
export const maximumGeneration = generationsPerEra - 1;

/**
 * Computes the fencing number of an assignment: by era, then by generation.
 *
 * @param assignment - era and generation of the store's answer
 * @returns the number, which is the generation itself where the store names no era
 */
export function computeFencingNumber({ era = 0, generation }: Assignment): number {
    return era * generationsPerEra + generation;
}
