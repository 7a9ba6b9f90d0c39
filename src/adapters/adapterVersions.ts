/**
 * Versions of adapters as the operator names them, and from when on older ones may not be begun.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { AdapterKey } from "./messages.js";

/** Versions of all adapters. */
export interface AdapterVersions {
    /** Takes in a version that was named at the given time or later; tells whether it is the newest so far. */
    readonly record: (key: AdapterKey, version: number, announcedAt: Milliseconds) => boolean;
    readonly findNewest: (key: AdapterKey) => number | undefined;
    /** Oldest version that a request sent now may begin on; `undefined` for any. */
    readonly findOldestAllowed: (key: AdapterKey, now: Milliseconds) => number | undefined;
    readonly listNewest: () => ReadonlyMap<AdapterKey, number>;
}

interface AnnouncedVersion {
    readonly version: number;
    readonly announcedAt: Milliseconds;
}

/** Part of the version bound after which older versions are no longer asked for; the rest is for an engine's queue. */
const gracePeriodFraction = 0.4;

/**
 * Creates an empty record.
 *
 * @param gracePeriod - time from the naming of a version until older ones may not be begun
 * @returns the record
 */
export function createAdapterVersions(gracePeriod: Milliseconds): AdapterVersions {
    const newest = new Map<AdapterKey, number>();
    // oldest first; versions before the one that binds are dropped
    const announced = new Map<AdapterKey, AnnouncedVersion[]>();
    const isEnforced = (entry: AnnouncedVersion, now: Milliseconds): boolean =>
        now - entry.announcedAt > gracePeriod * gracePeriodFraction;
    return {
        record: (key, version, announcedAt) => {
            if (version <= (newest.get(key) ?? 0)) {
                return false;
            }
            newest.set(key, version);
            announced.set(key, [...(announced.get(key) ?? []), { version, announcedAt: announcedAt }]);
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
