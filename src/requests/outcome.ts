/**
 * How a request ended, as its caller is told.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** What is known of a request's run when it ends. */
export type OutcomeKind = "completed" | "failed" | "notRun" | "unknown";

/** Why a request did not complete. */
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

/** How a request ended. */
export type RequestOutcome =
    | { readonly kind: "completed"; }
    | {
        readonly kind: "failed" | "notRun" | "unknown";
        readonly reason: OutcomeReason;
        readonly message: string;
        /** When a new try makes sense. */
        readonly retryAfter: Milliseconds | undefined;
    };

const reasonDescriptions: Readonly<Record<OutcomeReason, string>> = {
    badRequest: "the request is malformed",
    tooLarge: "the request is too large",
    missingKey: "send a key as Authorization: Bearer KEY",
    wrongKey: "the key is not granted",
    keyWithdrawn: "the key was withdrawn",
    forbidden: "the key's account may not use this route",
    unknownRoute: "no such route",
    unknownModel: "no such model",
    overLimit: "the account is over its rate",
    exceedsBurst: "the request asks for more tokens than the account's burst",
    overloaded: "all backend servers are busy",
    loadFailed: "the adapter could not be loaded",
    noBackend: "no backend server can be reached",
    backendRefused: "the backend server refused the request before starting",
    backendFailed: "the backend server failed while running the request",
    broken: "the answer broke off",
    deadlinePassed: "the deadline has passed",
    shuttingDown: "the instance is shutting down; ask again",
    notReady: "the instance has no settings yet",
    duplicateMismatch: "the Idempotency-Key was used with another request",
    recordUnavailable: "the record of the Idempotency-Key can't be kept now",
    cancelled: "the caller went away",
};

/**
 * Describes a reason to callers.
 *
 * @param reason - why a request did not complete
 * @returns a sentence without names of servers or keys
 */
export function describeReason(reason: OutcomeReason): string {
    return reasonDescriptions[reason];
}
