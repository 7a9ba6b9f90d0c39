/**
 * One request from its admission to its final answer.
 *
 * @packageDocumentation
 */
import { decideAdmission } from "./admission.js";
import { runAttempt } from "./attemptRun.js";
import { computePlaceTimes } from "./placeTimes.js";
import type { AttemptPlace, ClientAnswer, RequestParts, RequestReport, RequestState } from "./requestState.js";
import { chooseServer } from "./serverChoice.js";
import { type BackendServer, type ClientRequest, formatServerRun } from "./types.js";

const sendLimit = 5;
const busyStatus = 503;
const badGatewayStatus = 502;
const timeoutStatus = 504;
/** Wait told to clients when no server can take a request now; spread so that they don't return together. */
const retryAfterSeconds = { least: 0.2, spread: 0.4 };

/**
 * Runs a request.
 *
 * @param parts - the instance
 * @param request - the request
 * @param body - its body
 * @param answer - where the answer goes
 * @param signal - aborted when the client leaves
 * @returns how it ended
 */
export async function runRequest(
    parts: RequestParts,
    request: ClientRequest,
    body: Buffer | undefined,
    answer: ClientAnswer,
    signal: AbortSignal,
): Promise<RequestReport> {
    const startedAt = parts.clock.now();
    const admission = decideAdmission(parts, request, startedAt);
    if (admission.kind === "refused") {
        const { status, retryAfter, reason } = admission;
        answer.writeHead(status, parts.headers.encodeRefusal(request.attemptId, retryAfter), 0);
        answer.end();
        return {
            outcome: "refused",
            status,
            reason,
            service: undefined,
            route: admission.route,
            account: admission.account,
            servers: [],
            placeWait: 0,
            headAfter: undefined,
            longestPause: 0,
        };
    }
    const { route } = admission;
    const state: RequestState = {
        request,
        body,
        answer,
        admission,
        startedAt,
        until: startedAt + Math.min(route.timeout, request.deadline ?? route.timeout),
        signal,
        used: new Set(),
        excluded: new Set(),
        sends: 0,
        mayHaveRun: false,
        headAt: undefined,
        status: undefined,
        lastEventId: request.lastEventId,
        placeWait: 0,
        dataAt: undefined,
        longestPause: 0,
        lastFault: "",
    };
    const outcome = await runAttempts(parts, state);
    return describeRequest(state, outcome);
}

async function runAttempts(parts: RequestParts, state: RequestState): Promise<RequestReport["outcome"]> {
    parts.retryBudget.countRequest(state.admission.service, state.startedAt);
    for (;;) {
        const place = state.sends < sendLimit ? await findPlace(parts, state) : undefined;
        if (state.signal.aborted) {
            return "clientLeft";
        }
        if (!place || parts.clock.now() >= state.until) {
            return endUnanswered(parts, state, place ? "timeout" : "no server");
        }
        const end = await runAttempt(parts, state, place);
        switch (end.kind) {
            case "complete":
                return "answered";
            case "clientLeft":
                return "clientLeft";
            case "timeout":
                return endUnanswered(parts, state, "timeout");
            case "failed":
                return endUnanswered(parts, state, end.reason);
            case "repeat":
                break;
        }
    }
}

async function findPlace(parts: RequestParts, state: RequestState): Promise<AttemptPlace | undefined> {
    const { route, service } = state.admission;
    // a request that has had all the servers that it may have goes back to these
    const listServers = (): readonly BackendServer[] => {
        const usable = parts.servers.listUsable(service);
        return state.used.size < route.attemptLimit
            ? usable
            : usable.filter(server => state.used.has(formatServerRun(server)));
    };
    const now = parts.clock.now();
    if (state.request.choice && parts.configuration.read()?.config.services.get(service)?.engine) {
        const { choice } = state.request;
        const times = computePlaceTimes({
            startedAt: state.startedAt,
            until: state.until,
            hasBegun: state.headAt !== undefined,
            targetLatency: route.targetLatency,
        }, now);
        const place = await parts.adapters.acquire({
            choice,
            listServers,
            excluded: state.excluded,
            priority: state.admission.account?.priority ?? route.priority,
            ...times,
        });
        state.placeWait += parts.clock.now() - now;
        return place;
    }
    const { records, failureDomain } = parts;
    const server = chooseServer({ servers: listServers(), records, failureDomain, excluded: state.excluded, now });
    return server && { server, requiredVersion: undefined };
}

function endUnanswered(parts: RequestParts, state: RequestState, reason: string): RequestReport["outcome"] {
    state.lastFault = state.lastFault === "" ? reason : `${reason}: ${state.lastFault}`;
    if (state.headAt !== undefined) {
        state.answer.destroy();
        return "cut";
    }
    if (!state.mayHaveRun) {
        const retryAfter = retryAfterSeconds.least + retryAfterSeconds.spread * parts.random.next();
        sendStatus(parts, state, busyStatus, retryAfter);
        return "refused";
    }
    sendStatus(parts, state, reason === "timeout" ? timeoutStatus : badGatewayStatus, undefined);
    return "failed";
}

function sendStatus(parts: RequestParts, state: RequestState, status: number, retryAfter: number | undefined): void {
    state.status = status;
    state.answer.writeHead(status, parts.headers.encodeRefusal(state.request.attemptId, retryAfter), 0);
    state.answer.end();
}

function describeRequest(state: RequestState, outcome: RequestReport["outcome"]): RequestReport {
    return {
        outcome,
        status: state.status,
        reason: state.lastFault,
        service: state.admission.service,
        route: state.admission.route.name,
        account: state.admission.account?.name,
        servers: [...state.used],
        placeWait: Math.round(state.placeWait),
        headAfter: state.headAt === undefined ? undefined : Math.round(state.headAt - state.startedAt),
        longestPause: Math.round(state.longestPause),
    };
}
