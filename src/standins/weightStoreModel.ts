/**
 * Model of the weight store. The rate at which loads start is limited. Loads run at full speed up to a number of loads
 * in flight, and proportionally slower above it. The model has no timers: its owner reads `nextEventAt` and calls
 * `advance`.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Options of a weight store model. */
export interface WeightStoreOptions {
    /** Load starts per second that are allowed on average. */
    readonly loadsPerSecond: number;
    /** Load starts that are allowed at once after an idle period. */
    readonly loadBurst: number;
    /** Number of loads in flight up to which each runs at full speed. */
    readonly loadsInFlight: number;
    /** Duration of a load at full speed. */
    readonly loadDuration: Milliseconds;
}

/** A load in the store's record. */
export interface StoreLoad {
    readonly name: string;
    readonly askedAt: Milliseconds;
    /** `undefined` while the load waits for the rate limit. */
    startedAt: Milliseconds | undefined;
    /** `undefined` until the load has finished; stays so if it is cancelled. */
    endedAt: Milliseconds | undefined;
}

/** The store's record, read by tests and benches. */
export interface WeightStoreRecord {
    readonly loads: readonly StoreLoad[];
    /** Number of loads that had to wait for the rate limit. */
    readonly overRate: number;
    /** Largest number of loads in flight at the same time. */
    readonly peakInFlight: number;
}

/** A simulated weight store. */
export interface WeightStoreModel {
    /** Requests a load; `advance` sets its `endedAt` when it has finished. */
    readonly start: (name: string, now: Milliseconds) => StoreLoad;
    /** Cancels a load, for example because its engine restarts. */
    readonly cancel: (load: StoreLoad) => void;
    /** Time at which the next load starts or ends, or `undefined` if there are no open loads. */
    readonly nextEventAt: () => Milliseconds | undefined;
    /** Simulates the time up to `now`. */
    readonly advance: (now: Milliseconds) => void;
    readonly read: () => WeightStoreRecord;
}

interface RunningLoad {
    readonly load: StoreLoad;
    /** Remaining duration of the load at full speed. */
    left: Milliseconds;
}

const completionToleranceMilliseconds = 1e-6;

/**
 * Creates a weight store model.
 *
 * @param options - start rate, burst, concurrency and duration of loads
 * @returns the store, without loads
 */
export function createWeightStoreModel(options: WeightStoreOptions): WeightStoreModel {
    const interval = 1_000 / options.loadsPerSecond;
    const loads: StoreLoad[] = [];
    let waiting: StoreLoad[] = [];
    let running: RunningLoad[] = [];
    let time: Milliseconds = 0;
    // time from which the next start is within the average rate, that is, without using the burst
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
