/**
 * Keeps what a request waits for, so that log and metrics tell how soon it ends here once its client has left.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";

/**
 * What a request waits for: its admission (origin of a resumed stream, quota), a server with room (quarantine trial, place,
 * permit), or the response of a server.
 */
export type RequestStage = "admission" | "server" | "response";

/** How a request ended whose client disconnected; the fields are `undefined` for others. */
export interface LeavingReport {
    /** What the request waited for when its client disconnected. */
    readonly leftWhile: RequestStage | undefined;
    /** Time from there until the request had ended here. */
    readonly endDelay: Milliseconds | undefined;
}

/** Stages of one request. */
export interface RequestStages {
    /** Records what the request waits for from now on. */
    readonly mark: (stage: RequestStage) => void;
    /** Describes the end of the request, which is now. */
    readonly describe: () => LeavingReport;
}

/**
 * Creates the stages of a request that waits for its admission.
 *
 * @param clock - source of the times
 * @param signal - aborted when the client disconnects
 * @returns the stages
 */
export function createRequestStages(clock: Clock, signal: AbortSignal): RequestStages {
    let stage: RequestStage = "admission";
    let leftWhile: RequestStage | undefined;
    let leftAt = 0;
    signal.addEventListener("abort", () => {
        leftWhile = stage;
        leftAt = clock.now();
    }, { once: true });
    return {
        mark: next => stage = next,
        describe: () => ({
            leftWhile,
            endDelay: leftWhile && Math.round(clock.now() - leftAt),
        }),
    };
}
