/**
 * State of a request while it runs, and the parts of the instance that it uses.
 *
 * @packageDocumentation
 */
import type { PermitClient } from "../adapters/permitClient.js";
import type { PlaceClient } from "../adapters/placeClient.js";
import type { RequestDigest, RequestGuard } from "../quarantine/index.js";
import type { StreamOrigin, StreamOrigins } from "../resumption/index.js";
import type { RequestAges } from "../routing/index.js";
import type { Clock, FailureDomainId, Milliseconds, SeededRandom } from "../shared/index.js";
import type { Admission, AdmissionParts } from "./admission.js";
import type { AnswerEnd } from "./answerEnds.js";
import type { AnswerMemory } from "./answerMemory.js";
import type { AnswerTimes } from "./answerTimes.js";
import type { ClientAnswer } from "./clientAnswer.js";
import type { ColdServers, SendPermit } from "./coldServers.js";
import type { EventId } from "./eventIds.js";
import type { Regions } from "./homes.js";
import type { LeavingReport, RequestStages } from "./requestStages.js";
import type { ServerConnections } from "./serverConnections.js";
import type { ServerList } from "./serverList.js";
import type { ServerRecords } from "./serverRecords.js";
import type { Shutdown } from "./shutdown.js";
import type { AnswerReport, BackendServer, ClientRequest, HeaderCodec, PlaceOutcome, ServerRunId } from "./types.js";

/** Who had a stream go on: the client by a new request, or this instance within one response. */
export type StreamResumer = "client" | "instance";

/** Who closed the connection of a client. */
export type ConnectionCloser = "client" | "instance";

/** The response to a client. */
export interface ClientResponse {
    readonly writeHead: (status: number, headers: readonly string[], contentLength: number | undefined) => void;
    /** Returns `false` when the socket's buffer is full; wait for `onDrain` before writing more. */
    readonly write: (chunk: Buffer) => boolean;
    readonly end: () => void;
    /** Closes the connection, so that the client can tell that the response is incomplete. */
    readonly destroy: () => void;
    /** Calls `resume` once when more may be written. */
    readonly onDrain: (resume: () => void) => void;
    /** Resolves when all that was written is on its way to the client, or its connection is closed. @default `sent` at once */
    readonly finished?: Promise<"sent" | ConnectionCloser>;
}

/** Parts of the instance that a request uses; all requests share them. */
export interface RequestParts extends AdmissionParts {
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly failureDomain: FailureDomainId;
    readonly servers: ServerList;
    readonly regions: Pick<Regions, "filterServers">;
    readonly records: ServerRecords;
    readonly connections: ServerConnections;
    readonly headers: HeaderCodec;
    readonly adapters: PlaceClient;
    readonly permits: Pick<
        PermitClient,
        "recordLimit" | "recordCold" | "acquirePermit" | "returnPermit" | "measureWait"
    >;
    readonly cold: Pick<ColdServers, "needsPermit" | "recordResponse" | "recordReached" | "mayBegin">;
    readonly guard: RequestGuard;
    readonly origins: StreamOrigins;
    readonly answerMemory: Pick<AnswerMemory, "open">;
    readonly answerTimes: Pick<AnswerTimes, "record">;
    readonly requestAges: RequestAges;
    readonly shutdown: Pick<Shutdown, "mayBegin" | "limitWait" | "ended" | "measureSinceBegun" | "measureRemaining">;
    /** Counts an answer that a server broke off. */
    readonly onBroken: () => void;
    /** Counts a stream that goes on at another server, or after a client's return. */
    readonly onResumed: (by: StreamResumer) => void;
}

/** Report on a request that has ended, for log and metrics; all fields are written to the log under their names. */
export interface RequestReport extends LeavingReport, AnswerEnd {
    /**
     * How the request ended: `answered` when a whole response was delivered to the client, `refused` when no server has run the
     * request, `failed` when a server may have run it but the client got an error status instead of its response, `cut`
     * when this instance closed the connection before the whole response, and `clientLeft` when the client disconnected.
     */
    readonly outcome: "answered" | "refused" | "failed" | "cut" | "clientLeft";
    /** Status sent to the client; `undefined` when none was sent. */
    readonly status: number | undefined;
    /** Reason of the refusal, or the last failure; empty when there was none. */
    readonly reason: string;
    readonly service: string | undefined;
    readonly route: string | undefined;
    readonly account: string | undefined;
    /** Servers that may have received the request. */
    readonly servers: readonly ServerRunId[];
    /** Software versions of the servers whose events were delivered, each once. */
    readonly versions: readonly string[];
    /** Time spent waiting for an engine that holds the adapter. */
    readonly placeWait: Milliseconds;
    /** Time from the start to the head of the response; `undefined` when no server's head was delivered. */
    readonly headAfter: Milliseconds | undefined;
    /** Longest time between two chunks of an event stream. */
    readonly longestPause: Milliseconds;
}

