/**
 * How an outcome is told to a caller: status, headers and a body in the shape that OpenAI's clients read.
 *
 * @packageDocumentation
 */
import type { OutcomeReason, RequestOutcome } from "../requests/index.js";
import { jsonNull, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Header that carries the outcome of a request. */
export const outcomeHeader = "x-oriolehatch-outcome";

/** Header that carries the adapter and version that a request ran on. */
export const adapterHeader = "x-oriolehatch-adapter";

/** An outcome that is not `completed`. */
export type UncompletedOutcome = Exclude<RequestOutcome, { readonly kind: "completed"; }>;

/** HTTP status of each reason, for the outcomes that say whether the request ran. */
export const statusByReason: Readonly<Record<OutcomeReason, number>> = {
    badRequest: 400,
    tooLarge: 413,
    missingKey: 401,
    wrongKey: 401,
    keyWithdrawn: 401,
    forbidden: 403,
    unknownRoute: 404,
    unknownModel: 404,
    overLimit: 429,
    exceedsBurst: 400,
    overloaded: 503,
    loadFailed: 503,
    noBackend: 503,
    backendRefused: 503,
    backendFailed: 502,
    broken: 502,
    deadlinePassed: 504,
    shuttingDown: 503,
    notReady: 503,
    duplicateMismatch: 422,
    recordUnavailable: 503,
    cancelled: 499,
};

/** Status of a request whose caller went away or was too slow. */
export const requestTimeoutStatus = 408;

const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
const lowestServerErrorStatus = 500;

/**
 * Resolves the HTTP status of an outcome.
 *
 * @param outcome - how the request ended
 * @returns the status that docs/guide/callers.md promises
 */
export function resolveStatus(outcome: RequestOutcome): number {
    switch (outcome.kind) {
        case "completed":
            return 200;
        case "notRun":
        case "failed":
            return statusByReason[outcome.reason];
        case "unknown":
            return outcome.reason === "deadlinePassed" ? gatewayTimeoutStatus : badGatewayStatus;
    }
}

/**
 * Builds the body of an error.
 *
 * @param outcome - how the request ended
 * @param status - its HTTP status
 * @param parameter - field of the request that is at fault
 * @returns a value to be sent as JSON
 */
export function buildErrorBody(outcome: UncompletedOutcome, status: number, parameter?: string): object {
    return {
        error: {
            message: outcome.message,
            type: resolveErrorType(status),
            code: outcome.reason,
            param: parameter ?? jsonNull,
        },
        outcome: outcome.kind,
    };
}

/**
 * Builds the headers of an error.
 *
 * @param outcome - how the request ended
 * @returns the outcome, when to come back, and whether a client library should try again by itself
 */
export function buildErrorHeaders(outcome: UncompletedOutcome): Record<string, string> {
    const headers: Record<string, string> = {
        [outcomeHeader]: outcome.kind,
        // the stock clients try 5xx again unless told otherwise; what may have run must not be sent twice by a library
        "x-should-retry": String(outcome.kind === "notRun" && outcome.retryAfter !== undefined),
    };
    if (outcome.retryAfter !== undefined) {
        headers["retry-after"] = formatRetryAfter(outcome.retryAfter);
    }
    return headers;
}

/**
 * Builds the outcome of a request that the front door refuses; nothing of it was run.
 *
 * @param reason - why
 * @param message - what the caller can do about it
 * @returns the outcome
 */
export function createRefusedOutcome(reason: OutcomeReason, message: string): UncompletedOutcome {
    return { kind: "notRun", reason, message, retryAfter: undefined };
}

function formatRetryAfter(duration: Milliseconds): string {
    return String(Math.max(1, Math.ceil(duration / millisecondsPerSecond)));
}

function resolveErrorType(status: number): string {
    switch (status) {
        case 401:
            return "authentication_error";
        case 403:
            return "permission_error";
        case 404:
            return "not_found_error";
        case 429:
            return "rate_limit_error";
        default:
            return status < lowestServerErrorStatus ? "invalid_request_error" : "server_error";
    }
}
