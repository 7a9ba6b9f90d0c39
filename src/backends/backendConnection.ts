/**
 * HTTP/1.1 connections to one backend server that know whether a byte of a request has left.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { DecoratorHandler, type Dispatcher, Pool } from "undici";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { BackendError } from "./engineClient.js";

/** How to reach a backend server. */
export interface BackendConnectionOptions {
    /** IP and port. */
    readonly address: string;
    /** @default 1_000 */
    readonly connectTimeout?: Milliseconds;
    /** Longest wait for the head of an answer. @default 60_000 */
    readonly headTimeout?: Milliseconds;
    /** Longest silence within an answer. @default 20_000 */
    readonly idleTimeout?: Milliseconds;
    /** Whether connections are kept for later requests. @default true */
    readonly keepAlive?: boolean;
}

/** A request as it goes over the connection. */
export interface BackendRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array | undefined;
}

/** Head of an answer, with the body still to come. */
export interface BackendResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** Destroys the connection unless the body has been read whole. */
    readonly discard: () => void;
    /** Reads the little that may be left of a body, so that the connection can be kept. */
    readonly release: () => void;
}

/** A connection to one backend server; one request at a time runs on each socket. */
export interface BackendConnection {
    readonly send: (request: BackendRequest, signal: AbortSignal) => Promise<Result<BackendResponse, BackendError>>;
    readonly close: () => void;
}

/** Header that ties an answer to its request. */
export const requestIdHeader = "x-request-id";

const defaultConnectTimeoutMilliseconds = 1_000;
const defaultHeadTimeoutMilliseconds = 60_000;
const defaultIdleTimeoutMilliseconds = 20_000;
const headLimitBytes = 16 * 1024;
const drainLimitBytes = 1_024;
const drainTimeoutMilliseconds = 500;

interface SendTrackingOptions extends Dispatcher.DispatchOptions {
    readonly markSending?: () => void;
}

interface RequestStartHandler extends Dispatcher.DispatchHandler {
    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void;
}

// undici's type leaves out the methods that the class has
const decoratorClass = DecoratorHandler as unknown as new(inner: Dispatcher.DispatchHandler) => RequestStartHandler;

// undici calls onRequestStart on a connected socket, immediately before it writes the first byte
class SendTrackingHandler extends decoratorClass {
    readonly #markSending: (() => void) | undefined;

    constructor(inner: Dispatcher.DispatchHandler, markSending: (() => void) | undefined) {
        super(inner);
        this.#markSending = markSending;
    }

    override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#markSending?.();
        super.onRequestStart(controller, context);
    }
}

/**
 * Creates the connections to one backend server.
 *
 * @param options - address and time limits
 * @returns the connection; nothing is opened before the first request
 */
export function createBackendConnection(options: BackendConnectionOptions): BackendConnection {
    const pool = new Pool(`http://${options.address}`, {
        // one request at a time on a socket; without keep-alive each request has its own
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
        close: () => void pool.destroy(),
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
    // a body that is destroyed unread raises an error that nobody awaits
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
 * Describes a fault of a connection without its stack.
 *
 * @param error - what was thrown
 * @returns its code, or its message
 */
export function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    const code = (error as NodeJS.ErrnoException).code;
    return code ?? error.message;
}

/**
 * Reads a body whole.
 *
 * @param answer - the answer; its connection is destroyed when the body is too large
 * @param limitBytes - largest body that is accepted
 * @param signal - the caller's signal, to tell an abort from a break
 * @returns the body, or why it is not whole
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
                return wrapError({ kind: "broken", detail: `answer is larger than ${limitBytes} bytes` });
            }
            parts.push(part);
        }
        return wrapValue(Buffer.concat(parts));
    }
    catch (error) {
        return wrapError(signal.aborted ? { kind: "aborted" } : { kind: "broken", detail: describeError(error) });
    }
}
