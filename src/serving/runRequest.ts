/**
 * Runs one request from its admission to the end of its response, with as many attempts as its route allows.
 *
 * @packageDocumentation
 */
import { computeRequestDigest, type RequestDigest } from "../quarantine/index.js";
import { type Milliseconds, waitUnlessAborted } from "../shared/index.js";
import { recordTaskFailure } from "../supervision/index.js";
import { type Admission, returnQuota } from "./admission.js";
import { describeEndNow } from "./answerEnds.js";
import type { AnswerHead } from "./answerState.js";
import { describeGuarded } from "./attemptFaults.js";
import { createClientAnswer } from "./clientAnswer.js";
import { computeEngineWaitLimits } from "./engineWaitLimits.js";
import { mergeHomes } from "./homes.js";
import { acceptRequest } from "./requestAdmission.js";
import {
    createReport,
    describeLeaving,
    describeOutcome,
    drawStoppingRetryAfter,
    endAfterFailure,
    endRequest,
    refuseQuarantined,
    refuseStopping,
    serviceUnavailableStatus,
} from "./requestEnds.js";
import { createRequestStages } from "./requestStages.js";
import type { ClientResponse, RequestParts, RequestReport, RequestState, SelectedServer } from "./requestState.js";
import { limitRequestWait } from "./requestWait.js";
import { filterByOrigin } from "./resumedStreams.js";
import { type AttemptOutcome, createEventPace, runAttempt } from "./runAttempt.js";
import { chooseServer } from "./serverChoice.js";
import { type BackendServer, type ClientRequest, formatServerRunId, type ServerRunId } from "./types.js";

/** Shortest wait before a holder is asked again for a permit for a cold server. */
const minimumTurnMilliseconds = 50;
/** Maximum number of attempts of one request, including those that no server has received or run. */
const maximumAttempts = 5;
/**
 * Time after which the client of a request without a server may come back, where an evacuation or the homes of the request leave
 * none: neither changes within the few tenths of a second in which a server that restarts is back.
 */
const withheldReturnMilliseconds = 1_000;

/**
 * Runs a request and responds to the client.
 *
 * @param parts - parts of the instance
 * @param request - decoded headers of the request
 * @param body - complete body; `undefined` when it is empty
 * @param response - response to the client, which is ended or destroyed unless the client disconnects
 * @param signal - aborted when the client disconnects
 * @returns report on the request for log and metrics
 */
export async function runRequest(
    parts: RequestParts,
    request: ClientRequest,
    body: Buffer | undefined,
    response: ClientResponse,
    signal: AbortSignal,
): Promise<RequestReport> {
    const startedAt = parts.clock.now();
    const stages = createRequestStages(parts, signal);
    const computeDigest = (account: string | undefined): RequestDigest =>
        computeRequestDigest({ ...request, account, body });
    const accepted = await acceptRequest(parts, request, computeDigest, startedAt, signal);
    const { admission, deadlineAt } = accepted;
    const answer = createClientAnswer(response, parts.clock);
    if (admission.kind !== "admitted") {
        const refusal = admission.kind === "refused" ? admission : undefined;
        const by = refusal?.by ?? stages.findCloser();
        answer.apply({
            kind: "end",
            by,
            head: refusal && describeRefusal(parts, request, refusal),
            isGone: !refusal,
            deadlineAt,
            stopsIn: parts.shutdown.measureRemaining(),
        });
        return {
            outcome: describeOutcome(answer.read()),
            status: refusal?.status,
            reason: refusal?.reason ?? "",
            service: undefined,
            route: admission.route,
            account: admission.account,
            servers: [],
            versions: [],
            placeWait: 0,
            headAfter: undefined,
            longestPause: 0,
            ...describeEndNow(parts, {}, by),
            ...stages.describe(),
        };
    }
    const state = createState({ ...accepted, request, body, answer, signal, admission, startedAt, stages });
    try {
        await runAttempts(parts, state);
        checkEnd(state);
    }
    catch (error) {
        recordTaskFailure("attempts of a request", error);
        endAfterFailure(parts, state, error);
    }
    // a client that reads slowly says nothing of the time of other answers
    if (answer.read().phase === "handedOver") {
        parts.answerTimes.record(admission.route.name, parts.clock.now() - startedAt);
    }
    await waitForDelivery(parts, state);
    return createReport(parts, state);
}

