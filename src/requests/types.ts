/**
 * What the front door needs of the request path.
 *
 * @packageDocumentation
 */
import type { AdapterReference, Prompt, ServiceResponse } from "../backends/index.js";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, KeyHash, Milliseconds, RequestId } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";

/** Fields that all calls share; the caller's key itself goes no further than the front door. */
export interface CallBase {
    readonly requestId: RequestId;
    /** Hash of the caller's key, or `undefined` when none came. */
    readonly keyHash: KeyHash | undefined;
    /** The caller's `Idempotency-Key`. */
    readonly idempotencyKey: string | undefined;
    /** Monotonic time of arrival. */
    readonly arrivedAt: Milliseconds;
}

/** A call to a model. */
export interface ModelCall extends CallBase {
    readonly kind: "model";
    /** Name of a route or an adapter. */
    readonly model: string;
    readonly prompt: Prompt;
    /** Asked for by the caller; the route's hard stop still holds. */
    readonly maximumOutputTokens: number | undefined;
    readonly temperature: number | undefined;
    readonly stop: readonly string[] | undefined;
}

/** A call to a plain service. */
export interface ServiceCall extends CallBase {
    readonly kind: "service";
    readonly route: string;
    readonly method: string;
    /** Path and query below the route. */
    readonly path: string;
    /** End-to-end headers without `Authorization`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** One event of a model's answer; the last one is always the outcome. */
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

/** Answer of a plain service, with its outcome. */
export interface ServiceCallResult {
    readonly outcome: RequestOutcome;
    /** The service's answer when there is one. */
    readonly response: ServiceResponse | undefined;
}

/** Runs callers' requests. */
export interface RequestService {
    /** Runs a model call; the caller's going away aborts the signal. */
    readonly runModelCall: (call: ModelCall, signal: AbortSignal) => AsyncIterable<ModelCallEvent>;
    readonly runServiceCall: (call: ServiceCall, signal: AbortSignal) => Promise<ServiceCallResult>;
    /** Refuses new calls and resolves when the running ones have ended. */
    readonly drain: () => Promise<void>;
}

/** What is known of a request at its end, for metrics and the log line. */
export interface RequestReport {
    readonly requestId: RequestId;
    readonly route: string | undefined;
    readonly account: ClientAccountId | undefined;
    readonly requestClass: RequestClass | undefined;
    readonly adapter: AdapterReference | undefined;
    readonly backendServer: string | undefined;
    readonly outcome: RequestOutcome;
    readonly attempts: number;
    readonly queueWait: Milliseconds;
    readonly loadStall: Milliseconds;
    readonly timeToFirstToken: Milliseconds | undefined;
    /** Gaps between the tokens of the answer. */
    readonly tokenGaps: readonly Milliseconds[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly total: Milliseconds;
}
