/**
 * Calls with a timeout that is measured by a given clock.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";

/**
 * Makes a call and stops waiting for it after a time.
 *
 * @param clock - clock that measures the timeout
 * @param limit - timeout in milliseconds
 * @param signal - aborts the call
 * @param call - makes the call; the signal that it receives is aborted by `signal` and after the timeout
 * @returns result of the call, or `undefined` after the timeout
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
        // a given reason avoids the cost of creating the default exception object
        callController.abort("finished");
        timeoutController.abort("finished");
        signal.removeEventListener("abort", stop);
    }
}
