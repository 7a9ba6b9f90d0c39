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
    readonly name: (key: AdapterKey, version: number, namedAt: Milliseconds) => boolean;
    readonly findNewest: (key: AdapterKey) => number | undefined;
    /** Oldest version that a request sent now may begin on; `undefined` for any. */
    readonly findOldest: (key: AdapterKey, now: Milliseconds) => number | undefined;
    readonly listNewest: () => ReadonlyMap<AdapterKey, number>;
}

interface NamedVersion {
    readonly version: number;
    readonly namedAt: Milliseconds;
}

/** Part of the version bound after which older versions are no longer asked for; the rest is for an engine's queue. */
const versionBoundPart = 0.4;

/**
 * Creates an empty record.
 *
 * @param versionBound - time from the naming of a version until older ones may not be begun
 * @returns the record
 */
export function createAdapterVersions(versionBound: Milliseconds): AdapterVersions {
    const newest = new Map<AdapterKey, number>();
    // oldest first; versions before the one that binds are dropped
    const named = new Map<AdapterKey, NamedVersion[]>();
    const isBinding = (entry: NamedVersion, now: Milliseconds): boolean =>
        now - entry.namedAt > versionBound * versionBoundPart;
    return {
        name: (key, version, namedAt) => {
            if (version <= (newest.get(key) ?? 0)) {
                return false;
            }
            newest.set(key, version);
            named.set(key, [...(named.get(key) ?? []), { version, namedAt }]);
            return true;
        },
        findNewest: key => newest.get(key),
        findOldest: (key, now) => {
            const entries = named.get(key) ?? [];
            while (entries.length > 1 && isBinding(entries[1]!, now)) {
                entries.shift();
            }
            const first = entries[0];
            return first && isBinding(first, now) ? first.version : undefined;
        },
        listNewest: () => newest,
    };
}
