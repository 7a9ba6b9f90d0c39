/**
 * Homes of requests: the regions whose servers may receive them, and whose instances may have their bodies.
 *
 * @packageDocumentation
 */
import type { FailureDomainId } from "../shared/index.js";
import type { BackendServer, ServingAccount, ServingConfig, ServingRoute } from "./types.js";

/** Regions whose servers may receive a request; `undefined` for all. An empty list allows none. */
export type Homes = readonly string[] | undefined;

/** Regions of the deployment. */
export interface Regions {
    /** Filters the servers in the homes; returns the same list for the same servers and homes. */
    readonly filterServers: (servers: readonly BackendServer[], homes: Homes) => readonly BackendServer[];
    /** Whether an instance of a failure domain may have the body of a request whose client is connected to this instance. */
    readonly mayCarry: (domain: FailureDomainId, homes: Homes) => boolean;
    /** Whether the settings name a failure domain. */
    readonly isKnownDomain: (domain: FailureDomainId) => boolean;
    /** Lists the routes and accounts whose homes name no region of the deployment. */
    readonly listHomeless: (config: Pick<ServingConfig, "routes" | "accounts">) => HomelessNames;
}

/** Names of routes and accounts. */
export interface HomelessNames {
    readonly routes: readonly string[];
    readonly accounts: readonly string[];
}

/**
 * Creates the regions.
 *
 * @param regionsByDomain - region of each failure domain; others are in none
 * @param ownRegion - region of this instance; `undefined` for none
 * @returns the regions, of which an instance needs one object
 */
export function createRegions(
    regionsByDomain: ReadonlyMap<FailureDomainId, string> = new Map(),
    ownRegion?: string,
): Regions {
    const names = new Set(regionsByDomain.values());
    // the hashes of a list are kept for the list itself (`engineShards`), so that a request must not get a new one
    const filtered = new WeakMap<readonly BackendServer[], Map<string, readonly BackendServer[]>>();
    const isIn = (domain: FailureDomainId, homes: readonly string[]): boolean => {
        const region = regionsByDomain.get(domain);
        return region !== undefined && homes.includes(region);
    };
    const isHomeless = ({ allowedRegions }: Pick<ServingRoute, "allowedRegions">): boolean =>
        allowedRegions !== undefined && !allowedRegions.some(region => names.has(region));
    return {
        filterServers: (servers, homes) => {
            if (!homes) {
                return servers;
            }
            const known = filtered.get(servers) ?? new Map<string, readonly BackendServer[]>();
            filtered.set(servers, known);
            const key = JSON.stringify(homes);
            const inHomes = known.get(key) ?? servers.filter(server => isIn(server.failureDomain, homes));
            known.set(key, inHomes);
            return inHomes;
        },
        mayCarry: (domain, homes) =>
            homes === undefined || isIn(domain, homes) || (ownRegion !== undefined && isIn(domain, [ownRegion])),
        isKnownDomain: domain => regionsByDomain.has(domain),
        listHomeless: ({ routes, accounts = [] }) => ({
            routes: routes.filter(isHomeless).map(({ name }) => name),
            accounts: accounts.filter(isHomeless).map(({ name }) => name),
        }),
    };
}

/**
 * Merges the homes of a route and an account, both of which apply.
 *
 * @param admitted - route and account of a request
 * @returns the regions that both allow
 */
export function mergeHomes(
    { route, account }: { readonly route: Pick<ServingRoute, "allowedRegions">; readonly account: HomedAccount; },
): Homes {
    const [ofRoute, ofAccount] = [route.allowedRegions, account?.allowedRegions];
    return ofRoute && ofAccount ? ofRoute.filter(region => ofAccount.includes(region)) : ofRoute ?? ofAccount;
}

type HomedAccount = Pick<ServingAccount, "allowedRegions"> | undefined;
