/**
 * Runs one attempt of a request: sends it to one server and delivers the response to the client, or returns how the
 * attempt failed and whether the request is sent again.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";
import { describeFaultSource } from "./answerEnds.js";
import { watchOwners } from "./answerOwners.js";
import { markSound, recordFault } from "./attemptFaults.js";
import { type ByteStore, createByteStore } from "./byteStore.js";
import { createEventSplitter, type EventSplitter, type SplitEvents } from "./eventSplitter.js";
import { mergeHomes } from "./homes.js";
import { decideNextStep, isRetryable, type NextStep, type RequestProgress } from "./outcomePolicy.js";
import { endRequest, type RequestEnd } from "./requestEnds.js";
import type { EventPace, RequestParts, RequestState, SelectedServer } from "./requestState.js";
import { describeAnswer, recordResponseHead } from "./responseRecords.js";
import type { Attempt, AttemptFault, AttemptHandlers, AttemptRequest } from "./serverConnections.js";
import { describeStream, recordDelivery } from "./streamDelivery.js";
import { formatServerRunId, type ServerResponseHead } from "./types.js";

/** How an attempt ended: `repeat` when the request may be sent again, and `over` when its answer is handed over or has ended. */
export type AttemptOutcome = "repeat" | "over";

/**
 * A response that isn't an event stream. It is delivered when complete, so that the request can be retried if it
 * breaks.
 */
interface BufferedResponse {
    readonly head: ServerResponseHead;
    readonly bytes: ByteStore;
}

/** Size above which a response is not buffered but delivered as it arrives. */
const responseBufferBytes = 65_536;
/** Time after its beginning from which on an answer counts as one that doesn't end its server. */
const soundAnswerMilliseconds = 500;
/** Bytes of a stream without a next event after which its server counts as faulty. */
const uselessBytesLimit = 1_048_576;
/** Lowest priority that servers know; lower ones are raised to it. */
const lowestPriority = 9;
const lowestRedirectStatus = 300;

/**
 * Creates the times of an attempt of which no event has arrived.
 *
 * @returns the times
 */
export function createEventPace(): EventPace {
    return { firstAt: undefined, lastAt: 0, gaps: 0, wasHeldBack: false, isFirstReported: false };
}

/**
 * Sends a request to a server and delivers the response to the client.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param selected - server for this attempt
 * @returns how the attempt ended
 */
export async function runAttempt(
    parts: RequestParts,
    state: RequestState,
    selected: SelectedServer,
): Promise<AttemptOutcome> {
    const { server } = selected;
    const run = formatServerRunId(server);
    const record = parts.records.getRecord(run);
    state.attemptCount++;
    state.triedServers.add(run);
    state.placeOutcome = "unknown";
    state.pace = createEventPace();
    state.sentAt = parts.clock.now();
    state.heardAt = state.sentAt;
    state.isHeldBack = false;
    state.beganAt = undefined;
    state.isSound = false;
    state.hasDelivered = false;
    record.inFlight++;
    try {
        return await deliverResponse(parts, state, selected);
    }
    finally {
        record.inFlight--;
        callGuarded(
            "release of a place",
            () => selected.release?.(state.placeOutcome, describeAnswer(parts, state, selected)),
        );
    }
}

