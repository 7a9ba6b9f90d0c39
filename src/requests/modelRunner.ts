/**
 * Carries out the effects of a model request's lifecycle and feeds it with what happens.
 *
 * @packageDocumentation
 */
import type { BackendError, GenerationEvent } from "../backends/index.js";
import type { ResolvedSettings } from "../config/index.js";
import type { TokenReservation } from "../limits/index.js";
import type { Pin, PinOutcome } from "../placement/index.js";
import type { Milliseconds, Result } from "../shared/index.js";
import { checkAuthorization } from "./authorize.js";
import { createEventStream, type EventStream } from "./eventStream.js";
import {
    advanceLifecycle,
    beginLifecycle,
    type LifecycleEffect,
    type LifecycleEvent,
    type LifecycleState,
} from "./lifecycle.js";
import { type RefusalReason, type RequestOutcome } from "./outcome.js";
import { estimatePromptTokens, hashPromptPrefix, type ModelTarget } from "./resolveTarget.js";
import type { RunContext } from "./runContext.js";
import type { ModelCall, ModelCallEvent } from "./types.js";

const interactivePriority = 0;
const overnightPriority = 10;

/**
 * Runs a model call that was admitted.
 *
 * @param context - what the runners share
 * @param call - the caller's request
 * @param target - route, adapter and account found at admission
 * @param signal - aborted when the caller goes away
 * @param onEnd - called once, when the run has ended or its reader has left
 * @returns the events of the answer, the outcome last
 */
export function runModel(
    context: RunContext,
    call: ModelCall,
    target: ModelTarget,
    signal: AbortSignal,
    onEnd: () => void,
): AsyncIterable<ModelCallEvent> {
    const output = createEventStream<ModelCallEvent>(() => {
        // the reader may leave before the end
        cancel();
        stopWatching();
        signal.removeEventListener("abort", cancel);
        onEnd();
    });
    const run = createModelRun(context, call, target, output);
    const stopWatching = context.watchSettings(run.checkSettings);
    const cancel = (): void => run.put({ kind: "callerGone" });
    signal.addEventListener("abort", cancel);
    run.begin();
    if (signal.aborted) {
        cancel();
    }
    return output;
}

interface ModelRun {
    readonly begin: () => void;
    readonly put: (event: LifecycleEvent) => void;
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
    const timing = createTimingRecord();
    const lifetime = new AbortController();
    const [firstState, firstEffects] = beginLifecycle(target.adapter, outputLimit);
    let state = firstState;
    let reservation: TokenReservation | undefined;
    let pin: Pin | undefined;
    let work = new AbortController();

