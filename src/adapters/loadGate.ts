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
export interface WaitingLoad {
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
export interface LoadReading extends LoadCounts {
    readonly capacity: number;
}

/** A load at the gate. */
export interface GateEntry {
    /** One more request waits for the load. */
    readonly extend: (load: WaitingLoad) => void;
    /** The load has ended. `took` is `undefined` when it failed or its end isn't known exactly. */
    readonly leave: (took: Milliseconds | undefined, now: Milliseconds) => void;
}

/** Gate before the weight store. */
export interface LoadGate {
    /** Asks for a turn; `start` is called with `true` when it has come, and with `false` when the time is over. */
    readonly enter: (load: WaitingLoad, start: (isTurn: boolean) => void, now: Milliseconds) => GateEntry;
    /** Takes in the counts of another instance. */
    readonly handleCounts: (from: InstanceId, counts: LoadCounts, now: Milliseconds) => void;
    /** Drops the counts of instances that are out of hearing. */
    readonly keepHeard: (heard: readonly InstanceId[], now: Milliseconds) => void;
    readonly readCounts: (now: Milliseconds) => LoadCounts;
    readonly read: (now: Milliseconds) => LoadReading;
    /** Drops loads whose time is over. */
    readonly expire: (now: Milliseconds) => void;
    /** Time that a load takes when the store has room. */
    readonly readQuickest: () => Milliseconds;
    /** Time that a load takes which begins now. */
    readonly estimateDuration: () => Milliseconds;
}

interface Entry {
    load: WaitingLoad;
    readonly start: (isTurn: boolean) => void;
    startedAt: Milliseconds;
    /** Loads on their way, summed over time up to this one's start. */
    loadTimeAtStart: number;
}

/** Loads that would be on time only just are as good as late: more may begin before they end. */
const durationMargin = 1.2;

/**
 * Creates the gate.
 *
 * @param onCounts - called when the counts of this instance may have changed
 * @returns a gate with nothing on its way
 */
export function createLoadGate(onCounts: () => void): LoadGate {
    const capacity = createStoreCapacity();
    const others = new Map<InstanceId, LoadCounts>();
    const waiting: Entry[] = [];
    let running = 0;
    // loads on their way, summed over time; what a load adds to it, over its duration, is the mean count in its time
    let loadTime = 0;
    let loadTimeAt: Milliseconds | undefined;
    const sumOthers = (read: (counts: LoadCounts) => number): number =>
        [...others.values()].reduce((sum, counts) => sum + read(counts), 0);
    const countInFlight = (): number => running + sumOthers(counts => counts.running);
    // to be called before each change of the counts
    const updateLoadTime = (now: Milliseconds): void => {
        loadTime += countInFlight() * Math.max(0, now - (loadTimeAt ?? now));
        loadTimeAt = now;
    };
    // end of a load that begins now
    const estimateEnd = (now: Milliseconds): Milliseconds =>
        now + capacity.estimateDuration(countInFlight() + 1) * durationMargin;
    const countUseful = (now: Milliseconds): number => {
        const end = estimateEnd(now);
        return waiting.reduce((sum, entry) => sum + (entry.load.usefulUntil >= end ? 1 : 0), 0);
    };
    const readCounts = (now: Milliseconds): LoadCounts => ({ running, waiting: countUseful(now) });
    const isAllowed = (now: Milliseconds): boolean => {
        const useful = countUseful(now);
        const othersUseful = sumOthers(counts => counts.waiting);
        const isFree = countInFlight() < Math.floor(capacity.read());
        if (useful === 0) {
            // those that come late anyway go when nobody else needs the store
            return othersUseful === 0 && (isFree || running === 0);
        }
        const own = running + useful;
        const all = own + othersUseful + sumOthers(counts => counts.running);
        const share = Math.max(1, Math.ceil(capacity.read() * own / all));
        // one load may always be on its way, so that no instance waits for others for ever
        return running === 0 || (isFree && running < share);
    };
    const expire = (now: Milliseconds): void => {
        for (let index = waiting.length - 1; index >= 0; index--) {
            if (waiting[index]!.load.until <= now) {
                waiting.splice(index, 1)[0]!.start(false);
            }
        }
    };
    const startNext = (now: Milliseconds): void => {
        expire(now);
        while (waiting.length > 0 && isAllowed(now)) {
            const [entry] = waiting.splice(findNext(waiting, estimateEnd(now)), 1);
            updateLoadTime(now);
            entry!.startedAt = now;
            entry!.loadTimeAtStart = loadTime;
            running++;
            entry!.start(true);
            onCounts();
        }
    };
    const endLoad = (entry: Entry, took: Milliseconds | undefined, now: Milliseconds): void => {
        updateLoadTime(now);
        running--;
        if (took !== undefined && took > 0) {
            capacity.addLoad(took, (loadTime - entry.loadTimeAtStart) / Math.max(1, now - entry.startedAt));
        }
        startNext(now);
        onCounts();
    };
    return {
        enter: (load, start, now) => {
            const entry: Entry = { load, start, startedAt: now, loadTimeAtStart: 0 };
            waiting.push(entry);
            startNext(now);
            onCounts();
            return {
                extend: more => entry.load = mergeLoads(entry.load, more),
                leave: (took, endedAt) => endLoad(entry, took, endedAt),
            };
        },
        handleCounts: (from, counts, now) => {
            updateLoadTime(now);
            others.set(from, counts);
            startNext(now);
        },
        keepHeard: (heard, now) => {
            updateLoadTime(now);
            const kept = new Set(heard);
            [...others.keys()].filter(instance => !kept.has(instance)).forEach(instance => others.delete(instance));
            startNext(now);
        },
        readCounts,
        read: now => ({ ...readCounts(now), capacity: capacity.read() }),
        expire,
        readQuickest: capacity.readQuickest,
        estimateDuration: () => capacity.estimateDuration(countInFlight()),
    };
}

function mergeLoads(left: WaitingLoad, right: WaitingLoad): WaitingLoad {
    return {
        priority: Math.min(left.priority, right.priority),
        usefulUntil: Math.max(left.usefulUntil, right.usefulUntil),
        until: Math.max(left.until, right.until),
    };
}

function findNext(waiting: readonly Entry[], inTime: Milliseconds): number {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
        if (isBefore(waiting[index]!.load, waiting[best]!.load, inTime)) {
            best = index;
        }
    }
    return best;
}

// those that can still be on time go first, the more urgent before others, and else the one whose time ends first
function isBefore(left: WaitingLoad, right: WaitingLoad, inTime: Milliseconds): boolean {
    const isLeftUseful = left.usefulUntil >= inTime;
    const isRightUseful = right.usefulUntil >= inTime;
    if (isLeftUseful !== isRightUseful) {
        return isLeftUseful;
    }
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.usefulUntil < right.usefulUntil;
}
