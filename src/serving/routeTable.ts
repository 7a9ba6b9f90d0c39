/**
 * Finds the route of a request by its host and the longest prefix of its path.
 *
 * @packageDocumentation
 */
import type { RouteTarget, ServingConfig, ServingRoute } from "./types.js";

/** Routes of one configuration, ready to be searched. */
export interface RouteTable {
    readonly find: (host: string, target: string) => ServingRoute | undefined;
}

/**
 * Builds the table of a configuration's routes.
 *
 * @param config - the configuration
 * @returns the table
 */
export function createRouteTable(config: ServingConfig): RouteTable {
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
 * Chooses the service of a request on a route whose requests are split.
 *
 * @param targets - services and their weights, at least one
 * @param fraction - a number from 0 (included) to 1 (excluded)
 * @returns the name of the service
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
