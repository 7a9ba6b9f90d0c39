/**
 * Authorization of callers: whether a call may use a route, and which client account is charged for it.
 *
 * @packageDocumentation
 */
import type { ResolvedRoute, ResolvedSettings } from "../config/index.js";
import { type ClientAccountId, type KeyHash, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";

/** Reason for which a call may not use a route. */
export type AuthorizationReason = "missingKey" | "wrongKey" | "forbidden" | "notReady";

/** Refusal of a call that may not use a route. */
export interface AuthorizationRefusal {
    readonly reason: AuthorizationReason;
    readonly message: string;
}

/**
 * Finds the client account that is charged for a call, and checks that this account may use the route. An API key is
 * always checked: a call with an invalid key is refused even on an open route, which needs no key.
 *
 * @param settings - the active settings
 * @param route - the route that the call uses
 * @param keyHash - hash of the caller's API key; `undefined` when the call has none
 * @returns the client account, or the reason for the refusal
 */
export function resolveAccount(
    settings: ResolvedSettings,
    route: ResolvedRoute,
    keyHash: KeyHash | undefined,
): Result<ClientAccountId, AuthorizationRefusal> {
    if (keyHash !== undefined) {
        return resolveKeyAccount(settings, route, keyHash);
    }
    if (route.access === "keyed") {
        return wrapError({
            reason: "missingKey",
            message: "the API key is missing; send it as Authorization: Bearer KEY",
        });
    }
    if (route.openAccount === undefined || !settings.accounts.has(route.openAccount)) {
        const message = `route ${route.id} has no client account for calls without an API key; send a key`;
        return wrapError({ reason: "forbidden", message });
    }
    return wrapValue(route.openAccount);
}

function resolveKeyAccount(
    settings: ResolvedSettings,
    route: ResolvedRoute,
    keyHash: KeyHash,
): Result<ClientAccountId, AuthorizationRefusal> {
    const key = settings.keys.get(keyHash);
    if (!key || !settings.accounts.has(key.account)) {
        return wrapError({
            reason: "wrongKey",
            message: "the API key is not valid; check it or ask the operator for a new one",
        });
    }
    if (route.accounts !== undefined && !route.accounts.includes(key.account)) {
        return wrapError({
            reason: "forbidden",
            message: `the client account of this API key may not use route ${route.id}`,
        });
    }
    return wrapValue(key.account);
}

/**
 * Checks the authorization of a waiting or running request again, because keys and routes may change after admission.
 *
 * @param settings - the active settings; `undefined` while the instance has none
 * @param routeId - the request's route
 * @param keyHash - hash of the caller's API key; `undefined` when the call has none
 * @param account - the client account that was found at admission
 * @returns the reason for which the request must stop; `undefined` while it is still authorized for the same account
 */
export function checkAuthorization(
    settings: ResolvedSettings | undefined,
    routeId: string,
    keyHash: KeyHash | undefined,
    account: ClientAccountId,
): AuthorizationRevocation | undefined {
    const route = settings?.routes.get(routeId);
    if (!settings || !route) {
        return { reason: "unknownRoute", message: `the active settings contain no route ${routeId}` };
    }
    const resolved = resolveAccount(settings, route, keyHash);
    if (resolved.ok) {
        return resolved.value === account
            ? undefined
            : { reason: "forbidden", message: "the call now belongs to another client account" };
    }
    return keyHash !== undefined && resolved.error.reason === "wrongKey"
        ? {
            reason: "keyWithdrawn",
            message: "the API key or its client account was removed; ask the operator for a new key",
        }
        : { reason: "forbidden", message: resolved.error.message };
}

/** Loss of the authorization of an admitted request; it does not tell whether the request has run already. */
export interface AuthorizationRevocation {
    readonly reason: "keyWithdrawn" | "forbidden" | "unknownRoute";
    readonly message: string;
}

/**
 * Creates the outcome of a request that was refused before the instance sent any of it to a backend server.
 *
 * @param reason - code of the refusal
 * @param message - explanation for the caller
 * @param retryAfter - milliseconds after which the caller may retry; `undefined` when no retry time is suggested
 * @returns an outcome of kind `notRun`
 */
export function createNotRunOutcome(
    reason: Exclude<RequestOutcome, { kind: "completed"; }>["reason"],
    message: string,
    retryAfter?: number,
): RequestOutcome {
    return { kind: "notRun", reason, message, retryAfter };
}
