/**
 * Headers of requests and answers as the platform names them.
 *
 * @packageDocumentation
 */
import type {
    ClientRequest,
    ForwardedHeaders,
    HeaderCodec,
    ModelChoice,
    ServerAnswerHead,
    ServerLoad,
} from "../serving/types.js";

const names = {
    attemptId: "x-oriolehatch-attempt-id",
    deadline: "x-oriolehatch-deadline-ms",
    lastEventId: "last-event-id",
    signature: "x-oriolehatch-response-signature",
    account: "x-oriolehatch-tenant",
    expectedServer: "x-oriolehatch-expect-instance",
    load: "x-oriolehatch-server-load",
    notRun: "x-oriolehatch-not-executed",
    serverId: "x-oriolehatch-instance-id",
    model: "x-oriolehatch-model",
    tokens: "x-oriolehatch-token-counts",
    priority: "x-oriolehatch-request-priority",
    // of a request for an adapter this is the adapter's version, else that of the weights
    expectedVersion: "x-oriolehatch-expect-version",
    key: "x-oriolehatch-key",
} as const;

/** Headers that concern one connection only. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
]);

/** Headers that only the system may set on its way to a server. */
const reservedRequestHeaders: ReadonlySet<string> = new Set([
    names.deadline,
    names.account,
    names.expectedServer,
    names.priority,
    names.expectedVersion,
    names.key,
    "x-oriolehatch-pin-ms",
    "x-oriolehatch-hold",
    "x-oriolehatch-kv-backup",
    "kv-from",
    "kv-fetch",
    "wait-ms",
]);

/** Headers of a server's answer that are meant for the system. */
const internalResponseHeaders: ReadonlySet<string> = new Set([names.load, names.serverId]);

const misdirectedRequestStatus = 421;

/** Translates headers from and to the wire. */
export const platformHeaderCodec: HeaderCodec = {
    decodeRequest: decodeClientRequest,
    encodeForward: encodeForwardedHeaders,
    decodeAnswer: decodeServerResponseHead,
    encodeRefusal: encodeRefusalHeaders,
};

function decodeClientRequest(method: string, target: string, rawHeaders: readonly string[]): ClientRequest {
    const values = collectHeaderValues(rawHeaders);
    return {
        attemptId: values.get(names.attemptId),
        method,
        target,
        host: decodeHost(values.get("host") ?? ""),
        key: values.get(names.key),
        deadline: decodeWholeNumber(values.get(names.deadline)),
        choice: decodeModelChoice(values.get(names.model)),
        tokens: decodeTokenCounts(values.get(names.tokens)),
        lastEventId: decodeWholeNumber(values.get(names.lastEventId)),
        passedHeaders: filterHeaders(rawHeaders, values.get("connection"), reservedRequestHeaders),
    };
}

function encodeForwardedHeaders(request: ClientRequest, forwarded: ForwardedHeaders): string[] {
    const headers = forwarded.lastEventId === undefined
        ? [...request.passedHeaders]
        : replaceHeader(request.passedHeaders, names.lastEventId, String(forwarded.lastEventId));
    headers.push(names.expectedServer, forwarded.server);
    headers.push(names.deadline, String(Math.max(1, Math.floor(forwarded.deadline))));
    if (forwarded.account !== undefined) {
        headers.push(names.account, forwarded.account);
    }
    if (forwarded.priority !== undefined) {
        headers.push(names.priority, String(forwarded.priority));
    }
    if (forwarded.version !== undefined) {
        headers.push(names.expectedVersion, String(forwarded.version));
    }
    return headers;
}

function decodeServerResponseHead(status: number, rawHeaders: readonly string[]): ServerAnswerHead {
    const values = collectHeaderValues(rawHeaders);
    return {
        status,
        attemptId: values.get(names.attemptId),
        isSigned: values.has(names.signature),
        isNotRun: values.has(names.notRun) || status === misdirectedRequestStatus,
        load: decodeServerLoad(values.get(names.load)),
        isEventStream: (values.get("content-type") ?? "").startsWith("text/event-stream"),
        contentLength: decodeWholeNumber(values.get("content-length")),
        passedHeaders: filterHeaders(rawHeaders, values.get("connection"), internalResponseHeaders),
    };
}

function encodeRefusalHeaders(attemptId: string | undefined, retryAfterSeconds: number | undefined): string[] {
    const headers: string[] = [];
    if (attemptId !== undefined) {
        headers.push(names.attemptId, attemptId);
    }
    if (retryAfterSeconds !== undefined) {
        headers.push("retry-after", retryAfterSeconds.toFixed(2));
    }
    return headers;
}

function collectHeaderValues(rawHeaders: readonly string[]): Map<string, string> {
    const values = new Map<string, string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        values.set(rawHeaders[index]!.toLowerCase(), rawHeaders[index + 1]!);
    }
    return values;
}

function filterHeaders(
    rawHeaders: readonly string[],
    connectionValue: string | undefined,
    excludedNames: ReadonlySet<string>,
): string[] {
    const connectionOptions = new Set((connectionValue ?? "").toLowerCase().split(",").map(token => token.trim()));
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !excludedNames.has(name) && !connectionOptions.has(name)) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

function replaceHeader(headers: readonly string[], name: string, value: string): string[] {
    const replaced: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() !== name) {
            replaced.push(headers[index]!, headers[index + 1]!);
        }
    }
    replaced.push(name, value);
    return replaced;
}

function decodeHost(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}

function decodeWholeNumber(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,15}$/.test(text.trim()) ? Number(text) : undefined;
}

function decodeModelChoice(text: string | undefined): ModelChoice | undefined {
    if (text === undefined || text === "") {
        return undefined;
    }
    const slash = text.indexOf("/");
    return slash < 0
        ? { model: text, adapter: undefined }
        : { model: text.slice(0, slash), adapter: text.slice(slash + 1) };
}

function decodeTokenCounts(text: string | undefined): ClientRequest["tokens"] {
    const [prompt, output] = (text ?? "").split(",").map(part => decodeWholeNumber(part));
    return prompt === undefined || output === undefined ? undefined : { prompt, output };
}

function decodeServerLoad(text: string | undefined): ServerLoad | undefined {
    const [running, waiting, slots] = (text ?? "").split(",").map(part => decodeWholeNumber(part));
    return running === undefined || waiting === undefined || slots === undefined
        ? undefined
        : { running, waiting, slots };
}
