/**
 * Parses requests to plain services (HTTP backend servers that are not model engines). Only paths that all servers
 * interpret in the same way are accepted, and only end-to-end headers are forwarded.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

/** Target of a request to a plain service. */
export interface ServiceTarget {
    /** Name of the route, the first path segment after `/services/`. */
    readonly route: string;
    /** Path and query after the route name; begins with `/`. */
    readonly path: string;
}

const servicesPrefix = "/services/";
const routePattern = /^[A-Za-z0-9._-]+$/;
// the pchar rule of RFC 3986: unreserved, sub-delims, ":", "@" and complete percent-encodings
const segmentPattern = /^(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})*$/;
const queryPattern = /^(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?[\]|{}^`"<>]|%[0-9A-Fa-f]{2})*$/;
// servers differ in how they interpret encoded slashes, backslashes, dots and control characters
const ambiguousEncoding = /%(?:2f|5c|2e|[01][0-9a-f]|7f)/i;
const dotSegment = /^\.{1,2}(?:;.*)?$/;

/** HTTP methods that are forwarded to plain services. */
export const serviceMethods: ReadonlySet<string> = new Set([
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
]);

// hop-by-hop headers, credentials, and headers that are set anew for the backend server
const removedHeaders: ReadonlySet<string> = new Set([
    "authorization",
    "proxy-authorization",
    "proxy-authenticate",
    "proxy-connection",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    "x-request-id",
    "idempotency-key",
]);

/**
 * Parses the target of a request to a plain service.
 *
 * @param url - request target as received, not decoded
 * @returns route and path, or an error message for the client
 */
export function parseServiceTarget(url: string): Result<ServiceTarget, string> {
    if (!url.startsWith(servicesPrefix)) {
        return wrapError("The path must be /services/ROUTE/...");
    }
    const queryStart = url.indexOf("?");
    const path = queryStart < 0 ? url : url.slice(0, queryStart);
    const query = queryStart < 0 ? "" : url.slice(queryStart);
    const [route, ...segments] = path.slice(servicesPrefix.length).split("/");
    if (route === undefined || !routePattern.test(route) || dotSegment.test(route)) {
        return wrapError("The route name may contain only letters, digits, dots, hyphens and underscores.");
    }
    if (!segments.every(segment => segmentPattern.test(segment)) || !queryPattern.test(query)) {
        return wrapError("The path or query has characters that must be percent-encoded.");
    }
    if (ambiguousEncoding.test(path) || segments.some(segment => dotSegment.test(segment))) {
        return wrapError(
            "The path must not contain dot segments or encoded dots, slashes, backslashes or control characters.",
        );
    }
    if (segments.slice(0, -1).some(segment => segment === "")) {
        return wrapError("The path must not contain empty segments.");
    }
    return wrapValue({ route, path: `/${segments.join("/")}${query}` });
}

/**
 * Filters the request headers that are forwarded to a plain service.
 *
 * @param headers - headers as received from the client
 * @returns end-to-end headers without credentials in `Authorization`; repeated headers are joined with commas
 */
export function filterRequestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const connectionHeaders = listConnectionHeaders(headers.connection);
    const kept: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !removedHeaders.has(name) && !connectionHeaders.has(name)) {
            kept[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return kept;
}

/**
 * Filters the response headers of a plain service that are forwarded to the client.
 *
 * @param headers - headers as the service sent them
 * @returns end-to-end headers with lower-case names
 */
export function filterResponseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    const connectionHeaders = listConnectionHeaders(headers["connection"]);
    const entries = Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value] as const);
    return Object.fromEntries(entries.filter(([name]) => !removedHeaders.has(name) && !connectionHeaders.has(name)));
}

function listConnectionHeaders(connection: string | undefined): ReadonlySet<string> {
    return new Set((connection ?? "").split(",").map(name => name.trim().toLowerCase()));
}
