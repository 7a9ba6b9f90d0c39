/**
 * Client of a plain service over HTTP.
 *
 * @packageDocumentation
 */
import { type Result, wrapError, wrapValue } from "../shared/index.js";
import {
    type BackendAnswer,
    type BackendConnectionOptions,
    createBackendConnection,
    readWholeBody,
    requestIdHeader,
} from "./backendConnection.js";
import type { BackendError } from "./engineClient.js";
import type { ServiceClient, ServiceRequest, ServiceResponse } from "./serviceClient.js";

/** How to reach a plain service. */
export interface ServiceHttpClientOptions extends BackendConnectionOptions {
    /** Largest answer that is accepted. @default 16 MiB */
    readonly answerLimitBytes?: number;
}

/** A service's client that can be closed. */
export interface ServiceHttpClient extends ServiceClient {
    readonly close: () => void;
}

const defaultAnswerLimitBytes = 16 * 1024 * 1024;
const statusNoContent = 204;
const statusNotModified = 304;
const allowedMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]);
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/u;
const headerValue = /^[\t\u0020-\u007e\u0080-\u00ff]*$/u;
const bodylessMethods: readonly string[] = ["GET", "HEAD"];

// of one connection only, or a credential, or set anew here
const withheldRequestHeaders: ReadonlySet<string> = new Set([
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    requestIdHeader,
]);
const withheldResponseHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Creates the client of one plain service. A service that does not answer with the request's id could have its answers
 * crossed unseen, so each request to it has a connection of its own until an answer has carried the id.
 *
 * @param options - address and limits
 * @returns the client
 */
export function createServiceHttpClient(options: ServiceHttpClientOptions): ServiceHttpClient {
    const single = createBackendConnection({ ...options, keepAlive: false });
    const kept = createBackendConnection({ ...options, keepAlive: true });
    const answerLimitBytes = options.answerLimitBytes ?? defaultAnswerLimitBytes;
    let namesRequests = false;
    const call = async (
        request: ServiceRequest,
        signal: AbortSignal,
    ): Promise<Result<ServiceResponse, BackendError>> => {
        const detail = checkRequest(request);
        if (detail !== undefined) {
            return wrapError({ kind: "refused", reason: "badRequest", detail });
        }
        const mustNameRequest = namesRequests;
        const sent = await (mustNameRequest ? kept : single).send({
            method: request.method,
            path: request.path,
            headers: {
                ...filterHeaders(request.headers, withheldRequestHeaders),
                [requestIdHeader]: request.requestId,
            },
            body: request.body.length > 0 || !bodylessMethods.includes(request.method) ? request.body : undefined,
        }, signal);
        if (!sent.ok) {
            return sent;
        }
        const fault = checkAnswer(sent.value, request, mustNameRequest);
        if (fault) {
            sent.value.discard();
            return wrapError(fault);
        }
        const body = await readWholeBody(sent.value, answerLimitBytes, signal);
        if (!body.ok) {
            return body;
        }
        namesRequests = sent.value.headers[requestIdHeader] !== undefined;
        const headers = filterHeaders(sent.value.headers, withheldResponseHeaders);
        return wrapValue({ status: sent.value.status, headers, body: body.value });
    };
    const close = (): void => {
        single.close();
        kept.close();
    };
    return { call, close };
}

// what could make a server see another request than the one that was admitted
function checkRequest(request: ServiceRequest): string | undefined {
    if (!allowedMethods.has(request.method)) {
        return "the method is not allowed";
    }
    if (!isPlainPath(request.path)) {
        return "the path leaves the service's root";
    }
    const hasOddHeader = Object.entries(request.headers).some(([name, value]) =>
        !headerName.test(name) || !headerValue.test(value)
    );
    return hasOddHeader ? "a header has characters that HTTP does not allow" : undefined;
}

function checkAnswer(
    answer: BackendAnswer,
    request: ServiceRequest,
    mustNameRequest: boolean,
): BackendError | undefined {
    const answeredId = answer.headers[requestIdHeader];
    if (answeredId !== undefined && answeredId !== request.requestId) {
        return { kind: "mismatched", detail: "the answer of another request" };
    }
    if (answeredId === undefined && mustNameRequest) {
        return { kind: "mismatched", detail: "an answer that names no request on a kept connection" };
    }
    if (!hasKnownLength(answer, request.method)) {
        return { kind: "broken", detail: "an answer without a length can't be known to be whole" };
    }
    return undefined;
}

function hasKnownLength(answer: BackendAnswer, method: string): boolean {
    const hasNoBody = method === "HEAD" || answer.status === statusNoContent || answer.status === statusNotModified;
    return hasNoBody
        || answer.headers["content-length"] !== undefined
        || answer.headers["transfer-encoding"] !== undefined;
}

function filterHeaders(
    headers: Readonly<Record<string, string>>,
    withheld: ReadonlySet<string>,
): Record<string, string> {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !withheld.has(name.toLowerCase())));
}

function isPlainPath(path: string): boolean {
    if (!path.startsWith("/") || path.startsWith("//") || /[^\u0021-\u007e]|\\/u.test(path)) {
        return false;
    }
    try {
        const [pathname] = path.split(/[?#]/u);
        const decoded = decodeURIComponent(pathname!);
        return !decoded.split(/[/\\]/u).some(segment => segment === ".." || segment === ".");
    }
    catch {
        return false;
    }
}
