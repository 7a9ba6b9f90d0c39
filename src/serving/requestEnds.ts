/**
 * Ends requests without the whole answer of a server, and describes requests that have ended.
 *
 * @packageDocumentation
 */
import type { QuarantineScope } from "../quarantine/index.js";
import { millisecondsPerSecond } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";
import { returnQuota } from "./admission.js";
import { type AnswerEnder, describeEndNow } from "./answerEnds.js";
import type { RequestParts, RequestReport, RequestState } from "./requestState.js";
import { describeGuarded } from "./runAttempt.js";

/** Reason of refusals by an instance that stops. */
export const stoppingReason = "this instance stops";
/** Status of requests that no server has run. */
export const serviceUnavailableStatus = 503;
const badRequestStatus = 400;
const internalErrorStatus = 500;
const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
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

/**
 * Refuses a request that got into quarantine while it waited.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @returns how the request ended
 */
export function refuseQuarantined(parts: RequestParts, state: RequestState): RequestReport["outcome"] {
    const decision = parts.guard.decide(describeGuarded(state), parts.clock.now());
    const remaining = decision.kind === "quarantined" ? decision.remaining / millisecondsPerSecond : 0;
    const reason = quarantineReasons[decision.kind === "open" ? "request" : decision.scope.kind];
    return finishWithoutResponse(parts, state, reason, "limit", remaining);
}

/**
 * Refuses a request that may not begin any more, as this instance stops. Its units go back, as its client uses them at another one.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @returns how the request ended
 */
export function refuseStopping(parts: RequestParts, state: RequestState): RequestReport["outcome"] {
    if (state.triedServers.size === 0) {
        returnQuota(parts, state.admission, state.request);
    }
    if (state.mayHaveRun || state.headSentAt !== undefined) {
        return finishWithoutResponse(parts, state, stoppingReason, "stop");
    }
    recordEnd(parts, state, "stop");
    state.lastFault = joinReasons(stoppingReason, state.lastFault);
    sendStatus(parts, state, serviceUnavailableStatus, drawStoppingRetryAfter(parts));
    return "refused";
}

/**
 * Refuses a request that no server can be sent.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param reason - why its head can't be written
 * @returns how the request ended
 */
export function refuseUnsendable(parts: RequestParts, state: RequestState, reason: string): RequestReport["outcome"] {
    if (state.mayHaveRun || state.headSentAt !== undefined) {
        return finishWithoutResponse(parts, state, reason, "client");
    }
    recordEnd(parts, state, "client");
    state.lastFault = reason;
    sendStatus(parts, state, badRequestStatus, undefined);
    return "refused";
}

/**
 * Ends a request without the whole answer of a server: with a status, or by closing the connection after the head of an answer.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param reason - why there is no whole answer
 * @param by - whose hand it was
 * @param minimumRetryAfter - seconds until its client may come back, at least
 * @returns how the request ended
 */
export function finishWithoutResponse(
    parts: RequestParts,
    state: RequestState,
    reason: string,
    by: AnswerEnder,
    minimumRetryAfter = retryAfterSeconds.minimum,
): RequestReport["outcome"] {
    recordEnd(parts, state, by);
    state.lastFault = joinReasons(reason, state.lastFault);
    if (state.headSentAt !== undefined) {
        state.answer.destroy();
        return "cut";
    }
    if (!state.mayHaveRun) {
        const retryAfter = Math.max(minimumRetryAfter, retryAfterSeconds.minimum) +
            retryAfterSeconds.jitter * parts.random.next();
        sendStatus(parts, state, serviceUnavailableStatus, retryAfter);
        return "refused";
    }
    sendStatus(parts, state, reason === "timeout" ? gatewayTimeoutStatus : badGatewayStatus, undefined);
    return "failed";
}

/**
 * Ends a request whose client's connection was closed.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @returns how the request ended
 */
export function finishForClient(parts: RequestParts, state: RequestState): RequestReport["outcome"] {
    const by = state.stages.findCloser();
    recordEnd(parts, state, by);
    return describeLeavingOutcome(by);
}

/**
 * Names the outcome of a request whose client's connection was closed. A stop that is over closes those that are left.
 *
 * @param by - who closed it
 * @returns the outcome
 */
export function describeLeavingOutcome(by: AnswerEnder): "cut" | "clientLeft" {
    return by === "stop" ? "cut" : "clientLeft";
}

/**
 * Records the end of an answer, which is now. Later ones change nothing.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param by - whose hand it was
 */
export function recordEnd(parts: RequestParts, state: RequestState, by: AnswerEnder): void {
    state.end ??= describeEndNow(parts, state, by);
}

// the fault that ends an answer is the last one as well, and is named once
function joinReasons(reason: string, lastFault: string): string {
    return lastFault === "" || lastFault === reason ? reason : `${reason}: ${lastFault}`;
}

function sendStatus(parts: RequestParts, state: RequestState, status: number, retryAfter: number | undefined): void {
    state.status = status;
    state.answer.writeHead(status, parts.headers.encodeRefusalHeaders(state.request.attemptId, retryAfter), 0);
    state.answer.end();
}

/**
 * Describes a request that has ended.
 *
 * @param parts - parts of the instance
 * @param state - state of the request
 * @param outcome - how it ended
 * @returns report for log and metrics
 */
export function createReport(
    parts: RequestParts,
    state: RequestState,
    outcome: RequestReport["outcome"],
): RequestReport {
    return {
        outcome,
        status: state.status,
        reason: state.lastFault,
        service: state.admission.service,
        route: state.admission.route.name,
        account: state.admission.account?.name,
        servers: [...state.triedServers],
        versions: [...state.deliveredVersions],
        placeWait: Math.round(state.placeWait),
        headAfter: state.headSentAt === undefined ? undefined : Math.round(state.headSentAt - state.startedAt),
        longestPause: Math.round(state.longestPause),
        ...state.end ?? describeEndNow(parts, state, "inside"),
        ...state.stages.describe(),
    };
}

/**
 * Ends a request that failed inside. Its units go back if it reached no server; no status may say of it that it never ran.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param error - what was thrown
 * @returns how the request ended
 */
export function finishAfterFailure(parts: RequestParts, state: RequestState, error: unknown): RequestReport["outcome"] {
    state.lastFault = `failed inside: ${String(error).slice(0, maximumFaultLength)}`;
    if (state.triedServers.size === 0) {
        callGuarded("units of a failed request", () => returnQuota(parts, state.admission, state.request));
    }
    if (state.signal.aborted) {
        return finishForClient(parts, state);
    }
    recordEnd(parts, state, "inside");
    if (state.headSentAt !== undefined) {
        state.answer.destroy();
        return "cut";
    }
    const headers = callGuarded(
        "headers of a failed request",
        () => parts.headers.encodeRefusalHeaders(state.request.attemptId, undefined),
    );
    state.status = internalErrorStatus;
    state.answer.writeHead(internalErrorStatus, headers ?? [], 0);
    state.answer.end();
    return "failed";
}