    // a call, so that the phase is not taken for what it was before an event
    const readPhase = (): LifecycleState["phase"] => state.phase;
    const put = (event: LifecycleEvent): void => {
        const [next, effects] = advanceLifecycle(state, event);
        state = next;
        effects.forEach(runEffect);
    };
    const runEffect = (effect: LifecycleEffect): void => {
        switch (effect.kind) {
            case "reserve":
                void reserveTokens(work.signal);
                return;
            case "acquire":
                void acquirePin(work.signal);
                return;
            case "send":
                sendRequest(effect.attempt, effect.resumeAfterTokens);
                return;
            case "emit":
                timing.record(effect.event, clock.now());
                output.push(effect.event);
                return;
            case "takeRetry":
                context.takeRetry(route.id, effect.cost);
                return;
            case "sleep":
                void waitBackoff(effect.attempt, effect.duration, work.signal);
                return;
            case "abortWork":
                work.abort();
                work = new AbortController();
                return;
            case "releasePin":
                releasePin(effect.outcome);
                return;
            case "finish":
                finishRun(effect.outcome);
                return;
        }
    };
    const reserveTokens = async (aborted: AbortSignal): Promise<void> => {
        const reserved = await context.limiter.reserve({
            requestId: call.requestId,
            account,
            requestClass: route.requestClass,
            promptTokens,
            maximumOutputTokens: outputLimit,
            deadline,
        }, aborted);
        if (reserved.ok && aborted.aborted) {
            context.limiter.settle(reserved.value, 0);
            return;
        }
        if (reserved.ok) {
            reservation = reserved.value;
            put({ kind: "reserved" });
            return;
        }
        const { error } = reserved;
        const reasons = {
            overLimit: "overLimit",
            exceedsBurst: "exceedsBurst",
            notReady: "notReady",
            unknownAccount: "forbidden",
            aborted: "cancelled",
        } as const satisfies Record<typeof error.kind, RefusalReason>;
        const retryAfter = "retryAfter" in error ? error.retryAfter : undefined;
        put({ kind: "reservationRefused", reason: reasons[error.kind], retryAfter });
    };
    const acquirePin = async (aborted: AbortSignal): Promise<void> => {
        const acquired = await context.placement.acquire({
            requestId: call.requestId,
            account,
            requestClass: route.requestClass,
            pool: route.pool,
            baseModel: route.baseModel,
            adapter: state.adapter,
            tokens: promptTokens + outputLimit - state.emittedTokens,
            prefixHash: hashPromptPrefix(call.prompt),
            excludedEngines: [...new Set([...state.excludedEngines, ...context.listEjected(route.pool)])],
            deadline,
        }, aborted);
        if (aborted.aborted) {
            if (acquired.ok) {
                acquired.value.release("notUsed");
            }
            return;
        }
        if (!acquired.ok) {
            put({ kind: "placementRefused", error: acquired.error });
            return;
        }
        pin = acquired.value;
        timing.addPin(pin);
        put({ kind: "placed", engine: pin.engine });
    };
    // no await between the checks and the send
    const sendRequest = (attempt: number, resumeAfterTokens: number): void => {
        const settings = context.settings.read();
        if (settings) {
            checkSettings(settings);
        }
        if (state.phase !== "pinned" || !pin) {
            return;
        }
        if (clock.now() >= deadline) {
            put({ kind: "deadlinePassed" });
            return;
        }
        if (!pin.isValid(clock.now())) {
            put({ kind: "pinLost" });
            return;
        }
        put({ kind: "dispatching" });
        if (readPhase() !== "dispatched") {
            return;
        }
        if (attempt === 1) {
            context.addFirstTry(route.id, route.retryBudget);
        }
        const events = context.useEngine(pin.address).generate({
            requestId: call.requestId,
            // the pin names the load that it holds, not only the version
            adapter: pin.adapter,
            incarnation: pin.incarnation,
            prompt: call.prompt,
            maximumOutputTokens: outputLimit,
            priority: route.requestClass === "interactive" ? interactivePriority : overnightPriority,
            resumeAfterTokens,
            ...(call.temperature === undefined ? {} : { temperature: call.temperature }),
            ...(call.stop === undefined ? {} : { stop: call.stop }),
        }, work.signal);
        void readAnswer(attempt, pin.engine, events);
    };
    const readAnswer = async (
        attempt: number,
        engine: string,
        events: AsyncIterable<Result<GenerationEvent, BackendError>>,
    ): Promise<void> => {
        for await (const event of events) {
            if (!event.ok) {
                recordFault(engine, event.error);
                putFault(attempt, event.error);
                return;
            }
            put({ kind: "answered", attempt, event: event.value });
            if (event.value.kind === "end") {
                context.addEvidence(engine, "worked");
                return;
            }
            if (state.phase === "ended") {
                return;
            }
        }
        // an answer that stops without its last event is no whole answer
        putFault(attempt, { kind: "broken", detail: "the answer stopped" });
    };
    const putFault = (attempt: number, error: BackendError): void =>
        put({
            kind: "backendFault",
            attempt,
            error,
            budget: context.readRetryCredit(route.id),
            jitter: random.next(),
        });
    const recordFault = (engine: string, error: BackendError): void => {
        const isFault = error.kind === "notSent" || error.kind === "broken" || error.kind === "mismatched"
            || error.kind === "failed";
        if (isFault) {
            context.addEvidence(engine, "faulty");
        }
    };
    const waitBackoff = async (attempt: number, duration: Milliseconds, aborted: AbortSignal): Promise<void> => {
        await clock.sleep(duration, aborted);
        if (!aborted.aborted) {
            put({ kind: "backoffOver", attempt });
        }
    };
    const releasePin = (outcome: PinOutcome): void => {
        pin?.release(outcome);
        pin = undefined;
    };
    const finishRun = (outcome: RequestOutcome): void => {
        lifetime.abort();
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
            attempts: state.sends,
            ...timing.describe(call.arrivedAt, clock.now()),
            promptTokens: state.promptTokens ?? promptTokens,
            outputTokens: state.emittedTokens,
        });
    };
    const settleTokens = (): void => {
        if (reservation) {
            context.limiter.settle(reservation, countSpentTokens(state, promptTokens));
            reservation = undefined;
        }
    };
    const checkSettings = (settings: ResolvedSettings): void => {
        const loss = checkAuthorization(settings, route.id, call.keyHash, account);
        if (loss) {
            put({ kind: "withdrawn", reason: loss.reason, message: loss.message });
            return;
        }
        const adapterId = target.adapter?.adapter;
        if (adapterId !== undefined) {
            const version = settings.adapters.get(adapterId)?.version;
            put({
                kind: "versionChanged",
                adapter: version === undefined ? undefined : { adapter: adapterId, version },
            });
        }
    };
    const begin = (): void => {
        firstEffects.forEach(runEffect);
        void clock.sleep(Math.max(0, deadline - clock.now()), lifetime.signal).then(() => {
            put({ kind: "deadlinePassed" });
        });
    };
    return { begin, put, checkSettings };
}

// a request that did not run costs nothing
function countSpentTokens(state: LifecycleState, estimatedPromptTokens: number): number {
    return state.mayHaveRun ? (state.promptTokens ?? estimatedPromptTokens) + state.emittedTokens : 0;
}

interface TimingRecord {
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

function createTimingRecord(): TimingRecord {
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
