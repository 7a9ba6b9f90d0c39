/**
 * Limits how many adapter loads all shard holders together run against the weight store, and decides which load of this
 * instance starts next. The store serves a certain number of loads at full speed and splits its bandwidth among more:
 * then all loads finish late, although some could have finished in time. Holders send each other their load counts,
 * and each uses a share of the store in proportion to its own running and waiting loads. This keeps the store at full
 * speed during a burst of requests for adapters that aren't loaded, however the engines are distributed over the
 * instances.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { createStoreCapacity } from "./storeCapacity.js";

/** Request to load an adapter from the weight store. Times are on the instance's clock. */
export interface LoadRequest {
    /** Priority of the most urgent client request that waits for the load; 0 goes first. */
    readonly priority: number;
    /** Latest end of the load with which a client request can still be answered within its target latency. */
    readonly usefulUntil: Milliseconds;
    /** Time at which the last client request stops waiting; a load that hasn't started by then is dropped. */
    readonly until: Milliseconds;
}

/** Load counts that a holder of shards sends to the others. */
export interface LoadCounts {
    readonly running: number;
    /** Waiting loads that can still end before their `usefulUntil`. */
    readonly waiting: number;
}

/** Load counts of this instance and its estimate of the weight store's capacity. */
export interface LoadStatus extends LoadCounts {
    /** Concurrent loads that the store serves at full speed. */
    readonly capacity: number;
}

/** A load that was handed to the scheduler. */
export interface ScheduledLoad {
    /** Merges one more request for the same load, which then has the more urgent priority and the later times. */
    readonly extend: (load: LoadRequest) => void;
    /** Drops the load if it hasn't started. */
    readonly drop: () => void;
    /** Marks a started load as ended. `took` is `undefined` when the load failed or its end isn't known exactly. */
    readonly finish: (took: Milliseconds | undefined, now: Milliseconds) => void;
}

/** Scheduler of this instance's loads from the weight store. */
export interface LoadScheduler {
    /**
     * Queues a load. `onDecision` is called once, possibly before this returns: with `true` when the load may start,
     * with `false` when it was dropped, also because its `until` has passed.
     */
    readonly schedule: (
        load: LoadRequest,
        onDecision: (isAdmitted: boolean) => void,
        now: Milliseconds,
    ) => ScheduledLoad;
    /** Stores the counts that another instance has sent. */
    readonly handleCounts: (from: InstanceId, counts: LoadCounts, now: Milliseconds) => void;
    /** Removes the counts of all instances that aren't among the reachable ones. */
    readonly pruneCounts: (reachable: readonly InstanceId[], now: Milliseconds) => void;
    readonly readCounts: (now: Milliseconds) => LoadCounts;
    readonly readStatus: (now: Milliseconds) => LoadStatus;
    /** Drops the waiting loads whose `until` has passed. */
    readonly expire: (now: Milliseconds) => void;
    /** Duration of a load while the store is below its capacity. */
    readonly readBaseDuration: () => Milliseconds;
    /** Expected duration of a load at the present number of loads in flight. */
    readonly estimateDuration: () => Milliseconds;
}

interface QueuedLoad {
    load: LoadRequest;
    readonly onDecision: (isAdmitted: boolean) => void;
    startedAt: Milliseconds;
    /** Value of the in-flight integral when this load started. */
    inFlightIntegralAtStart: number;
}

/**
 * Factor on the expected duration of a load. A load that is expected to end only just in time counts as late, because
 * more loads may start before it ends and slow it down.
 */
const durationSafetyFactor = 1.2;

/**
 * Creates a scheduler without loads.
 *
 * @param onCountsChange - called when the counts of this instance may have changed
 * @returns the scheduler, owned by the caller
 */
