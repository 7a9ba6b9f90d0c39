/**
 * Results of service calls that were refused or whose outcome is unknown, and the part of a result that is stored for
 * replay.
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

/** Response header that marks a replayed response whose body was too large to store. */
export const bodyNotKeptHeader = "x-oriolehatch-body";

/**
 * Creates the result of a call that was refused without running.
 *
 * @param reason - why the call was refused
 * @returns a result of kind `notRun`, with a retry delay for reasons that are usually temporary
 */
export function createRefusedResult(reason: OutcomeReason): ServiceCallResult {
    const isTemporary = reason === "recordUnavailable" || reason === "noBackend" || reason === "deadlinePassed";
    const retryAfter: Milliseconds | undefined = isTemporary ? defaultRetryAfterMilliseconds : undefined;
    return { outcome: createNotRunOutcome(reason, describeReason(reason), retryAfter), response: undefined };
}

/**
 * Creates the outcome of a call that may or may not have run.
 *
 * @param reason - why the outcome is not known
 * @param message - explanation for the caller
 * @returns an outcome of kind `unknown`; its `retryAfter` does not mean that a retry is safe
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
 * Converts the result of a call whose last attempt was refused before it was sent, although an earlier attempt may have
 * run the call.
 *
 * @param result - result of the last attempt
 * @returns the same result if the call completed; otherwise a result of kind `unknown` without a response
 */
export function convertToUnknown(result: ServiceCallResult): ServiceCallResult {
    return result.outcome.kind === "completed"
        ? result
        : { outcome: { ...result.outcome, kind: "unknown" }, response: undefined };
}

/**
 * Converts a refusal of the rate limiter to the result of the call.
 *
 * @param error - why the limiter refused the reservation
 * @returns a result of kind `notRun`
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
 * Creates the result that the replicas store for replay.
 *
 * @param result - the result that the caller gets
 * @returns the outcome and the response; a body over the limit is replaced by an empty one, and the headers by a marker
 */
export function createReplayResult(result: ServiceCallResult): ClaimResult {
    const { outcome, response } = result;
    if (!response || response.body.length <= replayBodyLimitBytes) {
        return { outcome, response };
    }
    const headers = { [bodyNotKeptHeader]: "not-kept" };
    return { outcome, response: { status: response.status, headers, body: new Uint8Array() } };
}