/** State of an admitted request; its attempts update it. */
export interface RequestState {
    readonly request: ClientRequest;
    readonly body: Buffer | undefined;
    /** Identity of the request, the same for its repeats. */
    readonly digest: RequestDigest;
    readonly answer: ClientAnswer;
    readonly admission: Extract<Admission, { readonly kind: "admitted"; }>;
    readonly startedAt: Milliseconds;
    /** Time at which the response must have ended. */
    readonly deadlineAt: Milliseconds;
    /** End of the latency objective, which counts from the first attempt of the client. */
    readonly objectiveAt: Milliseconds;
    /** Aborted when the client's connection is closed; the reason may be a `ConnectionCloser`. */
    readonly signal: AbortSignal;
    readonly stages: RequestStages;
    /** Servers that may have received the request. */
    readonly triedServers: Set<ServerRunId>;
    /** Servers that have said of this request that they haven't run it. */
    readonly refusedBy: Set<ServerRunId>;
    /** Servers that the request must not be sent to again. */
    readonly excludedServers: Set<ServerRunId>;
    /** Those of them that were not reached, which may be reached again a moment later. */
    readonly unreachedServers: Set<ServerRunId>;
    /** Attempts so far, including those that no server has received or run. */
    attemptCount: number;
    /** Whether a server may have run the request; it is then answered 502 or 504 instead of 503 if it fails. */
    mayHaveRun: boolean;
    /** Last event delivered to the client, or the one that it named itself. */
    lastEventId: EventId | undefined;
    /** What began the stream, from its first event on; only such servers may go on with it. */
    origin: StreamOrigin | undefined;
    /** Software versions of the servers whose events were delivered; a server that states none counts as `unstated`. */
    readonly deliveredVersions: Set<string>;
    /** Whether the present attempt has delivered an event. */
    hasDelivered: boolean;
    /** Total time spent waiting for an engine that holds the adapter, over all attempts. */
    placeWait: Milliseconds;
    /** Time at which the last chunk of an event stream arrived; `undefined` before the first one. */
    lastDataAt: Milliseconds | undefined;
    /** Longest time between two chunks of an event stream. */
    longestPause: Milliseconds;
    /** Whether its quarantine has been lifted for this one request, which is then sent only once. */
    isTrial: boolean;
    /** Time at which the present attempt was sent. */
    sentAt: Milliseconds;
    /** Time at which the answer of the present attempt began; `undefined` before. */
    beganAt: Milliseconds | undefined;
    /** Whether the answer of the present attempt has shown that its prompt doesn't end servers. */
    isSound: boolean;
    /** Times of the present attempt's events. */
    pace: EventPace;
    /** What the present attempt has shown of its server. */
    placeOutcome: PlaceOutcome;
    /** Time before which no server wants the request; in the past where nothing is known of it. */
    returnAt: Milliseconds;
    /** Whether a holder refused the request for want of room; `returnAt` is then a time of its own. */
    isRefusedForRoom: boolean;
    /** Description of the last failure for the log; empty when there was none. */
    lastFault: string;
    /** Time of the last byte of the present server's answer, or at which the attempt was sent; `undefined` before the first. */
    heardAt: Milliseconds | undefined;
    /** Whether the answer isn't read from its server, as its client doesn't read. */
    isHeldBack: boolean;
    /** The end of the answer; `undefined` before. */
    end: AnswerEnd | undefined;
}

/** Times of the events of one attempt. */
export interface EventPace {
    firstAt: Milliseconds | undefined;
    lastAt: Milliseconds;
    /** Number of times between two chunks with events. */
    gaps: number;
    /** Whether the client read so slowly that the times say nothing of the server. */
    wasHeldBack: boolean;
    /** Whether the first event was reported to the holder of the place. */
    isFirstReported: boolean;
}

/** The server of the next attempt. */
export interface SelectedServer {
    readonly server: BackendServer;
    /** Adapter version that the server must use; `undefined` for any. */
    readonly requiredVersion: number | undefined;
    /** Permit for the attempt; `undefined` where nobody has decided on one. */
    readonly permit: SendPermit | undefined;
    /** Gives back the place on an engine, once; `undefined` for a server without places. */
    readonly release: ((outcome: PlaceOutcome, report?: AnswerReport) => void) | undefined;
    /** Tells the holder of the place that the answer has begun; missing where it doesn't want to know. */
    readonly begin?: ((report: AnswerReport) => void) | undefined;
}
