/**
 * Homes of requests: the regions whose servers may receive them, and whose instances may have their bodies.
 *
 * @packageDocumentation
 */
import { createLogger, type FailureDomainId, type WriteLogLine } from "../shared/index.js";
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
    /** Writes a line of the log with the routes and accounts whose homes name no region of the deployment. */
    readonly writeHomeless: (config: Pick<ServingConfig, "routes" | "accounts">) => void;
}

/** Names in a line of the log; the counts tell of more. */
const maximumNames = 20;

/**
 * Creates the regions.
 *
 * @param regionsByDomain - region of each failure domain; others are in none
 * @param ownRegion - region of this instance; `undefined` for none
 * @param writeLine - writes one line of the log
 * @returns the regions, of which an instance needs one object
 */
export function createRegions(
    regionsByDomain: ReadonlyMap<FailureDomainId, string> = new Map(),
    ownRegion?: string,
    writeLine: WriteLogLine = createLogger("serving").warn,
): Regions {
    const regionNames = new Set(regionsByDomain.values());
    // the hashes of a list are kept for the list itself (`engineShards`), so that a request must not get a new one
    const filtered = new WeakMap<readonly BackendServer[], Map<string, readonly BackendServer[]>>();
    const isIn = (domain: FailureDomainId, homes: readonly string[]): boolean => {
        const region = regionsByDomain.get(domain);
        return region !== undefined && homes.includes(region);
    };
    const isHomeless = ({ allowedRegions }: Pick<ServingRoute, "allowedRegions">): boolean =>
        allowedRegions !== undefined && !allowedRegions.some(region => regionNames.has(region));
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
        writeHomeless: ({ routes, accounts = [] }) => {
            const names = routes.filter(isHomeless).map(({ name }) => name);
            const accountNames = accounts.filter(isHomeless).map(({ name }) => name);
            if (names.length + accountNames.length > 0) {
                writeLine("homes without a region", {
                    routes: names.slice(0, maximumNames),
                    routeCount: names.length,
                    accounts: accountNames.slice(0, maximumNames),
                    accountCount: accountNames.length,
                });
            }
        },
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
