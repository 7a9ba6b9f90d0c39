/**
 * Results of service calls that did not simply complete, and what is kept of those that did.
 *
 * @packageDocumentation
 */
import type { LimitRefusal } from "../limits/index.js";
import type { Milliseconds } from "../shared/index.js";
import { type ClaimResult, replayBodyLimitBytes } from "./atMostOnceMessages.js";
import { createNotRunOutcome } from "./authorize.js";
import { defaultRetryAfterMilliseconds } from "./lifecycle.js";
import { describeReason, type OutcomeReason, type RequestOutcome } from "./outcome.js";
import type { ServiceCallResult } from "./types.js";

/** Header of a replayed answer whose body was too large to keep. */
export const bodyNotKeptHeader = "x-oriolehatch-body";

/**
 * Creates the result of a call that was not run.
 *
 * @param reason - why
 * @returns the result, with a time to come back where that may help
 */
export function createRefusedResult(reason: OutcomeReason): ServiceCallResult {
    const isTemporary = reason === "recordUnavailable" || reason === "noBackend" || reason === "deadlinePassed";
    const retryAfter: Milliseconds | undefined = isTemporary ? defaultRetryAfterMilliseconds : undefined;
    return { outcome: createNotRunOutcome(reason, describeReason(reason), retryAfter), response: undefined };
}

/**
 * Creates the outcome of a call that may have run.
 *
 * @param reason - why nothing more is known
 * @param message - what the caller is told
 * @returns the outcome
 */
export function createUnknownOutcome(reason: OutcomeReason, message = describeReason(reason)): RequestOutcome {
    return {
        kind: "unknown",
        reason,
        message,
        retryAfter: defaultRetryAfterMilliseconds,
    };
}

/**
 * Converts a refusal of a call that an earlier try may have run.
 *
 * @param result - the last try's result
 * @returns the result, unknown unless it completed
 */
export function convertToUnknown(result: ServiceCallResult): ServiceCallResult {
    return result.outcome.kind === "completed"
        ? result
        : { outcome: { ...result.outcome, kind: "unknown" }, response: undefined };
}

/**
 * Converts the refusal of a limit.
 *
 * @param error - why the limit refused
 * @returns the call's result
 */
export function convertLimitRefusal(error: LimitRefusal): ServiceCallResult {
    switch (error.kind) {
        case "overLimit":
        case "notReady": {
            const outcome = createNotRunOutcome(error.kind, describeReason(error.kind), error.retryAfter);
            return { outcome, response: undefined };
        }
        case "exceedsBurst":
            return createRefusedResult("exceedsBurst");
        case "unknownAccount":
            return createRefusedResult("forbidden");
        case "aborted":
            return createRefusedResult("cancelled");
    }
}

/**
 * Cuts a result to what the holders keep of it.
 *
 * @param result - what the caller got
 * @returns the outcome, and the answer without a body that is too large
 */
export function createReplayResult(result: ServiceCallResult): ClaimResult {
    const { outcome, response } = result;
    if (!response || response.body.length <= replayBodyLimitBytes) {
        return { outcome, response };
    }
    const headers = { [bodyNotKeptHeader]: "not-kept" };
    return { outcome, response: { status: response.status, headers, body: new Uint8Array() } };
}
