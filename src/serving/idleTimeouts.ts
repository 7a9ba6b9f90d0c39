/**
 * Time-outs of the idle connections of clients when a configuration changes them: a connection is kept for as long as the
 * configuration that its client knows allows it to be used again.
 *
 * @packageDocumentation
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../shared/index.js";

/** Time-outs of one server. */
export interface IdleTimeouts {
    /**
     * Sets the time after which a connection without a request is closed. A longer time holds for connections that are idle
     * already, counted from their last response; a shorter one for those whose next response begins later, as each response
     * tells the client how long it may use the connection.
     */
    readonly update: (timeout: Milliseconds) => void;
}

interface IdleConnection {
    readonly since: Milliseconds;
    /** Value of the server's setting that holds for the connection. */
    setting: Milliseconds;
    /** Time after which the connection is closed, which is longer than the setting. */
    timeout: Milliseconds;
    /** Bytes that had come from the client when the connection became idle. */
    readonly bytesRead: number;
}

/** A timer of 0 would mean none. */
const shortestTimeoutMilliseconds = 1;

/**
 * Observes the connections of a server.
 *
 * @param server - the server, whose `keepAliveTimeout` is changed from here on by `update` only
 * @param now - reads a monotonic clock
 * @returns the time-outs
 */
export function createIdleTimeouts(server: Server, now: () => Milliseconds): IdleTimeouts {
    const idle = new Map<Socket, IdleConnection>();
    server.on("connection", (socket: Socket) => socket.once("close", () => idle.delete(socket)));
    // before the request is handled: its response tells the time that is set now
    server.prependListener("request", ({ socket }, response) => {
        idle.delete(socket);
        const announced = server.keepAliveTimeout;
        // the HTTP server has set its timer before; there is none when a request waits or the connection closes
        response.once("finish", () => {
            if (socket.timeout && !socket.destroyed) {
                const connection = {
                    since: now(),
                    setting: server.keepAliveTimeout,
                    timeout: socket.timeout,
                    bytesRead: socket.bytesRead,
                };
                idle.set(socket, connection);
                renewTimeout(socket, connection, announced, now());
            }
        });
    });
    return {
        update: timeout => {
            server.keepAliveTimeout = timeout;
            idle.forEach((connection, socket) => renewTimeout(socket, connection, timeout, now()));
        },
    };
}

// a connection on which a part of a request has come is as the HTTP server left it: some versions of Node.js have ended its
// timer, others let it run
function renewTimeout(socket: Socket, connection: IdleConnection, setting: Milliseconds, now: Milliseconds): void {
    if (setting <= connection.setting || !socket.timeout || socket.bytesRead !== connection.bytesRead) {
        return;
    }
    connection.timeout += setting - connection.setting;
    connection.setting = setting;
    socket.setTimeout(Math.max(shortestTimeoutMilliseconds, connection.since + connection.timeout - now));
}
