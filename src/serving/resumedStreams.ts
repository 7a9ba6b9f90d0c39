/**
 * Has a stream that a client takes up again go on at the service and software version that began it, and at no other.
 *
 * @packageDocumentation
 */
import {
    isSameOrigin,
    type StreamId,
    type StreamOrigin,
    type StreamOrigins,
    type StreamPath,
} from "../resumption/index.js";
import { createLogger, type Milliseconds, waitUnlessAborted } from "../shared/index.js";
import type { Admission } from "./admission.js";
import type { AnswerEnder } from "./answerEnds.js";
import type { BackendServer, ClientRequest, ServingRoute } from "./types.js";

type AdmittedRequest = Extract<Admission, { readonly kind: "admitted"; }>;

const serviceUnavailableStatus = 503;
/** An instance that keeps the stream may answer again by then. */
const unknownOriginRetrySeconds = 0.5;
/** A client's tries follow each other: one that is cut off at its end is followed by one more of full length. */
const requestsPerStream = 2;
const log = createLogger("serving");

/**
 * Finds where a request for the rest of a stream may go, and refuses it when that can't be learned.
 *
 * @param origins - origins of streams
 * @param admitted - admission by route and key
 * @param request - the request
 * @param signal - aborted when the client disconnects
 * @returns the admission with the service that began the stream, or a refusal; other requests are left as they are
 */
export async function applyStreamOrigin(
    origins: StreamOrigins,
    admitted: AdmittedRequest,
    request: ClientRequest,
    signal: AbortSignal,
): Promise<Admission> {
    const { route, account } = admitted;
    if (!request.resumed || route.kind !== "stream") {
        return admitted;
    }
    // its client has events of another run, which nothing may follow
    if (!route.canResume) {
        return describeRefusal(admitted, "configuration", "streams of the route can't be resumed");
    }
    const stream: StreamId = { account: account?.name, firstAttemptId: request.resumed.firstAttemptId };
    const services = listServices(route);
    const decision = await waitUnlessAborted(origins.find(stream, services, describePath(request)), signal);
    if (!decision) {
        return { kind: "clientLeft", route: route.name, account: account?.name };
    }
    const isRouted = decision.kind === "known" && services.includes(decision.origin.service);
    log.info("stream taken up", {
        id: request.attemptId,
        firstAttempt: stream.firstAttemptId,
        after: request.lastEventId,
        ...decision.kind === "known" ? decision.origin : { reason: decision.reason },
        isRouted,
    });
    if (decision.kind === "known" && isRouted) {
        return { ...admitted, service: decision.origin.service, origin: decision.origin };
    }
    return decision.kind === "known"
        ? describeRefusal(admitted, "configuration", "route left the service of the stream")
        : describeRefusal(admitted, "noServer", "version of the stream unknown");
}

function describeRefusal({ route, account }: AdmittedRequest, by: AnswerEnder, reason: string): Admission {
    return {
        kind: "refused",
        by,
        status: serviceUnavailableStatus,
        reason,
        retryAfter: unknownOriginRetrySeconds,
        route: route.name,
        account: account?.name,
    };
}

/**
 * Describes what selects the route of a request.
 *
 * @param request - the request
 * @returns its host and path
 */
export function describePath({ host, target }: Pick<ClientRequest, "host" | "target">): StreamPath {
    // a query may be long and secret, and selects nothing
    return { host, target: target.split("?", 1)[0]! };
}

/**
 * Computes how long after the beginning of a stream its client may still be getting events of it.
 *
 * @param routes - routes of the configuration
 * @returns time in which the request that began the stream and a return of its client end; 0 without streams
 */
export function computeStreamLifetime(routes: readonly Pick<ServingRoute, "kind" | "timeout">[]): Milliseconds {
    const timeouts = routes.filter(({ kind }) => kind === "stream").map(({ timeout }) => timeout);
    return Math.max(0, ...timeouts) * requestsPerStream;
}

/**
 * Lists the services that may serve a route, each once.
 *
 * @param route - the route
 * @returns names of the services
 */
export function listServices(route: Pick<ServingRoute, "targets">): readonly string[] {
    return [...new Set(route.targets.map(({ service }) => service))];
}

/**
 * Filters the servers that may go on with a stream.
 *
 * @param servers - servers of the stream's service
 * @param origin - what began the stream; `undefined` while no event has been written to the client
 * @returns all servers, or those of the version that began the stream
 */
export function filterByOrigin(
    servers: readonly BackendServer[],
    origin: StreamOrigin | undefined,
): readonly BackendServer[] {
    return origin
        ? servers.filter(({ service, softwareVersion }) => isSameOrigin({ service, version: softwareVersion }, origin))
        : servers;
}
