/**
 * One attempt of a request at one server: its answer goes to the client as it comes, or the attempt ends in a way that
 * decides what follows.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { createEventSplitter, type EventSplitter } from "./eventSplitter.js";
import { decideNextStep, isRepeatable, type NextStep, type RequestProgress } from "./outcomePolicy.js";
import type { AttemptPlace, RequestParts, RequestState } from "./requestState.js";
import type { Attempt, AttemptFault } from "./serverConnections.js";
import { formatServerRun, type ServerAnswerHead } from "./types.js";

/** How an attempt ended. */
export type AttemptEnd =
    | { readonly kind: "complete"; }
    | { readonly kind: "repeat"; }
    | { readonly kind: "failed"; readonly reason: string; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "clientLeft"; };

/** An answer that isn't a stream of events; it goes out when it is whole, so that a broken one can be asked for again. */
interface HeldAnswer {
    readonly head: ServerAnswerHead;
    readonly chunks: Buffer[];
    size: number;
}

/** Larger answers go out as they come. */
const heldAnswerBytes = 65_536;
const lastPriority = 9;
const misdirectedStatus = 421;
const firstServerError = 500;

/**
 * Sends a request to a server and delivers its answer.
 *
 * @param parts - the instance
 * @param state - the request
 * @param place - the server
 * @returns how the attempt ended
 */
export async function runAttempt(
    parts: RequestParts,
    state: RequestState,
    place: AttemptPlace,
): Promise<AttemptEnd> {
    const { server } = place;
    const run = formatServerRun(server);
    const record = parts.records.find(run);
    const { choice } = state.request;
    state.sends++;
    state.used.add(run);
    record.inFlight++;
    choice && parts.adapters.markStarted(server, choice);
    try {
        return await deliverAttempt(parts, state, place);
    }
    finally {
        record.inFlight--;
        choice && parts.adapters.markEnded(server, choice);
    }
}

