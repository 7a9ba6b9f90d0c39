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
    formatServerRun,
    type HeaderCodec,
    type ServerAnswerHead,
    type ServerRun,
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
export interface AttemptEvents {
    readonly onHead: (head: ServerAnswerHead) => void;
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
    readonly send: (request: AttemptRequest, events: AttemptEvents) => Attempt;
    /** Closes the connections of a server that is gone. */
    readonly remove: (run: ServerRun) => void;
    readonly close: () => void;
}

/** Settings of the connections. */
export interface ServerConnectionsOptions {
    readonly headers: HeaderCodec;
    /** Connections that this instance may open to a server. */
    readonly findLimit: (server: BackendServer) => number;
    /** Time after which an idle connection isn't used again where the server tells none. */
    readonly idleTimeout: Milliseconds;
}

const connectTimeoutMilliseconds = 400;
const firstFinalStatus = 200;

/**
 * Creates the connections; nothing is opened before the first request.
 *
 * @param options - header codec and limits
 * @returns the connections
 */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const pools = new Map<ServerRun, Pool>();
    const resets = createResetWatch();
    const openPool = (server: BackendServer): Pool => {
        const run = formatServerRun(server);
        let pool = pools.get(run);
        if (!pool) {
            pool = new Pool(`http://${server.address}`, {
                connections: options.findLimit(server),
                pipelining: 1,
                connect: resets.connect,
                headersTimeout: 0,
                bodyTimeout: 0,
                keepAliveTimeout: options.idleTimeout,
            });
            pools.set(run, pool);
        }
        return pool;
    };
    return {
        send: (request, events) => sendAttempt(openPool(request.server), options.headers, resets, request, events),
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
interface ResetWatch {
    readonly connect: buildConnector.connector;
    readonly isResetting: () => boolean;
}

// undici takes an answer without a length as whole when its connection is reset, and a reset that comes together with the
// last bytes is told by libuv as an ordinary end. Listeners that run before undici's own mark the reset for the time in which
// the end is told; a socket that was reset has no peer any more
function createResetWatch(): ResetWatch {
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
    resets: ResetWatch,
    request: AttemptRequest,
    events: AttemptEvents,
): Attempt {
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    const finish = (tell: () => void): void => {
        if (!isOver) {
            isOver = true;
            tell();
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
            if (isOver || status < firstFinalStatus) {
                return;
            }
            const head = codec.decodeAnswer(status, convertHeaders(started.rawHeaders, headers));
            if (head.attemptId !== undefined && head.attemptId !== request.attemptId) {
                finish(() => events.onFault({ kind: "crossed", detail: `answer of ${head.attemptId}` }));
                started.abort(new Error("answer of another request"));
                return;
            }
            events.onHead(head);
        },
        onResponseData: (dispatch, chunk) => {
            if (!isOver) {
                events.onData(chunk);
            }
        },
        onResponseEnd: () =>
            finish(() =>
                resets.isResetting()
                    ? events.onFault({ kind: "broken", detail: "reset before its end" })
                    : events.onEnd()
            ),
        onResponseError: (dispatch, error) => {
            const detail = (error as NodeJS.ErrnoException).code ?? error.message;
            finish(() => events.onFault({ kind: controller ? "broken" : "notSent", detail }));
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
