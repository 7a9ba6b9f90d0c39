/**
 * Adapter versions announced by the operator, and the time from which requests may no longer start on older versions.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { AdapterKey } from "./messages.js";

/** Announced versions of all adapters. */
export interface AdapterVersions {
    /** Records a version; `announcedAt` is the earliest time of its announcement. Returns whether it is the newest. */
    readonly record: (key: AdapterKey, version: number, announcedAt: Milliseconds) => boolean;
    readonly findNewest: (key: AdapterKey) => number | undefined;
    /** Oldest version on which a request sent now may start; `undefined` when any version is allowed. */
    readonly findOldestAllowed: (key: AdapterKey, now: Milliseconds) => number | undefined;
    readonly listNewest: () => ReadonlyMap<AdapterKey, number>;
}

interface AnnouncedVersion {
    readonly version: number;
    readonly announcedAt: Milliseconds;
}

/**
 * Fraction of the grace period after which requests are no longer sent to older versions. The rest covers the time
 * that a request may wait in the engine's queue before it starts.
 */
const enforcementDelayFraction = 0.4;

/**
 * Creates a registry without any announced version.
 *
 * @param readGracePeriod - returns the time from a version's announcement during which requests may still start on older
 * ones, in ms
 * @returns the registry, owned by the caller
 */
export function createAdapterVersions(readGracePeriod: () => Milliseconds): AdapterVersions {
    const newest = new Map<AdapterKey, number>();
    // oldest first; versions older than the newest enforced one are removed
    const announced = new Map<AdapterKey, AnnouncedVersion[]>();
    const isEnforced = (entry: AnnouncedVersion, now: Milliseconds): boolean =>
        now - entry.announcedAt > readGracePeriod() * enforcementDelayFraction;
    return {
        record: (key, version, announcedAt) => {
            if (version <= (newest.get(key) ?? 0)) {
                return false;
            }
            newest.set(key, version);
            announced.set(key, [...(announced.get(key) ?? []), { version, announcedAt }]);
            return true;
        },
        findNewest: key => newest.get(key),
        findOldestAllowed: (key, now) => {
            const entries = announced.get(key) ?? [];
            while (entries.length > 1 && isEnforced(entries[1]!, now)) {
                entries.shift();
            }
            const first = entries[0];
            return first && isEnforced(first, now) ? first.version : undefined;
        },
        listNewest: () => newest,
    };
}