function checkEnd({ answer }: RequestState): void {
    const { phase } = answer.read();
    if (phase !== "handedOver" && phase !== "ended") {
        throw new Error("the request was left without an answer");
    }
}

function describeRefusal(
    parts: Pick<RequestParts, "headers">,
    { attemptId }: ClientRequest,
    { status, retryAfter }: Extract<Admission, { readonly kind: "refused"; }>,
): AnswerHead {
    return { status, headers: parts.headers.encodeRefusalHeaders(attemptId, retryAfter), contentLength: 0 };
}

// what is written may stay here for as long as the client doesn't read
async function waitForDelivery(parts: RequestParts, state: RequestState): Promise<void> {
    if (state.answer.read().phase !== "handedOver") {
        return;
    }
    state.stages.mark("delivery");
    const finished = await waitUnlessAborted(state.answer.finished, state.signal);
    if (finished === "sent") {
        state.answer.apply({ kind: "delivered" });
        return;
    }
    state.isHeldBack = true;
    state.stages.markClosed();
    endRequest(parts, state, describeLeaving(state, finished));
}

type StateBase = Pick<
    RequestState,
    | "request"
    | "body"
    | "answer"
    | "signal"
    | "admission"
    | "digest"
    | "startedAt"
    | "deadlineAt"
    | "objectiveAt"
    | "stages"
>;

function createState(base: StateBase): RequestState {
    const { admission, request, startedAt } = base;
    return {
        ...base,
        triedServers: new Set(),
        refusedBy: new Set(),
        excludedServers: new Set(),
        unreachedServers: new Set(),
        attemptCount: 0,
        mayHaveRun: false,
        lastEventId: request.lastEventId,
        origin: admission.origin,
        deliveredVersions: new Set(),
        hasDelivered: false,
        placeWait: 0,
        lastDataAt: undefined,
        longestPause: 0,
        sentAt: startedAt,
        beganAt: undefined,
        isTrial: false,
        isSound: false,
        pace: createEventPace(),
        placeOutcome: "unknown",
        lastFault: "",
        returnAt: startedAt,
        heardAt: undefined,
        isRefusedForRoom: false,
        isHeldBack: false,
        end: undefined,
    };
}

/**
 * Describes the refusal of a request that an instance which stops doesn't take.
 *
 * @param parts - codec of the headers and random numbers
 * @param request - decoded headers of the request
 * @returns status and headers
 */
export function describeStoppingRefusal(
    parts: Pick<RequestParts, "headers" | "random">,
    request: ClientRequest,
): { readonly status: number; readonly headers: readonly string[]; } {
    return {
        status: serviceUnavailableStatus,
        headers: parts.headers.encodeRefusalHeaders(request.attemptId, drawStoppingRetryAfter(parts)),
    };
}

// returns when the answer is handed over or has ended
async function runAttempts(parts: RequestParts, state: RequestState): Promise<void> {
    parts.retryBudget.countRequest(state.admission.service, state.startedAt);
    let outcome: AttemptOutcome = "repeat";
    while (outcome === "repeat") {
        state.stages.mark("server");
        const attempt = { route: state.admission.route, deadlineAt: state.deadlineAt };
        const wait = limitRequestWait(parts, attempt, state.signal);
        const found = await findServer(parts, state, wait.signal).finally(wait.finish);
        const selected = found.kind === "selected" ? found.selected : undefined;
        if (!selected || !isSendAllowed(parts, state)) {
            selected?.release?.("unknown");
            endUnsent(parts, state, found);
            return;
        }
        state.stages.mark("response");
        outcome = await runAttempt(parts, state, selected);
    }
}

function isSendAllowed(parts: RequestParts, state: RequestState): boolean {
    const { deadlineAt, admission: { route } } = state;
    // the quarantine may have begun while the request waited for its server
    const isQuarantined = (): boolean =>
        parts.guard.decide(describeGuarded(state), parts.clock.now()).kind === "quarantined" && !state.isTrial;
    return !state.signal.aborted && parts.shutdown.mayBegin({ route, deadlineAt }) && parts.clock.now() < deadlineAt &&
        !isQuarantined();
}

