/**
 * Ends waits at a time, whatever time-outs the calls have that are waited for.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import { startTask } from "./backgroundTasks.js";

/** Limit of one wait. */
export interface WaitLimit {
    /** Aborted at the end of the wait: at its time, or with the signal that it was created with. */
    readonly signal: AbortSignal;
    /** Must be called when the wait is over; the signal stays as it is from then on. */
    readonly finish: () => void;
}

/**
 * Limits a wait.
 *
 * @param clock - clock of the time
 * @param until - time at which the wait ends; it is over at once if that has passed
 * @param signal - ends the wait sooner, at once if it is aborted
 * @returns the limit
 */
export function createWaitLimit(clock: Clock, until: Milliseconds, signal: AbortSignal): WaitLimit {
    const ending = new AbortController();
    const finishing = new AbortController();
    // a given reason avoids the cost of creating the default exception object
    const abort = (): void => finishing.signal.aborted ? undefined : ending.abort("over");
    const waitForEnd = async (): Promise<void> => {
        // a timer may be early by less than a millisecond
        while (!finishing.signal.aborted && clock.now() < until) {
            await clock.sleep(until - clock.now(), finishing.signal);
        }
        abort();
    };
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted || clock.now() >= until) {
        abort();
    }
    else {
        startTask("limit of a wait", waitForEnd, abort);
    }
    return {
        signal: ending.signal,
        finish: () => {
            finishing.abort("finished");
            signal.removeEventListener("abort", abort);
        },
    };
}
