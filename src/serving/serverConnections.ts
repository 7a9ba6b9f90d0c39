/**
 * Connections to backend servers, and one attempt of a request over them. An attempt knows whether a byte of the request
 * may have left.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { Milliseconds } from "../shared/index.js";
import {
    type BackendServer,
    formatServerRunId,
    type HeaderCodec,
    type ServerResponseHead,
    type ServerRunId,
} from "./types.js";

/** Why an attempt has no whole answer. */
export type AttemptFault =
    /** No byte of the request has left. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The request may have run. */
    | { readonly kind: "broken"; readonly detail: string; }
    /** The answer names another request. */
    | { readonly kind: "crossed"; readonly detail: string; };

/** What an attempt tells; nothing after `onEnd`, `onFault` or an abort. */
export interface AttemptHandlers {
    readonly onHead: (head: ServerResponseHead) => void;
    readonly onData: (chunk: Buffer) => void;
    readonly onEnd: () => void;
    readonly onFault: (fault: AttemptFault) => void;
}

/** An attempt under way. */
export interface Attempt {
    /** Gives the attempt up; its connection is closed, which ends the server's work. */
    readonly abort: () => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

/** A request for one server. */
export interface AttemptRequest {
    readonly server: BackendServer;
    readonly attemptId: string | undefined;
    readonly method: string;
    readonly target: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Connections to all backend servers. */
export interface ServerConnections {
    readonly send: (request: AttemptRequest, handlers: AttemptHandlers) => Attempt;
    /** Closes the connections of a server that is gone. */
    readonly remove: (run: ServerRunId) => void;
    readonly close: () => void;
}

/** Settings of the connections. */
export interface ServerConnectionsOptions {
    readonly headers: HeaderCodec;
    /** Connections that this instance may open to a server. */
    readonly findConnectionLimit: (server: BackendServer) => number;
    /** Time after which an idle connection isn't used again where the server tells none. */
    readonly idleTimeout: Milliseconds;
}

const connectTimeoutMilliseconds = 400;
const lowestFinalStatus = 200;

/**
 * Creates the connections; nothing is opened before the first request.
 *
 * @param options - header codec and limits
 * @returns the connections
 */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const pools = new Map<ServerRunId, Pool>();
    const resetDetector = createResetDetector();
    const getPool = (server: BackendServer): Pool => {
        const run = formatServerRunId(server);
        let pool = pools.get(run);
        if (!pool) {
            pool = new Pool(`http://${server.address}`, {
                connections: options.findConnectionLimit(server),
                pipelining: 1,
                connect: resetDetector.connect,
                headersTimeout: 0,
                bodyTimeout: 0,
                keepAliveTimeout: options.idleTimeout,
            });
            pools.set(run, pool);
        }
        return pool;
    };
    return {
        send: (request, handlers) =>
            sendAttempt(getPool(request.server), options.headers, resetDetector, request, handlers),
        remove: run => {
            const pool = pools.get(run);
            pools.delete(run);
            // lets requests under way end
            void pool?.close();
        },
        close: () => {
            pools.forEach(pool => void pool.destroy());
            pools.clear();
        },
    };
}

/** Tells whether the socket whose end is being handled was reset. */
interface ResetDetector {
    readonly connect: buildConnector.connector;
    readonly isResetting: () => boolean;
}

// undici takes an answer without a length as whole when its connection is reset, and a reset that comes together with the
// last bytes is told by libuv as an ordinary end. Listeners that run before undici's own mark the reset for the time in which
// the end is told; a socket that was reset has no peer any more
function createResetDetector(): ResetDetector {
    const connectSocket = buildConnector({ timeout: connectTimeoutMilliseconds });
    let isResetting = false;
    const markReset = (): void => {
        isResetting = true;
        queueMicrotask(() => isResetting = false);
    };
    return {
        connect: (connectOptions, callback) =>
            connectSocket(connectOptions, (...result) => {
                const socket = result[1];
                socket?.prependListener("error", markReset);
                socket?.prependListener("end", () => socket.remoteAddress ?? markReset());
                callback(...result);
            }),
        isResetting: () => isResetting,
    };
}

function sendAttempt(
    pool: Pool,
    codec: HeaderCodec,
    resetDetector: ResetDetector,
    request: AttemptRequest,
    handlers: AttemptHandlers,
): Attempt {
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    const finish = (notify: () => void): void => {
        if (!isOver) {
            isOver = true;
            notify();
        }
    };
    const abort = (): void => {
        isOver = true;
        controller?.abort(new Error("given up"));
    };
    const handler: Dispatcher.DispatchHandler = {
        // called on a connected socket, immediately before the first byte is written
        onRequestStart: started => {
            controller = started;
            if (isOver) {
                started.abort(new Error("given up"));
            }
        },
        onResponseStart: (started, status, headers) => {
            if (isOver || status < lowestFinalStatus) {
                return;
            }
            const head = codec.decodeResponseHead(status, convertHeaders(started.rawHeaders, headers));
            if (head.attemptId !== undefined && head.attemptId !== request.attemptId) {
                finish(() => handlers.onFault({ kind: "crossed", detail: `answer of ${head.attemptId}` }));
                started.abort(new Error("answer of another request"));
                return;
            }
            handlers.onHead(head);
        },
        onResponseData: (dispatch, chunk) => {
            if (!isOver) {
                handlers.onData(chunk);
            }
        },
        onResponseEnd: () =>
            finish(() =>
                resetDetector.isResetting()
                    ? handlers.onFault({ kind: "broken", detail: "reset before its end" })
                    : handlers.onEnd()
            ),
        onResponseError: (dispatch, error) => {
            const detail = (error as NodeJS.ErrnoException).code ?? error.message;
            finish(() => handlers.onFault({ kind: controller ? "broken" : "notSent", detail }));
        },
    };
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
    return { abort, pause: () => controller?.pause(), resume: () => controller?.resume() };
}

function convertHeaders(rawHeaders: unknown, headers: IncomingHttpHeaders): string[] {
    if (Array.isArray(rawHeaders)) {
        return rawHeaders.map(part => Buffer.isBuffer(part) ? part.toString("latin1") : String(part));
    }
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap(single => [name, single])
    );
}
