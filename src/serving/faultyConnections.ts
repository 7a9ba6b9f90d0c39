/**
 * Closes the connections of clients on which what comes can't be read or doesn't come in time. An answer in progress to an
 * earlier request on the connection is ended first: its client waits for it, whatever comes after the request.
 *
 * @packageDocumentation
 */
import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Code of the HTTP server's error for a head that isn't complete in time. */
const headTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/**
 * Observes the connections of a server.
 *
 * @param server - the server, whose `headersTimeout` limits the time for a head
 */
export function closeFaultyConnections(server: Server): void {
    const answers = new WeakMap<Duplex, ServerResponse>();
    const lateHeads = new WeakMap<Duplex, NodeJS.Timeout>();
    // each chunk after the first that can't be read is told again
    const awaited = new WeakSet<ServerResponse>();
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
        if (awaited.has(answer)) {
            return;
        }
        awaited.add(answer);
        const isLateHead = error.code === headTimeoutCode;
        answer.once("close", () => isLateHead ? limitHead(socket) : socket.destroy());
    });
}
