/**
 * Sends one HTTP request with a timeout; used by the clients of the store and of the engines.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { createByteStore } from "../serving/byteStore.js";
import type { ServerSocket, ServerSockets } from "../serving/serverSockets.js";
import { createStatusCheck, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";

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
    /** Gives the request up, and closes its connection. @default nobody does */
    readonly signal?: AbortSignal;
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

/** Largest body that is read: a page of a topic has a megabyte, of which Base64 makes four thirds. */
export const maximumBodyBytes = 2 * 1_048_576;

/**
 * Sends a request and reads the complete response.
 *
 * @param dispatcher - undici dispatcher with the connections to the server
 * @param httpRequest - the request
 * @param sockets - sockets of the dispatcher, which are told what is of use
 * @returns the response with any status of an answer, or an error when there is none; the promise never rejects
 */
export function sendHttpRequest(
    dispatcher: Pick<Dispatcher, "dispatch">,
    httpRequest: HttpRequest,
    sockets?: Pick<ServerSockets, "findCurrent">,
): Promise<Result<HttpResponse, HttpRequestError>> {
    return new Promise(resolve => {
        const body = createByteStore();
        let controller: Dispatcher.DispatchController | undefined;
        let head: Pick<HttpResponse, "status" | "headers"> | undefined;
        let socket: ServerSocket | undefined;
        const checkStatus = createStatusCheck();
        let isOver = false;
        const finish = (result: Result<HttpResponse, HttpRequestError>): void => {
            isOver = true;
            clearTimeout(timer);
            httpRequest.signal?.removeEventListener("abort", abort);
            resolve(result);
        };
        const fail = (error: unknown): void => {
            if (!isOver) {
                finish(wrapError(describeError(error)));
                controller?.abort(error as Error);
            }
        };
        const timer = setTimeout(() => fail(createError("timeout")), httpRequest.timeout);
        timer.unref();
        const abort = (): void => fail(createError("given up"));
        httpRequest.signal?.addEventListener("abort", abort, { once: true });
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                controller = started;
                if (isOver) {
                    started.abort(createError("timeout"));
                }
            },
            onResponseStart: (started, status, headers) => {
                const checked = checkStatus(status);
                if (checked.kind === "none") {
                    fail(createError(checked.detail));
                }
                if (checked.kind !== "final") {
                    return;
                }
                head = { status, headers };
                socket = sockets?.findCurrent();
                socket?.markUseful();
                callGuarded("headers of a response", () => httpRequest.onHeaders?.(Object.keys(headers)));
            },
            onResponseData: (started, chunk) => {
                socket?.countUseful(chunk.length);
                body.push(chunk);
                if (body.countBytes() > maximumBodyBytes) {
                    fail(createError(`body of more than ${maximumBodyBytes} bytes`));
                }
            },
            onResponseEnd: () => {
                socket?.markEnd();
                if (!isOver && head) {
                    finish(wrapValue({ ...head, body: Buffer.concat(body.take()) }));
                }
            },
            onResponseError: (started, error) => fail(error),
        };
        try {
            dispatcher.dispatch({
                method: httpRequest.method,
                path: httpRequest.path,
                headers: httpRequest.headers,
                body: httpRequest.body,
            }, handler);
        }
        catch (error) {
            fail(error);
        }
    });
}

function createError(message: string): Error {
    return Object.assign(new Error(message), { code: message });
}

function describeError(error: unknown): HttpRequestError {
    const detail = (error as NodeJS.ErrnoException).code ?? String(error);
    const wasSent = detail !== "ECONNREFUSED" && detail !== "UND_ERR_CONNECT_TIMEOUT";
    return { kind: "unanswered", wasSent, detail };
}
