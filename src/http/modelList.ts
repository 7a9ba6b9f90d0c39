/**
 * Lists the models that a client may use.
 *
 * @packageDocumentation
 */
import type { ResolvedModelRoute, ResolvedSettings } from "../config/index.js";
import { type ClientAccountId, compareText } from "../shared/index.js";

/** One model in the format of the OpenAI models API. */
export interface ListedModel {
    readonly id: string;
    readonly object: "model";
    /** Always 0, since the settings hold no creation time. */
    readonly created: number;
    readonly owned_by: string;
}

/**
 * Lists the models that a client account may use: the names of its routes and of their adapters.
 *
 * @param settings - the current settings
 * @param account - the client account, or `undefined` for a client without a key
 * @returns models sorted by id; a new array
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
