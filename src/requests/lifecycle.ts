/**
 * Lifecycle of a model request as a pure state machine: it takes events and returns effects, and uses no sockets and no
 * clock.
 *
 * @packageDocumentation
 */
import type { AdapterReference, BackendError, GenerationEvent } from "../backends/index.js";
import type { PinOutcome, PlacementError } from "../placement/index.js";
import type { BackendServerId, Milliseconds } from "../shared/index.js";
import { describeReason, type OutcomeReason, type RequestOutcome } from "./outcome.js";
import { computeBackoff, computeRetryCost, isRetriable, maximumAttempts } from "./retryPolicy.js";
import type { ModelCallEvent } from "./types.js";

/**
 * Phase of a request: `admitted` waits for tokens, `queued` for a pin on an engine or the end of a backoff, `pinned`
 * for the last checks, `dispatched` for the start of the response, and `streaming` for its tokens.
 */
export type LifecyclePhase = "admitted" | "queued" | "pinned" | "dispatched" | "streaming" | "ended";

/** State of one model request. */
export interface LifecycleState {
    readonly phase: LifecyclePhase;
    /** Number of pins granted so far, which numbers the attempts; events of an earlier attempt are ignored. */
    readonly attempt: number;
    /** Number of attempts that were dispatched, so that bytes of the request may have been sent. */
    readonly dispatchCount: number;
    /** Whether an attempt may have run: its bytes may have been sent, and the engine did not refuse it. */
    readonly mayHaveRun: boolean;
    /** Number of output tokens that were emitted to the caller. */
    readonly emittedTokens: number;
    readonly promptTokens: number | undefined;
    /** Whether the `started` event was emitted to the caller. */
    readonly started: boolean;
    readonly adapter: AdapterReference | undefined;
    /** Upper limit of output tokens over all attempts. */
    readonly maximumOutputTokens: number;
    readonly engine: BackendServerId | undefined;
    /** Engines that failed or refused an attempt and get no further one; not those whose pin was outdated. */
    readonly excludedEngines: readonly BackendServerId[];
    readonly outcome: RequestOutcome | undefined;
}

/** Event that changes the state of a request. */
export type LifecycleEvent =
    | { readonly kind: "reserved"; }
    | { readonly kind: "reservationRefused"; readonly reason: OutcomeReason; readonly retryAfter?: Milliseconds; }
    | { readonly kind: "placed"; readonly engine: BackendServerId; }
    | { readonly kind: "placementRefused"; readonly error: PlacementError; }
    /** The pin was no longer valid when the request was about to be sent. */
    | { readonly kind: "pinLost"; }
    /** All checks before the send have passed, and the request is sent next. */
    | { readonly kind: "dispatching"; }
    | { readonly kind: "answered"; readonly attempt: number; readonly event: GenerationEvent; }
    | {
        readonly kind: "backendFault";
        readonly attempt: number;
        readonly error: BackendError;
        /** Retry credit that the route's budget has now. */
        readonly budget: number;
        /** Random number, at least 0 and below 1. */
        readonly jitter: number;
    }
    | { readonly kind: "backoffOver"; readonly attempt: number; }
    /** The request has lost its authorization, for example because its API key was removed. */
    | { readonly kind: "withdrawn"; readonly reason: OutcomeReason; readonly message: string; }
    /** The adapter has the given version now; `undefined` if the adapter was removed. */
    | { readonly kind: "versionChanged"; readonly adapter: AdapterReference | undefined; }
    | { readonly kind: "callerGone"; }
    | { readonly kind: "deadlinePassed"; };

/** Action that the runner has to carry out. */
export type LifecycleEffect =
    | { readonly kind: "reserve"; }
    | { readonly kind: "acquire"; }
    /** Checks the authorization and the pin again, then sends the request. */
    | { readonly kind: "send"; readonly attempt: number; readonly resumeAfterTokens: number; }
    | { readonly kind: "emit"; readonly event: ModelCallEvent; }
    | { readonly kind: "takeRetry"; readonly cost: number; }
    | { readonly kind: "sleep"; readonly attempt: number; readonly duration: Milliseconds; }
    /** Aborts the current wait or the request at the engine. */
    | { readonly kind: "abortWork"; }
    | { readonly kind: "releasePin"; readonly outcome: PinOutcome; }
    | { readonly kind: "finish"; readonly outcome: RequestOutcome; };

