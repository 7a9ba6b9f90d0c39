/**
 * Connection pools for backend servers, over which single attempts of requests are sent. A failed attempt reports
 * whether bytes of the request may have been sent.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, Pool } from "undici";
import type { Milliseconds } from "../shared/index.js";
import { callGuarded, recordTaskFailure, startTask } from "../supervision/index.js";
import { createAnswerDelivery } from "./answerDelivery.js";
import type { LoopGate } from "./loopDelay.js";
import type { ReadTurns } from "./readTurns.js";
import { findRequestFault } from "./requestCheck.js";
import { createServerSockets, isNoAnswer, type ServerSocket, type ServerSockets } from "./serverSockets.js";
import {
    type BackendServer,
    formatServerRunId,
    type HeaderCodec,
    type ServerResponseHead,
    type ServerRunId,
} from "./types.js";

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
     * Delivers nothing more: a short rest of the answer is read, so that its connection can be used again, else it is closed.
     *
     * @default the whole answer is read
     */
    readonly drain?: () => void;
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

const withdrawnFault: AttemptFault = { kind: "withdrawn", detail: "the server takes no more requests" };
const replacedFault: AttemptFault = { kind: "rerouted", detail: "the connections to the server were replaced" };
const stoppingFault: AttemptFault = { kind: "withdrawn", detail: "this instance stops" };
const noConnectionFault: AttemptFault = { kind: "notSent", detail: "no connection can be made to its address" };
const connectTimeoutMilliseconds = 400;
const maximumDetailLength = 200;
const lowestFinalStatus = 200;
/** Interim answers that an attempt may have; servers send some, such as one every few seconds of their work. */
const interimAnswerLimit = 64;
/** Rest of an answer that is read though nobody wants it, and the time for that. */
const ignoredRest = { bytes: 65_536, milliseconds: 1_000 } as const;
/** Codes of the errors with which undici refuses a request that it can't write. */
const refusalCodes: ReadonlySet<string> = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);
/**
 * Times that a request waits for the events that wait: before it is dispatched, and once it has a connection. It is then
 * written, as a loop counts as late for longer than some requests may take.
 */
const maximumChecks = 2;

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

/** Attempts that wait for a connection, by the run of their server. */
interface UnsentAttempts {
    readonly add: (run: ServerRunId, end: AttemptEnder) => void;
    readonly remove: (run: ServerRunId, end: AttemptEnder) => void;
    /** Ends all attempts of a run. */
    readonly end: (run: ServerRunId, fault: AttemptFault) => void;
}

/** Ends an attempt of which no byte was sent. */
type AttemptEnder = (fault: AttemptFault) => void;

