/**
 * Messages between the placement tasks of two instances. Any of them may be lost, doubled or late: the sender repeats
 * what matters, and the receiver checks the fencing number.
 *
 * @packageDocumentation
 */
import type { EngineIncarnation } from "../backends/index.js";
import type { AdapterId, BackendServerId, FencingNumber, InstanceId, Milliseconds } from "../shared/index.js";

/** Name of one load of an adapter on an engine: `ADAPTER@VERSION#GENERATION`. */
export type LoadName = string;

/** An adapter in one version, wherever it is loaded: `ADAPTER@VERSION`. */
export type AdapterVersionKey = string;

/** How many requests of one instance run on a load. */
export interface RunningCount {
    readonly name: LoadName;
    readonly count: number;
}

/** A load that failed lately. */
export interface FailedLoad {
    readonly key: AdapterVersionKey;
    /** Grows with each failed load of the owner. */
    readonly number: number;
    readonly detail: string;
}

/** What an engine's owner tells the other instances of it. */
export interface EngineTable {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    readonly fencingNumber: FencingNumber;
    /** Grows with each table of that owner. */
    readonly sequence: number;
    readonly resident: readonly LoadName[];
    /** Loads on their way out; they get no new requests. */
    readonly retiring: readonly LoadName[];
    /** Adapters that are being loaded or wait for it. */
    readonly loading: readonly AdapterVersionKey[];
    readonly failed: readonly FailedLoad[];
    /** Requests of all instances, as they last declared them. */
    readonly running: readonly RunningCount[];
    readonly inFlight: number;
}

/** How an engine's table differs from the one that its owner sent before; what isn't named is as it was. */
export interface EngineTableChange {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    readonly fencingNumber: FencingNumber;
    /** Sequence of the table that this is a change of. */
    readonly baseSequence: number;
    readonly sequence: number;
    readonly inFlight: number;
    /** Loads that became resident. */
    readonly added?: readonly LoadName[];
    /** Loads that are resident no more. */
    readonly removed?: readonly LoadName[];
    readonly retiring?: readonly LoadName[];
    readonly loading?: readonly AdapterVersionKey[];
    readonly failed?: readonly FailedLoad[];
    /** Counts that changed; 0 for a load without requests. */
    readonly running?: readonly RunningCount[];
}

/** Requests that wait for one adapter at one instance. */
export interface WaitingDemand {
    readonly key: AdapterVersionKey;
    readonly interactive: number;
    readonly overnight: number;
    /** Those among them whose adapter is resident, and who wait for a place in a batch. */
    readonly queued: number;
    /** How long the first of them has waited. */
    readonly oldestWait: Milliseconds;
}

/** Requests for one adapter since the last message. */
export interface ArrivalCount {
    readonly adapter: AdapterId;
    readonly interactive: number;
    readonly overnight: number;
}

/** A message between placement tasks. */
export type PlacementMessage =
    /** To an engine's owner: asks for use leases, and declares what runs. */
    | {
        readonly kind: "useRenew";
        readonly engine: BackendServerId;
        /** Sender's monotonic clock; the lease counts from it. */
        readonly sentAt: Milliseconds;
        readonly names: readonly LoadName[];
        readonly running: readonly RunningCount[];
        readonly inFlight: number;
    }
    | {
        readonly kind: "useGrant";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        /** As in the question. */
        readonly sentAt: Milliseconds;
        readonly names: readonly LoadName[];
        readonly duration: Milliseconds;
    }
    /** From an engine's owner: the load is to be evicted; use it no more, and bear witness of it. */
    | {
        readonly kind: "retire";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        readonly name: LoadName;
    }
    | {
        readonly kind: "retired";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        readonly name: LoadName;
        readonly inUse: boolean;
    }
    /** From a new owner: what do you use, and which evictions do you know of? */
    | { readonly kind: "collect"; readonly engine: BackendServerId; readonly fencingNumber: FencingNumber; }
    | {
        readonly kind: "collected";
        readonly engine: BackendServerId;
        readonly fencingNumber: FencingNumber;
        /** Whether the sender has heard from an earlier owner, and so bears witness of its evictions. */
        readonly knewOwner: boolean;
        readonly held: readonly LoadName[];
        /** Instances that may have used the engine lately, as far as the sender knows. */
        readonly participants: readonly InstanceId[];
        readonly retired: readonly LoadName[];
    }
    /** The sender has ended its requests and starts no more. */
    | { readonly kind: "left"; }
    | { readonly kind: "table"; readonly table: EngineTable; }
    /** From an engine's owner: as `table`, to those that have the one before. */
    | { readonly kind: "tableChange"; readonly change: EngineTableChange; }
    /** To an engine's owner: asks for the whole table, since a change can't be applied. */
    | { readonly kind: "tableWanted"; readonly engine: BackendServerId; }
    /** To the planner of a pool: all that waits at the sender, and what arrived since the last message. */
    | {
        readonly kind: "demand";
        readonly pool: string;
        readonly sequence: number;
        readonly waiting: readonly WaitingDemand[];
        readonly arrivals: readonly ArrivalCount[];
    }
    /** From a pool's planner to an engine's owner. */
    | {
        readonly kind: "loadWanted";
        readonly engine: BackendServerId;
        readonly key: AdapterVersionKey;
        /** Lower goes first. */
        readonly priority: number;
        /** Loads that may make room, the least worth first. */
        readonly victims: readonly LoadName[];
    }
    /** From a pool's planner: loads of the adapter have failed too often. */
    | {
        readonly kind: "loadGivenUp";
        readonly key: AdapterVersionKey;
        readonly detail: string;
        readonly retryAfter: Milliseconds;
    };
