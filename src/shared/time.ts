/**
 * Durations and clocks. Functions that make decisions get the time as an argument instead of reading a clock.
 *
 * @packageDocumentation
 */
import { longestTimerMilliseconds } from "./inputRanges.js";

/** A duration or a reading of a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Source of the current time and of timers; tests replace it with virtual time. */
export interface Clock {
    /** Reads the monotonic clock. */
    readonly now: () => Milliseconds;
    /** Resolves after the given duration, at the latest after the longest timer, or as soon as the signal is aborted. */
    readonly sleep: (duration: Milliseconds, signal?: AbortSignal) => Promise<void>;
}

/** Milliseconds in a second. */
export const millisecondsPerSecond = 1_000;

/**
 * Creates a clock that uses the system's time.
 *
 * @returns a clock whose zero is the start of the process
 */
export function createSystemClock(): Clock {
    return { now: () => performance.now(), sleep: sleepFor };
}

/**
 * Waits for a result, but no longer than until the signal is aborted.
 *
 * @param result - result that is being worked on, which goes on after the abort
 * @param signal - ends the wait
 * @returns the result; `undefined` when the signal is aborted first, or was before
 */
export function waitUnlessAborted<Result>(
    result: Promise<Result>,
    signal: AbortSignal,
): Promise<Result | undefined> {
    return new Promise((resolve, reject) => {
        const abort = (): void => resolve(undefined);
        const stopListening = (): void => signal.removeEventListener("abort", abort);
        // a failure after the abort has nobody left to be told
        result.then(resolve, reject).then(stopListening, stopListening);
        signal.addEventListener("abort", abort, { once: true });
        if (signal.aborted) {
            abort();
        }
    });
}

function sleepFor(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        // a longer timer would fire at once
        const timer = setTimeout(finish, Math.min(Math.max(0, duration), longestTimerMilliseconds));
        signal?.addEventListener("abort", finish, { once: true });
    });
}

/**
 * Waits until the events that wait in the system now have been handled.
 *
 * @returns a promise that resolves between two turns of the event loop
 */
export async function waitForEvents(): Promise<void> {
    // the first of them comes at the end of this turn, which may have read only some of them; the next turn reads all
    await waitForTurnEnd();
    await waitForTurnEnd();
}

function waitForTurnEnd(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
