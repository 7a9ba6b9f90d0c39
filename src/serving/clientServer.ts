/**
 * HTTP server for clients. It accepts any host, path and method, and leaves routing to its caller.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as ListeningServer } from "node:net";
import restana from "restana";
import { type Milliseconds, resetSocket } from "../shared/index.js";
import { callGuarded, startTask } from "../supervision/index.js";
import { createByteStore } from "./byteStore.js";
import { createConnectionTable, type OpenRequest } from "./clientConnections.js";
import { closeFaultyConnections } from "./faultyConnections.js";
import { createIdleTimeouts } from "./idleTimeouts.js";
import type { LoopGate } from "./loopDelay.js";
import type { ClientResponse, ConnectionCloser } from "./requestState.js";
import type { ClientLimits } from "./types.js";

/** A client's request with its complete body. */
export interface ReceivedRequest {
    readonly method: string;
    /** Path and query as the client sent them. */
    readonly target: string;
    /** Names and values in turn. */
    readonly rawHeaders: readonly string[];
    /** `undefined` when it is empty. */
    readonly body: Buffer | undefined;
    readonly answer: ClientResponse;
    /** Aborted when the client disconnects before the end of the response. */
    readonly signal: AbortSignal;
}

/** A request of which the head was read. */
export type RequestLine = Pick<ReceivedRequest, "method" | "target" | "rawHeaders">;

/** An answer without a body. */
export interface Refusal {
    readonly status: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
}

/** Settings of the server. */
export interface ClientServerOptions {
    readonly host: string;
    readonly port: number;
    /** Current limits; `undefined` before the first configuration, when only the limit of the HTTP parser applies. */
    readonly findLimits: () => ClientLimits | undefined;
    readonly loop: LoopGate;
    /** Whether connections are to be closed after the response in progress. */
    readonly isDraining: () => boolean;
    /** Handles a request; when it rejects, the client gets an error or a closed connection. */
    readonly handle: (request: ReceivedRequest) => Promise<void>;
    /** Describes the refusal of a request of which not all was read when the instance stops. */
    readonly describeRefusal: (head: RequestLine) => Refusal;
    /** Counts a request that was read when its client had disconnected, so that it isn't handled. */
    readonly onUnread: () => void;
}

/** HTTP server for clients. */
export interface ClientServer {
    /** Opens the port and resolves with its number; rejects when it is taken. */
    readonly listen: () => Promise<number>;
    /** Applies the timeouts of a new configuration. */
    readonly update: (limits: ClientLimits) => void;
    /** Returns the number of requests that have no complete response yet. */
    readonly countOpen: () => number;
    /** Returns the number of connections on which a part of the head of a request has come. */
    readonly countPartial: () => number;
    /** Stops listening and closes the connections without a request, of which nothing has come. */
    readonly drain: () => void;
    /** Refuses the requests of which not all has come. */
    readonly refuseUnread: () => void;
    /** Closes all connections at once. */
    readonly close: () => void;
}

/** Limit of the HTTP parser, which can't be changed later; a configuration can only set a lower limit. */
const maximumHeaderBytes = 64 * 1024;
/** Header timeout until the first configuration. */
const initialHeaderTimeoutMilliseconds = 3_000;
/** Idle timeout until the first configuration. */
const initialIdleTimeoutMilliseconds = 15_000;
/** Idle connections are kept this much longer than clients may reuse them, so that no request meets a closing one. */
const idleMarginMilliseconds: Milliseconds = 1_000;
const listenBacklog = 512;
const headerTooLargeStatus = 431;
const bodyTooLargeStatus = 413;
const internalErrorStatus = 500;

/**
 * Creates the server for clients.
 *
 * @param options - address, limits and the handler of requests
 * @returns the server, which doesn't listen yet
 */
export function createClientServer(options: ClientServerOptions): ClientServer {
    const connections = createConnectionTable();
    let isClosing = false;
    const findCloser = (): ConnectionCloser => isClosing ? "instance" : "client";
    const server: Server = createServer({
        maxHeaderSize: maximumHeaderBytes,
        headersTimeout: initialHeaderTimeoutMilliseconds,
        keepAliveTimeout: initialIdleTimeoutMilliseconds + idleMarginMilliseconds,
        requestTimeout: 0,
        connectionsCheckingInterval: 1_000,
    });
    const idleTimeouts = createIdleTimeouts(server, () => performance.now());
    server.on("checkContinue", (request: IncomingMessage, response: ServerResponse) => {
        response.writeContinue();
        server.emit("request", request, response);
    });
    const receive = (request: IncomingMessage, response: ServerResponse): void => {
        const { socket } = request;
        // it has crossed the end of its connection, on which it can't be answered
        if (socket.writableEnded) {
            return;
        }
        connections.addRequest(request, response);
        // a response whose head was sent before the drain has no `Connection: close` header
        const isLast = (): boolean => options.isDraining() && connections.countRequestsOn(socket) <= 1;
        response.once("finish", () => isLast() && socket.destroySoon());
        callGuarded(
            "read request",
            () => receiveRequest(options, request, response, { isLast, findCloser }),
            () => failResponse(response),
        );
    };
    const service = restana({ server, defaultRoute: receive as never });
    server.on("connection", connections.addSocket);
    closeFaultyConnections(server);
    return {
        listen: () =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ host: options.host, port: options.port, backlog: listenBacklog }, () => {
                    resolve((server.address() as AddressInfo).port);
                });
                void service;
            }),
        update: limits => {
            server.headersTimeout = limits.headerTimeout;
            idleTimeouts.update(limits.idleTimeout + idleMarginMilliseconds);
        },
        countOpen: connections.countRequests,
        countPartial: connections.countPartial,
        drain: () => {
            // that of the HTTP server would also close connections whose answer is complete and not yet sent
            ListeningServer.prototype.close.call(server);
            connections.closeUnused();
        },
        refuseUnread: () => connections.listUnread().forEach(unread => refuseUnread(options, unread)),
        close: () => {
            isClosing = true;
            server.closeAllConnections();
            server.close();
        },
    };
}

