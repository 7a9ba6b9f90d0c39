/**
 * The models that a caller may name.
 *
 * @packageDocumentation
 */
import type { ResolvedModelRoute, ResolvedSettings } from "../config/index.js";
import { type ClientAccountId, compareText } from "../shared/index.js";

/** One model in the shape of OpenAI. */
export interface ListedModel {
    readonly id: string;
    readonly object: "model";
    readonly created: number;
    readonly owned_by: string;
}

/**
 * Lists the models that an account may name: its routes and their adapters.
 *
 * @param settings - the tree in force
 * @param account - the account, or `undefined` for a caller without a key
 * @returns models sorted by name
 */
export function listModels(settings: ResolvedSettings, account: ClientAccountId | undefined): readonly ListedModel[] {
    const names = new Map<string, string>();
    for (const route of settings.routes.values()) {
        if (route.kind === "model" && isAccessibleTo(route, account)) {
            names.set(route.id, route.baseModel);
            if (route.adapter !== undefined) {
                names.set(route.adapter, route.baseModel);
            }
        }
    }
    return [...names]
        .sort(([left], [right]) => compareText(left, right))
        .map(([id, baseModel]) => ({ id, object: "model", created: 0, owned_by: baseModel }));
}

function isAccessibleTo(route: ResolvedModelRoute, account: ClientAccountId | undefined): boolean {
    if (route.access === "open") {
        return true;
    }
    return account !== undefined && (route.accounts === undefined || route.accounts.includes(account));
}
