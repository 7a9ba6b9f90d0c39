/**
 * An owner's record of the instances that may use each load, and of the latest time at which each may still use it.
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

/** Instances that may use the loads of one engine, and what they declared to run. */
export interface LoadHolders {
    /**
     * Records an instance as a holder for the duration of a use lease plus the longest duration of a request, because
     * the instance may start a request until the lease ends.
     */
    readonly grant: (name: LoadName, instance: InstanceId, now: Milliseconds) => void;
    /**
     * Records an instance that runs requests as a holder for the longest duration of a request; it starts no new ones.
     */
    readonly recordRunning: (name: LoadName, instance: InstanceId, now: Milliseconds) => void;
    /** Returns the holders of a load with the time at which each ceases to be one. */
    readonly list: (name: LoadName) => ReadonlyMap<InstanceId, Milliseconds>;
    readonly remove: (name: LoadName) => void;
    readonly removeInstance: (instance: InstanceId) => void;
    readonly clear: () => void;
    /** Records what an instance declares to run. */
    readonly recordUsage: (
        instance: InstanceId,
        running: readonly RunningCount[],
        inFlight: number,
        now: Milliseconds,
    ) => void;
    /** Whether an instance has recently declared requests on the load. */
    readonly isRunning: (name: LoadName, now: Milliseconds) => boolean;
    /** When the load was last declared to be in use; 0 if it never was. */
    readonly readLastUsedAt: (name: LoadName) => Milliseconds;
    readonly listRunning: () => readonly RunningCount[];
    readonly countInFlight: () => number;
}

/**
 * Creates a record without holders.
 *
 * @param times - durations of leases and requests
 * @returns the record, owned by the caller
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
            holders.forEach(expiries => expiries.delete(instance));
        },
        clear: () => {
            holders.clear();
            usageReports.clear();
            lastUsedAt.clear();
        },
        recordUsage: (instance, running, inFlight, now) => {
            usageReports.set(instance, { running, inFlight, at: now });
            running.forEach(({ name }) => lastUsedAt.set(name, now));
            for (const [reporter, report] of usageReports) {
                if (now - report.at > times.leaseDuration) {
                    usageReports.delete(reporter);
                }
            }
        },
        isRunning: (name, now) =>
            [...usageReports.values()].some(report =>
                now - report.at <= times.leaseDuration && report.running.some(entry => entry.name === name)
            ),
        readLastUsedAt: name => lastUsedAt.get(name) ?? 0,
        listRunning,
        countInFlight: () => [...usageReports.values()].reduce((sum, entry) => sum + entry.inFlight, 0),
    };
}
