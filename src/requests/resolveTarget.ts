/**
 * Resolution of a caller's `model` field to a route, or to an adapter and a route that permits it.
 *
 * @packageDocumentation
 */
import type { AdapterReference, Prompt } from "../backends/index.js";
import type { ResolvedModelRoute, ResolvedSettings } from "../config/index.js";
import { compareText, hashForPlacement, type KeyHash, type Result, wrapError, wrapValue } from "../shared/index.js";
import { type AuthorizationRefusal, resolveAccount } from "./authorize.js";

/** Route on which a model call runs, the adapter that it uses, and the client account that is charged for it. */
export interface ModelTarget {
    readonly route: ResolvedModelRoute;
    /** `undefined` for the base model without an adapter. */
    readonly adapter: AdapterReference | undefined;
    readonly account: string;
}

/** Reason for which a model name can't be resolved or used by the caller. */
export type TargetRefusal = AuthorizationRefusal | {
    readonly reason: "unknownModel";
    readonly message: string;
};

const charactersPerToken = 4;
const overheadTokensPerMessage = 4;
const prefixLimitCharacters = 2_048;
const hexBase = 16;

/**
 * Resolves a model name. Names of routes have precedence over names of adapters. An adapter is served through a route
 * that runs this adapter. If there is none, it is served through a route of its base model that requires a key, has no
 * adapter of its own and lists the caller's client account. Open routes and routes for all client accounts never serve
 * other adapters than their own.
 *
 * @param settings - the active settings
 * @param model - name of a route or an adapter
 * @param keyHash - hash of the caller's API key; `undefined` when the call has none
 * @returns the target, or the reason for which the call is refused
 */
export function resolveModelTarget(
    settings: ResolvedSettings,
    model: string,
    keyHash: KeyHash | undefined,
): Result<ModelTarget, TargetRefusal> {
    const route = settings.routes.get(model);
    if (route?.kind === "model") {
        return resolveRouteTarget(settings, route, route.adapter, keyHash);
    }
    if (!settings.adapters.has(model)) {
        return wrapError({
            reason: "unknownModel",
            message: `no route or adapter has the name ${JSON.stringify(model)}`,
        });
    }
    return resolveAdapterTarget(settings, model, keyHash);
}

function resolveAdapterTarget(
    settings: ResolvedSettings,
    adapterId: string,
    keyHash: KeyHash | undefined,
): Result<ModelTarget, TargetRefusal> {
    let refusal: TargetRefusal | undefined;
    for (const route of listPermittingRoutes(settings, adapterId)) {
        const target = resolveRouteTarget(settings, route, adapterId, keyHash);
        if (target.ok) {
            return target;
        }
        refusal ??= target.error;
    }
    const message = `no route permits adapter ${adapterId}; ask the operator to add it to a route`;
    return wrapError(refusal ?? { reason: "unknownModel", message });
}

function listPermittingRoutes(settings: ResolvedSettings, adapterId: string): readonly ResolvedModelRoute[] {
    const baseModel = settings.adapters.get(adapterId)?.baseModel;
    const routes = [...settings.routes.values()].filter(route => route.kind === "model");
    const isAdapterRoute = (route: ResolvedModelRoute): boolean => route.adapter === adapterId;
    const isSharedRoute = (route: ResolvedModelRoute): boolean =>
        route.adapter === undefined && route.baseModel === baseModel && route.access === "keyed"
        && route.accounts !== undefined;
    const sortById = (found: ResolvedModelRoute[]): ResolvedModelRoute[] =>
        found.sort((left, right) => compareText(left.id, right.id));
    return [...sortById(routes.filter(isAdapterRoute)), ...sortById(routes.filter(isSharedRoute))];
}

function resolveRouteTarget(
    settings: ResolvedSettings,
    route: ResolvedModelRoute,
    adapterId: string | undefined,
    keyHash: KeyHash | undefined,
): Result<ModelTarget, TargetRefusal> {
    const account = resolveAccount(settings, route, keyHash);
    if (!account.ok) {
        return account;
    }
    if (adapterId === undefined) {
        return wrapValue({ route, adapter: undefined, account: account.value });
    }
    const version = settings.adapters.get(adapterId)?.version;
    if (version === undefined) {
        return wrapError({
            reason: "unknownModel",
            message: `adapter ${adapterId} has no active version; ask the operator to activate one`,
        });
    }
    return wrapValue({ route, adapter: { adapter: adapterId, version }, account: account.value });
}

/**
 * Estimates the number of prompt tokens from the length of the text. The estimate is used for the token reservation,
 * which is settled with the engine's count.
 *
 * @param prompt - the caller's prompt
 * @returns estimated number of tokens, at least 1
 */
export function estimatePromptTokens(prompt: Prompt): number {
    switch (prompt.kind) {
        case "text":
            return Math.max(1, Math.ceil(prompt.text.length / charactersPerToken));
        case "chat": {
            const characters = prompt.messages.reduce((sum, message) => sum + message.content.length, 0);
            return Math.max(
                1,
                Math.ceil(characters / charactersPerToken) + overheadTokensPerMessage * prompt.messages.length,
            );
        }
    }
}

/**
 * Hashes the beginning of a prompt, so that requests with the same beginning can be routed to the engine whose prefix
 * cache contains it.
 *
 * @param prompt - the caller's prompt
 * @returns hash of the first characters in hexadecimal
 */
export function hashPromptPrefix(prompt: Prompt): string {
    const text = prompt.kind === "text"
        ? prompt.text
        : prompt.messages.map(message => `${message.role}\n${message.content}`).join("\n");
    return hashForPlacement(text.slice(0, prefixLimitCharacters)).toString(hexBase);
}
