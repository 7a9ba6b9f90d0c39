/**
 * Answers connections whose bytes never became a request.
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

const malformedRequest: ConnectionError = { status: 400, message: "The request is not HTTP/1.1, or broke off." };
const errorByCode: ReadonlyMap<string, ConnectionError> = new Map([
    ["HPE_HEADER_OVERFLOW", { status: 431, message: "The head of the request is too large." }],
    ["ERR_HTTP_REQUEST_TIMEOUT", { status: requestTimeoutStatus, message: "The request did not arrive in time." }],
]);

/**
 * Sends an error for a connection that node's parser gave up on, and closes it.
 *
 * @param socket - the connection; no answer may have begun on it
 * @param code - node's code of the error
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
