/**
 * What follows from a failed call of a plain service: another try, or a truthful outcome.
 *
 * @packageDocumentation
 */
import type { BackendError } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";
import { defaultRetryAfterMilliseconds } from "./lifecycle.js";
import { describeReason, type OutcomeReason, type RequestOutcome } from "./outcome.js";
import { computeBackoff, computeRetryCost, isRetriable, maximumAttempts } from "./retryPolicy.js";

/** What is known when a call failed. */
export interface ServiceFault {
    readonly repeat: "idempotent" | "once";
    readonly error: BackendError;
    /** Tries so far, the failed one included. */
    readonly attempts: number;
    /** Whether a try before this one may have run. */
    readonly mayHaveRun: boolean;
    /** Retries that the route's budget allows now. */
    readonly budget: number;
    /** Random number from 0 to 1. */
    readonly jitter: number;
}

/** What to do next. */
export type ServiceFaultDecision =
    | { readonly kind: "retry"; readonly delay: Milliseconds; readonly cost: number; readonly mayHaveRun: boolean; }
    | { readonly kind: "end"; readonly outcome: RequestOutcome; };

/**
 * Decides what follows from a failed call. A call that may not be repeated is tried again only if no byte of it left,
 * or the server refused it before starting.
 *
 * @param fault - what is known
 * @returns another try or the outcome
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
