/**
 * Converts request outcomes to HTTP status codes, headers and error bodies in the format of the OpenAI API.
 *
 * @packageDocumentation
 */
import type { OutcomeReason, RequestOutcome } from "../requests/index.js";
import { jsonNull, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Response header with the kind of the request's outcome. */
export const outcomeHeader = "x-oriolehatch-outcome";

/** Response header with the adapter and version that the request ran on, as `ADAPTER@VERSION`. */
export const adapterHeader = "x-oriolehatch-adapter";

/** Outcome of a request that did not complete. */
export type UncompletedOutcome = Exclude<RequestOutcome, { readonly kind: "completed"; }>;

/** HTTP status of each reason, used for `notRun` and `failed` outcomes. */
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

/** HTTP status of a request that did not arrive in time. */
export const requestTimeoutStatus = 408;

const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
const lowestServerErrorStatus = 500;

/**
 * Resolves the HTTP status of an outcome.
 *
 * @param outcome - how the request ended
 * @returns 200 if the request completed, the status of the reason if it did not run or failed, and 504 or 502 if it is
 * unknown whether it ran, depending on whether the deadline passed
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
 * Builds the JSON body of an error response.
 *
 * @param outcome - how the request ended
 * @param status - HTTP status of the response; the error type follows from it
 * @param parameter - path of the invalid field in the request body, if one is known
 * @returns an object to serialize as JSON
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
 * Builds the headers of an error response.
 *
 * @param outcome - how the request ended
 * @returns the outcome, whether a client library should retry by itself, and `retry-after` in seconds if it is known
 */
export function buildErrorHeaders(outcome: UncompletedOutcome): Record<string, string> {
    const headers: Record<string, string> = {
        [outcomeHeader]: outcome.kind,
        // OpenAI's client libraries retry 5xx responses by default; a request that may have run must not be resent
        "x-should-retry": String(outcome.kind === "notRun" && outcome.retryAfter !== undefined),
    };
    if (outcome.retryAfter !== undefined) {
        headers["retry-after"] = formatRetryAfter(outcome.retryAfter);
    }
    return headers;
}

/**
 * Creates the outcome of a request that the HTTP server rejects before any part of it runs.
 *
 * @param reason - why the request is rejected; determines the HTTP status
 * @param message - explanation for the client, which names the fix
 * @returns a `notRun` outcome without a retry delay
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