function deliverAttempt(parts: RequestParts, state: RequestState, place: AttemptPlace): Promise<AttemptEnd> {
    const { server } = place;
    const run = formatServerRun(server);
    const { route } = state.admission;
    return new Promise(resolve => {
        let mode: "waiting" | "delivering" | "ignoring" = "waiting";
        let splitter: EventSplitter | undefined;
        let held: HeldAnswer | undefined;
        let attempt: Attempt | undefined = undefined;
        const cancelTimer = new AbortController();
        const finish = (end: AttemptEnd): void => {
            cancelTimer.abort();
            state.signal.removeEventListener("abort", stopForClient);
            mode = "ignoring";
            resolve(end);
        };
        const stopForClient = (): void => {
            attempt?.abort();
            finish({ kind: "clientLeft" });
        };
        const stopLate = (): void => {
            attempt?.abort();
            state.mayHaveRun = true;
            finish({ kind: "timeout" });
        };
        const describeProgress = (): RequestProgress => ({
            route,
            serversUsed: state.used.size,
            isAnswering: state.headAt !== undefined,
            mayHaveRun: state.mayHaveRun,
        });
        const takeStep = (step: NextStep, reason: string): void => {
            state.lastFault = reason;
            if (step.kind === "repeat" && takeRepeat(parts, state, step)) {
                finish({ kind: "repeat" });
                return;
            }
            state.mayHaveRun ||= step.kind === "fail" && !step.isNotRun;
            finish({ kind: "failed", reason });
        };
        const handleHead = (head: ServerAnswerHead): void => {
            recordHead(parts, state, place, head);
            const step = decideNextStep({ kind: "head", head }, describeProgress());
            const hasOwnAnswer = !head.isNotRun && head.isSigned && state.headAt === undefined;
            if (step.kind === "repeat" && isInTime(parts, state) && takeRepeat(parts, state, step)) {
                state.lastFault = `status ${head.status}`;
                finish({ kind: "repeat" });
                return;
            }
            if (step.kind === "fail" || (step.kind === "repeat" && !hasOwnAnswer)) {
                state.mayHaveRun ||= !head.isNotRun;
                finish({ kind: "failed", reason: `status ${head.status}` });
                return;
            }
            mode = "delivering";
            splitter = head.isEventStream ? createEventSplitter() : undefined;
            if (head.isEventStream || (head.contentLength ?? 0) > heldAnswerBytes) {
                deliverHead(head, isRepeatable(route) ? undefined : head.contentLength);
            }
            else {
                held = { head, chunks: [], size: 0 };
            }
        };
        const deliverHead = (head: ServerAnswerHead, contentLength: number | undefined): void => {
            if (state.headAt === undefined) {
                state.headAt = parts.clock.now();
                state.status = head.status;
                state.answer.writeHead(head.status, head.passedHeaders, contentLength);
            }
        };
        const releaseHeld = (contentLength: number | undefined): void => {
            if (held) {
                deliverHead(held.head, contentLength);
                held.chunks.forEach(state.answer.write);
                held = undefined;
            }
        };
        const handleData = (chunk: Buffer): void => {
            if (mode !== "delivering") {
                return;
            }
            if (held) {
                held.chunks.push(chunk);
                held.size += chunk.length;
                if (held.size > heldAnswerBytes) {
                    releaseHeld(held.head.contentLength);
                }
                return;
            }
            const bytes = splitter ? takeEvents(state, splitter, chunk, parts.clock.now()) : chunk;
            if (bytes.length > 0 && !state.answer.write(bytes)) {
                attempt?.pause();
                state.answer.onDrain(() => attempt?.resume());
            }
        };
        const handleFault = (fault: AttemptFault): void => {
            if (mode === "ignoring") {
                return;
            }
            parts.records.markFailure(run, fault.kind === "notSent", parts.clock.now());
            state.excluded.add(run);
            if (fault.kind === "notSent") {
                state.used.delete(run);
            }
            takeStep(decideNextStep({ kind: "fault", fault }, describeProgress()), `${fault.kind} ${fault.detail}`);
        };
        const handleEnd = (): void => {
            if (mode !== "delivering") {
                return;
            }
            const rest = splitter?.readRest();
            if (rest && rest.length > 0) {
                handleFault({ kind: "broken", detail: "ended within an event" });
                return;
            }
            releaseHeld(held?.head.contentLength ?? held?.size);
            state.answer.end();
            finish({ kind: "complete" });
        };
        state.signal.addEventListener("abort", stopForClient, { once: true });
        void parts.clock.sleep(Math.max(0, state.until - parts.clock.now()), cancelTimer.signal).then(() => {
            if (!cancelTimer.signal.aborted) {
                stopLate();
            }
        });
        attempt = parts.connections.send(
            {
                server,
                attemptId: state.request.attemptId,
                method: state.request.method,
                target: state.request.target,
                headers: parts.headers.encodeForward(state.request, {
                    server: server.id,
                    account: state.admission.account?.name,
                    deadline: state.until - parts.clock.now(),
                    priority: choosePriority(state),
                    version: place.requiredVersion,
                    lastEventId: state.lastEventId,
                }),
                body: state.body,
            },
            { onHead: handleHead, onData: handleData, onEnd: handleEnd, onFault: handleFault },
        );
    });
}

function choosePriority(state: RequestState): number | undefined {
    const { account, route } = state.admission;
    return state.request.choice && Math.min(lastPriority, account?.priority ?? route.priority);
}

function takeEvents(state: RequestState, splitter: EventSplitter, chunk: Buffer, now: Milliseconds): Buffer {
    const events = splitter.push(chunk);
    state.longestPause = Math.max(state.longestPause, now - (state.dataAt ?? now));
    state.dataAt = now;
    state.lastEventId = events.lastId ?? state.lastEventId;
    return events.bytes;
}

function recordHead(parts: RequestParts, state: RequestState, place: AttemptPlace, head: ServerAnswerHead): void {
    const run = formatServerRun(place.server);
    const now = parts.clock.now();
    const record = parts.records.find(run);
    if (head.load) {
        record.load = head.load;
        record.loadAt = now;
    }
    if (head.isNotRun) {
        const { choice } = state.request;
        if (choice && head.status === misdirectedStatus) {
            parts.adapters.markDenied(place.server, choice);
        }
        else {
            state.excluded.add(run);
        }
        return;
    }
    if (head.status >= firstServerError || !head.isSigned) {
        state.excluded.add(run);
        parts.records.markFailure(run, false, now);
        return;
    }
    parts.records.markSuccess(run, now);
}

function isInTime(parts: RequestParts, state: RequestState): boolean {
    return parts.clock.now() < state.until;
}

function takeRepeat(
    parts: RequestParts,
    state: RequestState,
    step: Extract<NextStep, { readonly kind: "repeat"; }>,
): boolean {
    state.mayHaveRun = step.mayHaveRun;
    return step.isFree || parts.retryBudget.take(state.admission.service, parts.clock.now());
}
