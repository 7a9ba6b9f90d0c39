/**
 * Exchanges loads among the holders of shards, whose number doesn't depend on the number of instances: each tells the
 * others its loads from the weight store, which they share, and how full its engines are.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import type { BackendServer } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { sumEngineLoad } from "./engineSelection.js";
import type { LoadScheduler } from "./loadScheduler.js";
import type { HolderLoad } from "./messages.js";

/** Loads of all holders. */
export interface HolderLoads {
    /** Tells the other holders of changed loads, after a short time that collects more changes. */
    readonly publishSoon: () => void;
    /** Stores the loads of another holder. */
    readonly handle: (from: InstanceId, load: HolderLoad) => void;
    /** Mean load of the engines of a service over all holders; 1 is a full engine. */
    readonly readMeanLoad: (service: string) => number;
    /** Forgets instances that no longer hold shards, and publishes what changed; must be called regularly. */
    readonly tick: () => void;
}

/** Dependencies of the exchange. */
export interface HolderLoadsOptions {
    readonly clock: Clock;
    readonly loadScheduler: LoadScheduler;
    readonly records: ServerRecords;
    /** Services that have engines. */
    readonly listServices: () => readonly string[];
    /** Engines of a service whose shards this instance holds. */
    readonly listHeldEngines: (service: string) => readonly BackendServer[];
    /** The other holders that respond. */
    readonly listOthers: () => readonly InstanceId[];
    readonly send: (to: InstanceId, load: HolderLoad) => void;
}

/** Minimum interval between two messages, per holder that receives them. */
const publishIntervalMillisecondsPerHolder = 2;
const minimumPublishIntervalMilliseconds = 10;
/** Change of the engines' load, as a fraction of their slots, that is told to the other holders. */
const toldLoadChange = 0.05;
/** Time after which loads that haven't changed are told again, for instances that hold shards only since then. */
const repeatMilliseconds: Milliseconds = 1_000;

/**
 * Creates the exchange without loads of others.
 *
 * @param options - own loads and the other holders
 * @returns the exchange
 */
export function createHolderLoads(options: HolderLoadsOptions): HolderLoads {
    const { clock, loadScheduler } = options;
    const others = new Map<InstanceId, HolderLoad>();
    let published: HolderLoad = { running: 0, waiting: 0, engines: [] };
    let publishedAt = Number.NEGATIVE_INFINITY;
    let isPublishing = false;
    const sumHeld = (service: string): readonly [string, number, number] => {
        const { requests, slots } = sumEngineLoad(options.listHeldEngines(service), options.records, clock.now());
        return [service, requests, slots];
    };
    const readOwn = (): HolderLoad => ({
        ...loadScheduler.readCounts(clock.now()),
        engines: options.listServices().map(sumHeld).filter(([, , slots]) => slots > 0),
    });
    const hasChanged = (own: HolderLoad): boolean =>
        own.running !== published.running || own.waiting !== published.waiting ||
        own.engines.length !== published.engines.length ||
        own.engines.some(([service, requests, slots]) => {
            const told = published.engines.find(entry => entry[0] === service);
            return !told || told[2] !== slots || Math.abs(told[1] - requests) > slots * toldLoadChange;
        });
    const isHolder = (own: HolderLoad): boolean => own.engines.length > 0 || published.engines.length > 0;
    const publish = (): void => {
        const own = readOwn();
        const isDue = clock.now() - publishedAt >= repeatMilliseconds;
        if (isHolder(own) && (hasChanged(own) || isDue)) {
            published = own;
            publishedAt = clock.now();
            options.listOthers().forEach(holder => options.send(holder, own));
        }
    };
    const publishSoon = (): void => {
        if (isPublishing) {
            return;
        }
        isPublishing = true;
        const pause = Math.max(
            minimumPublishIntervalMilliseconds,
            options.listOthers().length * publishIntervalMillisecondsPerHolder,
        );
        const waitAndPublish = async (): Promise<void> => {
            try {
                await clock.sleep(pause);
            }
            finally {
                isPublishing = false;
            }
            publish();
        };
        startTask("publish loads", waitAndPublish);
    };
    return {
        publishSoon,
        handle: (from, load) => {
            others.set(from, load);
            loadScheduler.handleCounts(from, load, clock.now());
        },
        readMeanLoad: service => {
            const entries = [...others.values()].flatMap(load => load.engines).filter(entry => entry[0] === service);
            entries.push(sumHeld(service));
            const slots = entries.reduce((sum, entry) => sum + entry[2], 0);
            return entries.reduce((sum, entry) => sum + entry[1], 0) / Math.max(1, slots);
        },
        tick: () => {
            const holders = options.listOthers();
            [...others.keys()].filter(holder => !holders.includes(holder)).forEach(holder => others.delete(holder));
            loadScheduler.pruneCounts(holders, clock.now());
            // waiting loads become late as time passes, without an event that would publish the counts
            publishSoon();
        },
    };
}
