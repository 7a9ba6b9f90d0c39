/**
 * What the opaque request path knows: routes, services, client accounts and backend servers.
 *
 * @packageDocumentation
 */
import type { BackendServerId, ClientAccountId, FailureDomainId, Milliseconds, Result } from "../shared/index.js";

/** What may be repeated: idempotent requests may run again, the others run once at most. */
export type RequestKind = "idempotent" | "once" | "stream";

/** Service that takes a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Route of requests by host and path. */
export interface ServingRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** At least one. */
    readonly targets: readonly RouteTarget[];
    /** Longest time until the final answer. */
    readonly timeout: Milliseconds;
    /** Time to the answer, or to a stream's first event, that earns full credit. */
    readonly targetLatency: Milliseconds;
    /** Longest pause between events of a stream. */
    readonly targetEventGap: Milliseconds | undefined;
    /** Servers that one request may be sent to. */
    readonly attemptLimit: number;
    /** 0 goes first. */
    readonly priority: number;
    readonly isPublic: boolean;
    readonly canResume: boolean;
}

/** A base model that engines may hold. */
export interface ModelMemory {
    readonly name: string;
    readonly sizeMegabytes: number;
    readonly adapterMegabytes: number;
}

/** What one engine of a service can hold and run. */
export interface EngineLimits {
    readonly batchSlots: number;
    readonly kvCacheTokens: number;
    readonly memoryMegabytes: number;
    readonly adapterSlots: number;
    /** Base models that all engines together may fetch from the weight store in a second. */
    readonly modelLoadsPerSecond: number;
    readonly models: readonly ModelMemory[];
}

/** A service behind routes. */
export interface ServingService {
    readonly name: string;
    /** Connections that one server takes from all instances together. */
    readonly connectionLimit: number;
    /** Set for services of model engines. */
    readonly engine: EngineLimits | undefined;
}

/** Rate of a client account over all instances. */
export interface AccountQuota {
    readonly unit: "tokens" | "requests";
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Tokens of a request that doesn't tell them. */
    readonly defaultTokens: number;
}

/** A client account and its keys. */
export interface ServingAccount {
    readonly name: ClientAccountId;
    readonly keys: readonly string[];
    /** Goes before the route's priority. */
    readonly priority: number | undefined;
    /** `undefined` means no limit. */
    readonly quota: AccountQuota | undefined;
}

/** Bounds on what a client may send. */
export interface ClientLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** One version of the configuration. */
export interface ServingConfig {
    readonly version: number;
    readonly routes: readonly ServingRoute[];
    readonly services: ReadonlyMap<string, ServingService>;
    /** `undefined` when requests carry no keys. */
    readonly accounts: readonly ServingAccount[] | undefined;
    readonly limits: ClientLimits;
}

/** A model that an engine says it holds. */
export interface LoadedModel {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly LoadedAdapter[];
}

/** An adapter that an engine says it holds. */
export interface LoadedAdapter {
    readonly name: string;
    readonly version: number;
}

