/**
 * Resources that the current settings define, and their limits over all instances.
 *
 * @packageDocumentation
 */
import type { ResolvedSettings } from "../config/index.js";
import type { ClientAccountId } from "../shared/index.js";
import type { ResourceLimits } from "./localBucket.js";
import type { ResourceId } from "./messages.js";

/** Adapter loads started at the weight store; its units are loads, its rate is loads per second. */
export const loadRateResource: ResourceId = "loads/rate";

/** Adapter loads in flight at the weight store; its units are in-flight slots. */
export const loadsInFlightResource: ResourceId = "loads/inFlight";

const accountPrefix = "account/";

/**
 * Builds the identifier of the resource that holds a client account's tokens.
 *
 * @param account - the client account
 * @returns `account/` followed by the account's identifier
 */
export function formatAccountResource(account: ClientAccountId): ResourceId {
    return `${accountPrefix}${account}`;
}

/**
 * Extracts the client account from a resource identifier.
 *
 * @param resource - any resource
 * @returns the client account, or `undefined` if the resource doesn't hold a client account's tokens
 */
export function findResourceAccount(resource: ResourceId): ClientAccountId | undefined {
    return resource.startsWith(accountPrefix) ? resource.slice(accountPrefix.length) : undefined;
}

/**
 * Lists the limits of all resources that the settings define.
 *
 * @param settings - current settings
 * @param regionShare - fraction of every limit that is assigned to this region, from 0 to 1
 * @returns limits by resource; the caller owns the map
 */
export function listResourceLimits(
    settings: ResolvedSettings,
    regionShare: number,
): ReadonlyMap<ResourceId, ResourceLimits> {
    const limits = new Map<ResourceId, ResourceLimits>();
    for (const account of settings.accounts.values()) {
        const { rate, burst } = account.limits;
        limits.set(formatAccountResource(account.id), {
            kind: "settled",
            rate: rate * regionShare,
            burst: burst * regionShare,
        });
    }
    const { loadsPerSecond, loadBurst, loadsInFlight } = settings.weightStore;
    limits.set(loadRateResource, {
        kind: "consumed",
        rate: loadsPerSecond * regionShare,
        burst: loadBurst * regionShare,
    });
    limits.set(loadsInFlightResource, { kind: "returned", rate: 0, burst: loadsInFlight * regionShare });
    return limits;
}
