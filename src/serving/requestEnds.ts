/**
 * Ends requests without the whole answer of a server, with the status that says what is known of them, and describes requests
 * that have ended.
 *
 * @packageDocumentation
 */
import type { QuarantineScope } from "../quarantine/index.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";
import { returnQuota } from "./admission.js";
import { type AnswerEnder, describeEndNow } from "./answerEnds.js";
import type { AnswerHead, AnswerState } from "./answerState.js";
import { describeGuarded } from "./attemptFaults.js";
import type { ConnectionCloser, RequestParts, RequestReport, RequestState } from "./requestState.js";

/** Reason of refusals by an instance that stops. */
export const stoppingReason = "this instance stops";
/** Status of requests that no server has run. */
export const serviceUnavailableStatus = 503;
const badRequestStatus = 400;
const internalErrorStatus = 500;
const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
/** Statuses of requests that a server may have run. */
const failedStatuses: ReadonlySet<number> = new Set([internalErrorStatus, badGatewayStatus, gatewayTimeoutStatus]);
const maximumFaultLength = 200;
/** Reasons of refusals by the kind of their quarantine's scope. */
export const quarantineReasons: Readonly<Record<QuarantineScope["kind"], string>> = {
    part: "quarantined prompt",
    request: "quarantined request",
};
/**
 * Retry delay sent to clients when no server has run their request: the minimum plus a random part of the jitter, so
 * that they don't all retry at the same time.
 */
export const retryAfterSeconds = { minimum: 0.2, jitter: 0.4 };
/** Shortest time in which a place that becomes free is seen by the holder. */
const shortestReturnMilliseconds = 20;
/** The same for clients of an instance that stops, as others have room. */
const stoppingRetryAfterSeconds = { minimum: 0.05, jitter: 0.1 };

/**
 * Draws the delay after which clients of an instance that stops may come back.
 *
 * @param parts - random numbers
 * @returns seconds
 */
export function drawStoppingRetryAfter({ random }: Pick<RequestParts, "random">): number {
    return stoppingRetryAfterSeconds.minimum + stoppingRetryAfterSeconds.jitter * random.next();
}

/** This instance closes connections of clients only when it stops. */
const enderOfCloser: Readonly<Record<ConnectionCloser, AnswerEnder>> = { client: "client", instance: "stop" };

/** Who ends a request without a whole answer, and why. */
export interface RequestEnd {
    readonly by: AnswerEnder;
    /** Empty when nothing is to be said beside the last fault. */
    readonly reason: string;
    /** Time until the client may come back, at least, if no server has run the request. @default 200 */
    readonly returnsIn?: Milliseconds;
    /** Whether `returnsIn` was given to this client alone, so that nothing is added to it. @default false */
    readonly isReturnExact?: boolean;
    /** Whether the client's connection is closed. @default false */
    readonly isGone?: boolean;
}

/**
 * Ends a request without the whole answer of a server, if the state of its answer allows it: with a status, or by closing the
 * connection after the head of an answer.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param end - who ends it, and why
 * @returns whether it has ended by this
 */
export function endRequest(parts: RequestParts, state: RequestState, end: RequestEnd): boolean {
    const { answer, deadlineAt } = state;
    const { by, reason, isGone = false } = end;
    // an attempt that is under way may run
    const mayHaveRun = state.mayHaveRun || isUnderWay(answer.read());
    const head = isGone || answer.hasBegun() ? undefined : describeHead(parts, state, { ...end, mayHaveRun });
    const facts = describeEndNow(parts, state, by);
    const stopsIn = parts.shutdown.measureRemaining();
    if (answer.apply({ kind: "end", by, head, isGone, deadlineAt, stopsIn }) === "refused") {
        return false;
    }
    state.end = facts;
    state.mayHaveRun = mayHaveRun;
    state.lastFault = joinReasons(reason, state.lastFault);
    return true;
}

/**
 * Describes the end of a request whose client's connection was closed.
 *
 * @param state - state of the request
 * @param closer - who closed it; `undefined` when its signal tells
 * @returns who ends it
 */
export function describeLeaving({ stages }: Pick<RequestState, "stages">, closer?: ConnectionCloser): RequestEnd {
    const by = closer === undefined ? stages.findCloser() : enderOfCloser[closer];
    return { by, reason: "", isGone: true };
}

/**
 * Ends a request that got into quarantine while it waited.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 */
