/**
 * What the owner of an engine needs, offers and asks for.
 *
 * @packageDocumentation
 */
import type { AdapterReference, EngineIncarnation, EngineReport, ListedEngine, OrderError } from "../backends/index.js";
import type { FencingNumber, InstanceId, Milliseconds, Result } from "../shared/index.js";
import type { AdapterVersionKey, EngineTable, LoadName, PlacementMessage } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";

/** What an owner asks its task to do. Orders are sent only after a last look at the ownership lease. */
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
    /** Withdraws the wish for a permit, or gives back one that was not used. */
    | { readonly kind: "withdrawPermit"; readonly engine: string; readonly key: AdapterVersionKey; }
    /** Gives back the permit of a load that has ended. */
    | { readonly kind: "releasePermit"; readonly name: LoadName; };

/** What an owner needs to know. */
export interface EngineOwnerContext {
    readonly self: InstanceId;
    readonly fencingNumber: FencingNumber;
    readonly times: PlacementTimes;
    /** Agreed members; only they get use leases. */
    readonly listMembers: () => readonly InstanceId[];
    /** Instances that are believed to run. */
    readonly listLiveInstances: () => readonly InstanceId[];
    /** Every instance that may have used the engine lately. */
    readonly listParticipants: (now: Milliseconds) => readonly InstanceId[];
    /** Makes the unique end of a load's name. */
    readonly createGeneration: () => string;
}

/** The owner of one engine. */
export interface EngineOwner {
    readonly fencingNumber: FencingNumber;
    readonly handleMessage: (from: InstanceId, message: PlacementMessage, now: Milliseconds) => readonly OwnerEffect[];
    readonly handleReport: (
        report: EngineReport,
        askedAt: Milliseconds,
        now: Milliseconds,
    ) => readonly OwnerEffect[];
    /** `undefined` says that the order was not sent. */
    readonly handleOrderResult: (
        kind: "load" | "unload",
        name: LoadName,
        result: Result<void, OrderError>,
        now: Milliseconds,
    ) => readonly OwnerEffect[];
    readonly handlePermit: (key: AdapterVersionKey, startBy: Milliseconds, now: Milliseconds) => readonly OwnerEffect[];
    readonly tick: (now: Milliseconds) => readonly OwnerEffect[];
    /** Withdraws all wishes when ownership has ended; loads under way keep their permits until they end. */
    readonly close: () => readonly OwnerEffect[];
    readonly createTable: () => EngineTable | undefined;
    /** Evictions that wait, and for whom; for the status page. */
    readonly listBlockedEvictions: (
        now: Milliseconds,
    ) => readonly { name: LoadName; instances: readonly InstanceId[]; }[];
}
