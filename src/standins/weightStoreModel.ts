/**
 * Model of the weight store: a limited rate of starts, full speed up to a number of loads in flight, and
 * proportionally slower beyond. It has no timers; its owner asks `nextEventAt` and calls `advance`.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Settings of the weight store. */
export interface WeightStoreOptions {
    /** Starts a second. */
    readonly loadsPerSecond: number;
    /** Starts at once after a quiet time. */
    readonly loadBurst: number;
    /** Loads in flight that still run at full speed. */
    readonly loadsInFlight: number;
    /** Time of one load at full speed. */
    readonly loadDuration: Milliseconds;
}

/** One load as the store saw it. */
export interface StoreLoad {
    readonly name: string;
    readonly askedAt: Milliseconds;
    /** Undefined while the store's rate holds it back. */
    startedAt: Milliseconds | undefined;
    endedAt: Milliseconds | undefined;
}

/** What the store saw; checks and benches read it. */
export interface WeightStoreRecord {
    readonly loads: readonly StoreLoad[];
    /** Loads that came faster than the rate and had to wait. */
    readonly overRate: number;
    /** Most loads in flight at once. */
    readonly peakInFlight: number;
}

/** A weight store. */
export interface WeightStoreModel {
    /** Asks for weights; the load has ended once `endedAt` is set. */
    readonly start: (name: string, now: Milliseconds) => StoreLoad;
    /** Gives up a load, as when its engine restarts. */
    readonly cancel: (load: StoreLoad) => void;
    readonly nextEventAt: () => Milliseconds | undefined;
    readonly advance: (now: Milliseconds) => void;
    readonly read: () => WeightStoreRecord;
}

interface RunningLoad {
    readonly load: StoreLoad;
    /** Work left, in milliseconds at full speed. */
    left: Milliseconds;
}

const completionToleranceMilliseconds = 1e-6;

/**
 * Creates a weight store.
 *
 * @param options - its rate and speed
 * @returns the store
 */
export function createWeightStoreModel(options: WeightStoreOptions): WeightStoreModel {
    const interval = 1_000 / options.loadsPerSecond;
    const loads: StoreLoad[] = [];
    let waiting: StoreLoad[] = [];
    let running: RunningLoad[] = [];
    let time: Milliseconds = 0;
    // time at which the next start is within the rate when no burst is left
    let nextStartAt: Milliseconds = -interval * options.loadBurst;
    let overRate = 0;
    let peakInFlight = 0;

    const computeSpeed = (): number => Math.min(1, options.loadsInFlight / Math.max(1, running.length));
    const computeStartTime = (): Milliseconds => nextStartAt - interval * (options.loadBurst - 1);
    const beginLoad = (load: StoreLoad): void => {
        nextStartAt = Math.max(nextStartAt, time) + interval;
        load.startedAt = time;
        running.push({ load, left: options.loadDuration });
        peakInFlight = Math.max(peakInFlight, running.length);
    };
    const computeNextEvent = (): Milliseconds | undefined => {
        const ends = running.map(entry => time + entry.left / computeSpeed());
        const starts = waiting.length > 0 ? [Math.max(time, computeStartTime())] : [];
        const events = [...ends, ...starts];
        return events.length > 0 ? Math.min(...events) : undefined;
    };
    const advanceTo = (target: Milliseconds): void => {
        const done = (target - time) * computeSpeed();
        time = target;
        for (const entry of running) {
            entry.left -= done;
            if (entry.left <= completionToleranceMilliseconds) {
                entry.load.endedAt = time;
            }
        }
        running = running.filter(entry => entry.load.endedAt === undefined);
        while (waiting.length > 0 && computeStartTime() <= time) {
            beginLoad(waiting.shift()!);
        }
    };
    const advance = (now: Milliseconds): void => {
        for (let next = computeNextEvent(); next !== undefined && next <= now; next = computeNextEvent()) {
            advanceTo(next);
        }
        advanceTo(Math.max(time, now));
    };
    return {
        start: (name, now) => {
            advance(now);
            const load: StoreLoad = { name, askedAt: time, startedAt: undefined, endedAt: undefined };
            loads.push(load);
            if (waiting.length === 0 && computeStartTime() <= time) {
                beginLoad(load);
            }
            else {
                overRate++;
                waiting.push(load);
            }
            return load;
        },
        cancel: load => {
            waiting = waiting.filter(entry => entry !== load);
            running = running.filter(entry => entry.load !== load);
        },
        nextEventAt: computeNextEvent,
        advance,
        read: () => ({ loads, overRate, peakInFlight }),
    };
}
