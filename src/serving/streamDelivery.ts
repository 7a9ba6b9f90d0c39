/**
 * Keeps which server began a stream, and tells in the log at which server it goes on.
 *
 * @packageDocumentation
 */
import type { StreamId } from "../resumption/index.js";
import { createLogger } from "../shared/index.js";
import type { EventId } from "./eventIds.js";
import type { RequestParts, RequestState } from "./requestState.js";
import { describePath, listServices } from "./resumedStreams.js";
import { type BackendServer, formatServerRunId } from "./types.js";

const log = createLogger("serving");

/**
 * Records that a server's events are delivered; call it before they are written to the client.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated with the first events of an attempt
 * @param server - server of the present attempt
 * @param resumedAfter - last event that the client had before; `undefined` when it had none
 */
export function recordDelivery(
    parts: RequestParts,
    state: RequestState,
    server: BackendServer,
    resumedAfter: EventId | undefined,
): void {
    if (state.hasDelivered) {
        return;
    }
    state.hasDelivered = true;
    markOrigin(parts, state, server);
    const isOwn = state.deliveredVersions.size > 0;
    if (isOwn || state.request.resumed) {
        parts.onResumed(isOwn ? "instance" : "client");
        log.info("stream resumed", {
            id: state.request.attemptId,
            by: isOwn ? "instance" : "client",
            firstAttempt: state.request.resumed?.firstAttemptId,
            after: resumedAfter,
            run: formatServerRunId(server),
            version: server.softwareVersion,
            earlierVersions: [...state.deliveredVersions].join(),
        });
    }
    state.deliveredVersions.add(String(server.softwareVersion ?? "unstated"));
}

function markOrigin(parts: RequestParts, state: RequestState, server: BackendServer): void {
    const { route } = state.admission;
    if (route.kind !== "stream" || !route.canResume) {
        return;
    }
    state.origin ??= { service: server.service, version: server.softwareVersion };
    parts.origins.markBegun(describeStream(state), state.origin, listServices(route), describePath(state.request));
}

/**
 * Describes the stream of a request, which a client's return belongs to as well.
 *
 * @param state - state of the request
 * @returns its account and first attempt
 */
export function describeStream({ admission, request }: RequestState): StreamId {
    const firstAttemptId = request.resumed ? request.resumed.firstAttemptId : request.attemptId;
    return { account: admission.account?.name, firstAttemptId };
}
