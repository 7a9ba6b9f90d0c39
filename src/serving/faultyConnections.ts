/**
 * Closes the connections of clients on which what comes can't be read or doesn't come in time. An answer in progress to an
 * earlier request on the connection is ended first: its client waits for it, whatever comes after the request.
 *
 * @packageDocumentation
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Code of the HTTP server's error for a head that isn't complete in time. */
const headTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Bytes after the first that can't be read with which a connection is closed before the end of its answer. */
const faultyBytesLimit = 65_536;

/**
 * Observes the connections of a server.
 *
 * @param server - the server, whose `headersTimeout` limits the time for a head
 */
export function closeFaultyConnections(server: Server): void {
    const answers = new WeakMap<Duplex, ServerResponse>();
    const lateHeads = new WeakMap<Duplex, NodeJS.Timeout>();
    // bytes that had come with the first that can't be read; each chunk after it is told again
    const readBytes = new WeakMap<ServerResponse, number>();
    server.prependListener("request", ({ socket }, response) => {
        clearTimeout(lateHeads.get(socket));
        answers.set(socket, response);
    });
    // the time for a head that came during an answer begins anew with the end of the answer
    const limitHead = (socket: Duplex): void => {
        const timer = setTimeout(() => socket.destroy(), server.headersTimeout);
        lateHeads.set(socket, timer);
        socket.once("close", () => clearTimeout(timer));
    };
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const answer = answers.get(socket);
        // a client that has ended its connection waits for nothing
        if (!answer || answer.closed || socket.destroyed || socket.readableEnded) {
            socket.destroy();
            return;
        }
        const { bytesRead } = socket as Socket;
        const firstBytes = readBytes.get(answer);
        if (firstBytes !== undefined) {
            if (bytesRead - firstBytes > faultyBytesLimit) {
                socket.destroy();
            }
            return;
        }
        readBytes.set(answer, bytesRead);
        const isLateHead = error.code === headTimeoutCode;
        answer.once("close", () => isLateHead ? limitHead(socket) : socket.destroy());
    });
}
