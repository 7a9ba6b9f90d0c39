/**
 * Checks that a request can be sent over HTTP, before a connection is taken for it: the HTTP client refuses others, and
 * doesn't use the connection again that it took.
 *
 * @packageDocumentation
 */

/** What is sent of a request before its body. */
export interface RequestHead {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
}

const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const targetPattern = /^\/[\x21-\xff]*$/;
const headerValuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Headers that the HTTP client sets itself, or doesn't take. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Finds what keeps a request from being sent.
 *
 * @param request - method, target and headers as they are to be sent
 * @returns description of the first fault; `undefined` when the request can be sent
 */
export function findRequestFault({ method, target, headers }: RequestHead): string | undefined {
    if (!tokenPattern.test(method) || method === "CONNECT") {
        return "method can't be sent";
    }
    if (!targetPattern.test(target)) {
        return "target can't be sent";
    }
    if (headers.length % 2 !== 0) {
        return "header without a value";
    }
    let hosts = 0;
    for (let index = 0; index < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!tokenPattern.test(name) || connectionHeaders.has(name)) {
            return "header name can't be sent";
        }
        if (!headerValuePattern.test(headers[index + 1]!)) {
            return `value of ${name} can't be sent`;
        }
        hosts += name === "host" ? 1 : 0;
    }
    return hosts > 1 ? "more than one host" : undefined;
}
