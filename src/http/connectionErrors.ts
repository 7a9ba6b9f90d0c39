/**
 * Error responses on connections where the HTTP parser failed before it produced a request.
 *
 * @packageDocumentation
 */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { buildErrorBody, createRefusedOutcome, outcomeHeader, requestTimeoutStatus } from "./errorResponses.js";

interface ConnectionError {
    readonly status: number;
    readonly message: string;
}

const malformedRequest: ConnectionError = {
    status: 400,
    message: "The request is not valid HTTP/1.1 or is incomplete.",
};
const errorByCode: ReadonlyMap<string, ConnectionError> = new Map([
    ["HPE_HEADER_OVERFLOW", { status: 431, message: "The headers of the request are too large." }],
    ["ERR_HTTP_REQUEST_TIMEOUT", { status: requestTimeoutStatus, message: "The request did not arrive in time." }],
]);

/**
 * Sends an error response on a connection whose data Node's HTTP parser rejected, and closes the connection.
 *
 * @param socket - the connection; no response may have been started on it
 * @param code - Node's error code; unknown codes are reported to the client as a malformed request
 */
export function sendConnectionError(socket: Socket, code: string | undefined): void {
    if (!socket.writable || code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const { status, message } = errorByCode.get(code ?? "") ?? malformedRequest;
    const body = JSON.stringify(buildErrorBody(createRefusedOutcome("badRequest", message), status));
    const head = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${outcomeHeader}: notRun`,
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`, () => socket.destroy());
}