/** Result of one step: the next state and the effects to carry out in order. */
export type LifecycleTransition = readonly [LifecycleState, readonly LifecycleEffect[]];

/** Delay that is suggested to a caller when neither a backend server nor the placement has named one. */
export const defaultRetryAfterMilliseconds = 1_000;

/**
 * Begins the lifecycle of a request that was admitted.
 *
 * @param adapter - the adapter and its active version; `undefined` for the base model without an adapter
 * @param maximumOutputTokens - upper limit of output tokens
 * @returns the first state, and the effect that reserves tokens
 */
export function beginLifecycle(
    adapter: AdapterReference | undefined,
    maximumOutputTokens: number,
): LifecycleTransition {
    const state: LifecycleState = {
        phase: "admitted",
        attempt: 0,
        dispatchCount: 0,
        mayHaveRun: false,
        emittedTokens: 0,
        promptTokens: undefined,
        started: false,
        adapter,
        maximumOutputTokens,
        engine: undefined,
        excludedEngines: [],
        outcome: undefined,
    };
    return [state, [{ kind: "reserve" }]];
}

/**
 * Advances a request by one event. Events that no longer apply to the current phase or attempt change nothing.
 *
 * @param state - the current state; it is not changed
 * @param event - the event
 * @returns the next state, and the effects in the order in which to carry them out
 */
export function advanceLifecycle(state: LifecycleState, event: LifecycleEvent): LifecycleTransition {
    if (state.phase === "ended") {
        return [state, []];
    }
    switch (event.kind) {
        case "reserved":
            return state.phase === "admitted" ? moveToQueue(state, []) : [state, []];
        case "reservationRefused":
            return endRequest(state, event.reason, event.retryAfter);
        case "placed":
            return acceptPlacement(state, event.engine);
        case "placementRefused":
            return state.phase === "queued" ? acceptPlacementError(state, event.error) : [state, []];
        case "pinLost":
            return state.phase === "pinned"
                ? moveToQueue(state, [{ kind: "releasePin", outcome: "notUsed" }])
                : [state, []];
        case "dispatching":
            return [{ ...state, phase: "dispatched", dispatchCount: state.dispatchCount + 1 }, []];
        case "answered":
            return event.attempt === state.attempt && isSentToEngine(state)
                ? acceptGenerationEvent(state, event.event)
                : [state, []];
        case "backendFault":
            return event.attempt === state.attempt && isSentToEngine(state) ? acceptFault(state, event) : [state, []];
        case "backoffOver":
            return event.attempt === state.attempt && state.phase === "queued"
                ? [state, [{ kind: "acquire" }]]
                : [state, []];
        case "withdrawn":
            return endRequest(state, event.reason, undefined, event.message);
        case "versionChanged":
            return acceptVersionChange(state, event.adapter);
        case "callerGone":
            return endRequest(state, "cancelled", undefined);
        case "deadlinePassed":
            return endRequest(state, "deadlinePassed", defaultRetryAfterMilliseconds);
    }
}

function isSentToEngine(state: LifecycleState): boolean {
    return state.phase === "dispatched" || state.phase === "streaming";
}

function moveToQueue(state: LifecycleState, before: readonly LifecycleEffect[]): LifecycleTransition {
    return [{ ...state, phase: "queued", engine: undefined }, [...before, { kind: "acquire" }]];
}

function acceptPlacement(state: LifecycleState, engine: BackendServerId): LifecycleTransition {
    if (state.phase !== "queued") {
        return [state, []];
    }
    const attempt = state.attempt + 1;
    return [
        { ...state, phase: "pinned", engine, attempt },
        [{ kind: "send", attempt, resumeAfterTokens: state.emittedTokens }],
    ];
}

