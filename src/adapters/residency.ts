/**
 * Which adapters are on which engines, as the holders of the engines tell.
 *
 * @packageDocumentation
 */
import type { HeldModel, ServerRun } from "../serving/types.js";
import { type AdapterKey, type EngineTable, formatAdapterKey, type ResidencyChange } from "./messages.js";

/** Table of all engines. */
export interface Residency {
    readonly hasModel: (run: ServerRun, model: string) => boolean;
    /** Version of an adapter on an engine; `undefined` when it isn't there. */
    readonly findVersion: (run: ServerRun, key: AdapterKey) => number | undefined;
    readonly listEngines: (key: AdapterKey) => ReadonlySet<ServerRun>;
    readonly apply: (change: ResidencyChange) => void;
    readonly replace: (table: EngineTable) => void;
    /** Takes what a server says of itself where nothing is known of it yet. */
    readonly seed: (run: ServerRun, models: readonly HeldModel[]) => void;
    readonly remove: (run: ServerRun) => void;
}

interface EngineRow {
    readonly models: Set<string>;
    readonly adapters: Map<AdapterKey, number>;
}

const noEngines: ReadonlySet<ServerRun> = new Set();

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export function createResidency(): Residency {
    const rows = new Map<ServerRun, EngineRow>();
    const enginesOf = new Map<AdapterKey, Set<ServerRun>>();
    const findRow = (run: ServerRun): EngineRow => {
        const row = rows.get(run) ?? { models: new Set<string>(), adapters: new Map<AdapterKey, number>() };
        rows.set(run, row);
        return row;
    };
    const removeAdapter = (run: ServerRun, key: AdapterKey): void => {
        rows.get(run)?.adapters.delete(key);
        const engines = enginesOf.get(key);
        engines?.delete(run);
        if (engines?.size === 0) {
            enginesOf.delete(key);
        }
    };
    const addAdapter = (run: ServerRun, key: AdapterKey, version: number): void => {
        findRow(run).adapters.set(key, version);
        const engines = enginesOf.get(key) ?? new Set<ServerRun>();
        engines.add(run);
        enginesOf.set(key, engines);
    };
    const remove = (run: ServerRun): void => {
        const row = rows.get(run);
        [...(row?.adapters.keys() ?? [])].forEach(key => removeAdapter(run, key));
        rows.delete(run);
    };
    const replace = (table: EngineTable): void => {
        remove(table.run);
        for (const model of table.models) {
            findRow(table.run).models.add(model.name);
            model.adapters.forEach(([name, version]) =>
                addAdapter(table.run, formatAdapterKey(model.name, name), version)
            );
        }
    };
    return {
        hasModel: (run, model) => rows.get(run)?.models.has(model) ?? false,
        findVersion: (run, key) => rows.get(run)?.adapters.get(key),
        listEngines: key => enginesOf.get(key) ?? noEngines,
        apply: change => {
            const key = formatAdapterKey(change.model, change.adapter);
            if (change.version === undefined) {
                removeAdapter(change.run, key);
                return;
            }
            findRow(change.run).models.add(change.model);
            addAdapter(change.run, key, change.version);
        },
        replace,
        seed: (run, models) => {
            if (!rows.has(run)) {
                const named = models.map(model => ({
                    name: model.name,
                    adapters: model.adapters.map(adapter => [adapter.name, adapter.version] as const),
                }));
                replace({ run, models: named });
            }
        },
        remove,
    };
}