export function createLoadScheduler(onCountsChange: () => void): LoadScheduler {
    const capacity = createStoreCapacity();
    const others = new Map<InstanceId, LoadCounts>();
    const waiting: QueuedLoad[] = [];
    let running = 0;
    // number of loads in flight, integrated over time: its increase during a load, divided by the load's duration, is
    // the mean number in flight while that load ran
    let inFlightIntegral = 0;
    let integratedAt: Milliseconds | undefined;
    const sumOthers = (read: (counts: LoadCounts) => number): number =>
        [...others.values()].reduce((sum, counts) => sum + read(counts), 0);
    const countInFlight = (): number => running + sumOthers(counts => counts.running);
    // must run before each change of the counts
    const updateInFlightIntegral = (now: Milliseconds): void => {
        inFlightIntegral += countInFlight() * Math.max(0, now - (integratedAt ?? now));
        integratedAt = now;
    };
    // cautious estimate of the time at which a load that starts now would end
    const estimateEnd = (now: Milliseconds): Milliseconds =>
        now + capacity.estimateDuration(countInFlight() + 1) * durationSafetyFactor;
    const countOnTime = (now: Milliseconds): number => {
        const end = estimateEnd(now);
        return waiting.reduce((sum, entry) => sum + (entry.load.usefulUntil >= end ? 1 : 0), 0);
    };
    const readCounts = (now: Milliseconds): LoadCounts => ({ running, waiting: countOnTime(now) });
    const isStartAllowed = (now: Milliseconds): boolean => {
        const onTime = countOnTime(now);
        const othersOnTime = sumOthers(counts => counts.waiting);
        const hasFreeCapacity = countInFlight() < Math.floor(capacity.readLimit());
        if (onTime === 0) {
            // loads that are late anyway start only when no other instance needs the store
            return othersOnTime === 0 && (hasFreeCapacity || running === 0);
        }
        const ownDemand = running + onTime;
        const totalDemand = ownDemand + othersOnTime + sumOthers(counts => counts.running);
        const share = Math.max(1, Math.ceil(capacity.readLimit() * ownDemand / totalDemand));
        // one running load is always allowed, so that no instance is blocked by the others indefinitely
        return running === 0 || (hasFreeCapacity && running < share);
    };
    const expire = (now: Milliseconds): void => {
        for (let index = waiting.length - 1; index >= 0; index--) {
            if (waiting[index]!.load.until <= now) {
                waiting.splice(index, 1)[0]!.onDecision(false);
            }
        }
    };
    const startNext = (now: Milliseconds): void => {
        expire(now);
        while (waiting.length > 0 && isStartAllowed(now)) {
            const [entry] = waiting.splice(findNextIndex(waiting, estimateEnd(now)), 1);
            updateInFlightIntegral(now);
            entry!.startedAt = now;
            entry!.inFlightIntegralAtStart = inFlightIntegral;
            running++;
            entry!.onDecision(true);
            onCountsChange();
        }
    };
    const endLoad = (entry: QueuedLoad, took: Milliseconds | undefined, now: Milliseconds): void => {
        updateInFlightIntegral(now);
        running--;
        if (took !== undefined && took > 0) {
            capacity.recordLoad(
                took,
                (inFlightIntegral - entry.inFlightIntegralAtStart) / Math.max(1, now - entry.startedAt),
            );
        }
        startNext(now);
        onCountsChange();
    };
    return {
        schedule: (load, onDecision, now) => {
            const entry: QueuedLoad = { load, onDecision, startedAt: now, inFlightIntegralAtStart: 0 };
            waiting.push(entry);
            startNext(now);
            onCountsChange();
            return {
                extend: more => entry.load = mergeRequests(entry.load, more),
                drop: () => {
                    const index = waiting.indexOf(entry);
                    if (index >= 0) {
                        waiting.splice(index, 1);
                        entry.onDecision(false);
                    }
                },
                finish: (took, endedAt) => endLoad(entry, took, endedAt),
            };
        },
        handleCounts: (from, counts, now) => {
            updateInFlightIntegral(now);
            others.set(from, counts);
            startNext(now);
        },
        pruneCounts: (reachable, now) => {
            updateInFlightIntegral(now);
            const kept = new Set(reachable);
            [...others.keys()].filter(instance => !kept.has(instance)).forEach(instance => others.delete(instance));
            startNext(now);
        },
        readCounts,
        readStatus: now => ({ ...readCounts(now), capacity: capacity.readLimit() }),
        expire,
        readBaseDuration: capacity.readBaseDuration,
        estimateDuration: () => capacity.estimateDuration(countInFlight()),
    };
}

function mergeRequests(left: LoadRequest, right: LoadRequest): LoadRequest {
    return {
        priority: Math.min(left.priority, right.priority),
        usefulUntil: Math.max(left.usefulUntil, right.usefulUntil),
        until: Math.max(left.until, right.until),
    };
}

function findNextIndex(waiting: readonly QueuedLoad[], estimatedEnd: Milliseconds): number {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
        if (isBefore(waiting[index]!.load, waiting[best]!.load, estimatedEnd)) {
            best = index;
        }
    }
    return best;
}

// loads that can still end in time go first, then those with the smaller priority number, then the earliest usefulUntil
function isBefore(left: LoadRequest, right: LoadRequest, estimatedEnd: Milliseconds): boolean {
    const isLeftOnTime = left.usefulUntil >= estimatedEnd;
    const isRightOnTime = right.usefulUntil >= estimatedEnd;
    if (isLeftOnTime !== isRightOnTime) {
        return isLeftOnTime;
    }
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.usefulUntil < right.usefulUntil;
}
