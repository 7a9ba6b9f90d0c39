/**
 * Settings, events and orders of the engine model.
 *
 * @packageDocumentation
 */
import type {
    AdapterOrder,
    AdapterReference,
    BackendError,
    EngineIncarnation,
    EngineReport,
    GenerationRequest,
    OrderError,
} from "../backends/index.js";
import type { Milliseconds, RequestId, Result } from "../shared/index.js";
import type { EngineRecord } from "./engineRecord.js";
import type { WeightStoreModel } from "./weightStoreModel.js";

/** Settings of an engine. */
export interface EngineModelOptions {
    readonly id: string;
    readonly adapterSlots: number;
    readonly batchLimit: number;
    readonly fencing: "checked" | "ignored";
    readonly store: WeightStoreModel;
    /** Time of a step apart from its sequences. @default 20 */
    readonly stepBase?: Milliseconds;
    /** Time that each sequence adds to a step. @default 0.4 */
    readonly stepPerSequence?: Milliseconds;
    /** Time of each prompt token that is not in the prefix cache. @default 0.05 */
    readonly prefillPerToken?: Milliseconds;
    /** @default 50_000 */
    readonly prefixCacheTokens?: number;
    /** Waiting requests beyond which it refuses. @default 1_000 */
    readonly waitingLimit?: number;
    /** Tokens after which an answer ends by itself. @default drawn from the prompt */
    readonly naturalTokens?: number;
    /** Whether token events carry text; benches do without. @default true */
    readonly writeText?: boolean;
    /** How old reports are when they are read. @default 0 */
    readonly reportLag?: Milliseconds;
}

/** What happens at an engine as time passes. */
export type EngineModelEvent =
    | { readonly kind: "token"; readonly requestId: RequestId; readonly index: number; readonly text: string; }
    | {
        readonly kind: "end";
        readonly requestId: RequestId;
        readonly reason: "stop" | "length";
        readonly promptTokens: number;
        readonly outputTokens: number;
    }
    | { readonly kind: "failed"; readonly requestId: RequestId; readonly detail: string; }
    | { readonly kind: "loadEnded"; readonly adapter: AdapterReference; readonly result: Result<void, OrderError>; };

/** Faults that tests order. */
export type EngineFault =
    /** Loads of the adapter fail; `times` counts down. */
    | { readonly kind: "failLoads"; readonly adapter: string; readonly times: number; }
    /** The next requests fail after they have begun. */
    | { readonly kind: "failRequests"; readonly times: number; }
    /** Refuses new requests. */
    | { readonly kind: "leave"; };

/** An engine. */
export interface EngineModel {
    readonly readIncarnation: () => EngineIncarnation;
    /** Takes a request into the queue; tokens follow from `advance`. */
    readonly submit: (request: GenerationRequest, now: Milliseconds) => Result<void, BackendError>;
    readonly cancel: (requestId: RequestId, now: Milliseconds) => void;
    /** Begins a load; `loadEnded` follows from `advance`. `true` means that the adapter is resident already. */
    readonly load: (order: AdapterOrder, now: Milliseconds) => Result<boolean, OrderError>;
    readonly unload: (order: AdapterOrder, now: Milliseconds) => Result<void, OrderError>;
    /** Loses everything and begins a new incarnation. */
    readonly restart: (now: Milliseconds) => void;
    readonly readReport: (now: Milliseconds) => EngineReport;
    readonly setFault: (fault: EngineFault) => void;
    /** Time of the next event; ask again after each call, since other engines share the weight store. */
    readonly nextEventAt: () => Milliseconds | undefined;
    readonly advance: (now: Milliseconds) => readonly EngineModelEvent[];
    readonly record: EngineRecord;
}
