/**
 * Reads calls of plain services: only paths that every server reads alike, and only end-to-end headers.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

/** Where a call goes. */
export interface ServiceTarget {
    readonly route: string;
    /** Path and query below the route. */
    readonly path: string;
}

const servicesPrefix = "/services/";
const routePattern = /^[A-Za-z0-9._-]+$/;
// unreserved, sub-delims, ":", "@" and whole percent-encodings of RFC 3986
const segmentPattern = /^(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})*$/;
const queryPattern = /^(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?[\]|{}^`"<>]|%[0-9A-Fa-f]{2})*$/;
// encoded slashes, backslashes, dots and control characters are read differently from server to server
const ambiguousEncoding = /%(?:2f|5c|2e|[01][0-9a-f]|7f)/i;
const dotSegment = /^\.{1,2}(?:;.*)?$/;

/** Methods that are passed on to plain services. */
export const serviceMethods: ReadonlySet<string> = new Set([
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
]);

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
 * Parses the target of a service call.
 *
 * @param url - request target as it came
 * @returns route and path, or what is wrong with it
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
        return wrapError("The name of the route is malformed.");
    }
    if (!segments.every(segment => segmentPattern.test(segment)) || !queryPattern.test(query)) {
        return wrapError("The path or query has characters that must be percent-encoded.");
    }
    if (ambiguousEncoding.test(path) || segments.some(segment => dotSegment.test(segment))) {
        return wrapError("Dot segments, encoded dots, slashes and control characters are not passed on.");
    }
    if (segments.slice(0, -1).some(segment => segment === "")) {
        return wrapError("Empty path segments are not passed on.");
    }
    return wrapValue({ route, path: `/${segments.join("/")}${query}` });
}

/**
 * Filters the headers that go on to a plain service.
 *
 * @param headers - headers as they came
 * @returns end-to-end headers without the caller's key
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
 * Filters the headers of a service's answer.
 *
 * @param headers - headers as the service sent them
 * @returns end-to-end headers
 */
export function filterResponseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    const connectionHeaders = listConnectionHeaders(headers["connection"]);
    const entries = Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value] as const);
    return Object.fromEntries(entries.filter(([name]) => !removedHeaders.has(name) && !connectionHeaders.has(name)));
}

function listConnectionHeaders(connection: string | undefined): ReadonlySet<string> {
    return new Set((connection ?? "").split(",").map(name => name.trim().toLowerCase()));
}
