/**
 * Orders that place adapters on engines, and who may give them.
 *
 * @packageDocumentation
 */
import type { BackendServer, HeldModel, StoreError } from "../serving/types.js";
import type { Milliseconds, Result } from "../shared/index.js";

/** Shards that a member holds, as the store answered. */
export interface ShardMembership {
    /** Grows with each change of the group; the fencing number of orders decided under this answer. */
    readonly generation: number;
    readonly shards: readonly number[];
}

/** Group of instances among which the store deals the shards of engines. */
export interface ShardGroup {
    readonly join: (
        member: string,
        generation: number,
        ttl: Milliseconds,
    ) => Promise<Result<ShardMembership, StoreError>>;
    readonly leave: (member: string) => Promise<Result<undefined, StoreError>>;
}

/** An order to an engine. */
export interface EngineOrder {
    readonly action: "load" | "unload";
    readonly model: string;
    readonly adapter: string | undefined;
    /** The newest when `undefined`. */
    readonly version: number | undefined;
    /** Orders that the engine must have accepted so far. */
    readonly expectedSequence: number | undefined;
    readonly holder: string;
    readonly fencingNumber: number;
}

/** What became of an order. */
export type OrderOutcome =
    | { readonly kind: "done"; }
    | { readonly kind: "accepted"; }
    | { readonly kind: "conflict"; readonly detail: string; }
    /** Another holder has used a higher fencing number. */
    | { readonly kind: "fenced"; }
    | { readonly kind: "otherServer"; }
    | { readonly kind: "refused"; readonly status: number; readonly detail: string; }
    /** Never sent. */
    | { readonly kind: "unreachable"; }
    /** It may have been accepted, or may be carried out later. */
    | { readonly kind: "unknown"; };

/** What an engine tells of itself, as of some hundred milliseconds ago. */
export interface EngineReport {
    /** Start of the process as Unix time, where told. */
    readonly startedAt: Milliseconds | undefined;
    readonly sequence: number;
    readonly models: readonly HeldModel[];
    readonly pending: readonly { readonly model: string; readonly adapter: string; readonly version: number; }[];
}

/** Why there is no report. */
export interface ReportError {
    readonly kind: "unanswered";
    readonly detail: string;
}

/** Calls to engines. */
export interface EngineControl {
    readonly order: (server: BackendServer, order: EngineOrder) => Promise<OrderOutcome>;
    readonly report: (server: BackendServer) => Promise<Result<EngineReport, ReportError>>;
}