export function refuseQuarantined(parts: RequestParts, state: RequestState): void {
    const decision = parts.guard.decide(describeGuarded(state), parts.clock.now());
    const returnsIn = decision.kind === "quarantined" ? decision.remaining : 0;
    const reason = quarantineReasons[decision.kind === "open" ? "request" : decision.scope.kind];
    endRequest(parts, state, { by: "limit", reason, returnsIn });
}

/**
 * Ends a request that may not begin any more, as this instance stops. Its units go back, as its client uses them at another one.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 */
export function refuseStopping(parts: RequestParts, state: RequestState): void {
    if (state.triedServers.size === 0) {
        returnQuota(parts, state.admission, state.request);
    }
    endRequest(parts, state, { by: "stop", reason: stoppingReason });
}

/**
 * Ends a request that failed inside. Its units go back if it reached no server; no status may say of it that it never ran.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param error - what was thrown
 */
export function endAfterFailure(parts: RequestParts, state: RequestState, error: unknown): void {
    if (state.triedServers.size === 0) {
        callGuarded("units of a failed request", () => returnQuota(parts, state.admission, state.request));
    }
    const reason = `failed inside: ${String(error).slice(0, maximumFaultLength)}`;
    endRequest(parts, state, state.signal.aborted ? { ...describeLeaving(state), reason } : { by: "inside", reason });
}

function isUnderWay({ phase }: AnswerState): boolean {
    return phase === "sent" || phase === "answering";
}

function describeHead(
    parts: RequestParts,
    { request }: RequestState,
    end: RequestEnd & { readonly mayHaveRun: boolean; },
): AnswerHead {
    const { attemptId } = request;
    if (end.by === "inside") {
        const encode = (): readonly string[] => parts.headers.encodeRefusalHeaders(attemptId, undefined);
        const headers = callGuarded("headers of a failed request", encode) ?? [];
        return { status: internalErrorStatus, headers, contentLength: 0 };
    }
    const status = chooseStatus(end);
    const retryAfter = status === serviceUnavailableStatus ? drawRetryAfter(parts, end) : undefined;
    return { status, headers: parts.headers.encodeRefusalHeaders(attemptId, retryAfter), contentLength: 0 };
}

function chooseStatus({ by, mayHaveRun }: RequestEnd & { readonly mayHaveRun: boolean; }): number {
    if (mayHaveRun) {
        return by === "deadline" ? gatewayTimeoutStatus : badGatewayStatus;
    }
    return by === "client" ? badRequestStatus : serviceUnavailableStatus;
}

function drawRetryAfter(parts: RequestParts, { by, returnsIn = 0, isReturnExact = false }: RequestEnd): number {
    if (by === "stop") {
        return drawStoppingRetryAfter(parts);
    }
    if (isReturnExact) {
        return Math.max(returnsIn, shortestReturnMilliseconds) / millisecondsPerSecond;
    }
    const { minimum, jitter } = retryAfterSeconds;
    return Math.max(returnsIn / millisecondsPerSecond, minimum) + jitter * parts.random.next();
}

// the fault that ends an answer is the last one as well, and is named once
function joinReasons(reason: string, lastFault: string): string {
    return reason === "" || lastFault === "" || lastFault === reason ? reason || lastFault : `${reason}: ${lastFault}`;
}

/**
 * Names the outcome of a request by the end of its answer.
 *
 * @param state - state of the answer
 * @returns the outcome
 */
export function describeOutcome({ ending, by, status }: AnswerState): RequestReport["outcome"] {
    switch (ending) {
        case "whole":
            return "answered";
        case "status":
            return failedStatuses.has(status ?? 0) ? "failed" : "refused";
        case "cut":
            return "cut";
        case "gone":
            return by === "client" ? "clientLeft" : "cut";
        case undefined:
            throw new Error("the answer hasn't ended");
    }
}

/**
 * Describes a request that has ended.
 *
 * @param parts - parts of the instance
 * @param state - state of the request
 * @returns report for log and metrics
 */
export function createReport(parts: RequestParts, state: RequestState): RequestReport {
    const answer = state.answer.read();
    return {
        outcome: describeOutcome(answer),
        status: answer.status,
        reason: state.lastFault,
        service: state.admission.service,
        route: state.admission.route.name,
        account: state.admission.account?.name,
        servers: [...state.triedServers],
        versions: [...state.deliveredVersions],
        placeWait: Math.round(state.placeWait),
        headAfter: answer.begunAt === undefined ? undefined : Math.round(answer.begunAt - state.startedAt),
        longestPause: Math.round(state.longestPause),
        ...state.end ?? describeEndNow(parts, state, answer.by ?? "inside"),
        ...state.stages.describe(),
    };
}
