/**
 * Index of the models and adapters that are resident on the engines whose shards this instance holds.
 *
 * @packageDocumentation
 */
import type { LoadedModel, ServerRunId } from "../serving/types.js";
import { type AdapterKey, type EngineTable, formatAdapterKey, type ResidencyChange } from "./messages.js";

/** Index of resident models and adapters. */
export interface ResidencyIndex {
    readonly hasModel: (run: ServerRunId, model: string) => boolean;
    /** Version of an adapter on an engine; `undefined` when the adapter isn't resident there. */
    readonly findVersion: (run: ServerRunId, key: AdapterKey) => number | undefined;
    /** Engines on which an adapter is resident; the set is live and must not be changed. */
    readonly listEngines: (key: AdapterKey) => ReadonlySet<ServerRunId>;
    readonly apply: (change: ResidencyChange) => void;
    /** Replaces all that is known of one engine. */
    readonly replace: (table: EngineTable) => void;
    /** Adds the models that a backend server lists in its own entry, unless the engine is already known. */
    readonly seed: (run: ServerRunId, models: readonly LoadedModel[]) => void;
    readonly remove: (run: ServerRunId) => void;
}

interface EngineEntry {
    readonly models: Set<string>;
    readonly adapters: Map<AdapterKey, number>;
}

const noEngines: ReadonlySet<ServerRunId> = new Set();

/**
 * Creates an empty index.
 *
 * @returns the index, owned by the caller
 */
export function createResidencyIndex(): ResidencyIndex {
    const entries = new Map<ServerRunId, EngineEntry>();
    const enginesByAdapter = new Map<AdapterKey, Set<ServerRunId>>();
    const getOrCreateEntry = (run: ServerRunId): EngineEntry => {
        const entry = entries.get(run) ?? { models: new Set<string>(), adapters: new Map<AdapterKey, number>() };
        entries.set(run, entry);
        return entry;
    };
    const removeAdapter = (run: ServerRunId, key: AdapterKey): void => {
        entries.get(run)?.adapters.delete(key);
        const engines = enginesByAdapter.get(key);
        engines?.delete(run);
        if (engines?.size === 0) {
            enginesByAdapter.delete(key);
        }
    };
    const addAdapter = (run: ServerRunId, key: AdapterKey, version: number): void => {
        getOrCreateEntry(run).adapters.set(key, version);
        const engines = enginesByAdapter.get(key) ?? new Set<ServerRunId>();
        engines.add(run);
        enginesByAdapter.set(key, engines);
    };
    const remove = (run: ServerRunId): void => {
        const entry = entries.get(run);
        [...(entry?.adapters.keys() ?? [])].forEach(key => removeAdapter(run, key));
        entries.delete(run);
    };
    const replace = (table: EngineTable): void => {
        remove(table.run);
        for (const model of table.models) {
            getOrCreateEntry(table.run).models.add(model.name);
            model.adapters.forEach(([name, version]) =>
                addAdapter(table.run, formatAdapterKey(model.name, name), version)
            );
        }
    };
    return {
        hasModel: (run, model) => entries.get(run)?.models.has(model) ?? false,
        findVersion: (run, key) => entries.get(run)?.adapters.get(key),
        listEngines: key => enginesByAdapter.get(key) ?? noEngines,
        apply: change => {
            const key = formatAdapterKey(change.model, change.adapter);
            if (change.version === undefined) {
                removeAdapter(change.run, key);
                return;
            }
            getOrCreateEntry(change.run).models.add(change.model);
            addAdapter(change.run, key, change.version);
        },
        replace,
        seed: (run, models) => {
            if (!entries.has(run)) {
                const tableModels = models.map(model => ({
                    name: model.name,
                    adapters: model.adapters.map(adapter => [adapter.name, adapter.version] as const),
                }));
                replace({ run, models: tableModels });
            }
        },
        remove,
    };
}
