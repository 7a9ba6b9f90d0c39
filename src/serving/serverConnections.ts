/**
 * Connection pools for backend servers, over which single attempts of requests are sent. A failed attempt reports
 * whether bytes of the request may have been sent.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import type { Milliseconds } from "../shared/index.js";
import { callGuarded, startTask } from "../supervision/index.js";
import type { Homes } from "./homes.js";
import type { LoopGate } from "./loopDelay.js";
import type { ReadTurns } from "./readTurns.js";
import { findRequestFault } from "./requestCheck.js";
import { sendAttempt, withdrawnFault } from "./serverAttempt.js";
import { createServerSockets } from "./serverSockets.js";
import {
    type BackendServer,
    formatServerRunId,
    type HeaderCodec,
    type ServerResponseHead,
    type ServerRunId,
} from "./types.js";
import { createUnsentAttempts } from "./unsentAttempts.js";

/** Why an attempt has no complete response. */
export type AttemptFault =
    /** No byte of the request was sent. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** No byte of the request was sent, because the server takes no more requests. */
    | { readonly kind: "withdrawn"; readonly detail: string; }
    /** No byte of the request was sent, and none can be sent to any server: its head can't be written. */
    | { readonly kind: "unsendable"; readonly detail: string; }
    /**
     * No byte of the request was sent, and the same server can be tried again: the way that was chosen to it is no longer
     * used, and there is another one.
     */
    | { readonly kind: "rerouted"; readonly detail: string; }
    /**
     * The connection failed or the response was incomplete; the request may have run. `isBetweenInstances` when the server
     * has no part in it; `isNoAnswer` when it has sent bytes that are no answer, which says nothing of the request.
     */
    | {
        readonly kind: "broken";
        readonly detail: string;
        readonly isBetweenInstances?: boolean;
        readonly isNoAnswer?: boolean | undefined;
    }
    /** The response belongs to another request, or may do so; this request may have run. */
    | { readonly kind: "crossed"; readonly detail: string; };

/** Callbacks of an attempt. None is called after `onEnd`, `onFault` or `abort`. */
export interface AttemptHandlers {
    readonly onHead: (head: ServerResponseHead) => void;
    readonly onData: (chunk: Buffer) => void;
    readonly onEnd: () => void;
    readonly onFault: (fault: AttemptFault) => void;
}

/** An attempt in progress. */
export interface Attempt {
    /** Closes the connection of the attempt, so that the server stops its work. */
    readonly abort: () => void;
    /** Stops reading the response until `resume`. */
    readonly pause: () => void;
    readonly resume: () => void;
    /**
     * Delivers nothing more: a short rest of the answer is read, so that its connection can be used again, else it is closed,
     * at the latest once the request has no time left.
     *
     * @default the whole answer is read
     */
    readonly drain?: (timeLeft: Milliseconds) => void;
}

/** A request to one server. */
export interface AttemptRequest {
    readonly server: BackendServer;
    readonly attemptId: string | undefined;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values in turn. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Whether this server has refused the request before: a second copy of that answer would be taken for one to this
     * attempt, so that it gets a connection of its own.
     */
    readonly wasRefused?: boolean;
    /** Asked again when a connection is ready: whether the answer can be expected before this instance stops. @default it can */
    readonly mayBegin?: () => boolean;
    /** Whether the request has a permit for a cold server, which would be void before another instance had sent it. */
    readonly isPaced?: boolean;
    /** Regions whose instances may have the body, beside the own one. @default all */
    readonly homes?: Homes;
    /** Time after which nobody waits for the answer. @default somebody waits until the attempt is aborted */
    readonly deadlineAt?: Milliseconds;
}

/** Connections to all backend servers. */
export interface ServerConnections {
    /** Sends a request; the callbacks are called later. */
    readonly send: (request: AttemptRequest, handlers: AttemptHandlers) => Attempt;
    /**
     * Closes the connections of a server that takes no more requests, once those in progress have ended. Requests that
     * wait for a connection to it end as `withdrawn`.
     */
    readonly remove: (run: ServerRunId) => void;
    /** Closes all connections at once. */
    readonly close: () => void;
}

