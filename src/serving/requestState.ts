/**
 * What a request on its way is made of, and what it needs of its instance.
 *
 * @packageDocumentation
 */
import type { AdapterCoordinator } from "../adapters/adapterCoordinator.js";
import type { Clock, FailureDomainId, Milliseconds, SeededRandom } from "../shared/index.js";
import type { Admission, AdmissionParts } from "./admission.js";
import type { ServerConnections } from "./serverConnections.js";
import type { ServerList } from "./serverList.js";
import type { ServerRecords } from "./serverRecords.js";
import type { BackendServer, ClientRequest, HeaderCodec, ServerRunId } from "./types.js";

/** Where the answer goes. */
export interface ClientResponse {
    readonly writeHead: (status: number, headers: readonly string[], contentLength: number | undefined) => void;
    /** Tells whether more may be written at once. */
    readonly write: (chunk: Buffer) => boolean;
    readonly end: () => void;
    /** Breaks the connection, so that what was written doesn't look complete. */
    readonly destroy: () => void;
    readonly onDrain: (resume: () => void) => void;
}

/** What a request needs of the instance. */
export interface RequestParts extends AdmissionParts {
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly failureDomain: FailureDomainId;
    readonly servers: ServerList;
    readonly records: ServerRecords;
    readonly connections: ServerConnections;
    readonly headers: HeaderCodec;
    readonly adapters: AdapterCoordinator;
}

/** How a request ended, for the log. */
export interface RequestReport {
    readonly outcome: "answered" | "refused" | "failed" | "cut" | "clientLeft";
    readonly status: number | undefined;
    readonly reason: string;
    readonly service: string | undefined;
    readonly route: string | undefined;
    readonly account: string | undefined;
    readonly servers: readonly ServerRunId[];
    readonly placeWait: Milliseconds;
    readonly headAfter: Milliseconds | undefined;
    /** Longest time between two pieces of a stream. */
    readonly longestPause: Milliseconds;
}

/** State of a request on its way. */
export interface RequestState {
    readonly request: ClientRequest;
    readonly body: Buffer | undefined;
    readonly answer: ClientResponse;
    readonly admission: Extract<Admission, { readonly kind: "admitted"; }>;
    readonly startedAt: Milliseconds;
    /** Time of the final answer at the latest. */
    readonly deadlineAt: Milliseconds;
    readonly signal: AbortSignal;
    /** Servers that it was sent to. */
    readonly triedServers: Set<ServerRunId>;
    /** Servers that it is not sent to again. */
    readonly excludedServers: Set<ServerRunId>;
    sendCount: number;
    mayHaveRun: boolean;
    headSentAt: Milliseconds | undefined;
    status: number | undefined;
    lastEventId: number | undefined;
    placeWait: Milliseconds;
    lastDataAt: Milliseconds | undefined;
    longestPause: Milliseconds;
    lastFault: string;
}

/** A server for the next attempt. */
export interface SelectedServer {
    readonly server: BackendServer;
    readonly requiredVersion: number | undefined;
}
