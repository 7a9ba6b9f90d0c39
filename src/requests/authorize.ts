/**
 * Whether a call may use a route, and which client account pays for it.
 *
 * @packageDocumentation
 */
import type { ResolvedRoute, ResolvedSettings } from "../config/index.js";
import { type ClientAccountId, type KeyHash, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";

/** Why a call may not use a route. */
export type AuthorizationReason = "missingKey" | "wrongKey" | "forbidden" | "notReady";

/** An authorization that was refused. */
export interface AuthorizationRefusal {
    readonly reason: AuthorizationReason;
    readonly message: string;
}

/**
 * Finds the client account for which a call runs. A key that comes with a call always counts, on open routes too: a
 * wrong one is refused rather than overlooked.
 *
 * @param settings - the tree in force
 * @param route - the route that the call uses
 * @param keyHash - hash of the caller's key, if one came
 * @returns the account, or why the call is refused
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
        return wrapError({ reason: "missingKey", message: "send a key as Authorization: Bearer KEY" });
    }
    if (route.openAccount === undefined || !settings.accounts.has(route.openAccount)) {
        const message = `route ${route.id} has no account that pays for calls without a key`;
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
        return wrapError({ reason: "wrongKey", message: "the key is not granted" });
    }
    if (route.accounts !== undefined && !route.accounts.includes(key.account)) {
        return wrapError({ reason: "forbidden", message: `the key's account may not use route ${route.id}` });
    }
    return wrapValue(key.account);
}

/**
 * Checks again, while a request waits or runs, that it may go on: the same account, by the settings in force.
 *
 * @param settings - the tree in force now
 * @param routeId - the request's route
 * @param keyHash - hash of the caller's key, if one came
 * @param account - the account found at admission
 * @returns why it may not go on, or `undefined`
 */
export function checkAuthorization(
    settings: ResolvedSettings | undefined,
    routeId: string,
    keyHash: KeyHash | undefined,
    account: ClientAccountId,
): AuthorizationRevocation | undefined {
    const route = settings?.routes.get(routeId);
    if (!settings || !route) {
        return { reason: "unknownRoute", message: `route ${routeId} is no longer served` };
    }
    const resolved = resolveAccount(settings, route, keyHash);
    if (resolved.ok) {
        return resolved.value === account
            ? undefined
            : { reason: "forbidden", message: "the key belongs to another account now" };
    }
    return keyHash !== undefined && resolved.error.reason === "wrongKey"
        ? { reason: "keyWithdrawn", message: "the key was withdrawn" }
        : { reason: "forbidden", message: resolved.error.message };
}

/** Why a request that was admitted may not go on. */
export interface AuthorizationRevocation {
    readonly reason: "keyWithdrawn" | "forbidden" | "unknownRoute";
    readonly message: string;
}

/**
 * Creates the outcome of a request that was refused before anything of it left the instance.
 *
 * @param reason - why
 * @param message - what the caller should do
 * @param retryAfter - when a new try makes sense
 * @returns the outcome
 */
export function createNotRunOutcome(
    reason: Exclude<RequestOutcome, { kind: "completed"; }>["reason"],
    message: string,
    retryAfter?: number,
): RequestOutcome {
    return { kind: "notRun", reason, message, retryAfter };
}