function refuseUnread(options: ClientServerOptions, { request, response }: OpenRequest): void {
    const { method = "GET", url: target = "/", rawHeaders } = request;
    const refusal = callGuarded("refuse request", () => options.describeRefusal({ method, target, rawHeaders }));
    if (refusal) {
        refuseEarly(response, refusal.status, refusal.headers);
    }
}

/** What a request asks of its connection. */
interface ClientConnection {
    /** Whether it is to be closed after the answer to this request. */
    readonly isLast: () => boolean;
    /** Who has closed it; asked once it is closed. */
    readonly findCloser: () => ConnectionCloser;
}

function receiveRequest(
    options: ClientServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
    connection: ClientConnection,
): void {
    const limits = options.findLimits();
    if (limits && measureHeaderBytes(request.rawHeaders) > limits.headerBytes) {
        refuseEarly(response, headerTooLargeStatus);
        return;
    }
    const leaving = trackLeaving(request, response, connection.findCloser);
    const body = createByteStore();
    request.on("data", (chunk: Buffer) => {
        body.push(chunk);
        if (limits && body.countBytes() > limits.bodyBytes) {
            refuseEarly(response, bodyTooLargeStatus);
            request.removeAllListeners("data");
            body.take();
        }
    });
    request.once("end", () => {
        if (response.headersSent || leaving.aborted) {
            return;
        }
        const received: ReceivedRequest = {
            method: request.method ?? "GET",
            target: request.url ?? "/",
            rawHeaders: request.rawHeaders,
            body: body.countBytes() === 0 ? undefined : Buffer.concat(body.take()),
            answer: createClientResponse(response, connection),
            signal: leaving,
        };
        startTask("request", () => handleReceived(options, received), () => failResponse(response));
    });
}

async function handleReceived(options: ClientServerOptions, received: ReceivedRequest): Promise<void> {
    if (options.loop.isLate()) {
        await options.loop.handleWaiting();
        if (received.signal.aborted) {
            options.onUnread();
            return;
        }
    }
    await options.handle(received);
}

// a request that failed inside may have run, which only a status says that doesn't invite to send it again
function failResponse(response: ServerResponse): void {
    if (response.writableEnded || response.destroyed) {
        return;
    }
    if (response.headersSent) {
        abortResponse(response);
        return;
    }
    refuseEarly(response, internalErrorStatus);
}

// the end of the connection is heard of before the response is closed, which takes one turn of the event loop more
function trackLeaving(
    request: IncomingMessage,
    response: ServerResponse,
    findCloser: ClientConnection["findCloser"],
): AbortSignal {
    const { socket } = request;
    const leaving = new AbortController();
    const abort = (): void => leaving.abort(findCloser());
    const events = ["end", "error", "close"] as const;
    events.forEach(event => socket.once(event, abort));
    response.once("finish", () => {
        events.forEach(event => socket.removeListener(event, abort));
        // bytes that wait when a connection is closed count as written, too
        if (socket.destroyed) {
            abort();
        }
    });
    response.once("close", () => {
        events.forEach(event => socket.removeListener(event, abort));
        if (!response.writableFinished) {
            abort();
        }
    });
    response.on("error", abort);
    request.on("error", abort);
    return leaving.signal;
}

// responds without a body and closes the connection, because the rest of the request is not read
function refuseEarly(response: ServerResponse, status: number, headers: readonly string[] = []): void {
    response.writeHead(status, [...headers, "Content-Length", "0", "Connection", "close"]);
    response.end();
}

function measureHeaderBytes(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

// an answer without chunks may have no length, and its client takes the end of the connection for its end
function abortResponse(response: ServerResponse): void {
    if (response.socket && response.headersSent && !response.chunkedEncoding) {
        resetSocket(response.socket);
    }
    response.destroy();
}

function createClientResponse(response: ServerResponse, { isLast, findCloser }: ClientConnection): ClientResponse {
    return {
        finished: new Promise(resolve => {
            const { socket } = response;
            response.once("finish", () => resolve(socket?.destroyed ? findCloser() : "sent"));
            response.once("close", () => resolve(findCloser()));
        }),
        writeHead: (status, headers, contentLength) => {
            if (response.destroyed || response.headersSent) {
                return;
            }
            const all = [...headers];
            if (contentLength !== undefined) {
                all.push("Content-Length", String(contentLength));
            }
            if (isLast()) {
                all.push("Connection", "close");
            }
            response.writeHead(status, all);
            response.flushHeaders();
        },
        write: chunk => response.destroyed || response.write(chunk),
        end: () => void response.end(),
        destroy: () => abortResponse(response),
        onDrain: resume => void response.once("drain", resume),
    };
}
