/**
 * Limits the loads that all instances have on their way together, and says which goes next here. The weight store serves a
 * number of loads at full speed and shares its speed among more: then all come late, where some could have been on time.
 * Instances tell each other their counts; each takes a part of the store in proportion to what waits there. Answers a burst
 * of requests for cold adapters, however the engines are dealt to instances.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { createStoreCapacity } from "./storeCapacity.js";

/** A load that waits for its turn. */
export interface LoadRequest {
    /** Of the most urgent request that waits for it; 0 goes first. */
    readonly priority: number;
    /** Until then the adapter must be there for an answer within its target. */
    readonly usefulUntil: Milliseconds;
    /** After it the load is of no use any more. */
    readonly until: Milliseconds;
}

/** Loads of one instance, as it tells the others. */
export interface LoadCounts {
    readonly running: number;
    /** Loads that wait and can still be on time. */
    readonly waiting: number;
}

/** Loads of one instance, and what the store is taken to serve at full speed. */
export interface LoadStatus extends LoadCounts {
    readonly capacity: number;
}

/** A load at the gate. */
export interface ScheduledLoad {
    /** One more request waits for the load. */
    readonly extend: (load: LoadRequest) => void;
    /** The load has ended. `took` is `undefined` when it failed or its end isn't known exactly. */
    readonly finish: (took: Milliseconds | undefined, now: Milliseconds) => void;
}

/** Gate before the weight store. */
export interface LoadScheduler {
    /** Asks for a turn; `start` is called with `true` when it has come, and with `false` when the time is over. */
    readonly schedule: (
        load: LoadRequest,
        onDecision: (isAdmitted: boolean) => void,
        now: Milliseconds,
    ) => ScheduledLoad;
    /** Takes in the counts of another instance. */
    readonly handleCounts: (from: InstanceId, counts: LoadCounts, now: Milliseconds) => void;
    /** Drops the counts of instances that are out of hearing. */
    readonly pruneCounts: (reachable: readonly InstanceId[], now: Milliseconds) => void;
    readonly readCounts: (now: Milliseconds) => LoadCounts;
    readonly readStatus: (now: Milliseconds) => LoadStatus;
    /** Drops loads whose time is over. */
    readonly expire: (now: Milliseconds) => void;
    /** Time that a load takes when the store has room. */
    readonly readBaseDuration: () => Milliseconds;
    /** Time that a load takes which begins now. */
    readonly estimateDuration: () => Milliseconds;
}

interface QueuedLoad {
    load: LoadRequest;
    readonly onDecision: (isAdmitted: boolean) => void;
    startedAt: Milliseconds;
    /** Loads on their way, summed over time up to this one's start. */
    inFlightIntegralAtStart: number;
}

/** Loads that would be on time only just are as good as late: more may begin before they end. */
const durationSafetyFactor = 1.2;

/**
 * Creates the gate.
 *
 * @param onCountsChange - called when the counts of this instance may have changed
 * @returns a gate with nothing on its way
 */
export function createLoadScheduler(onCountsChange: () => void): LoadScheduler {
    const capacity = createStoreCapacity();
    const others = new Map<InstanceId, LoadCounts>();
    const waiting: QueuedLoad[] = [];
    let running = 0;
    // loads on their way, summed over time; what a load adds to it, over its duration, is the mean count in its time
    let inFlightIntegral = 0;
    let integratedAt: Milliseconds | undefined;
    const sumOthers = (read: (counts: LoadCounts) => number): number =>
        [...others.values()].reduce((sum, counts) => sum + read(counts), 0);
    const countInFlight = (): number => running + sumOthers(counts => counts.running);
    // to be called before each change of the counts
    const updateInFlightIntegral = (now: Milliseconds): void => {
        inFlightIntegral += countInFlight() * Math.max(0, now - (integratedAt ?? now));
        integratedAt = now;
    };
    // end of a load that begins now
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
            // those that come late anyway go when nobody else needs the store
            return othersOnTime === 0 && (hasFreeCapacity || running === 0);
        }
        const ownDemand = running + onTime;
        const totalDemand = ownDemand + othersOnTime + sumOthers(counts => counts.running);
        const share = Math.max(1, Math.ceil(capacity.readLimit() * ownDemand / totalDemand));
        // one load may always be on its way, so that no instance waits for others for ever
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
            const entry: QueuedLoad = { load, onDecision: onDecision, startedAt: now, inFlightIntegralAtStart: 0 };
            waiting.push(entry);
            startNext(now);
            onCountsChange();
            return {
                extend: more => entry.load = mergeRequests(entry.load, more),
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

// those that can still be on time go first, the more urgent before others, and else the one whose time ends first
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
