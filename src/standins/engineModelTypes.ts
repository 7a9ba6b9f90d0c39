/**
 * Types of the engine model: its options, its events and the faults that tests can set.
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

/** Options of an engine model. */
export interface EngineModelOptions {
    readonly id: string;
    readonly adapterSlots: number;
    readonly batchLimit: number;
    readonly fencing: "checked" | "ignored";
    readonly store: WeightStoreModel;
    /** Fixed duration of a decoding step, before the time for sequences and prefill. @default 20 */
    readonly stepBase?: Milliseconds;
    /** Time that each running sequence adds to a step. @default 0.4 */
    readonly stepPerSequence?: Milliseconds;
    /** Time that each prompt token outside the prefix cache adds to the step that prefills it. @default 0.05 */
    readonly prefillPerToken?: Milliseconds;
    /** Capacity of the prefix cache. @default 50_000 */
    readonly prefixCacheTokens?: number;
    /** Number of waiting requests at which the engine refuses further ones as overloaded. @default 1_000 */
    readonly waitingLimit?: number;
    /** Tokens after which an answer ends with reason `stop`. @default 8 to 71, derived from a hash of the prompt */
    readonly naturalTokens?: number;
    /** Whether token events carry text; benches turn it off to save time. @default true */
    readonly writeText?: boolean;
    /** Age of the reports that `readReport` returns, at most twice this value. @default 0 */
    readonly reportLag?: Milliseconds;
}

/** An event that `advance` returns. */
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

/** A fault that a test sets on an engine model. */
export type EngineFault =
    /** The next `times` loads of the adapter fail. */
    | { readonly kind: "failLoads"; readonly adapter: string; readonly times: number; }
    /** The next `times` requests fail after they have started. */
    | { readonly kind: "failRequests"; readonly times: number; }
    /** The engine refuses new requests because it is leaving. */
    | { readonly kind: "leave"; };

/** A simulated engine. */
export interface EngineModel {
    readonly readIncarnation: () => EngineIncarnation;
    /** Adds a request to the queue; `advance` returns its tokens. */
    readonly submit: (request: GenerationRequest, now: Milliseconds) => Result<void, BackendError>;
    readonly cancel: (requestId: RequestId, now: Milliseconds) => void;
    /**
     * Starts to load an adapter. The value is `true` if the adapter is already resident; otherwise, `advance` returns a
     * `loadEnded` event later.
     */
    readonly load: (order: AdapterOrder, now: Milliseconds) => Result<boolean, OrderError>;
    readonly unload: (order: AdapterOrder, now: Milliseconds) => Result<void, OrderError>;
    /** Drops all requests, adapters and cached prefixes, and begins a new incarnation. */
    readonly restart: (now: Milliseconds) => void;
    readonly readReport: (now: Milliseconds) => EngineReport;
    readonly setFault: (fault: EngineFault) => void;
    /**
     * Time of the next event, or `undefined` if none is due. It can change with each call on this engine or another
     * one, because engines share the weight store.
     */
    readonly nextEventAt: () => Milliseconds | undefined;
    /** Simulates the time up to `now` and returns the events since the previous call. */
    readonly advance: (now: Milliseconds) => readonly EngineModelEvent[];
    readonly record: EngineRecord;
}
