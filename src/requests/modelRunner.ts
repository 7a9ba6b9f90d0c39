/**
 * Runs a model request: carries out the effects of its lifecycle, and passes events to the lifecycle.
 *
 * @packageDocumentation
 */
import type { BackendError, GenerationEvent } from "../backends/index.js";
import type { ResolvedSettings } from "../config/index.js";
import type { TokenReservation } from "../limits/index.js";
import type { Pin, PinOutcome } from "../placement/index.js";
import type { Milliseconds, Result } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { checkAuthorization } from "./authorize.js";
import { createEventStream, type EventStream } from "./eventStream.js";
import {
    advanceLifecycle,
    beginLifecycle,
    type LifecycleEffect,
    type LifecycleEvent,
    type LifecycleState,
} from "./lifecycle.js";
import { type OutcomeReason, type RequestOutcome } from "./outcome.js";
import { estimatePromptTokens, hashPromptPrefix, type ModelTarget } from "./resolveTarget.js";
import type { RunContext } from "./runContext.js";
import type { ModelCall, ModelCallEvent } from "./types.js";

// an engine runs waiting requests with a lower number first
const interactivePriority = 0;
const overnightPriority = 10;

/**
 * Runs a model call that was admitted.
 *
 * @param context - dependencies and shared state of the runners
 * @param call - the caller's request
 * @param target - route, adapter and client account that were found at admission
 * @param signal - aborted when the caller disconnects
 * @param onEnd - called once, when the run has ended or its reader has stopped reading
 * @returns the events of the response; the outcome is the last event
 */
export function runModel(
    context: RunContext,
    call: ModelCall,
    target: ModelTarget,
    signal: AbortSignal,
    onEnd: () => void,
): AsyncIterable<ModelCallEvent> {
    const output = createEventStream<ModelCallEvent>(() => {
        // ends the run if its reader stops early; if the run has ended already, the event changes nothing
        cancel();
        stopWatching();
        signal.removeEventListener("abort", cancel);
        onEnd();
    });
    const run = createModelRun(context, call, target, output);
    const stopWatching = context.watchSettings(run.checkSettings);
    const cancel = (): void => run.handleEvent({ kind: "callerGone" });
    signal.addEventListener("abort", cancel);
    run.begin();
    if (signal.aborted) {
        cancel();
    }
    return output;
}

interface ModelRun {
    readonly begin: () => void;
    readonly handleEvent: (event: LifecycleEvent) => void;
    readonly checkSettings: (settings: ResolvedSettings) => void;
}

