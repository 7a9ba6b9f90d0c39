/**
 * Interface of an engine's owner, the one instance that holds the engine's ownership lease. It grants use leases to
 * other instances and orders loads and evictions on the engine.
 *
 * @packageDocumentation
 */
import type { AdapterReference, EngineIncarnation, EngineReport, ListedEngine, OrderError } from "../backends/index.js";
import type { FencingNumber, InstanceId, Milliseconds, Result } from "../shared/index.js";
import type { AdapterVersionKey, EngineTable, LoadName, PlacementMessage } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";

/**
 * An action that an owner requests from its task. The task sends an order only after it has checked the ownership lease
 * again.
 */
export type OwnerEffect =
    | { readonly kind: "send"; readonly to: InstanceId; readonly message: PlacementMessage; }
    | {
        readonly kind: "load" | "unload";
        readonly engine: ListedEngine;
        readonly name: LoadName;
        readonly adapter: AdapterReference;
        readonly incarnation: EngineIncarnation;
        readonly fencingNumber: FencingNumber;
    }
    | {
        readonly kind: "acquirePermit";
        readonly engine: string;
        readonly key: AdapterVersionKey;
        readonly priority: number;
    }
    /** Withdraws a request for a permit, or releases a permit that was not used. */
    | { readonly kind: "withdrawPermit"; readonly engine: string; readonly key: AdapterVersionKey; }
    /** Releases the permit of a load that has ended. */
    | { readonly kind: "releasePermit"; readonly name: LoadName; };

/** What the owner of an engine depends on. */
export interface EngineOwnerContext {
    readonly self: InstanceId;
    readonly fencingNumber: FencingNumber;
    readonly times: PlacementTimes;
    /** Members of the current epoch; only they get use leases. */
    readonly listMembers: () => readonly InstanceId[];
    /** Instances that are listed as running. */
    readonly listLiveInstances: () => readonly InstanceId[];
    /** Every instance that may have used the engine recently. */
    readonly listParticipants: (now: Milliseconds) => readonly InstanceId[];
    /** Creates a generation that makes the name of a new load unique. */
    readonly createGeneration: () => string;
}

/** Decisions of the owner of one engine. */
export interface EngineOwner {
    readonly fencingNumber: FencingNumber;
    readonly handleMessage: (from: InstanceId, message: PlacementMessage, now: Milliseconds) => readonly OwnerEffect[];
    readonly handleReport: (
        report: EngineReport,
        askedAt: Milliseconds,
        now: Milliseconds,
    ) => readonly OwnerEffect[];
    /**
     * Takes the result of an order. An order that the task did not send also has a result, with the error `notSent`.
     */
    readonly handleOrderResult: (
        kind: "load" | "unload",
        name: LoadName,
        result: Result<void, OrderError>,
        now: Milliseconds,
    ) => readonly OwnerEffect[];
    readonly handlePermit: (key: AdapterVersionKey, startBy: Milliseconds, now: Milliseconds) => readonly OwnerEffect[];
    readonly tick: (now: Milliseconds) => readonly OwnerEffect[];
    /**
     * Withdraws all pending permit requests when ownership has ended. Loads in progress keep their permits until they
     * end.
     */
    readonly close: () => readonly OwnerEffect[];
    /**
     * Returns the table to publish, or `undefined` before the takeover is complete. Each call uses a new sequence
     * number.
     */
    readonly createTable: () => EngineTable | undefined;
    /** Evictions in progress with the instances that each one waits for, for the status page. */
    readonly listBlockedEvictions: (
        now: Milliseconds,
    ) => readonly { name: LoadName; instances: readonly InstanceId[]; }[];
}
