/**
 * What is counted over all instances, by the settings in force.
 *
 * @packageDocumentation
 */
import type { ResolvedSettings } from "../config/index.js";
import type { ClientAccountId } from "../shared/index.js";
import type { ResourceLimits } from "./localBucket.js";
import type { ResourceId } from "./messages.js";

/** Loads that start at the weight store in a second. */
export const loadRateResource: ResourceId = "loads/rate";

/** Loads in flight at the weight store. */
export const loadsInFlightResource: ResourceId = "loads/inFlight";

const accountPrefix = "account/";

/**
 * Names the resource of a client account's tokens.
 *
 * @param account - the account
 * @returns the resource
 */
export function formatAccountResource(account: ClientAccountId): ResourceId {
    return `${accountPrefix}${account}`;
}

/**
 * Finds the client account of a resource.
 *
 * @param resource - any resource
 * @returns the account, or `undefined` for another kind of resource
 */
export function findResourceAccount(resource: ResourceId): ClientAccountId | undefined {
    return resource.startsWith(accountPrefix) ? resource.slice(accountPrefix.length) : undefined;
}

/**
 * Lists the limits of all resources.
 *
 * @param settings - settings in force
 * @param regionShare - part of every limit that this region has
 * @returns limits by resource
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
