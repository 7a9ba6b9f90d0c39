/**
 * Messages between instances about adapters on engines.
 *
 * @packageDocumentation
 */
import type { ServerRun } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { LoadCounts } from "./loadScheduler.js";

/** Name of an adapter of a model: `MODEL/ADAPTER`. */
export type AdapterKey = string;

/** An adapter that came to an engine or left it. */
export interface ResidencyChange {
    readonly run: ServerRun;
    readonly model: string;
    readonly adapter: string;
    /** `undefined` when it left. */
    readonly version: number | undefined;
}

/** Everything that an engine holds. */
export interface EngineTable {
    readonly run: ServerRun;
    readonly models: readonly {
        readonly name: string;
        readonly adapters: readonly (readonly [name: string, version: number])[];
    }[];
}

/** Use of an adapter by one instance since its last report. */
export interface AdapterUse {
    readonly run: ServerRun;
    readonly key: AdapterKey;
    readonly started: number;
    readonly inFlight: number;
}

/**
 * What became of a wish to have an adapter on an engine. `full`: the engine has no place or is busy; `expired`: the load's turn
 * did not come in the time of those that waited for it.
 */
export type EnsureOutcome = "resident" | "notHolder" | "full" | "expired" | "failed" | "unreachable";

/** What an instance wants to have on an engine. */
export interface EnsureRequest {
    readonly model: string;
    readonly adapter: string | undefined;
    readonly version: number | undefined;
    /** The engine has said that it doesn't hold the adapter. */
    readonly wasDenied: boolean;
    /** Of the request that waits; 0 goes first. */
    readonly priority: number;
    /** Time in which the request can still be answered within its target. */
    readonly usefulFor: Milliseconds;
    /** Time that the request waits. */
    readonly patience: Milliseconds;
}

/** Result of a wish. */
export interface EnsureResult {
    readonly outcome: EnsureOutcome;
    readonly version: number | undefined;
}

/** Message about adapters. */
export type AdapterMessage =
    | EnsureRequest & { readonly kind: "ensure"; readonly run: ServerRun; }
    | EnsureResult & { readonly kind: "ensured"; }
    | { readonly kind: "tables"; readonly tables: readonly EngineTable[]; }
    | { readonly kind: "changes"; readonly changes: readonly ResidencyChange[]; }
    | { readonly kind: "uses"; readonly uses: readonly AdapterUse[]; }
    | LoadCounts & { readonly kind: "loads"; }
    | { readonly kind: "holding"; readonly shards: readonly number[]; readonly generation: number; }
    /** A shard was given up; tells how long ago its last order was sent. */
    | {
        readonly kind: "released";
        readonly shard: number;
        readonly generation: number;
        readonly sinceLastOrder: Milliseconds;
    };

/**
 * Formats the key of an adapter.
 *
 * @param model - name of its model
 * @param adapter - name of the adapter
 * @returns the key
 */
export function formatAdapterKey(model: string, adapter: string): AdapterKey {
    return `${model}/${adapter}`;
}
