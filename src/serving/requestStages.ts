/**
 * Keeps what a request waits for, so that log and metrics tell how soon it ends here once its client has left.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import type { AnswerEnder } from "./answerEnds.js";
import type { ConnectionCloser } from "./requestState.js";
import type { Shutdown } from "./shutdown.js";

/**
 * What a request waits for: its admission (origin of a resumed stream, quota), a server with room (quarantine trial, place,
 * permit), the response of a server, or the client, which hasn't read all of it.
 */
export type RequestStage = "admission" | "server" | "response" | "delivery";

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
    /** Records that the client's connection is closed; its signal says so as well, but for an answer that was written. */
    readonly markClosed: () => void;
    /**
     * Names who closed the client's connection, by the reason of the signal if it has one. Else it was this instance from the
     * end of its stop on, when it closes all that are left.
     */
    readonly findCloser: () => Extract<AnswerEnder, "client" | "stop">;
    /** Describes the end of the request, which is now. */
    readonly describe: () => LeavingReport;
}

/**
 * Creates the stages of a request that waits for its admission.
 *
 * @param parts - source of the times, and the stop of the instance
 * @param signal - aborted when the client disconnects
 * @returns the stages
 */
export function createRequestStages(
    parts: { readonly clock: Clock; readonly shutdown: Pick<Shutdown, "ended">; },
    signal: AbortSignal,
): RequestStages {
    const { clock, shutdown } = parts;
    let stage: RequestStage = "admission";
    let leftWhile: RequestStage | undefined;
    let leftAt = 0;
    const findCloser = (): "client" | "stop" => {
        const isClosedHere = signal.reason === ("instance" satisfies ConnectionCloser);
        const isKnown = isClosedHere || signal.reason === ("client" satisfies ConnectionCloser);
        return isClosedHere || (!isKnown && shutdown.ended.aborted) ? "stop" : "client";
    };
    let closer: "client" | "stop" | undefined;
    const markClosed = (): void => {
        if (leftWhile === undefined) {
            leftWhile = stage;
            leftAt = clock.now();
            closer = findCloser();
        }
    };
    signal.addEventListener("abort", markClosed, { once: true });
    return {
        mark: next => stage = next,
        markClosed,
        findCloser: () => closer ?? findCloser(),
        describe: () => ({
            leftWhile,
            endDelay: leftWhile && Math.round(clock.now() - leftAt),
        }),
    };
}
