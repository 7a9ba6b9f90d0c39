/**
 * HTTP client of a plain service.
 *
 * @packageDocumentation
 */
import { type Result, wrapError, wrapValue } from "../shared/index.js";
import {
    type BackendConnectionOptions,
    type BackendResponse,
    createBackendConnection,
    readWholeBody,
    requestIdHeader,
} from "./backendConnection.js";
import type { BackendError } from "./engineClient.js";
import type { ServiceClient, ServiceRequest, ServiceResponse } from "./serviceClient.js";

/** Options of the HTTP client of a plain service. */
export interface ServiceHttpClientOptions extends BackendConnectionOptions {
    /** Maximum size of a response body. @default 16 MiB */
    readonly responseLimitBytes?: number;
}

/** Client of a plain service with its own sockets. */
export interface ServiceHttpClient extends ServiceClient {
    /** Closes all sockets and aborts the requests on them. */
    readonly close: () => void;
}

const defaultResponseLimitBytes = 16 * 1024 * 1024;
const statusNoContent = 204;
const statusNotModified = 304;
const allowedMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]);
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/u;
const headerValue = /^[\t\u0020-\u007e\u0080-\u00ff]*$/u;
const bodylessMethods: readonly string[] = ["GET", "HEAD"];

// hop-by-hop headers, credentials, and headers that this client sets itself
const removedRequestHeaders: ReadonlySet<string> = new Set([
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
// hop-by-hop headers and the length, which is set anew when the response is sent to the client
const removedResponseHeaders: ReadonlySet<string> = new Set([
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
 * Creates the HTTP client of one plain service. If a service does not repeat the request id in its responses, a
 * response that belongs to another request would go unnoticed on a reused connection. Connections are therefore reused
 * only if the previous response contained the request id; otherwise each request has a connection of its own.
 *
 * @param options - address, time limits and maximum response size
 * @returns the client; the creator must close it
 */
export function createServiceHttpClient(options: ServiceHttpClientOptions): ServiceHttpClient {
    const singleUseConnection = createBackendConnection({ ...options, keepAlive: false });
    const keepAliveConnection = createBackendConnection({ ...options, keepAlive: true });
    const responseLimitBytes = options.responseLimitBytes ?? defaultResponseLimitBytes;
    let echoesRequestId = false;
    const call = async (
        request: ServiceRequest,
        signal: AbortSignal,
    ): Promise<Result<ServiceResponse, BackendError>> => {
        const detail = checkRequest(request);
        if (detail !== undefined) {
            return wrapError({ kind: "refused", reason: "badRequest", detail });
        }
        const requiresRequestId = echoesRequestId;
        const sent = await (requiresRequestId ? keepAliveConnection : singleUseConnection).send({
            method: request.method,
            path: request.path,
            headers: {
                ...filterHeaders(request.headers, removedRequestHeaders),
                [requestIdHeader]: request.requestId,
            },
            body: request.body.length > 0 || !bodylessMethods.includes(request.method) ? request.body : undefined,
        }, signal);
        if (!sent.ok) {
            return sent;
        }
        const fault = checkResponse(sent.value, request, requiresRequestId);
        if (fault) {
            sent.value.discard();
            return wrapError(fault);
        }
        const body = await readWholeBody(sent.value, responseLimitBytes, signal);
        if (!body.ok) {
            return body;
        }
        echoesRequestId = sent.value.headers[requestIdHeader] !== undefined;
        const headers = filterHeaders(sent.value.headers, removedResponseHeaders);
        return wrapValue({ status: sent.value.status, headers, body: body.value });
    };
    const close = (): void => {
        singleUseConnection.close();
        keepAliveConnection.close();
    };
    return { call, close };
}

// rejects requests that the service could interpret differently from the request that was checked and admitted
function checkRequest(request: ServiceRequest): string | undefined {
    if (!allowedMethods.has(request.method)) {
        return "the method is not supported";
    }
    if (!isPathBelowRoot(request.path)) {
        return "the path is invalid or points outside the root of the service";
    }
    const hasInvalidHeader = Object.entries(request.headers).some(([name, value]) =>
        !headerName.test(name) || !headerValue.test(value)
    );
    return hasInvalidHeader ? "a header name or value contains characters that HTTP does not allow" : undefined;
}

function checkResponse(
    answer: BackendResponse,
    request: ServiceRequest,
    requiresRequestId: boolean,
): BackendError | undefined {
    const responseId = answer.headers[requestIdHeader];
    if (responseId !== undefined && responseId !== request.requestId) {
        return { kind: "mismatched", detail: "the response belongs to another request" };
    }
    if (responseId === undefined && requiresRequestId) {
        return { kind: "mismatched", detail: "a response on a reused connection has no request id" };
    }
    if (!hasKnownLength(answer, request.method)) {
        return {
            kind: "broken",
            detail: "the response has neither content-length nor transfer-encoding; it may be truncated",
        };
    }
    return undefined;
}

function hasKnownLength(answer: BackendResponse, method: string): boolean {
    const hasNoBody = method === "HEAD" || answer.status === statusNoContent || answer.status === statusNotModified;
    return hasNoBody
        || answer.headers["content-length"] !== undefined
        || answer.headers["transfer-encoding"] !== undefined;
}

function filterHeaders(
    headers: Readonly<Record<string, string>>,
    removed: ReadonlySet<string>,
): Record<string, string> {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !removed.has(name.toLowerCase())));
}

function isPathBelowRoot(path: string): boolean {
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
