/**
 * Runs one attempt of a request: sends it to one server and delivers the response to the client, or returns how the
 * attempt failed and whether the request is sent again.
 *
 * @packageDocumentation
 */
import type { GuardedRequest } from "../quarantine/index.js";
import { createLogger, type Milliseconds } from "../shared/index.js";
import { callGuarded, startTask } from "../supervision/index.js";
import { type ByteStore, createByteStore } from "./byteStore.js";
import { createEventSplitter, type EventSplitter, type SplitEvents } from "./eventSplitter.js";
import { decideNextStep, hasSentBytes, isRetryable, type NextStep, type RequestProgress } from "./outcomePolicy.js";
import type { RequestParts, RequestState, SelectedServer } from "./requestState.js";
import { recordResponseHead } from "./responseRecords.js";
import type { Attempt, AttemptFault } from "./serverConnections.js";
import { describeStream, recordDelivery } from "./streamDelivery.js";
import { formatServerRunId, type PlaceOutcome, type ServerResponseHead } from "./types.js";

/**
 * How an attempt ended: `complete` when the whole response was delivered, `repeat` when the request may be sent again,
 * `failed` when it may not, `unsendable` when no server can be sent it, `timeout` at the deadline of the request, and `clientLeft` when the client disconnected.
 */
export type AttemptOutcome =
    | { readonly kind: "complete"; }
    | { readonly kind: "repeat"; }
    | { readonly kind: "failed"; readonly reason: string; }
    | { readonly kind: "unsendable"; readonly reason: string; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "clientLeft"; };

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
const log = createLogger("serving");

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
    state.sentAt = parts.clock.now();
    state.beganAt = undefined;
    state.isSound = false;
    state.hasDelivered = false;
    record.inFlight++;
    try {
        return await deliverResponse(parts, state, selected);
    }
    finally {
        record.inFlight--;
        callGuarded("release of a place", () => selected.release?.(state.placeOutcome));
    }
}