function deliverResponse(parts: RequestParts, state: RequestState, selected: SelectedServer): Promise<AttemptOutcome> {
    const { server } = selected;
    const { answer, deadlineAt } = state;
    const { route } = state.admission;
    const canGoOn = route.kind === "stream" && route.canResume;
    if (answer.apply({ kind: "attempt", canGoOn, deadlineAt }) === "refused") {
        if (endRequest(parts, state, { by: "deadline", reason: "timeout" })) {
            return Promise.resolve("over");
        }
        throw new Error("an attempt isn't allowed in the present state of the answer");
    }
    const number = answer.read().attempt;
    return new Promise((resolve, reject) => {
        const over = new AbortController();
        let splitter: EventSplitter | undefined;
        let held: BufferedResponse | undefined;
        // whether the memory of all answers has no room for more
        let isWaiting = false;
        const memory = parts.answerMemory.open({
            giveUp: () => releaseMemory(),
            pause: () => {
                isWaiting = true;
                attempt?.pause();
            },
            resume: () => {
                isWaiting = false;
                resumeAttempt();
            },
        });
        let attempt: Attempt | undefined = undefined;
        const finish = (outcome: AttemptOutcome): void => {
            memory.close();
            over.abort();
            callGuarded("rest of an answer", () => attempt?.drain?.(deadlineAt - parts.clock.now()));
            resolve(outcome);
        };
        const failInside = (error: unknown): void => {
            memory.close();
            over.abort();
            reject(error);
        };
        const wrapHandler =
            <Values extends unknown[]>(handle: (...values: Values) => void) => (...values: Values): void => {
                if (over.signal.aborted) {
                    return;
                }
                try {
                    handle(...values);
                }
                catch (error) {
                    failInside(error);
                }
            };
        const resumeAttempt = wrapHandler(() => {
            if (!isWaiting && !state.isHeldBack) {
                attempt?.resume();
            }
        });
        const endAnswer = (end: RequestEnd): void => {
            if (endRequest(parts, state, end)) {
                finish("over");
            }
        };
        const failAttempt = (end: RequestEnd): void => {
            answer.apply({ kind: "attemptOver", attempt: number });
            endAnswer(end);
        };
        const retryRequest = (reason: string): void => {
            state.lastFault = reason;
            answer.apply({ kind: "attemptOver", attempt: number });
            finish("repeat");
        };
        const describeProgress = (): RequestProgress => ({
            route,
            triedServerCount: state.triedServers.size,
            hasResponseStarted: answer.hasBegun(),
            mayHaveRun: state.mayHaveRun,
        });
        // no event of another server may follow what the client has of an answer that is no stream
        const hasPlainPart = (): boolean =>
            splitter === undefined && answer.hasBegun() && answer.read().phase === "answering";
        const handleHead = (head: ServerResponseHead): void => {
            state.heardAt = parts.clock.now();
            recordResponseHead(parts, state, selected, head);
            const step = decideNextStep({ kind: "head", head }, describeProgress());
            const hasDeliverableResponse = !head.isNotRun && head.isSigned && !answer.hasBegun();
            const reason = `status ${head.status}`;
            if (step.kind === "repeat" && state.heardAt < deadlineAt && takeRetry(parts, state, step)) {
                retryRequest(reason);
                return;
            }
            if (step.kind === "fail" || (step.kind === "repeat" && !hasDeliverableResponse)) {
                state.mayHaveRun ||= !head.isNotRun;
                failAttempt({ by: "server", reason });
                return;
            }
            answer.apply({ kind: "head", attempt: number });
            state.beganAt = head.status < lowestRedirectStatus ? state.heardAt : undefined;
            splitter = head.isEventStream
                ? createEventSplitter({ after: state.lastEventId, isNumbered: canGoOn })
                : undefined;
            if (head.isEventStream || (head.contentLength ?? 0) > responseBufferBytes) {
                deliverHead(head, isRetryable(route) ? undefined : head.contentLength);
            }
            else {
                held = { head, bytes: createByteStore() };
            }
        };
        const deliverHead = ({ status, passedHeaders }: ServerResponseHead, contentLength?: number): void => {
            answer.apply({ kind: "begin", attempt: number, head: { status, headers: passedHeaders, contentLength } });
        };
        const writeChunk = (chunk: Buffer): boolean =>
            answer.apply({ kind: "write", attempt: number, chunk }) === "applied";
        const flushBuffer = (contentLength: number | undefined): void => {
            if (held) {
                deliverHead(held.head, contentLength);
                held.bytes.take().forEach(writeChunk);
                held = undefined;
                memory.set(0);
            }
        };
        const pauseServer = (): void => {
            attempt?.pause();
            state.pace.wasHeldBack = true;
            // another instance hands over several chunks at once
            if (state.isHeldBack) {
                return;
            }
            state.isHeldBack = true;
            answer.onDrain(wrapHandler(() => {
                state.isHeldBack = false;
                resumeAttempt();
            }));
        };
        const failUseless = (detail: string): void => {
            callGuarded("abort attempt", () => attempt?.abort());
            handleFault({ kind: "broken", detail, isNoAnswer: true });
        };
        // a response is then delivered as it arrives
        const releaseMemory = wrapHandler(() =>
            held ? flushBuffer(held.head.contentLength) : failUseless("the largest event while memory is short")
        );
        const handleData = (chunk: Buffer): void => {
            state.heardAt = parts.clock.now();
            if (state.heardAt - (state.beganAt ?? Number.POSITIVE_INFINITY) >= soundAnswerMilliseconds) {
                markSound(parts, state);
            }
            if (held) {
                held.bytes.push(chunk);
                memory.set(held.bytes.countHeldBytes());
                if (held && held.bytes.countBytes() > responseBufferBytes) {
                    flushBuffer(held.head.contentLength);
                }
                return;
            }
            const resumedAfter = state.lastEventId;
            const events = splitter && takeCompleteEvents(state, splitter, chunk, state.heardAt);
            const bytes = events?.bytes ?? chunk;
            if (events && bytes.length > 0) {
                trackPace(parts, state, selected);
                recordDelivery(parts, state, server, resumedAfter);
            }
            if (bytes.length > 0 && !writeChunk(bytes)) {
                pauseServer();
            }
            const useless = events?.foreign ??
                (splitter && splitter.countUselessBytes() > uselessBytesLimit
                    ? `${uselessBytesLimit} bytes without an event`
                    : undefined);
            if (useless !== undefined) {
                failUseless(useless);
                return;
            }
            memory.set(splitter?.countHeldBytes() ?? 0);
        };
        const handleFault = (fault: AttemptFault): void => {
            recordFault(parts, state, server, fault);
            const by = describeFaultSource(fault);
            if (fault.kind === "unsendable") {
                failAttempt({ by, reason: fault.detail });
                return;
            }
            const step = decideNextStep({ kind: "fault", fault }, describeProgress());
            const reason = `${fault.kind} ${fault.detail}`;
            if (step.kind === "repeat" && !hasPlainPart() && takeRetry(parts, state, step)) {
                retryRequest(reason);
                return;
            }
            state.mayHaveRun ||= step.kind === "fail" && !step.isNotRun;
            failAttempt({ by, reason });
        };
        const handleEnd = (): void => {
            flushBuffer(held?.head.contentLength ?? held?.bytes.countBytes());
            const incompleteBytes = splitter?.readIncomplete().length ?? 0;
            if (answer.apply({ kind: "whole", attempt: number, incompleteBytes }) === "refused") {
                handleFault({ kind: "broken", detail: "stream ended with an incomplete event" });
                return;
            }
            markSound(parts, state);
            parts.origins.markComplete(describeStream(state));
            finish("over");
        };
        const handlers: AttemptHandlers = {
            onHead: wrapHandler(handleHead),
            onData: wrapHandler(handleData),
            onEnd: wrapHandler(handleEnd),
            onFault: wrapHandler(handleFault),
        };
        answer.setAbort(() => attempt?.abort());
        watchOwners(parts, state, over.signal, { onEnd: wrapHandler(endAnswer), onFailure: failInside });
        wrapHandler(() => {
            attempt = parts.connections.send(describeAttempt(parts, state, selected), handlers);
        })();
    });
}

