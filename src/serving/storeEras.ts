/**
 * Eras of the platform's store. The store may come back from a copy some seconds old, and then has lost what was written
 * since; each time its era rises. What the store has said holds within one era: offsets and generations of the group
 * are given out again in the next one.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds } from "../shared/index.js";

/** Number of an era; 0 while the store names none. */
export type StoreEra = number;

/** What an answer's era tells: `past` when the store has come back since the answer was made. */
export type EraVerdict = "present" | "risen" | "past";

/** The newest era that this instance knows. */
export interface StoreEras {
    /** Returns the newest era. */
    readonly read: () => StoreEra;
    /** Returns when this instance first saw the newest era, on the monotonic clock. */
    readonly readSeenAt: () => Milliseconds;
    /** Compares the era of an answer, and takes it over where it is newer. */
    readonly observe: (era: StoreEra) => EraVerdict;
    /** Calls back after each rise until the returned function is called. */
    readonly onRise: (callback: (era: StoreEra) => void) => () => void;
}

/** Highest era that can be used, so that a generation within it still fits into one fencing number. */
export const maximumStoreEra: StoreEra = 2 ** 20 - 1;
const log = createLogger("serving");

/**
 * Creates the eras of an instance that knows none.
 *
 * @param now - reads the monotonic clock
 * @returns the eras, of which an instance needs one object
 */
export function createStoreEras(now: () => Milliseconds = () => performance.now()): StoreEras {
    let newest: StoreEra = 0;
    let seenAt = Number.NEGATIVE_INFINITY;
    const listeners = new Set<(era: StoreEra) => void>();
    return {
        read: () => newest,
        readSeenAt: () => seenAt,
        observe: era => {
            if (era <= newest) {
                return era < newest ? "past" : "present";
            }
            log.info("store era", { era, previous: newest });
            newest = era;
            seenAt = now();
            [...listeners].forEach(callback => callback(era));
            return "risen";
        },
        onRise: callback => {
            listeners.add(callback);
            return () => void listeners.delete(callback);
        },
    };
}
