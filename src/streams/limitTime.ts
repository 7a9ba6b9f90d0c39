/**
 * Calls with a time limit on the given clock.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";

/**
 * Limits the time of a call.
 *
 * @param clock - the clock
 * @param limit - longest time
 * @param signal - ends the call early
 * @param call - the call; its signal is aborted when the time is up
 * @returns what the call returned, or `undefined` when the time was up first
 */
export async function callWithTimeout<Value>(
    clock: Clock,
    limit: Milliseconds,
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<Value>,
): Promise<Value | undefined> {
    const callController = new AbortController();
    const stop = (): void => callController.abort();
    signal.addEventListener("abort", stop, { once: true });
    const timeoutController = new AbortController();
    const timeout = clock.sleep(limit, timeoutController.signal).then(() => undefined);
    try {
        return await Promise.race([call(callController.signal), timeout]);
    }
    finally {
        // with a reason given, no exception object is made for it
        callController.abort("finished");
        timeoutController.abort("finished");
        signal.removeEventListener("abort", stop);
    }
}