function createUnsentAttempts(): UnsentAttempts {
    const waiting = new Map<ServerRunId, Set<AttemptEnder>>();
    return {
        add: (run, end) => {
            const ofRun = waiting.get(run) ?? new Set();
            waiting.set(run, ofRun.add(end));
        },
        remove: (run, end) => {
            const ofRun = waiting.get(run);
            ofRun?.delete(end);
            if (ofRun?.size === 0) {
                waiting.delete(run);
            }
        },
        end: (run, fault) => {
            const ofRun = [...waiting.get(run) ?? []];
            waiting.delete(run);
            ofRun.forEach(end => callGuarded("end of an unsent attempt", () => end(fault)));
        },
    };
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

function sendAttempt(
    pool: Pool,
    options: ServerConnectionsOptions,
    { replacePool, sockets, unsentAttempts }: {
        /** Has later requests use another pool than this one. */
        readonly replacePool: (run: ServerRunId, pool: Pool) => void;
        readonly sockets: ServerSockets;
        readonly unsentAttempts: UnsentAttempts;
    },
    request: AttemptRequest,
    handlers: AttemptHandlers,
): Attempt {
    const run = formatServerRunId(request.server);
    // whether undici is being handed the request
    let isDispatching = false;
    // whether undici has had a connection for the request
    let hasConnection = false;
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    // how often the events that waited have been handled for this request
    let checks = 0;
    // whether the request has been taken off a connection and is dispatched again
    let isPostponed = false;
    let interimAnswers = 0;
    // bytes since nobody wants the answer; `undefined` before
    let ignoredBytes: number | undefined;
    // connection of the answer, from its head on
    let socket: ServerSocket | undefined;
    const finish = (notify: () => void): void => {
        unsentAttempts.remove(run, endUnsent);
        delivery.discard();
        if (!isOver) {
            isOver = true;
            notify();
        }
    };
    const endUnsent = (fault: AttemptFault): void => finish(() => handlers.onFault(fault));
    const abort = (): void => {
        isOver = true;
        unsentAttempts.remove(run, endUnsent);
        delivery.discard();
        controller?.abort(new Error("attempt aborted"));
    };
    // its server may have run the request; the connection is closed, as the rest of the answer can't be read
    const failInside = (error: unknown): void => {
        recordTaskFailure("answer of a server", error);
        const detail = `failed here: ${String(error).slice(0, maximumDetailLength)}`;
        finish(() => handlers.onFault({ kind: controller ? "broken" : "notSent", detail }));
        controller?.abort(new Error("answer failed here"));
    };
    const wrapHandler =
        <Values extends unknown[]>(handle: (...values: Values) => void) => (...values: Values): void => {
            try {
                handle(...values);
            }
            catch (error) {
                failInside(error);
            }
        };
    const delivery = createAnswerDelivery(
        chunk => isOver || handlers.onData(chunk),
        wrapHandler(() => delivery.flush()),
    );
    const handler: Dispatcher.DispatchHandler = {
        // undici calls this on a connected socket, immediately before it writes the first byte
        onRequestStart: started => {
            hasConnection = true;
            if (!isOver && !options.mayReceive(run)) {
                endUnsent(withdrawnFault);
            }
            if (!isOver && request.mayBegin?.() === false) {
                endUnsent(stoppingFault);
            }
            isPostponed = !isOver && checks < maximumChecks && options.loop.isLate();
            if (isOver || isPostponed) {
                // undici keeps the connection when this throws; it closes it when the request is aborted
                throw new Error("request not written");
            }
            controller = started;
            unsentAttempts.remove(run, endUnsent);
        },
        onResponseStart: wrapHandler((started, status, headers) => {
            if (status < lowestFinalStatus) {
                interimAnswers++;
                if (interimAnswers > interimAnswerLimit) {
                    const detail = `more than ${interimAnswerLimit} interim answers`;
                    finish(() => handlers.onFault({ kind: "broken", detail, isNoAnswer: true }));
                    started.abort(new Error(detail));
                }
                return;
            }
            socket = sockets.findCurrent();
            socket?.markUseful();
            const head = options.headers.decodeResponseHead(status, convertHeaders(started.rawHeaders, headers));
            if (head.isLeaving) {
                options.onLeaving(request.server);
            }
            if (isOver) {
                return;
            }
            if (!isOwnResponse(head, request)) {
                const detail = `response of status ${head.status} carries attempt id ${head.attemptId ?? "none"}`;
                finish(() => handlers.onFault({ kind: "crossed", detail }));
                started.abort(new Error("response belongs to another request"));
                return;
            }
            delivery.begin(socket);
            handlers.onHead(head);
        }),
        onResponseData: wrapHandler((dispatch, chunk) => {
            socket?.countUseful(chunk.length);
            if (isOver) {
                return;
            }
            if (ignoredBytes === undefined) {
                delivery.push(chunk);
                return;
            }
            ignoredBytes += chunk.length;
            if (ignoredBytes > ignoredRest.bytes) {
                abort();
            }
        }),
        onResponseEnd: wrapHandler(() => {
            const isReset = socket?.wasReset() === true;
            socket?.markEnd();
            delivery.end(() =>
                finish(() =>
                    isReset
                        ? handlers.onFault({
                            kind: "broken",
                            detail: "connection reset before the end of the response",
                        })
                        : handlers.onEnd()
                )
            );
        }),
        onResponseError: wrapHandler((dispatch, error) => {
            if (isPostponed) {
                isPostponed = false;
                sendChecked();
                return;
            }
            const isRefused = !hasConnection && isRefusal(error);
            const isUnusable = isRefused || (isDispatching && !hasConnection);
            const detail = isRefused ? error.message : (error as NodeJS.ErrnoException).code ?? error.message;
            const kind = isRefused ? "unsendable" : controller ? "broken" : "notSent";
            const fault: AttemptFault = kind === "broken"
                ? { kind, detail, isNoAnswer: isNoAnswer(error, socket) }
                : { kind, detail };
            delivery.flush();
            finish(() => handlers.onFault(fault));
            if (isUnusable) {
                // the pool doesn't use the connection again that it chose for the request
                replacePool(run, pool);
            }
        }),
    };
    const send = (): void => {
        isDispatching = true;
        pool.dispatch(
            {
                path: request.target,
                method: request.method as Dispatcher.HttpMethod,
                headers: request.headers,
                body: request.body,
                idempotent: false,
            },
            handler,
        );
        isDispatching = false;
    };
    const sendChecked = (): void => {
        checks++;
        const checkAndSend = async (): Promise<void> => {
            await options.loop.handleWaiting();
            if (!isOver) {
                send();
            }
        };
        startTask("send after a check", checkAndSend, failInside);
    };
    unsentAttempts.add(run, endUnsent);
    if (options.loop.isLate()) {
        sendChecked();
    }
    else {
        send();
    }
    const drain = (): void => {
        if (!isOver && ignoredBytes === undefined) {
            ignoredBytes = 0;
            delivery.discard();
            setTimeout(() => isOver || abort(), ignoredRest.milliseconds).unref();
        }
    };
    return { abort, pause: delivery.pause, resume: delivery.resume, drain };
}

function isRefusal(error: Error): boolean {
    return refusalCodes.has((error as NodeJS.ErrnoException).code ?? "");
}

// a refusal is believed only when it names this request: it may be a second copy of an answer to an earlier one
function isOwnResponse(head: ServerResponseHead, request: AttemptRequest): boolean {
    return head.attemptId === request.attemptId || (head.attemptId === undefined && !head.isNotRun);
}

function convertHeaders(rawHeaders: unknown, headers: IncomingHttpHeaders): string[] {
    if (Array.isArray(rawHeaders)) {
        return rawHeaders.map(part => Buffer.isBuffer(part) ? part.toString("latin1") : String(part));
    }
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap(single => [name, single])
    );
}
