/**
 * Records what an attempt shows: a fault of its server, or that its request doesn't end servers.
 *
 * @packageDocumentation
 */
import type { GuardedRequest } from "../quarantine/index.js";
import { createLogger } from "../shared/index.js";
import { describeEndNow, describeFaultSource } from "./answerEnds.js";
import { hasSentBytes } from "./outcomePolicy.js";
import type { RequestParts, RequestState } from "./requestState.js";
import type { AttemptFault } from "./serverConnections.js";
import { type BackendServer, formatServerRunId, type PlaceOutcome } from "./types.js";

const log = createLogger("serving");

/**
 * Records that an attempt has no complete response.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param server - server of the attempt
 * @param fault - why there is none
 */
export function recordFault(
    parts: RequestParts,
    state: RequestState,
    server: BackendServer,
    fault: AttemptFault,
): void {
    const run = formatServerRunId(server);
    if (isServerFault(fault)) {
        parts.records.markFailure(run, fault.kind === "notSent", parts.clock.now());
    }
    if (hasSentBytes(fault)) {
        parts.onBroken();
        writeBrokenLog(parts, state, run, fault);
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
    if (fault.kind === "notSent") {
        parts.cold.recordReached(run, false);
        state.unreachedServers.add(run);
    }
    if (!hasSentBytes(fault)) {
        state.triedServers.delete(run);
    }
}

/**
 * Records that the present answer has shown that its request doesn't end servers.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 */
export function markSound(parts: RequestParts, state: RequestState): void {
    if (!state.isSound && state.beganAt !== undefined) {
        state.isSound = true;
        parts.guard.markAnswered(describeGuarded(state), state.beganAt);
    }
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

// tells requests that may have ended their server from those that were only running on it
function writeBrokenLog(parts: RequestParts, state: RequestState, run: string, fault: AttemptFault): void {
    const now = parts.clock.now();
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
        ...describeEndNow(parts, state, describeFaultSource(fault)),
    });
}