function createModelRun(
    context: RunContext,
    call: ModelCall,
    target: ModelTarget,
    output: EventStream<ModelCallEvent>,
): ModelRun {
    const { clock, random } = context;
    const { route, account } = target;
    const deadline = call.arrivedAt + route.deadline;
    const promptTokens = estimatePromptTokens(call.prompt);
    const outputLimit = Math.min(call.maximumOutputTokens ?? route.maximumOutputTokens, route.maximumOutputTokens);
    const timings = createTimingRecorder();
    const lifetimeController = new AbortController();
    const [firstState, firstEffects] = beginLifecycle(target.adapter, outputLimit);
    let state = firstState;
    let reservation: TokenReservation | undefined;
    let pin: Pin | undefined;
    let workController = new AbortController();

    // a function, because the compiler would assume that an event has not changed the phase since the last check
    const readPhase = (): LifecycleState["phase"] => state.phase;
    const handleEvent = (event: LifecycleEvent): void => {
        const [next, effects] = advanceLifecycle(state, event);
        state = next;
        effects.forEach(runEffect);
    };
    // a request that failed inside ends as at its deadline, which tells whether it may have run and gives all back
    const failInside = (): void => handleEvent({ kind: "deadlinePassed" });
    const runEffect = (effect: LifecycleEffect): void => {
        switch (effect.kind) {
            case "reserve":
                startTask("reservation of tokens", () => reserveTokens(workController.signal), failInside);
                return;
            case "acquire":
                startTask("place of a request", () => acquirePin(workController.signal), failInside);
                return;
            case "send":
                sendRequest(effect.attempt, effect.resumeAfterTokens);
                return;
            case "emit":
                timings.record(effect.event, clock.now());
                output.push(effect.event);
                return;
            case "takeRetry":
                context.takeRetryCredit(route.id, effect.cost);
                return;
            case "sleep":
                startTask(
                    "pause before a retry",
                    () => waitBackoff(effect.attempt, effect.duration, workController.signal),
                    failInside,
                );
                return;
            case "abortWork":
                workController.abort();
                workController = new AbortController();
                return;
            case "releasePin":
                releasePin(effect.outcome);
                return;
            case "finish":
                finishRun(effect.outcome);
                return;
        }
    };
    const reserveTokens = async (signal: AbortSignal): Promise<void> => {
        const reserved = await context.limiter.reserve({
            requestId: call.requestId,
            account,
            requestClass: route.requestClass,
            promptTokens,
            maximumOutputTokens: outputLimit,
            deadline,
        }, signal);
        if (reserved.ok && signal.aborted) {
            context.limiter.settle(reserved.value, 0);
            return;
        }
        if (reserved.ok) {
            reservation = reserved.value;
            handleEvent({ kind: "reserved" });
            return;
        }
        const { error } = reserved;
        const reasons = {
            overLimit: "overLimit",
            exceedsBurst: "exceedsBurst",
            notReady: "notReady",
            unknownAccount: "forbidden",
            aborted: "cancelled",
        } as const satisfies Record<typeof error.kind, OutcomeReason>;
        const retryAfter = "retryAfter" in error ? error.retryAfter : undefined;
        handleEvent({ kind: "reservationRefused", reason: reasons[error.kind], retryAfter });
    };
    const acquirePin = async (signal: AbortSignal): Promise<void> => {
        const acquired = await context.placement.acquire({
            requestId: call.requestId,
            account,
            requestClass: route.requestClass,
            pool: route.pool,
            baseModel: route.baseModel,
            adapter: state.adapter,
            tokens: promptTokens + outputLimit - state.emittedTokens,
            prefixHash: hashPromptPrefix(call.prompt),
            excludedEngines: [...new Set([...state.excludedEngines, ...context.listEjectedServers(route.pool)])],
            deadline,
        }, signal);
        if (signal.aborted) {
            if (acquired.ok) {
                acquired.value.release("notUsed");
            }
            return;
        }
        if (!acquired.ok) {
            handleEvent({ kind: "placementRefused", error: acquired.error });
            return;
        }
        pin = acquired.value;
        timings.addPin(pin);
        handleEvent({ kind: "placed", engine: pin.engine });
    };
    // there must be no await between the checks in this function and the send, or their results may be outdated
    const sendRequest = (attempt: number, resumeAfterTokens: number): void => {
        const settings = context.settings.read();
        if (settings) {
            checkSettings(settings);
        }
        if (state.phase !== "pinned" || !pin) {
            return;
        }
        if (clock.now() >= deadline) {
            handleEvent({ kind: "deadlinePassed" });
            return;
        }
        if (!pin.isValid(clock.now())) {
            handleEvent({ kind: "pinLost" });
            return;
        }
        handleEvent({ kind: "dispatching" });
        if (readPhase() !== "dispatched") {
            return;
        }
        if (attempt === 1) {
            context.addFirstAttempt(route.id, route.retryBudget);
        }
        const { engine } = pin;
        const events = context.getEngineClient(pin.address).generate({
            requestId: call.requestId,
            // the pin's adapter identifies the load that the pin protects, not only the adapter's version
            adapter: pin.adapter,
            incarnation: pin.incarnation,
            prompt: call.prompt,
            maximumOutputTokens: outputLimit,
            priority: route.requestClass === "interactive" ? interactivePriority : overnightPriority,
            resumeAfterTokens,
            ...(call.temperature === undefined ? {} : { temperature: call.temperature }),
            ...(call.stop === undefined ? {} : { stop: call.stop }),
        }, workController.signal);
        startTask("answer of an engine", () => readResponse(attempt, engine, events), failInside);
    };
    const readResponse = async (
        attempt: number,
        engine: string,
        events: AsyncIterable<Result<GenerationEvent, BackendError>>,
    ): Promise<void> => {
        for await (const event of events) {
            if (!event.ok) {
                recordBackendFault(engine, event.error);
                handleBackendError(attempt, event.error);
                return;
            }
            handleEvent({ kind: "answered", attempt, event: event.value });
            if (event.value.kind === "end") {
                context.recordServerResult(engine, "worked");
                return;
            }
            if (state.phase === "ended") {
                return;
            }
        }
        // a response without its end event is incomplete
        handleBackendError(attempt, { kind: "broken", detail: "the response ended without its end event" });
    };
    const handleBackendError = (attempt: number, error: BackendError): void =>
        handleEvent({
            kind: "backendFault",
            attempt,
            error,
            budget: context.readRetryCredit(route.id),
            jitter: random.next(),
        });
    const recordBackendFault = (engine: string, error: BackendError): void => {
        const isFault = error.kind === "notSent" || error.kind === "broken" || error.kind === "mismatched"
            || error.kind === "failed";
        if (isFault) {
            context.recordServerResult(engine, "faulty");
        }
    };
    const waitBackoff = async (attempt: number, duration: Milliseconds, signal: AbortSignal): Promise<void> => {
        await clock.sleep(duration, signal);
        if (!signal.aborted) {
            handleEvent({ kind: "backoffOver", attempt });
        }
    };
    const releasePin = (outcome: PinOutcome): void => {
        pin?.release(outcome);
        pin = undefined;
    };
    const finishRun = (outcome: RequestOutcome): void => {
        lifetimeController.abort();
        settleTokens();
        output.push({ kind: "outcome", outcome });
        output.close();
        context.onReport({
            requestId: call.requestId,
            route: route.id,
            account,
            requestClass: route.requestClass,
            adapter: state.adapter,
            backendServer: state.engine,
            outcome,
            attempts: state.dispatchCount,
            ...timings.describe(call.arrivedAt, clock.now()),
            promptTokens: state.promptTokens ?? promptTokens,
            outputTokens: state.emittedTokens,
        });
    };
    const settleTokens = (): void => {
        if (reservation) {
            context.limiter.settle(reservation, countChargedTokens(state, promptTokens));
            reservation = undefined;
        }
    };
    const checkSettings = (settings: ResolvedSettings): void => {
        const revocation = checkAuthorization(settings, route.id, call.keyHash, account);
        if (revocation) {
            handleEvent({ kind: "withdrawn", reason: revocation.reason, message: revocation.message });
            return;
        }
        const adapterId = target.adapter?.adapter;
        if (adapterId !== undefined) {
            const version = settings.adapters.get(adapterId)?.version;
            handleEvent({
                kind: "versionChanged",
                adapter: version === undefined ? undefined : { adapter: adapterId, version },
            });
        }
    };
    const begin = (): void => {
        firstEffects.forEach(runEffect);
        const waitForDeadline = async (): Promise<void> => {
            await clock.sleep(Math.max(0, deadline - clock.now()), lifetimeController.signal);
            handleEvent({ kind: "deadlinePassed" });
        };
        startTask("deadline of a request", waitForDeadline, failInside);
    };
    return { begin, handleEvent, checkSettings };
}