/** A backend server as the platform lists it. */
export interface BackendServer {
    readonly id: BackendServerId;
    /** Start of the process, as Unix time; with the id it names one run of the server. */
    readonly startedAt: Milliseconds;
    readonly service: string;
    /** IP and port. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly isDraining: boolean;
    readonly slots: number;
    readonly models: readonly LoadedModel[];
}

/** Name of one run of a backend server; a restarted server has another one. */
export type ServerRunId = string;

/**
 * Names one run of a backend server.
 *
 * @param server - the server
 * @returns a name that no other run has
 */
export function formatServerRunId(server: Pick<BackendServer, "id" | "startedAt">): ServerRunId {
    return `${server.id}/${server.startedAt}`;
}

/** Model and adapter that a request names. */
export interface ModelChoice {
    readonly model: string;
    readonly adapter: string | undefined;
}

/** A client's request, decoded from its headers. */
export interface ClientRequest {
    readonly attemptId: string | undefined;
    readonly method: string;
    /** Path and query, as sent. */
    readonly target: string;
    readonly host: string;
    readonly key: string | undefined;
    /** Time that the client still waits. */
    readonly deadline: Milliseconds | undefined;
    readonly choice: ModelChoice | undefined;
    /** Prompt tokens and most output tokens. */
    readonly tokens: { readonly prompt: number; readonly output: number; } | undefined;
    readonly lastEventId: number | undefined;
    /** Headers to pass on, without those that concern one connection or that the system sets. */
    readonly passedHeaders: readonly string[];
}

/** What the system adds to a request for a server. */
export interface ForwardedHeaders {
    readonly server: BackendServerId;
    readonly account: ClientAccountId | undefined;
    readonly deadline: Milliseconds;
    /** 0 to 9, where 0 goes first. */
    readonly priority: number | undefined;
    /** Adapter version that the server must have. */
    readonly version: number | undefined;
    /** Event behind which a stream goes on; the client's own when `undefined`. */
    readonly lastEventId: number | undefined;
}

/** Load that a server told with an answer. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Head of a server's answer, decoded. */
export interface ServerResponseHead {
    readonly status: number;
    readonly attemptId: string | undefined;
    readonly isSigned: boolean;
    /** The server says that it has not run the request and won't. */
    readonly isNotRun: boolean;
    readonly load: ServerLoad | undefined;
    readonly isEventStream: boolean;
    /** `undefined` when the answer ends with its last chunk or its connection. */
    readonly contentLength: number | undefined;
    readonly passedHeaders: readonly string[];
}

/** Headers of requests and answers, translated from and to the wire. */
export interface HeaderCodec {
    readonly decodeRequest: (method: string, target: string, rawHeaders: readonly string[]) => ClientRequest;
    readonly encodeForwardedHeaders: (request: ClientRequest, forwarded: ForwardedHeaders) => string[];
    readonly decodeResponseHead: (status: number, rawHeaders: readonly string[]) => ServerResponseHead;
    readonly encodeRefusalHeaders: (attemptId: string | undefined, retryAfterSeconds: number | undefined) => string[];
}

/** Why a call to the platform's store has no result. */
export type StoreError =
    | { readonly kind: "unreachable"; readonly detail: string; }
    /** Nothing was done. */
    | { readonly kind: "busy"; readonly status: number; }
    /** The records were dropped; read the newest ones. */
    | { readonly kind: "expired"; }
    | { readonly kind: "refused"; readonly status: number; readonly detail: string; };

/** Keyed topics that the request path follows. */
export type KeyedTopic = "configuration" | "servers" | "instances";

/** A record of a keyed topic; without a value the key was dropped. */
export interface KeyedRecord {
    readonly key: string;
    readonly value: Uint8Array | undefined;
    readonly offset: number;
}

/** Newest record of each key. */
export interface KeyedSnapshot {
    readonly records: readonly KeyedRecord[];
    /** Offset from which reading goes on. */
    readonly endOffset: number;
}

/** Keyed topics of the platform's store. */
export interface KeyedLog {
    readonly readNewest: (topic: KeyedTopic) => Promise<Result<KeyedSnapshot, StoreError>>;
    readonly readFrom: (
        topic: KeyedTopic,
        offset: number,
        wait: Milliseconds,
    ) => Promise<Result<KeyedSnapshot, StoreError>>;
    readonly append: (
        topic: "instances",
        key: string,
        value: Uint8Array | undefined,
    ) => Promise<Result<undefined, StoreError>>;
}

/** A record of the operator. */
export type OperatorRecord =
    | { readonly kind: "configuration"; readonly config: ServingConfig; }
    | { readonly kind: "adapterVersion"; readonly model: string; readonly adapter: string; readonly version: number; }
    /** Not known here; of no effect. */
    | { readonly kind: "other"; };

/** Why a record means nothing here. */
export interface RecordError {
    readonly kind: "unreadable";
    readonly detail: string;
}

/** Decoders of the records that the platform's writers leave in keyed topics. */
export interface RecordCodec {
    readonly decodeOperatorRecord: (key: string, value: Uint8Array) => Result<OperatorRecord, RecordError>;
    readonly decodeServerEntry: (id: string, value: Uint8Array) => Result<BackendServer, RecordError>;
}