/** Settings of the connections. */
export interface ServerConnectionsOptions {
    readonly headers: HeaderCodec;
    /** Returns the number of connections that this instance may open to a server. */
    readonly findConnectionLimit: (server: BackendServer) => number;
    /** Whether a run may receive requests; asked again when a connection is ready, before the first byte is written. */
    readonly mayReceive: (run: ServerRunId) => boolean;
    /** Called with each response, also one to another request, in which a server announces that it is about to stop. */
    readonly onLeaving: (server: BackendServer) => void;
    /** Asked before the first byte of a request is written, so that no request is sent whose client has left. */
    readonly loop: LoopGate;
    /** Time after which an idle connection isn't used again; a `Keep-Alive` header of the server overrides it. */
    readonly idleTimeout: Milliseconds;
    /** Turns in which answers are read. @default turns of these connections alone */
    readonly turns?: ReadTurns;
}

const replacedFault: AttemptFault = { kind: "rerouted", detail: "the connections to the server were replaced" };
const noConnectionFault: AttemptFault = { kind: "notSent", detail: "no connection can be made to its address" };
const connectTimeoutMilliseconds = 400;

/**
 * Creates the connection pools. A connection is opened when a request needs it.
 *
 * @param options - header codec and limits
 * @returns the pools; the caller closes them
 */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const pools = new Map<ServerRunId, ServerPool>();
    const unsentAttempts = createUnsentAttempts();
    const sockets = createServerSockets(connectTimeoutMilliseconds, options.turns);
    const createPool = (server: BackendServer, poolOptions: Pool.Options): Pool =>
        new Pool(`http://${server.address}`, {
            pipelining: 1,
            connect: sockets.connect,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: options.idleTimeout,
            ...poolOptions,
        });
    // what waits for a connection of the pool would wait for one that isn't used any more, or for another address
    const replacePool = (run: ServerRunId, pool: Pool): void => {
        if (pools.get(run)?.pool === pool) {
            pools.delete(run);
        }
        unsentAttempts.end(run, replacedFault);
        startTask("close connections", () => pool.close());
    };
    const getPool = (server: BackendServer): Pool => {
        const run = formatServerRunId(server);
        const known = pools.get(run);
        if (known?.address === server.address) {
            return known.pool;
        }
        if (known) {
            replacePool(run, known.pool);
        }
        const pool = createPool(server, { connections: options.findConnectionLimit(server) });
        pools.set(run, { pool, address: server.address });
        return pool;
    };
    const getPoolFor = ({ server, wasRefused }: AttemptRequest): Pool =>
        wasRefused ? createPool(server, { connections: 1, maxRequestsPerClient: 1 }) : getPool(server);
    // a server to which no connection can be made is one that isn't reached: the request goes to another one
    const tryPoolFor = (request: AttemptRequest): Pool | undefined =>
        callGuarded("connection to a server", () => getPoolFor(request));
    return {
        send: (request, handlers) => {
            const fault = findRequestFault(request);
            if (fault !== undefined) {
                return failUnsent({ kind: "unsendable", detail: fault }, handlers);
            }
            if (!options.mayReceive(formatServerRunId(request.server))) {
                return failUnsent(withdrawnFault, handlers);
            }
            const pool = tryPoolFor(request);
            return pool
                ? sendAttempt(pool, options, { replacePool, sockets, unsentAttempts }, request, handlers)
                : failUnsent(noConnectionFault, handlers);
        },
        remove: run => {
            const known = pools.get(run);
            pools.delete(run);
            unsentAttempts.end(run, withdrawnFault);
            // undici closes the pool after its requests in progress have ended
            startTask("close connections", () => known?.pool.close());
        },
        close: () => {
            pools.forEach(({ pool }) => startTask("close connections", () => pool.destroy()));
            pools.clear();
        },
    };
}

/** Connections to one run of a server. */
interface ServerPool {
    readonly pool: Pool;
    /** Address that the entry of the server had when the pool was created; another writer may have written it. */
    readonly address: string;
}

// for a request that can't be sent, or a server that was selected before it became known that it takes no more requests, or that has no connection
function failUnsent(fault: AttemptFault, handlers: AttemptHandlers): Attempt {
    let isAborted = false;
    startTask("withdraw attempt", async () => {
        await Promise.resolve();
        if (!isAborted) {
            handlers.onFault(fault);
        }
    });
    return { abort: () => isAborted = true, pause: () => undefined, resume: () => undefined };
}
