/**
 * Admits a request: the decisions in their order, and the waits for what began its stream and for its quota, which end when the
 * request may not begin any more.
 *
 * @packageDocumentation
 */
import type { RequestDigest } from "../quarantine/index.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { type Admission, applyQuota, decideAdmission } from "./admission.js";
import {
    drawStoppingRetryAfter,
    quarantineReasons,
    retryAfterSeconds,
    serviceUnavailableStatus,
    stoppingReason,
} from "./requestEnds.js";
import type { RequestParts } from "./requestState.js";
import { applyStreamOrigin } from "./resumedStreams.js";
import type { ClientRequest, ServingRoute } from "./types.js";

/**
 * Admits a request or refuses it.
 *
 * @param parts - parts of the instance
 * @param request - decoded headers of the request
 * @param computeDigest - computes the identity of the request for an account
 * @param startedAt - time of its arrival
 * @param signal - aborted when the client disconnects
 * @returns the admission with the identity of the request, which is empty if the first decision refuses it
 */
export async function acceptRequest(
    parts: RequestParts,
    request: ClientRequest,
    computeDigest: (account: string | undefined) => RequestDigest,
    startedAt: Milliseconds,
    signal: AbortSignal,
): Promise<{ readonly admission: Admission; readonly digest: RequestDigest; }> {
    const allowed = decideAdmission(parts, request);
    if (allowed.kind !== "admitted") {
        return { admission: allowed, digest: "" };
    }
    const digest = computeDigest(allowed.account?.name);
    const decided = refuseIfStopping(
        parts,
        refuseIfQuarantined(parts, allowed, request, digest, startedAt),
        request,
        startedAt,
    );
    const admission = decided.kind === "admitted"
        ? await waitForAdmission(parts, decided, request, startedAt, signal)
        : decided;
    return { admission, digest };
}

// a request that waits at the end of a stop would lose its connection without an answer
async function waitForAdmission(
    parts: RequestParts,
    decided: Extract<Admission, { readonly kind: "admitted"; }>,
    request: ClientRequest,
    startedAt: Milliseconds,
    signal: AbortSignal,
): Promise<Admission> {
    const { route, account } = decided;
    const wait = parts.shutdown.limitWait({ route, deadlineAt: computeDeadline(route, request, startedAt) }, signal);
    try {
        const located = await applyStreamOrigin(parts.origins, decided, request, wait.signal);
        const admission = located.kind === "admitted"
            ? await applyQuota(parts, located, request, wait.signal)
            : located;
        const isEndedByStop = admission.kind === "clientLeft" && !signal.aborted;
        return isEndedByStop ? describeStop(parts, route.name, account?.name) : admission;
    }
    finally {
        wait.finish();
    }
}

/**
 * Computes the time at which a request must have ended.
 *
 * @param route - route of the request
 * @param request - decoded headers of the request
 * @param startedAt - time of its arrival
 * @returns the earlier of its own deadline and the time-out of its route
 */
export function computeDeadline(
    route: Pick<ServingRoute, "timeout">,
    request: ClientRequest,
    startedAt: Milliseconds,
): Milliseconds {
    return startedAt + Math.min(route.timeout, request.deadline ?? route.timeout);
}

// before the quota, so that requests which reach no server use nothing of it
function refuseIfQuarantined(
    parts: RequestParts,
    admission: Admission,
    request: ClientRequest,
    digest: RequestDigest,
    now: Milliseconds,
): Admission {
    if (admission.kind !== "admitted") {
        return admission;
    }
    const account = admission.account?.name;
    const decision = parts.guard.decide({ prompt: request.prompt, account, digest }, now);
    return decision.kind === "quarantined"
        ? {
            kind: "refused",
            by: "limit",
            status: serviceUnavailableStatus,
            reason: quarantineReasons[decision.scope.kind],
            retryAfter: decision.remaining / millisecondsPerSecond + retryAfterSeconds.jitter * parts.random.next(),
            route: admission.route.name,
            account,
        }
        : admission;
}

// before the quota, as its client sends it to another instance at once
function refuseIfStopping(
    parts: RequestParts,
    admission: Admission,
    request: ClientRequest,
    startedAt: Milliseconds,
): Admission {
    if (admission.kind !== "admitted") {
        return admission;
    }
    const { route, account } = admission;
    return parts.shutdown.mayBegin({ route, deadlineAt: computeDeadline(route, request, startedAt) })
        ? admission
        : describeStop(parts, route.name, account?.name);
}

function describeStop(parts: RequestParts, route: string, account: string | undefined): Admission {
    return {
        kind: "refused",
        by: "stop",
        status: serviceUnavailableStatus,
        reason: stoppingReason,
        retryAfter: drawStoppingRetryAfter(parts),
        route,
        account,
    };
}
