/**
 * HTTP server on which all stand-ins are built. It records the requests that it receives.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { startTask } from "../supervision/index.js";

/** A recorded request. */
export interface ReceivedRequest {
    readonly method: string;
    readonly url: string;
    /** Header names and values alternating, in the order and spelling in which they were received. */
    readonly rawHeaders: readonly string[];
    readonly body: string;
}

/** A request to a stand-in after its whole body has been read. */
export interface StandinRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    /** Aborted when the response is finished or its connection closes. */
    readonly signal: AbortSignal;
}

/** Answers one request. If it throws or rejects, the server closes the connection. */
export type StandinHandler = (request: StandinRequest, response: ServerResponse) => Promise<void> | void;

/** The HTTP server of a stand-in. */
export interface StandinServer {
    /** Starts listening and resolves with the bound address, such as `127.0.0.1:7000`. */
    readonly start: (address?: string) => Promise<string>;
    /** Stops listening and closes every connection. */
    readonly stop: () => Promise<void>;
    /** Requests received since the start, oldest first; only the newest `receivedRequestLimit` are kept. */
    readonly received: readonly ReceivedRequest[];
}

const receivedRequestLimit = 20_000;
const loopbackAnyPort = "127.0.0.1:0";

/**
 * Creates the server of a stand-in.
 *
 * @param handle - answers each request
 * @returns the server, not yet listening
 */
export function createStandinServer(handle: StandinHandler): StandinServer {
    const received: ReceivedRequest[] = [];
    const server = createServer((request, response) => {
        startTask(
            "request to a stand-in",
            () => handleIncoming(request, response, received, handle),
            () => response.destroy(),
        );
    });
    return {
        start: address => startListening(server, address ?? loopbackAnyPort),
        stop: () => stopListening(server),
        received,
    };
}

async function handleIncoming(
    incoming: IncomingMessage,
    response: ServerResponse,
    received: ReceivedRequest[],
    handle: StandinHandler,
): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of incoming) {
        parts.push(part as Buffer);
    }
    const body = Buffer.concat(parts);
    const method = incoming.method ?? "GET";
    const url = incoming.url ?? "/";
    received.push({ method, url, rawHeaders: incoming.rawHeaders, body: body.toString("utf8") });
    if (received.length > receivedRequestLimit) {
        received.shift();
    }
    const controller = new AbortController();
    response.once("close", () => controller.abort());
    const queryStart = url.indexOf("?");
    const path = queryStart < 0 ? url : url.slice(0, queryStart);
    const query = new URLSearchParams(queryStart < 0 ? "" : url.slice(queryStart));
    await handle({ method, path, query, headers: incoming.headers, body, signal: controller.signal }, response);
}

function startListening(server: Server, address: string): Promise<string> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), host, () => {
            server.off("error", reject);
            const bound = server.address() as AddressInfo;
            resolve(`${bound.address}:${bound.port}`);
        });
    });
}

function stopListening(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}

/**
 * Sends a whole response with a JSON body.
 *
 * @param response - response to write; it is ended
 * @param status - HTTP status code
 * @param value - value to serialize as the body
 * @param headers - headers to add to `content-type` and `content-length`
 */
export function sendJson(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length, ...headers });
    response.end(body);
}