function acceptPlacementError(state: LifecycleState, error: PlacementError): LifecycleTransition {
    switch (error.kind) {
        case "noEngine":
            return endRequest(state, "noBackend", defaultRetryAfterMilliseconds);
        case "loadFailed":
            return endRequest(state, "loadFailed", error.retryAfter);
        case "overloaded":
            return endRequest(state, "overloaded", error.retryAfter);
        case "deadlinePassed":
            return endRequest(state, "deadlinePassed", defaultRetryAfterMilliseconds);
        case "aborted":
            return endRequest(state, "cancelled", undefined);
    }
}

function acceptGenerationEvent(state: LifecycleState, event: GenerationEvent): LifecycleTransition {
    switch (event.kind) {
        case "accepted":
            return acceptStart(state, event.adapter);
        case "token":
            return acceptToken(state, event.index, event.text);
        case "end":
            return acceptEnd(state, event);
    }
}

function acceptStart(state: LifecycleState, adapter: AdapterReference | undefined): LifecycleTransition {
    if (!isSameAdapter(adapter, state.adapter)) {
        return endWithProtocolError(
            state,
            "broken",
            "the backend server responded for another adapter or version; sending the request again may run it twice",
        );
    }
    const next: LifecycleState = { ...state, phase: "streaming", mayHaveRun: true, started: true };
    const effects: readonly LifecycleEffect[] = state.started
        ? []
        : [{ kind: "emit", event: { kind: "started", adapter } }];
    return [next, effects];
}

function acceptToken(state: LifecycleState, index: number, text: string): LifecycleTransition {
    if (state.phase !== "streaming" || index !== state.emittedTokens) {
        return endWithProtocolError(
            state,
            "broken",
            "the backend server sent tokens out of order; sending the request again may run it twice",
        );
    }
    return [
        { ...state, emittedTokens: index + 1 },
        [{ kind: "emit", event: { kind: "token", text } }],
    ];
}

function acceptEnd(state: LifecycleState, end: Extract<GenerationEvent, { kind: "end"; }>): LifecycleTransition {
    if (state.phase !== "streaming") {
        return endWithProtocolError(
            state,
            "broken",
            "the backend server ended a response that it had not started; sending the request again may run it twice",
        );
    }
    const outcome: RequestOutcome = { kind: "completed" };
    const outputTokens = state.emittedTokens;
    return [
        { ...state, phase: "ended", promptTokens: end.promptTokens, outcome },
        [
            { kind: "releasePin", outcome: "completed" },
            {
                kind: "emit",
                event: { kind: "end", reason: end.reason, promptTokens: end.promptTokens, outputTokens },
            },
            { kind: "finish", outcome },
        ],
    ];
}

function acceptFault(
    state: LifecycleState,
    fault: Extract<LifecycleEvent, { kind: "backendFault"; }>,
): LifecycleTransition {
    const { error } = fault;
    const next: LifecycleState = {
        ...state,
        mayHaveRun: state.mayHaveRun || (error.kind !== "notSent" && error.kind !== "refused"),
    };
    const release: LifecycleEffect = { kind: "releasePin", outcome: choosePinOutcome(error) };
    const cost = computeRetryCost(error);
    const mayRetry = isRetriable(error) && next.attempt < maximumAttempts && fault.budget >= cost;
    if (!mayRetry) {
        return endAfterFault(next, error, release);
    }
    const excludedEngines = state.engine === undefined || isStalePinError(error)
        ? state.excludedEngines
        : [...state.excludedEngines, state.engine];
    const duration = computeBackoff(next.attempt, error, fault.jitter);
    return [
        { ...next, phase: "queued", engine: undefined, excludedEngines },
        [
            release,
            ...(cost > 0 ? [{ kind: "takeRetry", cost } as const] : []),
            { kind: "sleep", attempt: next.attempt, duration },
        ],
    ];
}

// the engine is healthy, but restarted or unloaded the adapter after the pin was granted, so it may be chosen again
function isStalePinError(error: BackendError): boolean {
    return error.kind === "refused" && (error.reason === "wrongIncarnation" || error.reason === "adapterAbsent");
}