function deliverResponse(parts: RequestParts, state: RequestState, selected: SelectedServer): Promise<AttemptOutcome> {
    const { server } = selected;
    const run = formatServerRunId(server);
    const { route } = state.admission;
    return new Promise((resolve, reject) => {
        let mode = "waiting" as "waiting" | "delivering" | "ignoring";
        let splitter: EventSplitter | undefined;
        let held: BufferedResponse | undefined;
        const memory = parts.answerMemory.open({
            giveUp: () => releaseMemory(),
            pause: () => attempt?.pause(),
            resume: () => resumeAttempt(),
        });
        let attempt: Attempt | undefined = undefined;
        const cancelTimer = new AbortController();
        const abortAttempt = (): void => callGuarded("abort attempt", () => attempt?.abort());
        const stopListening = (): void => {
            cancelTimer.abort();
            memory.close();
            state.signal.removeEventListener("abort", abortForClient);
            parts.shutdown.ended.removeEventListener("abort", abortAtStop);
            mode = "ignoring";
        };
        const finish = (end: AttemptOutcome): void => {
            stopListening();
            callGuarded("rest of an answer", () => attempt?.drain?.());
            resolve(end);
        };
        // the server may have run the request, and its answer is no longer read
        const failInside = (error: unknown): void => {
            state.mayHaveRun = true;
            stopListening();
            reject(error);
            abortAttempt();
        };
        const wrapHandler =
            <Values extends unknown[]>(handle: (...values: Values) => void) => (...values: Values): void => {
                try {
                    handle(...values);
                }
                catch (error) {
                    failInside(error);
                }
            };
        const resumeAttempt = wrapHandler(() => attempt?.resume());
        const abortForClient = (): void => {
            finish({ kind: "clientLeft" });
            abortAttempt();
        };
        const abortAtDeadline = (): void => {
            abortAttempt();
            state.mayHaveRun = true;
            finish({ kind: "timeout" });
        };
        // a client that has events goes on elsewhere with a connection that ends; another one gets an answer that promises nothing
        const abortAtStop = (): void => {
            abortAttempt();
            state.mayHaveRun = true;
            finish({ kind: "failed", reason: "this instance stops" });
        };
        const describeProgress = (): RequestProgress => ({
            route,
            triedServerCount: state.triedServers.size,
            hasResponseStarted: state.headSentAt !== undefined,
            mayHaveRun: state.mayHaveRun,
        });
        const applyStep = (step: NextStep, reason: string): void => {
            state.lastFault = reason;
            if (step.kind === "repeat" && takeRetry(parts, state, step)) {
                finish({ kind: "repeat" });
                return;
            }
            state.mayHaveRun ||= step.kind === "fail" && !step.isNotRun;
            finish({ kind: "failed", reason });
        };
        const handleHead = (head: ServerResponseHead): void => {
            recordResponseHead(parts, state, selected, head);
            const step = decideNextStep({ kind: "head", head }, describeProgress());
            const hasDeliverableResponse = !head.isNotRun && head.isSigned && state.headSentAt === undefined;
            if (step.kind === "repeat" && isBeforeDeadline(parts, state) && takeRetry(parts, state, step)) {
                state.lastFault = `status ${head.status}`;
                finish({ kind: "repeat" });
                return;
            }
            if (step.kind === "fail" || (step.kind === "repeat" && !hasDeliverableResponse)) {
                state.mayHaveRun ||= !head.isNotRun;
                finish({ kind: "failed", reason: `status ${head.status}` });
                return;
            }
            mode = "delivering";
            state.beganAt = head.status < lowestRedirectStatus ? parts.clock.now() : undefined;
            splitter = head.isEventStream
                ? createEventSplitter({
                    after: state.lastEventId,
                    isNumbered: route.kind === "stream" && route.canResume,
                })
                : undefined;
            if (head.isEventStream || (head.contentLength ?? 0) > responseBufferBytes) {
                deliverHead(head, isRetryable(route) ? undefined : head.contentLength);
            }
            else {
                held = { head, bytes: createByteStore() };
            }
        };
        const deliverHead = (head: ServerResponseHead, contentLength: number | undefined): void => {
            if (state.headSentAt === undefined) {
                state.headSentAt = parts.clock.now();
                state.status = head.status;
                state.answer.writeHead(head.status, head.passedHeaders, contentLength);
            }
        };
        const flushBuffer = (contentLength: number | undefined): void => {
            if (held) {
                deliverHead(held.head, contentLength);
                held.bytes.take().forEach(state.answer.write);
                held = undefined;
                memory.set(0);
            }
        };
        const failUseless = (detail: string): void => {
            abortAttempt();
            handleFault({ kind: "broken", detail, isNoAnswer: true });
        };
        // a response is then delivered as it arrives
        const releaseMemory = wrapHandler(() =>
            held ? flushBuffer(held.head.contentLength) : failUseless("the largest event while memory is short")
        );
        const handleData = (chunk: Buffer): void => {
            if (mode !== "delivering") {
                return;
            }
            if (parts.clock.now() - (state.beganAt ?? Number.POSITIVE_INFINITY) >= soundAnswerMilliseconds) {
                markSound(parts, state);
            }
            if (held) {
                held.bytes.push(chunk);
                memory.set(held.bytes.countBytes());
                if (held && held.bytes.countBytes() > responseBufferBytes) {
                    flushBuffer(held.head.contentLength);
                }
                return;
            }
            const resumedAfter = state.lastEventId;
            const events = splitter && takeCompleteEvents(state, splitter, chunk, parts.clock.now());
            const bytes = events?.bytes ?? chunk;
            if (events && bytes.length > 0) {
                recordDelivery(parts, state, server, resumedAfter);
            }
            if (bytes.length > 0 && !state.answer.write(bytes)) {
                attempt?.pause();
                state.answer.onDrain(resumeAttempt);
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
            if (mode === "ignoring") {
                return;
            }
            if (isServerFault(fault)) {
                parts.records.markFailure(run, fault.kind === "notSent", parts.clock.now());
            }
            if (hasSentBytes(fault)) {
                parts.onBroken();
                writeBrokenLog(state, run, fault, parts.clock.now());
                // bytes that are no answer say that the server is faulty, not that the request ended it
                if (!state.isSound && fault.kind === "broken" && isServerFault(fault) && !fault.isNoAnswer) {
                    parts.guard.markBroken({ run, service: server.service }, describeGuarded(state), parts.clock.now());
                }
            }
            if (fault.kind === "notSent") {
                log.info("server not reached", { id: state.request.attemptId, run, detail: fault.detail });
            }
            state.placeOutcome = describePlaceOutcome(fault);
            // the same server may be reached through another instance
            if (fault.kind !== "rerouted") {
                state.excludedServers.add(run);
            }
            if (!hasSentBytes(fault)) {
                state.triedServers.delete(run);
            }
            if (fault.kind === "unsendable") {
                finish({ kind: "unsendable", reason: fault.detail });
                return;
            }
            applyStep(decideNextStep({ kind: "fault", fault }, describeProgress()), `${fault.kind} ${fault.detail}`);
        };
        const handleEnd = (): void => {
            if (mode !== "delivering") {
                return;
            }
            const rest = splitter?.readIncomplete();
            if (rest && rest.length > 0) {
                handleFault({ kind: "broken", detail: "stream ended with an incomplete event" });
                return;
            }
            flushBuffer(held?.head.contentLength ?? held?.bytes.countBytes());
            state.answer.end();
            markSound(parts, state);
            parts.origins.markComplete(describeStream(state));
            finish({ kind: "complete" });
        };
        const sendAttempt = (): Attempt =>
            parts.connections.send(
                {
                    server,
                    attemptId: state.request.attemptId,
                    method: state.request.method,
                    target: state.request.target,
                    headers: parts.headers.encodeForwardedHeaders(state.request, {
                        server: server.id,
                        account: state.admission.account?.name,
                        deadline: state.deadlineAt - parts.clock.now(),
                        priority: choosePriority(state),
                        version: selected.requiredVersion,
                        lastEventId: state.lastEventId,
                    }),
                    body: state.body,
                    wasRefused: state.refusedBy.has(run),
                    mayBegin: () => parts.shutdown.mayBegin({ route, deadlineAt: state.deadlineAt }),
                },
                {
                    onHead: wrapHandler(handleHead),
                    onData: wrapHandler(handleData),
                    onEnd: wrapHandler(handleEnd),
                    onFault: wrapHandler(handleFault),
                },
            );
        state.signal.addEventListener("abort", abortForClient, { once: true });
        parts.shutdown.ended.addEventListener("abort", abortAtStop, { once: true });
        const waitForDeadline = async (): Promise<void> => {
            await parts.clock.sleep(Math.max(0, state.deadlineAt - parts.clock.now()), cancelTimer.signal);
            if (!cancelTimer.signal.aborted) {
                abortAtDeadline();
            }
        };
        startTask("deadline of an attempt", waitForDeadline, failInside);
        if (mode === "ignoring") {
            return;
        }
        try {
            attempt = sendAttempt();
        }
        catch (error) {
            failInside(error);
        }
    });
}

function isServerFault(fault: AttemptFault): boolean {
    switch (fault.kind) {
        case "unsendable":
        case "withdrawn":
        case "rerouted":
            return false;
        case "broken":
            return fault.isBetweenInstances !== true;
        case "notSent":
        case "crossed":
            return true;
    }
}

function describePlaceOutcome(fault: AttemptFault): PlaceOutcome {
    switch (fault.kind) {
        case "notSent":
            return "unreachable";
        case "unsendable":
        case "withdrawn":
        case "rerouted":
            return "unknown";
        case "broken":
        case "crossed":
            return isServerFault(fault) ? "failed" : "unknown";
    }
}

function choosePriority(state: RequestState): number | undefined {
    const { account, route } = state.admission;
    return state.request.choice && Math.min(lowestPriority, account?.priority ?? route.priority);
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

/**
 * Describes a request to the guard.
 *
 * @param state - state of the request
 * @returns its prompt, account and digest
 */
export function describeGuarded(state: RequestState): GuardedRequest {
    return { prompt: state.request.prompt, account: state.admission.account?.name, digest: state.digest };
}

function markSound(parts: RequestParts, state: RequestState): void {
    if (!state.isSound && state.beganAt !== undefined) {
        state.isSound = true;
        parts.guard.markAnswered(describeGuarded(state), state.beganAt);
    }
}

// tells requests that may have ended their server from those that were only running on it
function writeBrokenLog(state: RequestState, run: string, fault: AttemptFault, now: Milliseconds): void {
    log.warn("answer broken off", {
        id: state.request.attemptId,
        run,
        fault: fault.kind,
        detail: fault.detail,
        route: state.admission.route.name,
        account: state.admission.account?.name,
        digest: state.digest,
        parts: state.request.prompt?.shared.join(),
        sinceSent: Math.round(now - state.sentAt),
        sinceBegun: state.beganAt === undefined ? undefined : Math.round(now - state.beganAt),
        lastEventId: state.lastEventId,
    });
}

function isBeforeDeadline(parts: RequestParts, state: RequestState): boolean {
    return parts.clock.now() < state.deadlineAt;
}

function takeRetry(
    parts: RequestParts,
    state: RequestState,
    step: Extract<NextStep, { readonly kind: "repeat"; }>,
): boolean {
    state.mayHaveRun = step.mayHaveRun;
    return step.isBudgetExempt || parts.retryBudget.take(state.admission.service, parts.clock.now());
}
