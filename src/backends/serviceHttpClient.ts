/**
 * Client of a plain service over HTTP.
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

/** How to reach a plain service. */
export interface ServiceHttpClientOptions extends BackendConnectionOptions {
    /** Largest answer that is accepted. @default 16 MiB */
    readonly responseLimitBytes?: number;
}

/** A service's client that can be closed. */
export interface ServiceHttpClient extends ServiceClient {
    readonly close: () => void;
}

const defaultResponseLimitBytes = 16 * 1024 * 1024;
const statusNoContent = 204;
const statusNotModified = 304;
const allowedMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]);
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/u;
const headerValue = /^[\t\u0020-\u007e\u0080-\u00ff]*$/u;
const bodylessMethods: readonly string[] = ["GET", "HEAD"];

// of one connection only, or a credential, or set anew here
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
 * Creates the client of one plain service. A service that does not answer with the request's id could have its answers
 * crossed unseen, so each request to it has a connection of its own until an answer has carried the id.
 *
 * @param options - address and limits
 * @returns the client
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

// what could make a server see another request than the one that was admitted
function checkRequest(request: ServiceRequest): string | undefined {
    if (!allowedMethods.has(request.method)) {
        return "the method is not allowed";
    }
    if (!isPathBelowRoot(request.path)) {
        return "the path leaves the service's root";
    }
    const hasInvalidHeader = Object.entries(request.headers).some(([name, value]) =>
        !headerName.test(name) || !headerValue.test(value)
    );
    return hasInvalidHeader ? "a header has characters that HTTP does not allow" : undefined;
}

function checkResponse(
    answer: BackendResponse,
    request: ServiceRequest,
    requiresRequestId: boolean,
): BackendError | undefined {
    const responseId = answer.headers[requestIdHeader];
    if (responseId !== undefined && responseId !== request.requestId) {
        return { kind: "mismatched", detail: "the answer of another request" };
    }
    if (responseId === undefined && requiresRequestId) {
        return { kind: "mismatched", detail: "an answer that names no request on a kept connection" };
    }
    if (!hasKnownLength(answer, request.method)) {
        return { kind: "broken", detail: "an answer without a length can't be known to be whole" };
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
