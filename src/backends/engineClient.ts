/**
 * What the system needs of a model engine.
 *
 * @packageDocumentation
 */
import type {
    AdapterId,
    AdapterVersion,
    BackendServerId,
    FencingNumber,
    Milliseconds,
    RequestId,
    Result,
} from "../shared/index.js";

/** Name of one run of an engine between two restarts; pins and reports of another run mean nothing. */
export type EngineIncarnation = string;

/** An adapter in one version. */
export interface AdapterReference {
    readonly adapter: AdapterId;
    readonly version: AdapterVersion;
    /**
     * Name of one load of the adapter on one engine, part of the name on the wire. Each load has a new one, so that a
     * late order to unload an earlier load finds nothing to unload.
     */
    readonly generation?: string;
}

/** A message of a chat. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** Text that the engine is to continue. */
export type Prompt =
    | { readonly kind: "chat"; readonly messages: readonly ChatMessage[]; }
    | { readonly kind: "text"; readonly text: string; };

/** A generation request. */
export interface GenerationRequest {
    readonly requestId: RequestId;
    /** `undefined` asks for the bare base model. */
    readonly adapter: AdapterReference | undefined;
    readonly incarnation: EngineIncarnation;
    readonly prompt: Prompt;
    /** Hard stop on output tokens. */
    readonly maximumOutputTokens: number;
    /** Lower runs first. */
    readonly priority: number;
    /** Tokens that the caller already holds when a broken stream is resumed. */
    readonly resumeAfterTokens: number;
    readonly temperature?: number;
    readonly stop?: readonly string[];
}

/** One event of an answer. */
export type GenerationEvent =
    /** First event: what the engine says it runs the request on. */
    | {
        readonly kind: "accepted";
        readonly requestId: RequestId;
        readonly adapter: AdapterReference | undefined;
        readonly incarnation: EngineIncarnation;
    }
    | { readonly kind: "token"; readonly index: number; readonly text: string; }
    /** The engine's own end mark; without it an answer is not complete. */
    | {
        readonly kind: "end";
        readonly reason: "stop" | "length";
        readonly promptTokens: number;
        readonly outputTokens: number;
    };

/** Why a call of a backend server failed. */
export type BackendError =
    /** No byte of the request reached the server. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The server said before starting that it will not run it. */
    | {
        readonly kind: "refused";
        readonly reason: "overloaded" | "adapterAbsent" | "wrongIncarnation" | "badRequest" | "leaving";
        readonly detail: string;
        readonly retryAfter?: Milliseconds;
    }
    /** The stream broke, or no end mark came; the request may have run. */
    | { readonly kind: "broken"; readonly detail: string; }
    /** The answer was not for this request, or came from another adapter, version or incarnation. */
    | { readonly kind: "mismatched"; readonly detail: string; }
    /** The server says that it failed while running the request. */
    | { readonly kind: "failed"; readonly detail: string; }
    /** The caller of this function aborted. */
    | { readonly kind: "aborted"; };

/** An order to change the adapters that an engine holds. */
export interface AdapterOrder {
    readonly adapter: AdapterReference;
    readonly fencingNumber: FencingNumber;
    readonly incarnation: EngineIncarnation;
}

/** How an order ended. */
export type OrderError =
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The engine has seen a newer fencing number. */
    | { readonly kind: "fenced"; readonly newest: FencingNumber; }
    | { readonly kind: "wrongIncarnation"; readonly incarnation: EngineIncarnation; }
    | { readonly kind: "noFreeSlot"; }
    /** The engine says that requests use the adapter. */
    | { readonly kind: "inUse"; }
    /** The load failed at the weight store or in the engine. */
    | { readonly kind: "loadFailed"; readonly detail: string; }
    /** No answer came; the order may have taken effect. */
    | { readonly kind: "unknownOutcome"; readonly detail: string; };

/** What an engine reports of itself; it lags. */
export interface EngineReport {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    /** Grows with each report of an incarnation. */
    readonly sequence: number;
    readonly running: number;
    readonly waiting: number;
    readonly resident: readonly AdapterReference[];
    readonly loading: readonly AdapterReference[];
}

/** A connection to one engine. */
export interface EngineClient {
    /** Runs a request; the last result is the end event or an error. */
    readonly generate: (
        request: GenerationRequest,
        signal: AbortSignal,
    ) => AsyncIterable<Result<GenerationEvent, BackendError>>;
    readonly load: (order: AdapterOrder, signal: AbortSignal) => Promise<Result<void, OrderError>>;
    readonly unload: (order: AdapterOrder, signal: AbortSignal) => Promise<Result<void, OrderError>>;
    readonly readReport: (signal: AbortSignal) => Promise<Result<EngineReport, BackendError>>;
}
