/**
 * Decision after a failed call to a plain service: a retry, or an outcome that says whether the call may have run.
 *
 * @packageDocumentation
 */
import type { BackendError } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";
import { defaultRetryAfterMilliseconds } from "./lifecycle.js";
import { describeReason, type OutcomeReason, type RequestOutcome } from "./outcome.js";
import { computeBackoff, computeRetryCost, isRetriable, maximumAttempts } from "./retryPolicy.js";

/** Failed call and the state of its attempts. */
export interface ServiceFault {
    readonly repeat: "idempotent" | "once";
    readonly error: BackendError;
    /** Number of attempts so far, including the failed one. */
    readonly attempts: number;
    /** Whether an earlier attempt may have run. */
    readonly mayHaveRun: boolean;
    /** Retry credit that the route's budget has now. */
    readonly budget: number;
    /** Random number, at least 0 and below 1. */
    readonly jitter: number;
}

/** Next step after a failed call. */
export type ServiceFaultDecision =
    | { readonly kind: "retry"; readonly delay: Milliseconds; readonly cost: number; readonly mayHaveRun: boolean; }
    | { readonly kind: "end"; readonly outcome: RequestOutcome; };

/**
 * Decides whether a failed call is retried. A call that must run at most once is retried only if no byte of it was
 * sent, or the server refused it before starting it.
 *
 * @param fault - the failed call
 * @returns the delay and cost of a retry, or the outcome of the call
 */
export function decideServiceFault(fault: ServiceFault): ServiceFaultDecision {
    const { error } = fault;
    const mayHaveRun = fault.mayHaveRun || isRunPossible(error);
    const isRepeatable = fault.repeat === "idempotent" || !mayHaveRun;
    const cost = computeRetryCost(error);
    if (isRepeatable && isRetriable(error) && fault.attempts < maximumAttempts && fault.budget >= cost) {
        const delay = computeBackoff(fault.attempts, error, fault.jitter);
        return { kind: "retry", delay, cost, mayHaveRun };
    }
    const reason = chooseReason(error);
    const kind = !mayHaveRun ? "notRun" : error.kind === "failed" ? "failed" : "unknown";
    const retryAfter = chooseRetryAfter(fault, reason);
    return { kind: "end", outcome: { kind, reason, message: describeReason(reason), retryAfter } };
}

function isRunPossible(error: BackendError): boolean {
    return error.kind !== "notSent" && error.kind !== "refused";
}

function chooseReason(error: BackendError): OutcomeReason {
    switch (error.kind) {
        case "notSent":
            return "noBackend";
        case "refused":
            return error.reason === "badRequest" ? "badRequest" : "backendRefused";
        case "failed":
            return "backendFailed";
        case "broken":
        case "mismatched":
            return "broken";
        case "aborted":
            return "deadlinePassed";
    }
}

function chooseRetryAfter(fault: ServiceFault, reason: OutcomeReason): Milliseconds | undefined {
    if (reason === "badRequest") {
        return undefined;
    }
    const asked = fault.error.kind === "refused" ? fault.error.retryAfter : undefined;
    return asked ?? defaultRetryAfterMilliseconds;
}
