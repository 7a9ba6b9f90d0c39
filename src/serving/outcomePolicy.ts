/**
 * What follows an attempt: the answer goes to the client, the request is sent once more, or it ends. Follows from the kind of
 * the request and from what can have run.
 *
 * @packageDocumentation
 */
import type { AttemptFault } from "./serverConnections.js";
import type { ServerResponseHead, ServingRoute } from "./types.js";

/** How an attempt ended, or the head with which its answer began. */
export type AttemptResult =
    | { readonly kind: "head"; readonly head: ServerResponseHead; }
    | { readonly kind: "fault"; readonly fault: AttemptFault; };

/** Where a request stands. */
export interface RequestProgress {
    readonly route: Pick<ServingRoute, "kind" | "canResume" | "attemptLimit">;
    /** Servers that may have run it, with this one. */
    readonly triedServerCount: number;
    /** Whether the head of an answer has gone to the client. */
    readonly hasResponseStarted: boolean;
    /** Whether an earlier attempt may have run. */
    readonly mayHaveRun: boolean;
}

/** What to do next. */
export type NextStep =
    | { readonly kind: "deliver"; }
    /** Send once more, where the retry budget allows; `isFree` when no server has had it. */
    | { readonly kind: "repeat"; readonly isBudgetExempt: boolean; readonly mayHaveRun: boolean; }
    /** End; `isNotRun` when no server has run it or will. */
    | { readonly kind: "fail"; readonly isNotRun: boolean; };

const lowestRedirectStatus = 300;
const lowestServerErrorStatus = 500;

/**
 * Tells whether requests of a route may run more than once.
 *
 * @param route - the route
 * @returns whether they may
 */
export function isRetryable(route: Pick<ServingRoute, "kind" | "canResume">): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.canResume);
}

/**
 * Decides what follows an attempt.
 *
 * @param result - how the attempt went
 * @param progress - where the request stands
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
    // what goes on behind events that the client has can only be more events
    const isContinuation = head.status < lowestRedirectStatus && head.isEventStream;
    return progress.hasResponseStarted && !isContinuation ? { kind: "fail", isNotRun: false } : { kind: "deliver" };
}

function decideAfterFault(fault: AttemptFault, progress: RequestProgress): NextStep {
    if (fault.kind === "notSent") {
        return { kind: "repeat", isBudgetExempt: true, mayHaveRun: progress.mayHaveRun };
    }
    const mayContinue = !progress.hasResponseStarted || progress.route.kind === "stream";
    const mayRetry = mayContinue && isRetryable(progress.route) &&
        progress.triedServerCount < progress.route.attemptLimit;
    return mayRetry ? { kind: "repeat", isBudgetExempt: false, mayHaveRun: true } : { kind: "fail", isNotRun: false };
}
