/**
 * Decides what happens after an attempt: the response is delivered, the request is sent again, or it fails. The
 * decision depends on the kind of the request and on whether a server may have run it.
 *
 * @packageDocumentation
 */
import type { AttemptFault } from "./serverConnections.js";
import type { ServerResponseHead, ServingRoute } from "./types.js";

/** The head of a response, or the reason why there is no complete response. */
export type AttemptResult =
    | { readonly kind: "head"; readonly head: ServerResponseHead; }
    | { readonly kind: "fault"; readonly fault: AttemptFault; };

/** Progress of a request at the time of the decision. */
export interface RequestProgress {
    readonly route: Pick<ServingRoute, "kind" | "canResume" | "attemptLimit">;
    /** Number of servers that may have received the request, including the one of this attempt. */
    readonly triedServerCount: number;
    /** Whether the head of a response has been sent to the client. */
    readonly hasResponseStarted: boolean;
    /** Whether a server may have run the request in an earlier attempt. */
    readonly mayHaveRun: boolean;
}

/** Decision after an attempt. */
export type NextStep =
    /** Deliver the response to the client. */
    | { readonly kind: "deliver"; }
    /**
     * Send the request again. The retry budget must allow it unless `isBudgetExempt`, which is set when the attempt
     * sent no byte to a server. `mayHaveRun` tells whether a server may have run the request by now.
     */
    | { readonly kind: "repeat"; readonly isBudgetExempt: boolean; readonly mayHaveRun: boolean; }
    /** Fail the request; `isNotRun` when no server has run it or will run it. */
    | { readonly kind: "fail"; readonly isNotRun: boolean; };

const lowestRedirectStatus = 300;
const lowestServerErrorStatus = 500;

/**
 * Returns whether requests of a route may run more than once, so that an attempt that may have run can be repeated.
 *
 * @param route - kind of the requests and whether streams can be resumed
 * @returns `true` for idempotent requests and for streams that can be resumed
 */
export function isRetryable(route: Pick<ServingRoute, "kind" | "canResume">): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.canResume);
}

/**
 * Returns whether bytes of a request may have reached its server.
 *
 * @param fault - why an attempt has no complete response
 * @returns `false` when no byte was sent, so that the attempt doesn't count
 */
export function hasSentBytes(fault: AttemptFault): boolean {
    switch (fault.kind) {
        case "notSent":
        case "unsendable":
        case "withdrawn":
        case "rerouted":
            return false;
        case "broken":
        case "crossed":
            return true;
    }
}

/**
 * Decides what happens after an attempt. Time limits and the retry budget are up to the caller.
 *
 * @param result - head of the response, or why there is none
 * @param progress - progress of the request, including this attempt
 * @returns the next step
 */
export function decideNextStep(result: AttemptResult, progress: RequestProgress): NextStep {
    switch (result.kind) {
        case "head":
            return decideAfterHead(result.head, progress);
        case "fault":
            return decideAfterFault(result.fault, progress);
    }
}

function decideAfterHead(head: ServerResponseHead, progress: RequestProgress): NextStep {
    if (head.isNotRun) {
        return { kind: "repeat", isBudgetExempt: false, mayHaveRun: progress.mayHaveRun };
    }
    const failed = head.status >= lowestServerErrorStatus || !head.isSigned;
    const mayRetry = isRetryable(progress.route) && progress.triedServerCount < progress.route.attemptLimit;
    if (failed && mayRetry) {
        return { kind: "repeat", isBudgetExempt: false, mayHaveRun: true };
    }
    if (!head.isSigned && head.status < lowestServerErrorStatus) {
        return { kind: "fail", isNotRun: false };
    }
    // a client that already has events of a stream can only be sent more events, not an error or a plain response
    const isContinuation = head.status < lowestRedirectStatus && head.isEventStream;
    return progress.hasResponseStarted && !isContinuation ? { kind: "fail", isNotRun: false } : { kind: "deliver" };
}

function decideAfterFault(fault: AttemptFault, progress: RequestProgress): NextStep {
    if (fault.kind === "unsendable") {
        return { kind: "fail", isNotRun: true };
    }
    if (!hasSentBytes(fault)) {
        return { kind: "repeat", isBudgetExempt: true, mayHaveRun: progress.mayHaveRun };
    }
    const mayContinue = !progress.hasResponseStarted || progress.route.kind === "stream";
    const mayRetry = mayContinue && isRetryable(progress.route) &&
        progress.triedServerCount < progress.route.attemptLimit;
    return mayRetry ? { kind: "repeat", isBudgetExempt: false, mayHaveRun: true } : { kind: "fail", isNotRun: false };
}
