/**
 * Finds the route of a request by its host and the longest prefix of its path.
 *
 * @packageDocumentation
 */
import type { RouteTarget, ServingConfig, ServingRoute } from "./types.js";

/** Index of the routes of one configuration. */
export interface RouteTable {
    /**
     * Returns the route with the longest prefix that matches; `undefined` when none does. `target` may have a query.
     */
    readonly find: (host: string, target: string) => ServingRoute | undefined;
}

/**
 * Indexes the routes of a configuration by host and path prefix.
 *
 * @param config - the configuration; of two routes with the same host and prefix the later one is used
 * @returns the index, which doesn't follow later changes
 */
export function createRouteTable(config: Pick<ServingConfig, "routes">): RouteTable {
    const byHost = new Map<string, Map<string, ServingRoute>>();
    for (const route of config.routes) {
        const prefixes = byHost.get(route.host) ?? new Map<string, ServingRoute>();
        prefixes.set(route.pathPrefix, route);
        byHost.set(route.host, prefixes);
    }
    return { find: (host, target) => findLongestPrefix(byHost.get(host), trimQuery(target)) };
}

function findLongestPrefix(
    prefixes: ReadonlyMap<string, ServingRoute> | undefined,
    path: string,
): ServingRoute | undefined {
    if (!prefixes) {
        return undefined;
    }
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route) {
            return route;
        }
    }
    return undefined;
}

function trimQuery(target: string): string {
    const queryStart = target.indexOf("?");
    return queryStart < 0 ? target : target.slice(0, queryStart);
}

/**
 * Chooses the service of a request by the weights of its route's targets.
 *
 * @param targets - services and their weights, at least one
 * @param fraction - random number from 0 (included) to 1 (excluded)
 * @returns name of the service
 */
export function chooseService(targets: readonly RouteTarget[], fraction: number): string {
    const totalWeight = targets.reduce((total, target) => total + target.weight, 0);
    let rest = fraction * totalWeight;
    for (const target of targets) {
        rest -= target.weight;
        if (rest < 0) {
            return target.service;
        }
    }
    return targets.at(-1)!.service;
}
