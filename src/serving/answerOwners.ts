/**
 * Watches those who may end an answer while an attempt is under way: its client, the stop of the instance and its deadline.
 *
 * @packageDocumentation
 */
import { startTask } from "../supervision/index.js";
import { describeLeaving, type RequestEnd, stoppingReason } from "./requestEnds.js";
import type { RequestParts, RequestState } from "./requestState.js";

/** What is called; nothing is once the attempt is over. */
export interface OwnerHandlers {
    /** Somebody wants to end the answer. */
    readonly onEnd: (end: RequestEnd) => void;
    /** The watch itself failed. */
    readonly onFailure: (error: unknown) => void;
}

/**
 * Watches the owners of an answer until its attempt is over.
 *
 * @param parts - clock and stop of the instance
 * @param state - state of the request
 * @param over - aborted when the attempt is over
 * @param handlers - what is called
 */
export function watchOwners(
    parts: Pick<RequestParts, "clock" | "shutdown">,
    state: RequestState,
    over: AbortSignal,
    { onEnd, onFailure }: OwnerHandlers,
): void {
    const { clock, shutdown } = parts;
    const endForClient = (): void => onEnd(describeLeaving(state));
    const endAtStop = (): void => onEnd({ by: "stop", reason: stoppingReason });
    const waitForDeadline = async (): Promise<void> => {
        // a timer may be early by less than a millisecond
        while (!over.aborted && clock.now() < state.deadlineAt) {
            await clock.sleep(state.deadlineAt - clock.now(), over);
        }
        if (!over.aborted) {
            onEnd({ by: "deadline", reason: "timeout" });
        }
    };
    over.addEventListener("abort", () => {
        state.signal.removeEventListener("abort", endForClient);
        shutdown.ended.removeEventListener("abort", endAtStop);
    }, { once: true });
    state.signal.addEventListener("abort", endForClient, { once: true });
    shutdown.ended.addEventListener("abort", endAtStop, { once: true });
    startTask("deadline of an attempt", waitForDeadline, onFailure);
}
