/**
 * What a caller's `model` names: a route, or an adapter through a route that permits it.
 *
 * @packageDocumentation
 */
import type { AdapterReference, Prompt } from "../backends/index.js";
import type { ResolvedModelRoute, ResolvedSettings } from "../config/index.js";
import { compareText, hashForPlacement, type KeyHash, type Result, wrapError, wrapValue } from "../shared/index.js";
import { type AuthorizationRefusal, resolveAccount } from "./authorize.js";

/** A route and what runs on it. */
export interface ModelTarget {
    readonly route: ResolvedModelRoute;
    /** `undefined` runs the bare base model. */
    readonly adapter: AdapterReference | undefined;
    readonly account: string;
}

/** Why a model's name leads nowhere. */
export type TargetRefusal = AuthorizationRefusal | {
    readonly reason: "unknownModel";
    readonly message: string;
};

const charactersPerToken = 4;
const overheadTokensPerMessage = 4;
const prefixLimitCharacters = 2_048;
const hexBase = 16;

/**
 * Resolves the name that a caller gave. A route's name goes first. An adapter's name is served through a route that
 * runs this adapter, or else through a keyed route of its base model that has no adapter of its own and lists the
 * caller's account; open routes and routes for every account never lend themselves to other adapters.
 *
 * @param settings - the tree in force
 * @param model - name of a route or an adapter
 * @param keyHash - hash of the caller's key, if one came
 * @returns the target, or why there is none
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
        return wrapError({ reason: "unknownModel", message: `no route or adapter is named ${JSON.stringify(model)}` });
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
    const message = `no route permits adapter ${adapterId}`;
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
        return wrapError({ reason: "unknownModel", message: `adapter ${adapterId} has no version in force` });
    }
    return wrapValue({ route, adapter: { adapter: adapterId, version }, account: account.value });
}

/**
 * Estimates the tokens of a prompt from its length, for reservation; the engine's count settles it.
 *
 * @param prompt - the caller's prompt
 * @returns at least 1
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
 * Hashes the beginning of a prompt, for engines that cache prefixes.
 *
 * @param prompt - the caller's prompt
 * @returns a hash that prompts with the same beginning share
 */
export function hashPromptPrefix(prompt: Prompt): string {
    const text = prompt.kind === "text"
        ? prompt.text
        : prompt.messages.map(message => `${message.role}\n${message.content}`).join("\n");
    return hashForPlacement(text.slice(0, prefixLimitCharacters)).toString(hexBase);
}
