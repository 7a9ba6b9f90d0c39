/**
 * Messages between the placement tasks of two instances. Any of them may be lost, duplicated or delayed: the sender
 * repeats those that need an answer, and the receiver rejects those with an outdated fencing number.
 *
 * @packageDocumentation
 */
import type { EngineIncarnation } from "../backends/index.js";
import type { AdapterId, BackendServerId, FencingNumber, InstanceId, Milliseconds } from "../shared/index.js";

/**
 * Name of one load, `ADAPTER@VERSION#GENERATION`. A load is one copy of an adapter version in an adapter slot of an
 * engine; the generation is unique for each time that the adapter is loaded.
 */
export type LoadName = string;

/** An adapter in one version, on any engine: `ADAPTER@VERSION`. */
export type AdapterVersionKey = string;

/** Number of requests that run on a load. */
export interface RunningCount {
    readonly name: LoadName;
    readonly count: number;
}

/** A load that failed recently. */
export interface FailedLoad {
    readonly key: AdapterVersionKey;
    /** Increases by one with each failed load of the owner. */
    readonly number: number;
    readonly detail: string;
}

/** State of an engine as its owner publishes it to all instances. */
export interface EngineTable {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    readonly fencingNumber: FencingNumber;
    /** Increases with each table of the same owner. */
    readonly sequence: number;
    readonly resident: readonly LoadName[];
    /** Loads that are being evicted; they get no new requests. */
    readonly retiring: readonly LoadName[];
    /** Adapters that are being loaded or that wait for an adapter slot or a load permit. */
    readonly loading: readonly AdapterVersionKey[];
    readonly failed: readonly FailedLoad[];
    /** Requests of all instances, as each instance last declared them. */
    readonly running: readonly RunningCount[];
    readonly inFlight: number;
}

/** Difference between two consecutive tables of one owner. A field that is missing has not changed. */
export interface EngineTableChange {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    readonly fencingNumber: FencingNumber;
    /** Sequence number of the table that the change applies to. */
    readonly baseSequence: number;
    readonly sequence: number;
    readonly inFlight: number;
    /** Loads that became resident. */
    readonly added?: readonly LoadName[];
    /** Loads that are no longer resident. */
    readonly removed?: readonly LoadName[];
    readonly retiring?: readonly LoadName[];
    readonly loading?: readonly AdapterVersionKey[];
    readonly failed?: readonly FailedLoad[];
    /** Counts that changed; the count is 0 for a load without requests. */
    readonly running?: readonly RunningCount[];
}

/** Requests of one instance that wait for the same adapter version. */
export interface WaitingDemand {
    readonly key: AdapterVersionKey;
    readonly interactive: number;
    readonly overnight: number;
    /** Those of the requests whose adapter is resident and that wait for a batch slot. */
    readonly queued: number;
    /** How long the oldest of these requests has waited. */
    readonly oldestWait: Milliseconds;
}

/** Number of requests for one adapter that arrived since the last message. */
export interface ArrivalCount {
    readonly adapter: AdapterId;
    readonly interactive: number;
    readonly overnight: number;
}

/** A message between placement tasks. */
export type PlacementMessage =
    /** Sent to an engine's owner: requests use leases and declares the running requests of the sender. */
    | {
        readonly kind: "useRenew";
        readonly engine: BackendServerId;
        /** Time of sending by the monotonic clock of the sender; the duration of the lease counts from it. */
        readonly sentAt: Milliseconds;
        readonly names: readonly LoadName[];
        readonly running: readonly RunningCount[];
        readonly inFlight: number;
    }
    /** Sent by an engine's owner: grants use leases on those of the requested loads that are resident. */
    | {
        readonly kind: "useGrant";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        /** Copied from the request. */
        readonly sentAt: Milliseconds;
        readonly names: readonly LoadName[];
        readonly duration: Milliseconds;
    }
    /**
     * Sent by an engine's owner: the load is to be evicted. The receiver starts no more requests on it and remembers
     * the eviction for later owners.
     */
    | {
        readonly kind: "retire";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        readonly name: LoadName;
    }
    /** Response to `retire`: the sender knows of the eviction and starts no more requests on the load. */
    | {
        readonly kind: "retired";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        readonly name: LoadName;
        /** Whether requests of the sender still run on the load. */
        readonly inUse: boolean;
    }
    /** Sent by a new owner: asks which loads the receiver uses and which evictions it knows of. */
    | { readonly kind: "collect"; readonly engine: BackendServerId; readonly fencingNumber: FencingNumber; }
    /** Response to `collect`. */
    | {
        readonly kind: "collected";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        /** Whether the sender has heard from an earlier owner, so that it can know of the evictions of that owner. */
        readonly knewOwner: boolean;
        readonly held: readonly LoadName[];
        /** Instances that may have used the engine recently, as far as the sender knows. */
        readonly participants: readonly InstanceId[];
        readonly retired: readonly LoadName[];
    }
    /** The sender has ended its requests and starts no new ones. */
    | { readonly kind: "left"; }
    | { readonly kind: "table"; readonly table: EngineTable; }
    /** Sent by an engine's owner instead of `table` to instances that have been sent the previous table. */
    | { readonly kind: "tableChange"; readonly change: EngineTableChange; }
    /** Sent to an engine's owner: requests the full table because a change could not be applied. */
    | { readonly kind: "tableWanted"; readonly engine: BackendServerId; }
    /** Sent to the planner of a pool: all requests that wait at the sender, and arrivals since the last message. */
    | {
        readonly kind: "demand";
        readonly pool: string;
        readonly sequence: number;
        readonly waiting: readonly WaitingDemand[];
        readonly arrivals: readonly ArrivalCount[];
    }
    /** Sent by a pool's planner to an engine's owner: requests a load. */
    | {
        readonly kind: "loadWanted";
        readonly engine: BackendServerId;
        readonly key: AdapterVersionKey;
        /** A lower number is loaded first. */
        readonly priority: number;
        /** Loads that may be evicted to free a slot, the one with the lowest expected use first. */
        readonly victims: readonly LoadName[];
    }
    /**
     * Sent by a pool's planner: loads of the adapter failed repeatedly and are not tried until `retryAfter` has passed.
     */
    | {
        readonly kind: "loadGivenUp";
        readonly key: AdapterVersionKey;
        readonly detail: string;
        readonly retryAfter: Milliseconds;
    };
