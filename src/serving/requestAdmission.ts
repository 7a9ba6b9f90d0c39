/**
 * Admits a request: the decisions in their order, and the waits for what began its stream and for its quota, which end when the
 * request may not begin any more or its deadline is over.
 *
 * @packageDocumentation
 */
import type { RequestDigest } from "../quarantine/index.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { type Admission, applyQuota, decideAdmission, type RequestTimes } from "./admission.js";
import {
    drawStoppingRetryAfter,
    quarantineReasons,
    retryAfterSeconds,
    serviceUnavailableStatus,
    stoppingReason,
} from "./requestEnds.js";
import type { RequestParts } from "./requestState.js";
import { limitRequestWait } from "./requestWait.js";
import { applyStreamOrigin } from "./resumedStreams.js";
import type { ClientRequest, ServingRoute } from "./types.js";

/** Admission of a request; the identity is empty and the times are infinite if the first decision refuses it. */
export interface AcceptedRequest {
    readonly admission: Admission;
    readonly digest: RequestDigest;
    readonly deadlineAt: Milliseconds;
    /** End of its latency objective, which counts from the first attempt of its client. */
    readonly objectiveAt: Milliseconds;
}

/**
 * Admits a request or refuses it.
 *
 * @param parts - parts of the instance
 * @param request - decoded headers of the request
 * @param computeDigest - computes the identity of the request for an account
 * @param startedAt - time of its arrival
 * @param signal - aborted when the client disconnects
 * @returns the admission with the identity and the times of the request
 */
export async function acceptRequest(
    parts: RequestParts,
    request: ClientRequest,
    computeDigest: (account: string | undefined) => RequestDigest,
    startedAt: Milliseconds,
    signal: AbortSignal,
): Promise<AcceptedRequest> {
    const allowed = decideAdmission(parts, request);
    if (allowed.kind !== "admitted") {
        return {
            admission: allowed,
            digest: "",
            deadlineAt: Number.POSITIVE_INFINITY,
            objectiveAt: Number.POSITIVE_INFINITY,
        };
    }
    const { name, targetLatency } = allowed.route;
    const objectiveAt = startedAt - parts.requestAges.estimate(name, request.deadline) + targetLatency;
    const deadlineAt = computeDeadline(allowed.route, request, startedAt);
    const digest = computeDigest(allowed.account?.name);
    const decided = refuseIfStopping(
        parts,
        refuseIfQuarantined(parts, allowed, request, digest, startedAt),
        deadlineAt,
    );
    const admission = decided.kind === "admitted"
        ? await waitForAdmission(parts, decided, request, { deadlineAt, objectiveAt }, signal)
        : decided;
    return { admission, digest, deadlineAt, objectiveAt };
}

// a request that waits at the end of a stop would lose its connection without an answer
async function waitForAdmission(
    parts: RequestParts,
    decided: Extract<Admission, { readonly kind: "admitted"; }>,
    request: ClientRequest,
    times: RequestTimes,
    signal: AbortSignal,
): Promise<Admission> {
    const { deadlineAt } = times;
    const { route, account } = decided;
    const wait = limitRequestWait(parts, { route, deadlineAt }, signal);
    try {
        const located = await applyStreamOrigin(parts.origins, decided, request, wait.signal);
        const admission = located.kind === "admitted"
            ? await applyQuota(parts, located, request, times, wait.signal)
            : located;
        if (admission.kind !== "clientLeft" || signal.aborted) {
            return admission;
        }
        return parts.shutdown.mayBegin({ route, deadlineAt })
            ? describeTimeout(parts, route.name, account?.name)
            : describeStop(parts, route.name, account?.name);
    }
    finally {
        wait.finish();
    }
}

// the earlier of its own deadline and the time-out of its route
function computeDeadline(
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
    deadlineAt: Milliseconds,
): Admission {
    if (admission.kind !== "admitted") {
        return admission;
    }
    const { route, account } = admission;
    return parts.shutdown.mayBegin({ route, deadlineAt })
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

// no server has run it
function describeTimeout(parts: RequestParts, route: string, account: string | undefined): Admission {
    return {
        kind: "refused",
        by: "deadline",
        status: serviceUnavailableStatus,
        reason: "timeout",
        retryAfter: retryAfterSeconds.minimum + retryAfterSeconds.jitter * parts.random.next(),
        route,
        account,
    };
}
