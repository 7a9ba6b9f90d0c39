/**
 * Types of calls and their results, shared by the HTTP server and the request handling.
 *
 * @packageDocumentation
 */
import type { AdapterReference, Prompt, ServiceResponse } from "../backends/index.js";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, KeyHash, Milliseconds, RequestId } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";

/** Fields of every call. The API key itself is not among them, because it must not leave the HTTP server. */
export interface CallBase {
    readonly requestId: RequestId;
    /** Hash of the caller's API key; `undefined` when the call has none. */
    readonly keyHash: KeyHash | undefined;
    /** Value of the `Idempotency-Key` header; `undefined` when the call has none. */
    readonly idempotencyKey: string | undefined;
    /** Monotonic time at which the call arrived. */
    readonly arrivedAt: Milliseconds;
}

/** Call to a model. */
export interface ModelCall extends CallBase {
    readonly kind: "model";
    /** Name of a route or an adapter. */
    readonly model: string;
    readonly prompt: Prompt;
    /** Limit of output tokens that the caller asked for, if any; the route's limit applies if it is lower. */
    readonly maximumOutputTokens: number | undefined;
    readonly temperature: number | undefined;
    readonly stop: readonly string[] | undefined;
}

/** Call to a plain service, which is a backend server that runs no model. */
export interface ServiceCall extends CallBase {
    readonly kind: "service";
    readonly route: string;
    readonly method: string;
    /** Path and query below the route. */
    readonly path: string;
    /** End-to-end headers, without hop-by-hop headers and without `Authorization`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Event of a model's response. The last event is always the outcome; a response is complete only if it says so. */
export type ModelCallEvent =
    | { readonly kind: "started"; readonly adapter: AdapterReference | undefined; }
    | { readonly kind: "token"; readonly text: string; }
    | {
        readonly kind: "end";
        readonly reason: "stop" | "length";
        readonly promptTokens: number;
        readonly outputTokens: number;
    }
    | { readonly kind: "outcome"; readonly outcome: RequestOutcome; };

/** Outcome of a service call, with the response of the service. */
export interface ServiceCallResult {
    readonly outcome: RequestOutcome;
    /** Response of the service; `undefined` when there is none. */
    readonly response: ServiceResponse | undefined;
}

/** Service through which the HTTP server runs the callers' requests. */
export interface RequestService {
    /** Runs a model call; the signal must be aborted when the caller disconnects. */
    readonly runModelCall: (call: ModelCall, signal: AbortSignal) => AsyncIterable<ModelCallEvent>;
    readonly runServiceCall: (call: ServiceCall, signal: AbortSignal) => Promise<ServiceCallResult>;
    /** Refuses new calls, and resolves when all running calls have ended; the refusal can't be undone. */
    readonly drain: () => Promise<void>;
}

/** Report of a request that has ended, for metrics and the request log. */
export interface RequestReport {
    readonly requestId: RequestId;
    readonly route: string | undefined;
    readonly account: ClientAccountId | undefined;
    readonly requestClass: RequestClass | undefined;
    readonly adapter: AdapterReference | undefined;
    /** Engine for which the request had a pin when it ended; `undefined` without a pin and for all service calls. */
    readonly backendServer: string | undefined;
    readonly outcome: RequestOutcome;
    /** Number of attempts that were sent; for a service call only 0 if it did not run, otherwise 1. */
    readonly attempts: number;
    /** Milliseconds for which the request waited for a place in an engine's batch, over all attempts. */
    readonly queueWait: Milliseconds;
    /** Milliseconds for which the request waited until its adapter was loaded, over all attempts. */
    readonly loadStall: Milliseconds;
    /** Milliseconds from the arrival to the first output token; `undefined` when there was none. */
    readonly timeToFirstToken: Milliseconds | undefined;
    /** Milliseconds between consecutive tokens of the response. */
    readonly tokenGaps: readonly Milliseconds[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Milliseconds from the arrival to the outcome. */
    readonly total: Milliseconds;
}
