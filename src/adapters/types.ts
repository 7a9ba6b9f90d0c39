/**
 * Interfaces to engines and to the shard group. An order is a command to load or unload a model or an adapter on one
 * engine; only the instance that holds the engine's shard may send orders to it.
 *
 * @packageDocumentation
 */
import type { BackendServer, LoadedModel, StoreError } from "../serving/types.js";
import type { Milliseconds, Result } from "../shared/index.js";
import type { Assignment } from "./fencingNumbers.js";

/** Shards that the store has assigned to a member; the generation increases with each change of the group. */
export interface ShardMembership extends Assignment {
    readonly shards: readonly number[];
}

/** Group of instances among which the store distributes the shards of engines. */
export interface ShardGroup {
    readonly join: (
        member: string,
        generation: number,
        ttl: Milliseconds,
    ) => Promise<Result<ShardMembership, StoreError>>;
    readonly leave: (member: string) => Promise<Result<undefined, StoreError>>;
    /** Lists the shards that are assigned, with the members that hold them. */
    readonly listOwners: () => Promise<Result<readonly ShardOwner[], StoreError>>;
}

/** Assignment of one shard. */
export interface ShardOwner {
    readonly shard: number;
    readonly member: string;
}

/** Command to an engine to load or unload a model or an adapter. */
export interface EngineOrder {
    readonly action: "load" | "unload";
    readonly model: string;
    /** `undefined` when the order is about the model itself. */
    readonly adapter: string | undefined;
    /** `undefined` for the newest version. */
    readonly version: number | undefined;
    /** Number of orders that the engine must have accepted so far; the engine refuses the order otherwise. */
    readonly expectedSequence: number | undefined;
    /** Name of the instance that sends the order. */
    readonly holder: string;
    /** Increases with each change of the shard group, so that an engine can refuse orders of previous holders. */
    readonly fencingNumber: number;
}

/** Outcome of an order. */
export type OrderOutcome =
    /** The engine is in the ordered state, through this order or already before it. */
    | { readonly kind: "done"; }
    /** The engine executes the order. */
    | { readonly kind: "accepted"; }
    /** The engine's count of accepted orders differs from the expected one, or it is executing another order. */
    | { readonly kind: "conflict"; readonly detail: string; }
    /** The engine has seen a higher fencing number from another holder. */
    | { readonly kind: "fenced"; }
    /** Another backend server answers at the engine's address. */
    | { readonly kind: "otherServer"; }
    | { readonly kind: "refused"; readonly status: number; readonly detail: string; }
    /** The order was not sent. */
    | { readonly kind: "unreachable"; }
    /** No response: the engine may have accepted the order, or may still execute it later. */
    | { readonly kind: "unknown"; };

/** State that an engine reports; it lags behind the engine by some hundred milliseconds. */
export interface EngineReport {
    /** Start of the process as Unix time; `undefined` when the engine doesn't report it. */
    readonly startedAt: Milliseconds | undefined;
    /** Number of orders that the engine has accepted since its start. */
    readonly sequence: number;
    readonly models: readonly LoadedModel[];
    /** Adapters that are being loaded. */
    readonly pending: readonly { readonly model: string; readonly adapter: string; readonly version: number; }[];
    /** What runs on the engine; missing where the report doesn't say all of it. */
    readonly load?: EngineReportLoad | undefined;
}

/** Requests and memory that an engine reports. */
export interface EngineReportLoad {
    readonly running: number;
    readonly queued: number;
    /** Memory for requests and cached parts of prompts that is in use, and all of it, in tokens. */
    readonly usedTokens: number;
    readonly totalTokens: number;
}

/** Reason for a missing report. */
export interface ReportError {
    readonly kind: "unanswered";
    readonly detail: string;
}

/** What any response of an engine may say about the engine itself. */
export interface EngineNotice {
    /** Whether the engine announces that it is about to stop. @default false */
    readonly isLeaving?: boolean;
}

/** Client for the control interface of engines. */
export interface EngineControl {
    /** Sends an order to an engine. */
    readonly order: (server: BackendServer, order: EngineOrder) => Promise<OrderOutcome & EngineNotice>;
    /** Fetches an engine's report. */
    readonly report: (
        server: BackendServer,
    ) => Promise<Result<EngineReport & EngineNotice, ReportError & EngineNotice>>;
}