function choosePinOutcome(error: BackendError): PinOutcome {
    switch (error.kind) {
        case "refused":
            return error.reason === "wrongIncarnation" ? "engineRestarted" : "notUsed";
        case "aborted":
            return "cancelled";
        case "notSent":
        case "broken":
        case "mismatched":
        case "failed":
            return "engineFailed";
    }
}

function endAfterFault(state: LifecycleState, error: BackendError, release: LifecycleEffect): LifecycleTransition {
    // the detail of a bad request describes the request itself; other details may describe the engine, which the caller
    // must not learn
    const detail = error.kind === "refused" && error.reason === "badRequest" ? error.detail : undefined;
    const retryAfter = (error.kind === "refused" ? error.retryAfter : undefined) ?? defaultRetryAfterMilliseconds;
    const [ended, effects] = endRequest(state, chooseFaultReason(error), retryAfter, detail);
    return [ended, [release, ...effects.filter(effect => effect.kind === "finish")]];
}

function chooseFaultReason(error: BackendError): OutcomeReason {
    switch (error.kind) {
        case "notSent":
            return "noBackend";
        case "refused":
            return error.reason === "overloaded"
                ? "overloaded"
                : error.reason === "badRequest"
                ? "badRequest"
                : "backendRefused";
        case "failed":
            return "backendFailed";
        case "broken":
        case "mismatched":
            return "broken";
        case "aborted":
            return "cancelled";
    }
}

function acceptVersionChange(state: LifecycleState, adapter: AdapterReference | undefined): LifecycleTransition {
    if (isSameAdapter(adapter, state.adapter)) {
        return [state, []];
    }
    switch (state.phase) {
        case "admitted":
        case "queued":
        case "pinned":
            return updatePendingVersion(state, adapter);
        case "dispatched":
        case "streaming":
        case "ended":
            // a request that was sent keeps the adapter version with which it started
            return [state, []];
    }
}

function updatePendingVersion(state: LifecycleState, adapter: AdapterReference | undefined): LifecycleTransition {
    if (adapter === undefined) {
        return endRequest(
            state,
            "unknownModel",
            undefined,
            "the adapter was removed; ask the operator which model replaces it",
        );
    }
    if (state.emittedTokens > 0) {
        const message =
            "the adapter version was replaced during the response; sending the request again runs it a second time";
        return endRequest(state, "broken", defaultRetryAfterMilliseconds, message);
    }
    const next = { ...state, adapter };
    if (state.phase === "admitted") {
        return [next, []];
    }
    const release: readonly LifecycleEffect[] = state.phase === "pinned"
        ? [{ kind: "releasePin", outcome: "notUsed" }]
        : [];
    return moveToQueue(next, [{ kind: "abortWork" }, ...release]);
}

function endWithProtocolError(state: LifecycleState, reason: OutcomeReason, message: string): LifecycleTransition {
    const next = { ...state, mayHaveRun: true };
    return endRequest(next, reason, defaultRetryAfterMilliseconds, message);
}

function endRequest(
    state: LifecycleState,
    reason: OutcomeReason,
    retryAfter: Milliseconds | undefined,
    message = describeReason(reason),
): LifecycleTransition {
    const mayHaveRun = state.mayHaveRun || isSentToEngine(state);
    const kind = !mayHaveRun ? "notRun" : state.started || reason === "backendFailed" ? "failed" : "unknown";
    const outcome: RequestOutcome = { kind, reason, message, retryAfter };
    const release: readonly LifecycleEffect[] = state.phase === "pinned" || isSentToEngine(state)
        ? [{ kind: "releasePin", outcome: isSentToEngine(state) ? "cancelled" : "notUsed" }]
        : [];
    return [
        { ...state, phase: "ended", mayHaveRun, outcome },
        [{ kind: "abortWork" }, ...release, { kind: "finish", outcome }],
    ];
}

function isSameAdapter(left: AdapterReference | undefined, right: AdapterReference | undefined): boolean {
    return left?.adapter === right?.adapter && left?.version === right?.version;
}
