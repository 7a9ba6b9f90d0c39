/**
 * Limits the loads that an instance has on their way, and says which goes next. The weight store serves a number of loads at
 * full speed and shares its speed among more: then all come late, where some could have been on time. The number is not
 * told; it is found from how long loads take against the quickest ones. Answers a burst of requests for cold adapters.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** A load that waits for its turn. */
export interface WaitingLoad {
    /** Of the most urgent request that waits for it; 0 goes first. */
    readonly priority: number;
    /** Until then its requests can still be answered within their target. */
    readonly usefulUntil: Milliseconds;
    /** After it the load is of no use any more. */
    readonly until: Milliseconds;
}

/** Gate before the weight store. */
export interface LoadGate {
    /** Asks for a turn; `start` is called with `true` when it has come, and with `false` when the time is over. */
    readonly enter: (load: WaitingLoad, start: (isTurn: boolean) => void, now: Milliseconds) => void;
    /** A load has ended. `took` is `undefined` when it failed or didn't come from the store. */
    readonly leave: (took: Milliseconds | undefined, now: Milliseconds) => void;
    /** Drops loads whose time is over. */
    readonly expire: (now: Milliseconds) => void;
    readonly readLimit: () => number;
}

interface Entry {
    readonly load: WaitingLoad;
    readonly start: (isTurn: boolean) => void;
}

const firstLimit = 3;
const mostLimit = 64;
/** Time against the quickest load from which the store counts as overloaded. */
const slowFactor = 1.35;
const decrease = 0.85;
/** Rise of the limit for each round of loads that were quick. */
const increase = 1;
/** Lets the quickest time follow a store that has become slower for good. */
const baseRise = 1.001;

/**
 * Creates the gate.
 *
 * @param readLeast - loads that may always be on their way: one for each engine keeps the store busy when the others idle
 * @returns a gate with nothing on its way
 */
export function createLoadGate(readLeast: () => number): LoadGate {
    const waiting: Entry[] = [];
    let limit = firstLimit;
    let running = 0;
    let wasSlow = false;
    let base = Number.POSITIVE_INFINITY;
    const readLimit = (): number => Math.max(readLeast(), limit);
    const expire = (now: Milliseconds): void => {
        for (let index = waiting.length - 1; index >= 0; index--) {
            if (waiting[index]!.load.until <= now) {
                waiting.splice(index, 1)[0]!.start(false);
            }
        }
    };
    const startNext = (now: Milliseconds): void => {
        expire(now);
        while (waiting.length > 0 && running < Math.floor(readLimit())) {
            const [entry] = waiting.splice(findNext(waiting, now), 1);
            running++;
            entry!.start(true);
        }
    };
    const updateLimit = (took: Milliseconds): void => {
        base = Math.min(base * baseRise, took);
        if (took > base * slowFactor) {
            limit *= decrease;
            wasSlow = true;
        }
        else if (waiting.length > 0) {
            // until it was slow once, the limit doubles with each round
            limit += wasSlow ? increase / limit : increase;
        }
        limit = Math.min(mostLimit, readLimit());
    };
    return {
        enter: (load, start, now) => {
            waiting.push({ load, start });
            startNext(now);
        },
        leave: (took, now) => {
            running--;
            if (took !== undefined) {
                updateLimit(took);
            }
            startNext(now);
        },
        expire,
        readLimit,
    };
}

function findNext(waiting: readonly Entry[], now: Milliseconds): number {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
        if (isBefore(waiting[index]!.load, waiting[best]!.load, now)) {
            best = index;
        }
    }
    return best;
}

// those that can still be on time go first, the more urgent before others, and else the one that came first
function isBefore(left: WaitingLoad, right: WaitingLoad, now: Milliseconds): boolean {
    const isLeftUseful = left.usefulUntil > now;
    const isRightUseful = right.usefulUntil > now;
    if (isLeftUseful !== isRightUseful) {
        return isLeftUseful;
    }
    return left.priority < right.priority;
}
