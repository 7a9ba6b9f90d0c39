/**
 * Age of what was last confirmed, on two clocks: the monotonic one stands still while a machine is suspended, and the time
 * of day may jump. The larger difference counts.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** A reading of both clocks. */
export interface ClockReading {
    readonly monotonic: Milliseconds;
    readonly timeOfDay: Milliseconds;
}

/**
 * Reads both clocks of the process.
 *
 * @returns the readings
 */
export function readClocks(): ClockReading {
    return { monotonic: performance.now(), timeOfDay: Date.now() };
}

/**
 * Measures the time since a reading.
 *
 * @param since - the earlier reading; `undefined` for never
 * @param now - the present one
 * @returns the age, infinite for never
 */
export function measureAge(since: ClockReading | undefined, now: ClockReading): Milliseconds {
    if (!since) {
        return Number.POSITIVE_INFINITY;
    }
    return Math.max(now.monotonic - since.monotonic, now.timeOfDay - since.timeOfDay);
}
