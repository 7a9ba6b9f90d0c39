/**
 * Servers of the play of streams beside stops: they name themselves in each event, fall silent, go on, and break off.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { resetSocket, type SeededRandom } from "../../shared/index.js";
import type { BackendServer } from "../types.js";
import type { MemoryStore } from "./testStore.js";

/** How a server writes a stream: with chunks, or up to the end of its connection. */
export type StreamForm = "chunks" | "connection";

/** How a server breaks streams off: by a reset, or by an end within an event, between two, or within a chunk. */
export type StreamBreak = "reset" | "insideEvent" | "betweenEvents";

/** What a server does with a request for the rest of a stream: what it is asked for, or one of two faults. */
export type ResumeAnswer = "rest" | "whole" | "repeatsLast";

/** A server of the play. */
export interface OrderServer {
    /**
     * Writes nothing for a time, and then all that was due, in some streams the last event once more; `isLapsing` when its
     * entry goes meanwhile.
     */
    readonly setSilent: (duration: number, isLapsing: boolean) => void;
    readonly port: number;
    /** Breaks off all streams in progress. */
    readonly breakOff: (how: StreamBreak) => void;
    readonly close: () => void;
}

/** Identity of a server. */
export interface OrderServerOptions {
    readonly id: string;
    readonly service: string;
    readonly version: string;
    /** Address in its entry. @default its own */
    readonly address?: string;
    readonly store: MemoryStore;
    readonly random: SeededRandom;
}

interface RunningStream {
    readonly response: ServerResponse;
    readonly form: StreamForm;
    /** Writes the events that are due. */
    readonly write: () => void;
    readonly formatNext: () => string;
    /** Has the last event written once more. */
    readonly writeLastAgain: () => void;
}

const host = "127.0.0.1";
const repeatProbability = 0.1;

/**
 * Reads the number in a header of a request.
 *
 * @param request - the request
 * @param name - the header
 * @returns the number; 0 when there is none
 */
export function readNumber(request: IncomingMessage, name: string): number {
    return Number(request.headers[name] ?? 0);
}

/**
 * Starts a server, which is listed in the store.
 *
 * @param options - its identity
 * @returns the server; the caller closes it
 */
export async function startOrderServer(options: OrderServerOptions): Promise<OrderServer> {
    const { id, service, version, store, random } = options;
    const streams = new Set<RunningStream>();
    const sockets = new Set<Socket>();
    let runs = 0;
    let silentUntil = 0;
    const respond = (request: IncomingMessage, response: ServerResponse): void => {
        const own = { id: String(request.headers.id), signed: "1" };
        if (request.headers.expected !== id) {
            response.writeHead(421, { ...own, "not-run": "1" }).end();
            return;
        }
        runs++;
        const run = `${id}.${runs}`;
        const [key, count, interval, pad, form, resume] = String(request.headers.parts).split(",").at(-1)!.split("-");
        const after = readNumber(request, "last-event-id");
        const answers: ResumeAnswer = after > 0 ? resume as ResumeAnswer : "rest";
        const first = { rest: after + 1, whole: 1, repeatsLast: after }[answers];
        const begunAt = performance.now();
        let next = first;
        if (form === "connection") {
            response.useChunkedEncodingByDefault = false;
        }
        const formatNext = (): string =>
            `id: ${next}\ndata: ${key} ${service}/${version} ${run} ${"x".repeat(Number(pad))}\n\n`;
        const write = (): void => {
            if (performance.now() < silentUntil || response.destroyed) {
                return;
            }
            if (!response.headersSent) {
                response.writeHead(200, { ...own, ...random.next() < 0.1 ? { connection: "close" } : {} });
            }
            while (next <= Number(count) && performance.now() - begunAt >= (next - first) * Number(interval)) {
                response.write(formatNext());
                next++;
            }
            if (next > Number(count)) {
                response.end();
            }
        };
        const writeLastAgain = (): void => {
            next = Math.max(first, next - 1);
        };
        const stream: RunningStream = { response, form: form as StreamForm, write, formatNext, writeLastAgain };
        streams.add(stream);
        const timer = setInterval(write, Number(interval) / 2);
        response.once("close", () => {
            clearInterval(timer);
            streams.delete(stream);
        });
    };
    const server = createServer((request, response) => {
        request.resume();
        request.once("end", () => respond(request, response));
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const { port } = server.address() as AddressInfo;
    const entry: BackendServer = {
        id,
        startedAt: 1,
        service,
        address: options.address ?? `${host}:${port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: version,
        slots: 64,
        models: [],
    };
    const writeEntry = (): void => store.put("servers", id, Buffer.from(JSON.stringify(entry)));
    writeEntry();
    const endStream = ({ response, form, formatNext }: RunningStream, how: StreamBreak): void => {
        const { socket } = response;
        // nothing tells an end between two events from the end of a stream that ends with its connection
        const isUnclear = how === "betweenEvents" && form === "connection";
        if (how === "reset" || isUnclear || !response.headersSent) {
            socket && resetSocket(socket);
            return;
        }
        if (how === "insideEvent") {
            const text = formatNext();
            response.write(text.slice(0, Math.ceil(text.length * random.next())).slice(0, -2) || "i");
        }
        socket?.destroySoon();
    };
    return {
        port,
        setSilent: (duration, isLapsing) => {
            silentUntil = performance.now() + duration;
            [...streams].filter(() => random.chance(repeatProbability)).forEach(({ writeLastAgain }) =>
                writeLastAgain()
            );
            if (isLapsing) {
                store.put("servers", id, undefined);
                setTimeout(writeEntry, duration);
            }
        },
        breakOff: how => streams.forEach(stream => endStream(stream, how)),
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