function describeAttempt(parts: RequestParts, state: RequestState, selected: SelectedServer): AttemptRequest {
    const { request, admission, deadlineAt, body, lastEventId, refusedBy } = state;
    const { server, requiredVersion, permit } = selected;
    return {
        server,
        attemptId: request.attemptId,
        method: request.method,
        target: request.target,
        headers: parts.headers.encodeForwardedHeaders(request, {
            server: server.id,
            account: admission.account?.name,
            deadline: deadlineAt - parts.clock.now(),
            priority: choosePriority(state),
            version: requiredVersion,
            lastEventId,
        }),
        body,
        wasRefused: refusedBy.has(formatServerRunId(server)),
        mayBegin: () =>
            parts.shutdown.mayBegin({ route: admission.route, deadlineAt }) &&
            parts.cold.mayBegin(formatServerRunId(server), permit),
        isPaced: permit?.until !== undefined,
        homes: mergeHomes(admission),
        deadlineAt,
    };
}

function choosePriority(state: RequestState): number | undefined {
    const { account, route } = state.admission;
    return state.request.choice && Math.min(lowestPriority, account?.priority ?? route.priority);
}

function trackPace(parts: RequestParts, state: RequestState, selected: SelectedServer): void {
    const { pace, heardAt } = state;
    pace.lastAt = heardAt ?? parts.clock.now();
    if (pace.firstAt !== undefined) {
        pace.gaps++;
        return;
    }
    pace.firstAt = pace.lastAt;
    if (selected.begin) {
        callGuarded("report of a first event", () => selected.begin?.(describeAnswer(parts, state, selected)));
        pace.isFirstReported = true;
    }
}

function takeCompleteEvents(
    state: RequestState,
    splitter: EventSplitter,
    chunk: Buffer,
    now: Milliseconds,
): SplitEvents {
    const events = splitter.push(chunk);
    state.longestPause = Math.max(state.longestPause, now - (state.lastDataAt ?? now));
    state.lastDataAt = now;
    state.lastEventId = events.lastId ?? state.lastEventId;
    return events;
}

function takeRetry(
    parts: RequestParts,
    state: RequestState,
    step: Extract<NextStep, { readonly kind: "repeat"; }>,
): boolean {
    state.mayHaveRun = step.mayHaveRun;
    return step.isBudgetExempt || parts.retryBudget.take(state.admission.service, parts.clock.now());
}
