/**
 * Upkeep of the engines whose shards this instance holds: engines that take no more requests are withdrawn and their
 * adapters asked for elsewhere, outdated adapters are replaced, and engines without a model are asked for their state.
 *
 * @packageDocumentation
 */
import type { ServerRunId } from "../serving/types.js";
import type { Clock, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { AdapterMover } from "./adapterMover.js";
import type { AdapterVersions } from "./adapterVersions.js";
import type { EngineManager } from "./engineManager.js";
import { type AdapterKey, parseAdapterKey } from "./messages.js";

/** Dependencies of the upkeep. */
export interface EngineUpkeepOptions {
    readonly clock: Clock;
    /** Managers of the engines that are held here. */
    readonly managers: ReadonlyMap<ServerRunId, EngineManager>;
    readonly versions: Pick<AdapterVersions, "listNewest">;
    /** Whether a run of a server takes requests. */
    readonly isServing: (run: ServerRunId) => boolean;
    /** Asks to have adapters loaded on other engines of a service, the most important first. */
    readonly moveAdapters: AdapterMover["move"];
}

/** Upkeep of engines. */
export interface EngineUpkeep {
    /** Withdraws engines: their waiting loads are dropped, and their adapters are asked for elsewhere. */
    readonly withdraw: (runs: readonly ServerRunId[]) => void;
    /** Records an engine that is withdrawn from the start, as it takes no requests now. */
    readonly markWithdrawn: (run: ServerRunId) => void;
    /** Withdraws engines that take no more requests, and restores those that do again. */
    readonly check: () => void;
    readonly replaceOutdated: () => void;
    /** Fetches reports of engines without a model, to see whether they have one now. */
    readonly refreshEmpty: () => void;
    /** Forgets an engine that isn't held any more. */
    readonly remove: (run: ServerRunId) => void;
}

/** Lowest priority, so that outdated versions are replaced only after the loads that client requests wait for. */
const replacementLoadParameters = { priority: 10, usefulFor: 0, patience: 1_000 };
/** Interval between report fetches from engines that have no base model loaded. */
const missingModelCheckIntervalMilliseconds: Milliseconds = 500;

/**
 * Creates the upkeep without withdrawn engines.
 *
 * @param options - managers of the engines, and what is known of their servers
 * @returns the upkeep
 */
export function createEngineUpkeep(options: EngineUpkeepOptions): EngineUpkeep {
    const { clock, managers, versions } = options;
    const withdrawn = new Set<ServerRunId>();
    let missingModelsCheckedAt = Number.NEGATIVE_INFINITY;
    const withdraw = (runs: readonly ServerRunId[]): void => {
        const left = runs.filter(run => !withdrawn.has(run)).flatMap(run => managers.get(run) ?? []);
        left.forEach(manager => {
            withdrawn.add(manager.run);
            manager.dropWaitingLoads();
        });
        for (const service of new Set(left.map(manager => manager.service))) {
            const ofService = left.filter(manager => manager.service === service);
            options.moveAdapters(service, mergeBusiest(ofService.map(manager => manager.listBusiest())));
        }
    };
    // what an engine holds may have changed while it got no orders
    const restore = (run: ServerRunId): void => {
        const manager = managers.get(run);
        withdrawn.delete(run);
        if (manager) {
            startTask("report of an engine", manager.refresh);
        }
    };
    return {
        withdraw,
        markWithdrawn: run => void withdrawn.add(run),
        check: () => {
            withdraw([...managers.keys()].filter(run => !options.isServing(run)));
            [...withdrawn].filter(options.isServing).forEach(restore);
        },
        replaceOutdated: () => {
            const newest = versions.listNewest();
            // an engine that takes no orders would only use turns at the weight store
            for (const manager of [...managers.values()].filter(({ run }) => !withdrawn.has(run))) {
                for (const key of manager.listOutdated(newest)) {
                    const version = newest.get(key);
                    const load = { ...parseAdapterKey(key), version, wasDenied: false, ...replacementLoadParameters };
                    startTask("replace an adapter", () => manager.ensure(load));
                }
            }
        },
        refreshEmpty: () => {
            if (clock.now() - missingModelsCheckedAt < missingModelCheckIntervalMilliseconds) {
                return;
            }
            missingModelsCheckedAt = clock.now();
            for (const manager of managers.values()) {
                if (!manager.hasModel() && !withdrawn.has(manager.run)) {
                    startTask("report of an engine", manager.refresh);
                }
            }
        },
        remove: run => void withdrawn.delete(run),
    };
}

// the busiest of each engine first, as the demands of different engines aren't compared
function mergeBusiest(lists: readonly (readonly AdapterKey[])[]): readonly AdapterKey[] {
    const length = Math.max(0, ...lists.map(list => list.length));
    const ranks = Array.from({ length }, (unused, rank) => lists.flatMap(list => list[rank] ?? []));
    return [...new Set(ranks.flat())];
}