// ends a request that is sent to no server, or to no further one
function endUnsent(parts: RequestParts, state: RequestState, found: FoundServer): void {
    const { deadlineAt, admission: { route } } = state;
    const now = parts.clock.now();
    if (state.signal.aborted) {
        // one that is refused for want of a server comes back, and would only add to the load
        if (state.triedServers.size === 0) {
            returnQuota(parts, state.admission, state.request);
        }
        endRequest(parts, state, describeLeaving(state));
    }
    else if (!parts.shutdown.mayBegin({ route, deadlineAt })) {
        refuseStopping(parts, state);
    }
    else if (now >= deadlineAt) {
        endRequest(parts, state, { by: "deadline", reason: "timeout", returnsIn: state.returnAt - now });
    }
    else if (found.kind === "selected" && !found.selected && state.isRefusedForRoom) {
        const returnsIn = state.returnAt - now;
        endRequest(parts, state, { by: "noServer", reason: "no room", returnsIn, isReturnExact: true });
    }
    else if (found.kind === "selected" && !found.selected) {
        const { reason, lasts } = describeMissingServer(parts, state.admission);
        endRequest(parts, state, { by: "noServer", reason, returnsIn: Math.max(state.returnAt - now, lasts) });
    }
    else {
        refuseQuarantined(parts, state);
    }
}

type FoundServer =
    | { readonly kind: "selected"; readonly selected: SelectedServer | undefined; }
    | { readonly kind: "quarantined"; };

async function findServer(parts: RequestParts, state: RequestState, signal: AbortSignal): Promise<FoundServer> {
    // a trial is given once
    if (signal.aborted) {
        return { kind: "selected", selected: undefined };
    }
    if (!await checkQuarantine(parts, state, signal)) {
        return { kind: "quarantined" };
    }
    const isAllowed = !signal.aborted && state.attemptCount < maximumAttempts;
    return { kind: "selected", selected: isAllowed ? await selectServer(parts, state, signal) : undefined };
}

async function selectServer(
    parts: RequestParts,
    state: RequestState,
    signal: AbortSignal,
): Promise<SelectedServer | undefined> {
    const { route, service } = state.admission;
    // a request that has reached the limit of its route is only sent again to servers that it was already sent to
    const allowed = state.triedServers.size < route.attemptLimit ? undefined : state.triedServers;
    const { origin } = state;
    const homes = mergeHomes(state.admission);
    const listServers = (): readonly BackendServer[] =>
        filterByOrigin(listServersInHomes(parts, state.admission), origin);
    const now = parts.clock.now();
    const shedding = parts.servers.listShedding(now);
    const excluded = new Set([...state.excludedServers, ...shedding.keys()]);
    const servers = listServers();
    restoreUnreached(state, servers, excluded, shedding);
    if (origin && state.answer.hasBegun()) {
        restoreServers(state, servers, excluded, shedding);
    }
    if (origin && servers.every(server => excluded.has(formatServerRunId(server)))) {
        return undefined;
    }
    if (servers.length > 0 && servers.every(server => shedding.has(formatServerRunId(server)))) {
        state.returnAt = Math.min(...servers.map(server => shedding.get(formatServerRunId(server))!));
        return undefined;
    }
    if (state.request.choice && parts.configuration.read()?.config.services.get(service)?.engine) {
        const { choice } = state.request;
        const waitLimits = computeEngineWaitLimits({
            startedAt: state.startedAt,
            deadlineAt: state.deadlineAt,
            hasResponseStarted: state.answer.hasBegun(),
            targetLatency: route.targetLatency,
            objectiveAt: state.objectiveAt,
        }, now);
        const selected = await parts.adapters.acquire({
            service,
            choice,
            softwareVersion: origin?.version,
            listServers,
            excluded,
            allowed,
            deadlineAt: state.deadlineAt,
            signal,
            priority: state.admission.account?.priority ?? route.priority,
            // a holder refuses only requests that name their route, and a stream that has begun can't be refused
            route: state.answer.hasBegun() ? undefined : route.name,
            account: state.admission.account?.name,
            tokens: state.request.tokens,
            parts: state.request.promptSizes,
            objectiveAt: state.objectiveAt,
            regions: homes,
            canWait: () => homes === undefined && !parts.servers.isWithheld(service),
            onRefused: wait => {
                state.returnAt = parts.clock.now() + wait;
                state.isRefusedForRoom = true;
            },
            ...waitLimits,
        });
        state.placeWait += parts.clock.now() - now;
        return selected;
    }
    const { records, failureDomain } = parts;
    const candidates = allowed
        ? servers.filter(server => allowed.has(formatServerRunId(server)))
        : servers;
    const shifted = moveStart(candidates, parts.random.next());
    const unpermitted: ServerRunId[] = [];
    for (;;) {
        const server = chooseServer({ servers: shifted, records, failureDomain, excluded, now });
        const permit = server && await waitUnlessAborted(parts.permits.acquirePermit(server), signal);
        if (signal.aborted) {
            return undefined;
        }
        if (!server && unpermitted.length > 0) {
            const wait = Math.max(minimumTurnMilliseconds, Math.min(...unpermitted.map(parts.permits.measureWait)));
            const turnAt = parts.clock.now() + wait;
            state.returnAt = Math.max(state.returnAt, turnAt);
            if (turnAt < Math.min(state.objectiveAt, state.deadlineAt)) {
                await parts.clock.sleep(wait, signal);
                // servers may have come, left or been evacuated meanwhile
                return selectServer(parts, state, signal);
            }
        }
        if (!server || permit) {
            return server && { server, requiredVersion: undefined, permit, release: undefined };
        }
        // servers whose limit or coldness leaves no room are left out for this attempt only
        excluded.add(formatServerRunId(server));
        if (parts.cold.needsPermit(formatServerRunId(server))) {
            unpermitted.push(formatServerRunId(server));
        }
    }
}

