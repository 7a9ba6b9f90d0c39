/**
 * HTTP/1.1 connections to one backend server. Errors tell whether any byte of the request may have been sent.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { DecoratorHandler, type Dispatcher, Pool } from "undici";
import { createStatusCheck, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { BackendError } from "./engineClient.js";

/** Address and time limits of the connections to a backend server. */
export interface BackendConnectionOptions {
    /** IP and port. */
    readonly address: string;
    /** Maximum time to establish a connection. @default 1_000 */
    readonly connectTimeout?: Milliseconds;
    /** Maximum time until the headers of the response arrive. @default 60_000 */
    readonly headTimeout?: Milliseconds;
    /** Maximum time without data while a response body is received. @default 20_000 */
    readonly idleTimeout?: Milliseconds;
    /** Whether connections are reused for later requests. @default true */
    readonly keepAlive?: boolean;
}

/** An HTTP request to a backend server. */
export interface BackendRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array | undefined;
}

/** Response of a backend server whose body is still being received. */
export interface BackendResponse {
    readonly status: number;
    /** Headers with lower-case names; repeated headers are joined with commas. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** Destroys the connection unless the body has been read to its end or `release` was called. */
    readonly discard: () => void;
    /** Discards the rest of the body, which must be small, so that the connection can be reused. */
    readonly release: () => void;
}

/** Connections to one backend server; each socket carries one request at a time. */
export interface BackendConnection {
    /** Sends a request; resolves as soon as the headers of the response have been received. Never rejects. */
    readonly send: (request: BackendRequest, signal: AbortSignal) => Promise<Result<BackendResponse, BackendError>>;
    /** Closes all sockets and aborts the requests on them. */
    readonly close: () => void;
}

/** Header with the request id. A backend server repeats it in the response, so that a mixed-up response is detected. */
export const requestIdHeader = "x-request-id";

const defaultConnectTimeoutMilliseconds = 1_000;
const defaultHeadTimeoutMilliseconds = 60_000;
const defaultIdleTimeoutMilliseconds = 20_000;
const headLimitBytes = 16 * 1024;
// limits for discarding the rest of a body; a body that exceeds them is destroyed together with its connection
const drainLimitBytes = 1_024;
const drainTimeoutMilliseconds = 500;

interface SendTrackingOptions extends Dispatcher.DispatchOptions {
    readonly markSending?: () => void;
}

interface DecoratedHandler extends Dispatcher.DispatchHandler {
    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void;
    onResponseStart(...values: ResponseStart): void;
}

type ResponseStart = Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>;

// undici's type declaration of DecoratorHandler lacks methods that the class has
const decoratorClass = DecoratorHandler as unknown as new(inner: Dispatcher.DispatchHandler) => DecoratedHandler;

// undici calls onRequestStart once a socket is connected, immediately before it writes the first byte of the request, and
// onResponseStart with each head
class SendTrackingHandler extends decoratorClass {
    readonly #markSending: (() => void) | undefined;
    readonly #checkStatus = createStatusCheck();

    constructor(inner: Dispatcher.DispatchHandler, markSending: (() => void) | undefined) {
        super(inner);
        this.#markSending = markSending;
    }

    override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#markSending?.();
        super.onRequestStart(controller, context);
    }

    override onResponseStart(...values: ResponseStart): void {
        const [controller, status] = values;
        const checked = this.#checkStatus(status);
        if (checked.kind === "none") {
            controller.abort(new Error(checked.detail));
        }
        // undici's class fails at a second head
        if (checked.kind === "final") {
            super.onResponseStart(...values);
        }
    }
}

/**
 * Creates the connections to one backend server.
 *
 * @param options - address and time limits
 * @returns the connections; no socket is opened before the first request
 */
export function createBackendConnection(options: BackendConnectionOptions): BackendConnection {
    const pool = new Pool(`http://${options.address}`, {
        // 1 allows one request at a time per socket; 0 disables keep-alive, so each request has a socket of its own
        pipelining: options.keepAlive === false ? 0 : 1,
        connectTimeout: options.connectTimeout ?? defaultConnectTimeoutMilliseconds,
        headersTimeout: options.headTimeout ?? defaultHeadTimeoutMilliseconds,
        bodyTimeout: options.idleTimeout ?? defaultIdleTimeoutMilliseconds,
        maxHeaderSize: headLimitBytes,
    });
    const dispatcher = pool.compose(dispatch => (dispatchOptions, handler) =>
        dispatch(
            dispatchOptions,
            new SendTrackingHandler(handler, (dispatchOptions as SendTrackingOptions).markSending),
        )
    );
    return {
        send: (request, signal) => sendRequest(dispatcher, request, signal),
        close: () => startTask("close connections", () => pool.destroy()),
    };
}

async function sendRequest(
    dispatcher: Dispatcher,
    request: BackendRequest,
    signal: AbortSignal,
): Promise<Result<BackendResponse, BackendError>> {
    let isSending = false;
    const tracked = {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        signal,
        idempotent: false,
        markSending: () => {
            isSending = true;
        },
    };
    try {
        const answer = await dispatcher.request(tracked);
        return wrapValue(createResponse(answer));
    }
    catch (error) {
        if (signal.aborted && isSending) {
            return wrapError({ kind: "aborted" });
        }
        return wrapError({ kind: isSending ? "broken" : "notSent", detail: describeError(error) });
    }
}

function createResponse(answer: Dispatcher.ResponseData): BackendResponse {
    const { body } = answer;
    let released = false;
    // a body that is destroyed before it was read emits an error, which would be unhandled without a listener
    body.on("error", () => undefined);
    return {
        status: answer.statusCode,
        headers: convertHeaders(answer.headers),
        body: body.iterator({ destroyOnReturn: false }) as AsyncIterable<Uint8Array>,
        discard: () => {
            if (!released) {
                body.destroy();
            }
        },
        release: () => {
            released = true;
            const limits = { limit: drainLimitBytes, signal: AbortSignal.timeout(drainTimeoutMilliseconds) };
            body.dump(limits).catch(() => body.destroy());
        },
    };
}

function convertHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

/**
 * Describes a connection error without its stack.
 *
 * @param error - any thrown value
 * @returns the error code if there is one, otherwise the message
 */
export function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    const code = (error as NodeJS.ErrnoException).code;
    return code ?? error.message;
}

/**
 * Reads the complete body of a response.
 *
 * @param answer - the response; its connection is destroyed if the body is too large
 * @param limitBytes - maximum size of the body in bytes
 * @param signal - signal of the request; distinguishes an abort from a connection failure
 * @returns the body, or why it could not be read; the promise never rejects
 */
export async function readWholeBody(
    answer: BackendResponse,
    limitBytes: number,
    signal: AbortSignal,
): Promise<Result<Buffer, BackendError>> {
    const parts: Uint8Array[] = [];
    let size = 0;
    try {
        for await (const part of answer.body) {
            size += part.length;
            if (size > limitBytes) {
                answer.discard();
                return wrapError({ kind: "broken", detail: `the response is larger than ${limitBytes} bytes` });
            }
            parts.push(part);
        }
        return wrapValue(Buffer.concat(parts));
    }
    catch (error) {
        return wrapError(signal.aborted ? { kind: "aborted" } : { kind: "broken", detail: describeError(error) });
    }
}
