/**
 * Messages between instances about adapters on engines. An engine is a backend server that runs base models with LoRA
 * adapters. Engines are grouped into shards; only the instance that holds an engine's shard sends load and unload
 * orders to that engine.
 *
 * @packageDocumentation
 */
import type { ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { LoadCounts } from "./loadScheduler.js";

/** Key of an adapter: `MODEL/ADAPTER`. */
export type AdapterKey = string;

/** An adapter that became resident on an engine or was removed from it. */
export interface ResidencyChange {
    readonly run: ServerRunId;
    readonly model: string;
    readonly adapter: string;
    /** `undefined` when the adapter was removed. */
    readonly version: number | undefined;
}

/** Models and adapters that are resident on an engine. */
export interface EngineTable {
    readonly run: ServerRunId;
    readonly models: readonly {
        readonly name: string;
        readonly adapters: readonly (readonly [name: string, version: number])[];
    }[];
}

/** Use of an adapter by one instance. */
export interface AdapterUse {
    readonly run: ServerRunId;
    readonly key: AdapterKey;
    /** Requests started since the previous message. */
    readonly started: number;
    /** Requests in flight now. */
    readonly inFlight: number;
}

/**
 * Outcome of an ensure request. `notHolder`: the instance asked doesn't hold the engine's shard, or didn't respond;
 * `full`: the engine has no slot that can be freed now, or is busy with another order; `expired`: the load was not
 * started before the requests that waited for it stopped waiting; `failed`: the engine refused the load, or it isn't
 * known whether the load has ended; `unreachable`: the order was not sent, or another backend server answers at the
 * engine's address.
 */
export type EnsureOutcome = "resident" | "notHolder" | "full" | "expired" | "failed" | "unreachable";

/** Request to the holder of an engine's shard to have a model or an adapter on that engine. */
export interface EnsureRequest {
    readonly model: string;
    readonly adapter: string | undefined;
    /** Oldest acceptable version; `undefined` for any. */
    readonly version: number | undefined;
    /** Whether the engine has refused a request because it doesn't hold the adapter that the request names. */
    readonly wasDenied: boolean;
    /** Priority of the waiting client request; 0 goes first. */
    readonly priority: number;
    /** Time left for the load if the client request is to be answered within its target latency. */
    readonly usefulFor: Milliseconds;
    /** Time until the client request stops waiting for the load. */
    readonly patience: Milliseconds;
}

/** Result of an ensure request. */
export interface EnsureResult {
    readonly outcome: EnsureOutcome;
    /** Version of the adapter that the outcome is about; `undefined` when there is none, as for a base model. */
    readonly version: number | undefined;
}

/** Message between instances about adapters. */
export type AdapterMessage =
    | EnsureRequest & { readonly kind: "ensure"; readonly run: ServerRunId; }
    | EnsureResult & { readonly kind: "ensured"; }
    | { readonly kind: "tables"; readonly tables: readonly EngineTable[]; }
    | { readonly kind: "changes"; readonly changes: readonly ResidencyChange[]; }
    | { readonly kind: "uses"; readonly uses: readonly AdapterUse[]; }
    | LoadCounts & { readonly kind: "loads"; }
    | { readonly kind: "holding"; readonly shards: readonly number[]; readonly generation: number; }
    /** The sender has released a shard; `sinceLastOrder` is the time since it last sent an order for it. */
    | {
        readonly kind: "released";
        readonly shard: number;
        readonly generation: number;
        readonly sinceLastOrder: Milliseconds;
    };

/**
 * Formats the key under which an adapter is stored in maps and messages.
 *
 * @param model - name of its base model
 * @param adapter - name of the adapter
 * @returns `MODEL/ADAPTER`
 */
export function formatAdapterKey(model: string, adapter: string): AdapterKey {
    return `${model}/${adapter}`;
}
