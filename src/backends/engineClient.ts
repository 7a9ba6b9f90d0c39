/**
 * Interface to a model engine, the kind of backend server that runs a base model with adapters.
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

/**
 * Identifier of one run of an engine process, which changes with each restart. Reports of another incarnation, and
 * pins that keep an adapter loaded there, are invalid.
 */
export type EngineIncarnation = string;

/** A specific version of an adapter. */
export interface AdapterReference {
    readonly adapter: AdapterId;
    readonly version: AdapterVersion;
    /**
     * Identifier of one load of the adapter on one engine, part of the name that is sent to the engine. Each load has a
     * new generation, so that a delayed order to unload an earlier load has no effect on a later one.
     */
    readonly generation?: string;
}

/** One message of a chat prompt. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** Input of a generation request. */
export type Prompt =
    | { readonly kind: "chat"; readonly messages: readonly ChatMessage[]; }
    | { readonly kind: "text"; readonly text: string; };

/** A request to generate text. */
export interface GenerationRequest {
    readonly requestId: RequestId;
    /** Adapter to use; `undefined` selects the base model without an adapter. */
    readonly adapter: AdapterReference | undefined;
    /** Incarnation that must run the request; an engine in another incarnation refuses it. */
    readonly incarnation: EngineIncarnation;
    readonly prompt: Prompt;
    /** Maximum number of output tokens. */
    readonly maximumOutputTokens: number;
    /** Scheduling priority; requests with lower values run first. */
    readonly priority: number;
    /** Number of tokens already received when an interrupted stream is resumed; 0 for a new request. */
    readonly resumeAfterTokens: number;
    readonly temperature?: number;
    readonly stop?: readonly string[];
}

/** One event of a streamed response. */
export type GenerationEvent =
    /** First event: the adapter and incarnation that the engine reports for the request. */
    | {
        readonly kind: "accepted";
        readonly requestId: RequestId;
        readonly adapter: AdapterReference | undefined;
        readonly incarnation: EngineIncarnation;
    }
    | { readonly kind: "token"; readonly index: number; readonly text: string; }
    /** The end of the response as the engine signals it; without this event a response is incomplete. */
    | {
        readonly kind: "end";
        readonly reason: "stop" | "length";
        readonly promptTokens: number;
        readonly outputTokens: number;
    };

/** Why a call to a backend server failed. */
export type BackendError =
    /** No byte of the request reached the server. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The server refused the request before it started to run it. */
    | {
        readonly kind: "refused";
        readonly reason: "overloaded" | "adapterAbsent" | "wrongIncarnation" | "badRequest" | "leaving";
        readonly detail: string;
        readonly retryAfter?: Milliseconds;
    }
    /** The connection failed or the response was incomplete or invalid; the request may have run. */
    | { readonly kind: "broken"; readonly detail: string; }
    /** The response belongs to another request, adapter, version or incarnation; the request may have run. */
    | { readonly kind: "mismatched"; readonly detail: string; }
    /** The server reported that it failed while it ran the request. */
    | { readonly kind: "failed"; readonly detail: string; }
    /** The call was aborted by its signal after sending had begun; the request may have run. */
    | { readonly kind: "aborted"; };

/** An order to load or unload an adapter on an engine. */
export interface AdapterOrder {
    readonly adapter: AdapterReference;
    /** Fencing number of the sender; an engine that checks it refuses numbers below the highest it has seen. */
    readonly fencingNumber: FencingNumber;
    readonly incarnation: EngineIncarnation;
}

/** Why an order failed. */
export type OrderError =
    /** No byte of the order reached the engine. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The engine has seen a newer fencing number. */
    | { readonly kind: "fenced"; readonly newest: FencingNumber; }
    /** The engine runs in another incarnation, which is given here. */
    | { readonly kind: "wrongIncarnation"; readonly incarnation: EngineIncarnation; }
    /** All adapter slots of the engine are occupied. */
    | { readonly kind: "noFreeSlot"; }
    /** Requests on the engine still use the adapter. */
    | { readonly kind: "inUse"; }
    /** The weight store or the engine failed to load the adapter. */
    | { readonly kind: "loadFailed"; readonly detail: string; }
    /** No usable response was received; the order may have taken effect. */
    | { readonly kind: "unknownOutcome"; readonly detail: string; };

/** State that an engine reports; it may be out of date. */
export interface EngineReport {
    readonly engine: BackendServerId;
    readonly incarnation: EngineIncarnation;
    /** Increases with each report of the same incarnation. */
    readonly sequence: number;
    /** Number of requests in the batch. */
    readonly running: number;
    /** Number of queued requests. */
    readonly waiting: number;
    /** Adapters that are loaded. */
    readonly resident: readonly AdapterReference[];
    /** Adapters that are being loaded. */
    readonly loading: readonly AdapterReference[];
}

/** Client of one engine. */
export interface EngineClient {
    /** Runs a request and yields its events; the last result is the end event or an error. */
    readonly generate: (
        request: GenerationRequest,
        signal: AbortSignal,
    ) => AsyncIterable<Result<GenerationEvent, BackendError>>;
    /** Loads an adapter; resolves when it is loaded or the order has failed. */
    readonly load: (order: AdapterOrder, signal: AbortSignal) => Promise<Result<void, OrderError>>;
    /** Unloads an adapter; resolves when it is unloaded or the order has failed. */
    readonly unload: (order: AdapterOrder, signal: AbortSignal) => Promise<Result<void, OrderError>>;
    /** Fetches the engine's current report. */
    readonly readReport: (signal: AbortSignal) => Promise<Result<EngineReport, BackendError>>;
}
