/**
 * Stand-in of a plain backend server at the wire, which registers itself in the store.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { WireStore } from "./wireStore.js";

/** A request that a server runs. */
export interface WireRun {
    readonly attemptId: string;
    readonly body: Buffer;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Headers that each answer of the server has. */
    readonly ownHeaders: Readonly<Record<string, string>>;
}

/** Identity and behaviour of a server. */
export interface WireServerOptions {
    readonly store: Pick<WireStore, "put">;
    readonly service: string;
    readonly id: string;
    /** Version of its software. @default "v1" */
    readonly version?: string;
    /** Further fields of its entry. @default none */
    readonly fields?: Readonly<Record<string, unknown>>;
    /** Connections that may wait to be accepted. @default as many as the system allows */
    readonly backlog?: number;
    /** Time until a request is answered, in milliseconds. @default 20 */
    readonly duration?: number;
    /** Whether it is held up and writes no entry. @default it isn't */
    readonly isSilent?: () => boolean;
    /** Called with each request; returns whether it has answered it. */
    readonly respond?: (run: WireRun) => boolean;
}

/** A running server. */
export interface WireServer {
    readonly id: string;
    readonly address: string;
    /** Entry that it writes to the list of servers. */
    readonly entry: Readonly<Record<string, unknown>>;
    /** Number of requests that it has begun to run. */
    readonly countRuns: () => number;
    readonly close: () => void;
}

const host = "127.0.0.1";
const heartbeatMilliseconds = 1_200;

/**
 * Starts a server.
 *
 * @param options - identity and behaviour
 * @returns the server; the caller closes it
 */
export async function startWireServer(options: WireServerOptions): Promise<WireServer> {
    const { id, store, service, duration = 20 } = options;
    let runs = 0;
    const respond = (request: IncomingMessage, response: ServerResponse, body: Buffer): void => {
        const attemptId = String(request.headers["x-oriolehatch-attempt-id"] ?? "");
        const ownHeaders = { "X-Oriolehatch-Attempt-Id": attemptId, "X-Oriolehatch-Instance-Id": id };
        if (request.headers["x-oriolehatch-expect-instance"] !== id) {
            response.writeHead(421, { ...ownHeaders, "Content-Length": "0" }).end();
            return;
        }
        runs++;
        if (options.respond?.({ attemptId, body, request, response, ownHeaders })) {
            return;
        }
        setTimeout(() => {
            const text = `${id} ran ${attemptId}`;
            response.writeHead(200, {
                ...ownHeaders,
                "X-Oriolehatch-Response-Signature": `sig.${attemptId}`,
                "Content-Length": text.length,
            });
            response.end(text);
        }, duration);
    };
    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.once("end", () => respond(request, response, Buffer.concat(chunks)));
    });
    server.keepAliveTimeout = 30_000;
    const { backlog } = options;
    await new Promise<void>(resolve =>
        server.listen({ port: 0, host, ...backlog !== undefined && { backlog } }, resolve)
    );
    const address = `${host}:${(server.address() as AddressInfo).port}`;
    const entry = {
        service,
        address,
        zone: "a",
        version: options.version ?? "v1",
        slots: 6,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 0,
        born: Date.now(),
        ...options.fields,
    };
    const writeEntry = (): void => {
        if (options.isSilent?.() !== true) {
            store.put("keyed.servers", id, JSON.stringify(entry));
        }
    };
    writeEntry();
    const timer = setInterval(writeEntry, heartbeatMilliseconds);
    return {
        id,
        address,
        entry,
        countRuns: () => runs,
        close: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
