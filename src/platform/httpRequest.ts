/**
 * Sends one HTTP request with a timeout; used by the clients of the store and of the engines.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";

/** A request to the server that the dispatcher connects to. */
export interface HttpRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /**
     * Time from sending until the whole body is received. After it the request is aborted and its connection closed, as
     * the server may have stopped responding.
     */
    readonly timeout: Milliseconds;
    /** Called with the names of the response's headers. */
    readonly onHeaders?: (names: Iterable<string>) => void;
}

/** A response with its complete body. */
export interface HttpResponse {
    readonly status: number;
    /** By lower-case name. */
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Why there is no response. */
export interface HttpRequestError {
    readonly kind: "unanswered";
    /** `false` only when no connection was made. Otherwise the request may have been executed, or may still be. */
    readonly wasSent: boolean;
    /** Error code of Node.js or undici, or the error as text. */
    readonly detail: string;
}

/** Largest body that is read: a page of a topic and its overhead have a megabyte, the records of one read a few. */
const maximumBodyBytes = 16 * 1_048_576;

/**
 * Sends a request and reads the complete response.
 *
 * @param dispatcher - undici dispatcher with the connections to the server
 * @param httpRequest - the request
 * @returns the response with any status, or an error when there is none; the promise never rejects
 */
export async function sendHttpRequest(
    dispatcher: Dispatcher,
    httpRequest: HttpRequest,
): Promise<Result<HttpResponse, HttpRequestError>> {
    try {
        const answer = await dispatcher.request({
            method: httpRequest.method,
            path: httpRequest.path,
            headers: httpRequest.headers,
            body: httpRequest.body,
            signal: AbortSignal.timeout(httpRequest.timeout),
        });
        httpRequest.onHeaders?.(Object.keys(answer.headers));
        return wrapValue({ status: answer.statusCode, headers: answer.headers, body: await readBody(answer.body) });
    }
    catch (error) {
        const detail = (error as NodeJS.ErrnoException).code ?? String(error);
        const wasSent = detail !== "ECONNREFUSED" && detail !== "UND_ERR_CONNECT_TIMEOUT";
        return wrapError({ kind: "unanswered", wasSent, detail });
    }
}

// a body without end is given up; leaving the loop closes its connection
async function readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of body) {
        size += chunk.length;
        if (size > maximumBodyBytes) {
            throw new Error(`body of more than ${maximumBodyBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
