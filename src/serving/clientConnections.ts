/**
 * Connections of clients and the requests on them, so that a stop can tell those in use from the others.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request whose response isn't complete. */
export interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

/** Connections of one server. */
export interface ConnectionTable {
    readonly addSocket: (socket: Socket) => void;
    /** Adds a request whose head was read. */
    readonly addRequest: (request: IncomingMessage, response: ServerResponse) => void;
    /** Returns the number of requests that have no complete response yet. */
    readonly countRequests: () => number;
    /** Returns the number of requests on one connection that have no complete response yet. */
    readonly countRequestsOn: (socket: Socket) => number;
    /** Returns the number of connections on which a part of the head of a request has come. */
    readonly countPartial: () => number;
    /** Closes the connections on which nothing has come since the last request. */
    readonly closeUnused: () => void;
    /** Returns the requests of which not all has come and that have no answer. */
    readonly listUnread: () => readonly OpenRequest[];
}

interface ConnectionState {
    /** Number of requests on the connection without a complete response. */
    requests: number;
    /** Bytes that had come when the last request was complete. */
    readBytes: number;
}

/**
 * Creates the table without connections.
 *
 * @returns the table, of which a server needs one object
 */
export function createConnectionTable(): ConnectionTable {
    const connections = new Map<Socket, ConnectionState>();
    const open = new Set<OpenRequest>();
    const hasPart = (socket: Socket, { requests, readBytes }: ConnectionState): boolean =>
        requests === 0 && socket.bytesRead > readBytes;
    return {
        addSocket: socket => {
            connections.set(socket, { requests: 0, readBytes: 0 });
            // the response to a request that waits for an earlier one isn't closed with the connection
            socket.once("close", () => {
                connections.delete(socket);
                [...open].filter(({ request }) => request.socket === socket).forEach(entry => open.delete(entry));
            });
        },
        addRequest: (request, response) => {
            const { socket } = request;
            const state = connections.get(socket) ?? { requests: 0, readBytes: 0 };
            const entry = { request, response };
            state.requests++;
            open.add(entry);
            request.once("end", () => state.readBytes = socket.bytesRead);
            response.once("close", () => {
                state.requests--;
                open.delete(entry);
            });
        },
        countRequests: () => open.size,
        countRequestsOn: socket => connections.get(socket)?.requests ?? 0,
        countPartial: () => [...connections].filter(([socket, state]) => hasPart(socket, state)).length,
        closeUnused: () =>
            [...connections]
                .filter(([socket, state]) => state.requests === 0 && !hasPart(socket, state))
                .forEach(([socket]) => socket.destroy()),
        listUnread: () => [...open].filter(({ request, response }) => !request.complete && !response.headersSent),
    };
}
