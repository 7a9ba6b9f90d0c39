/**
 * Limits the waits of a request before its attempts: none goes on once its client has left, its instance's stop doesn't let it
 * begin any more, or its deadline is over. The calls that are waited for have time-outs of their own, which may be later.
 *
 * @packageDocumentation
 */
import type { Clock } from "../shared/index.js";
import { createWaitLimit, type WaitLimit } from "../supervision/index.js";
import type { PendingAttempt, Shutdown } from "./shutdown.js";

/**
 * Limits a wait of a request.
 *
 * @param parts - clock and stop of the instance
 * @param attempt - what is known of the request
 * @param client - aborted when the client disconnects
 * @returns the limit, to be finished when the wait is over
 */
export function limitRequestWait(
    { clock, shutdown }: { readonly clock: Clock; readonly shutdown: Pick<Shutdown, "limitWait">; },
    attempt: PendingAttempt,
    client: AbortSignal,
): WaitLimit {
    const allowed = shutdown.limitWait(attempt, client);
    const limit = createWaitLimit(clock, attempt.deadlineAt, allowed.signal);
    return {
        signal: limit.signal,
        finish: () => {
            limit.finish();
            allowed.finish();
        },
    };
}
