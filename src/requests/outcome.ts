/**
 * Outcome of a request, as it is reported to the caller.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/**
 * What is known about the execution of a request when it ends. Only a `notRun` request certainly had no effect. A
 * `failed` request ran at least in part, and an `unknown` one may have run; if the caller sends either of them again,
 * the work may be done twice.
 */
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
        /** Cause of the last failure; it does not tell whether the request ran, only the kind does. */
        readonly reason: OutcomeReason;
        readonly message: string;
        /**
         * Milliseconds after which the cause may have ended; `undefined` when no delay is suggested. It is also set
         * when the request may have run, so it does not mean that a retry is safe.
         */
        readonly retryAfter: Milliseconds | undefined;
    };

// most reasons occur with several outcome kinds, so a text that suggests a retry names the kind for which it is safe
const reasonDescriptions: Readonly<Record<OutcomeReason, string>> = {
    badRequest: "the request is malformed, or the backend server refused it as not valid",
    tooLarge: "the request is too large",
    missingKey: "the API key is missing; send it as Authorization: Bearer KEY",
    wrongKey: "the API key is not valid; check it or ask the operator for a new one",
    keyWithdrawn: "the API key or its client account was removed; ask the operator for a new key",
    forbidden: "the client account of this call was removed or may not use the route",
    unknownRoute: "no service route has this name; check the path of the request",
    unknownModel: "no route or adapter has the name of this model",
    overLimit: "the client account has exceeded its token rate; retry later",
    exceedsBurst:
        "the request needs more tokens than the burst limit of the client account allows; send a smaller request",
    overloaded: "the backend servers are overloaded; retry later if the outcome is notRun",
    loadFailed: "the adapter could not be loaded; retry later if the outcome is notRun",
    noBackend: "no backend server is available; retry later if the outcome is notRun",
    backendRefused: "the last backend server that was tried refused the request; retry later if the outcome is notRun",
    backendFailed: "the backend server failed while it ran the request; sending it again may do the work twice",
    broken:
        "the response of the backend server was incomplete or not valid; sending the request again may run it twice",
    deadlinePassed:
        "the deadline of the request has passed; unless the outcome is notRun, sending it again may run it twice",
    shuttingDown: "the instance is shutting down and did not run the request; send it again",
    notReady: "the instance has no settings yet or can't grant tokens now, and did not run the request; retry later",
    duplicateMismatch:
        "the Idempotency-Key was already used with a different request; send a new key only for a new operation",
    recordUnavailable:
        "the Idempotency-Key can't be recorded now; if the outcome is notRun, retry later with the same key",
    cancelled: "the caller closed the connection",
};

/**
 * Describes a reason in words, for the message that a caller gets.
 *
 * @param reason - why a request did not complete
 * @returns a text that holds for every outcome kind with this reason, and contains no names of servers and no keys
 */
export function describeReason(reason: OutcomeReason): string {
    return reasonDescriptions[reason];
}
