/**
 * Eras of the platform's store. The store may come back from a copy some seconds old, and then has lost what was written
 * since; each time its era rises. What the store has said holds within one era: offsets and generations of the group
 * are given out again in the next one.
 *
 * Words used for it: the store *returns* from a copy; an instance *sees a rise* when an answer first names the new era; a topic
 * is *restored* when its follower reads the copy; an era is *settled* when the writers have had the time to write again.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";

/** Number of an era; 0 while the store names none. */
export type StoreEra = number;

/**
 * What an answer's era tells: `past` when the store has come back since the answer was made, `doubtful` when the era is far
 * above the newest one and no other answer has named it.
 */
export type EraVerdict = "present" | "risen" | "past" | "doubtful";

/** The newest era that this instance knows. */
export interface StoreEras {
    /** Returns the newest era; 0 before one was named. */
    readonly read: () => StoreEra;
    /** Returns when this instance first saw the newest era, on the monotonic clock. */
    readonly readSeenAt: () => Milliseconds;
    /** Judges the era of an answer of the store, and takes it over where it is newer and not doubtful. */
    readonly observe: (era: StoreEra) => EraVerdict;
    /** Returns the number of rises, the first era that was named included. */
    readonly countRises: () => number;
    /** Calls back after each rise until the returned function is called. */
    readonly onRise: (callback: (era: StoreEra) => void) => () => void;
}

/** Highest era that can be used, so that a generation within it still fits into one fencing number. */
export const maximumStoreEra: StoreEra = 2 ** 20 - 1;
/** Returns of the store between two answers beyond which the second one may be damaged. */
const plausibleRise = 1_000;
const log = createLogger("serving");

/**
 * Creates the eras of an instance that knows none.
 *
 * @param now - reads the monotonic clock
 * @returns the eras, of which an instance needs one object
 */
export function createStoreEras(now: () => Milliseconds = () => performance.now()): StoreEras {
    let newest: StoreEra | undefined;
    let doubted: StoreEra | undefined;
    let rises = 0;
    let seenAt = Number.NEGATIVE_INFINITY;
    const listeners = new Set<(era: StoreEra) => void>();
    return {
        read: () => newest ?? 0,
        readSeenAt: () => seenAt,
        countRises: () => rises,
        observe: era => {
            if (newest !== undefined && era <= newest) {
                doubted = era === newest ? undefined : doubted;
                return era < newest ? "past" : "present";
            }
            if (!isPlausibleRise(newest ?? 0, era) && era !== doubted) {
                log.warn("store era doubted", { era, newest });
                doubted = era;
                return "doubtful";
            }
            log.info("store era", { era, previous: newest });
            newest = era;
            doubted = undefined;
            rises++;
            seenAt = now();
            [...listeners].forEach(callback => callGuarded("rise of the store's era", () => callback(era)));
            return "risen";
        },
        onRise: callback => {
            listeners.add(callback);
            return () => void listeners.delete(callback);
        },
    };
}

/**
 * Tells whether the store can have returned so often between two answers.
 *
 * @param known - era that is known
 * @param named - era that another answer names
 * @returns whether the other one may be right; a damaged one is mostly far off
 */
export function isPlausibleRise(known: StoreEra, named: StoreEra): boolean {
    return named - known <= plausibleRise;
}

/**
 * Waits until the store has come back, or has named its first era.
 *
 * @param eras - eras of the store
 * @param rises - rises that are known
 * @param signal - ends the wait
 * @returns when there is a newer one, or the wait has ended
 */
export function waitForRise(
    eras: Pick<StoreEras, "countRises" | "onRise">,
    rises: number,
    signal: AbortSignal,
): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted || eras.countRises() > rises) {
            resolve();
            return;
        }
        const finish = (): void => {
            forget();
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const forget = eras.onRise(finish);
        signal.addEventListener("abort", finish, { once: true });
    });
}
