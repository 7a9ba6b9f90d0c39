/**
 * An owner's count of who may use which load, and until when at the latest.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { LoadName, RunningCount } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";

interface UsageReport {
    readonly running: readonly RunningCount[];
    readonly inFlight: number;
    readonly at: Milliseconds;
}

/** Holders of one engine's loads. */
export interface LoadHolders {
    /** Counts an instance as a holder for a lease and the longest request after it. */
    readonly grant: (name: LoadName, instance: InstanceId, now: Milliseconds) => void;
    /** Counts an instance that runs requests without a lease. */
    readonly recordRunning: (name: LoadName, instance: InstanceId, now: Milliseconds) => void;
    readonly list: (name: LoadName) => ReadonlyMap<InstanceId, Milliseconds>;
    readonly remove: (name: LoadName) => void;
    readonly removeInstance: (instance: InstanceId) => void;
    readonly clear: () => void;
    /** Takes note of what an instance says that it runs. */
    readonly recordUsage: (
        instance: InstanceId,
        running: readonly RunningCount[],
        inFlight: number,
        now: Milliseconds,
    ) => void;
    readonly isRunning: (name: LoadName, now: Milliseconds) => boolean;
    readonly readLastUsedAt: (name: LoadName) => Milliseconds;
    readonly listRunning: () => readonly RunningCount[];
    readonly countInFlight: () => number;
}

/**
 * Creates an empty count.
 *
 * @param times - how long leases and requests last
 * @returns no holders
 */
export function createLoadHolders(times: PlacementTimes): LoadHolders {
    const holders = new Map<LoadName, Map<InstanceId, Milliseconds>>();
    const usageReports = new Map<InstanceId, UsageReport>();
    const lastUsedAt = new Map<LoadName, Milliseconds>();
    const addHolder = (name: LoadName, instance: InstanceId, until: Milliseconds): void => {
        const expiries = holders.get(name) ?? new Map<InstanceId, Milliseconds>();
        expiries.set(instance, Math.max(until, expiries.get(instance) ?? 0));
        holders.set(name, expiries);
    };
    const listRunning = (): readonly RunningCount[] => {
        const counts = new Map<LoadName, number>();
        for (const { running } of usageReports.values()) {
            running.forEach(({ name, count }) => counts.set(name, (counts.get(name) ?? 0) + count));
        }
        return [...counts].map(([name, count]) => ({ name, count }));
    };
    return {
        grant: (name, instance, now) =>
            addHolder(name, instance, now + times.leaseDuration + times.maximumRequestDuration),
        recordRunning: (name, instance, now) => addHolder(name, instance, now + times.maximumRequestDuration),
        list: name => holders.get(name) ?? new Map(),
        remove: name => {
            holders.delete(name);
            lastUsedAt.delete(name);
        },
        removeInstance: instance => {
            usageReports.delete(instance);
            holders.forEach(known => known.delete(instance));
        },
        clear: () => {
            holders.clear();
            usageReports.clear();
            lastUsedAt.clear();
        },
        recordUsage: (instance, running, inFlight, now) => {
            usageReports.set(instance, { running, inFlight, at: now });
            running.forEach(({ name }) => lastUsedAt.set(name, now));
            for (const [known, declaration] of usageReports) {
                if (now - declaration.at > times.leaseDuration) {
                    usageReports.delete(known);
                }
            }
        },
        isRunning: (name, now) =>
            [...usageReports.values()].some(declaration =>
                now - declaration.at <= times.leaseDuration && declaration.running.some(entry => entry.name === name)
            ),
        readLastUsedAt: name => lastUsedAt.get(name) ?? 0,
        listRunning,
        countInFlight: () => [...usageReports.values()].reduce((sum, entry) => sum + entry.inFlight, 0),
    };
}
