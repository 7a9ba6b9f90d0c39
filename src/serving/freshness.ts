/**
 * Measures the age of data with two clocks: the monotonic clock stops while the machine is suspended, and the time of
 * day may be set back. The larger difference is used.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Readings of both clocks at one moment. */
export interface ClockReading {
    readonly monotonic: Milliseconds;
    /** Unix time. */
    readonly timeOfDay: Milliseconds;
}

/**
 * Reads the monotonic clock of the process and the time of day.
 *
 * @returns readings of the present moment
 */
export function readClocks(): ClockReading {
    return { monotonic: performance.now(), timeOfDay: Date.now() };
}

/**
 * Measures the time between two readings.
 *
 * @param since - earlier reading; `undefined` if there is none
 * @param now - current reading
 * @returns the larger difference of the two clocks in milliseconds, infinite if there is no earlier reading
 */
export function measureAge(since: ClockReading | undefined, now: ClockReading): Milliseconds {
    if (!since) {
        return Number.POSITIVE_INFINITY;
    }
    return Math.max(now.monotonic - since.monotonic, now.timeOfDay - since.timeOfDay);
}
