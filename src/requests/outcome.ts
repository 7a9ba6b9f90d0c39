/**
 * Outcome of a request, as it is reported to the caller.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** What is known about the execution of a request when it ends. */
export type OutcomeKind = "completed" | "failed" | "notRun" | "unknown";

/** Reason for which a request did not complete. */
export type OutcomeReason =
    | "badRequest"
    | "tooLarge"
    | "missingKey"
    | "wrongKey"
    | "keyWithdrawn"
    | "forbidden"
    | "unknownRoute"
    | "unknownModel"
    | "overLimit"
    | "exceedsBurst"
    | "overloaded"
    | "loadFailed"
    | "noBackend"
    | "backendRefused"
    | "backendFailed"
    | "broken"
    | "deadlinePassed"
    | "shuttingDown"
    | "notReady"
    | "duplicateMismatch"
    | "recordUnavailable"
    | "cancelled";

/** Outcome of a request. */
export type RequestOutcome =
    | { readonly kind: "completed"; }
    | {
        readonly kind: "failed" | "notRun" | "unknown";
        readonly reason: OutcomeReason;
        readonly message: string;
        /** Milliseconds after which the caller may retry; `undefined` when no retry time is suggested. */
        readonly retryAfter: Milliseconds | undefined;
    };

const reasonDescriptions: Readonly<Record<OutcomeReason, string>> = {
    badRequest: "the request is malformed",
    tooLarge: "the request is too large",
    missingKey: "the API key is missing; send it as Authorization: Bearer KEY",
    wrongKey: "the API key is not valid",
    keyWithdrawn: "the API key was withdrawn",
    forbidden: "the client account of this API key may not use this route",
    unknownRoute: "the route does not exist",
    unknownModel: "the model does not exist",
    overLimit: "the client account has exceeded its token rate; retry later",
    exceedsBurst: "the request needs more tokens than the burst limit of the client account; send a smaller request",
    overloaded: "all backend servers are overloaded; retry later",
    loadFailed: "the adapter could not be loaded",
    noBackend: "no backend server can be reached",
    backendRefused: "the backend server refused the request before starting",
    backendFailed: "the backend server failed while it ran the request",
    broken: "the response of the backend server was incomplete or not valid",
    deadlinePassed: "the deadline has passed",
    shuttingDown: "the instance is shutting down; send the request again",
    notReady: "the instance has not received its settings yet; retry later",
    duplicateMismatch: "the Idempotency-Key was already used with a different request; send a new key",
    recordUnavailable: "the record of the Idempotency-Key can't be stored now; retry later",
    cancelled: "the caller closed the connection",
};

/**
 * Describes a reason in words, for the message that a caller gets.
 *
 * @param reason - why a request did not complete
 * @returns a text that contains no names of servers and no keys
 */
export function describeReason(reason: OutcomeReason): string {
    return reasonDescriptions[reason];
}