// a request that certainly did not run costs the client account nothing
function countChargedTokens(state: LifecycleState, estimatedPromptTokens: number): number {
    return state.mayHaveRun ? (state.promptTokens ?? estimatedPromptTokens) + state.emittedTokens : 0;
}

interface TimingRecorder {
    readonly record: (event: ModelCallEvent, now: Milliseconds) => void;
    readonly addPin: (pin: Pin) => void;
    readonly describe: (arrivedAt: Milliseconds, now: Milliseconds) => {
        readonly queueWait: Milliseconds;
        readonly loadStall: Milliseconds;
        readonly timeToFirstToken: Milliseconds | undefined;
        readonly tokenGaps: readonly Milliseconds[];
        readonly total: Milliseconds;
    };
}

function createTimingRecorder(): TimingRecorder {
    const tokenGaps: Milliseconds[] = [];
    let firstTokenAt: Milliseconds | undefined;
    let lastTokenAt: Milliseconds | undefined;
    let queueWait = 0;
    let loadStall = 0;
    return {
        record: (event, now) => {
            if (event.kind !== "token") {
                return;
            }
            if (lastTokenAt !== undefined) {
                tokenGaps.push(now - lastTokenAt);
            }
            firstTokenAt ??= now;
            lastTokenAt = now;
        },
        addPin: pin => {
            queueWait += pin.queueWait;
            loadStall += pin.loadStall;
        },
        describe: (arrivedAt, now) => ({
            queueWait,
            loadStall,
            timeToFirstToken: firstTokenAt === undefined ? undefined : firstTokenAt - arrivedAt,
            tokenGaps,
            total: now - arrivedAt,
        }),
    };
}