function listServersInHomes(
    parts: Pick<RequestParts, "servers" | "regions">,
    admission: RequestState["admission"],
): readonly BackendServer[] {
    const homes = mergeHomes(admission);
    const servers = parts.servers.listUsable(admission.service);
    return homes ? parts.regions.filterServers(servers, homes) : servers;
}

// why no server takes a request, and how long that lasts at least
function describeMissingServer(
    parts: Pick<RequestParts, "servers" | "regions">,
    admission: RequestState["admission"],
): { readonly reason: string; readonly lasts: Milliseconds; } {
    if (parts.servers.isWithheld(admission.service)) {
        return { reason: "no server outside evacuated domains", lasts: withheldReturnMilliseconds };
    }
    return mergeHomes(admission) && listServersInHomes(parts, admission).length === 0
        ? { reason: "no server in the allowed regions", lasts: withheldReturnMilliseconds }
        : { reason: "no server", lasts: 0 };
}

// a stream that is bound to a version may go on at a server that broke it off, where no other one is left
function restoreServers(
    state: RequestState,
    servers: readonly BackendServer[],
    excluded: Set<ServerRunId>,
    shedding: ReadonlyMap<ServerRunId, Milliseconds>,
): void {
    const runs = servers.map(formatServerRunId);
    if (runs.every(run => excluded.has(run))) {
        runs.filter(run => !shedding.has(run)).forEach(run => excluded.delete(run));
        state.excludedServers.clear();
    }
}

// servers that all fall silent go on together; a request that no server has got is tried again where none is left
function restoreUnreached(
    state: RequestState,
    servers: readonly BackendServer[],
    excluded: Set<ServerRunId>,
    shedding: ReadonlyMap<ServerRunId, Milliseconds>,
): void {
    if (servers.some(server => !excluded.has(formatServerRunId(server)))) {
        return;
    }
    for (const run of state.unreachedServers) {
        state.excludedServers.delete(run);
        if (!shedding.has(run)) {
            excluded.delete(run);
        }
    }
    state.unreachedServers.clear();
}

// an instance with few requests finds most servers idle: the first of equal ones must not be the same for all instances
function moveStart<Item>(items: readonly Item[], fraction: number): readonly Item[] {
    const start = Math.floor(items.length * fraction);
    return [...items.slice(start), ...items.slice(0, start)];
}

// a trial is sent to one server; whatever comes of it, a repeat would be one more
async function checkQuarantine(parts: RequestParts, state: RequestState, signal: AbortSignal): Promise<boolean> {
    const decision = parts.guard.decide(describeGuarded(state), parts.clock.now());
    switch (decision.kind) {
        case "open":
            return true;
        case "quarantined":
            return false;
        case "due":
            state.isTrial = !state.isTrial &&
                await waitUnlessAborted(parts.guard.requestTrial(decision.scope), signal) === true;
            return state.isTrial;
    }
}
