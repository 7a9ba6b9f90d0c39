/**
 * Decodes and encodes the platform's headers of requests and responses.
 *
 * @packageDocumentation
 */
import { decodeEventId } from "../serving/eventIds.js";
import type {
    ClientRequest,
    ForwardedHeaders,
    HeaderCodec,
    ModelChoice,
    PromptParts,
    ResumedStream,
    ServerLoad,
    ServerResponseHead,
    StatedColdness,
} from "../serving/types.js";
import {
    longestTimerMilliseconds,
    maximumCount,
    maximumNameLength,
    maximumServerSlots,
    millisecondsPerSecond,
} from "../shared/index.js";
import { storeEraHeader } from "./storeEra.js";

/** Names of headers on the wire. */
const names = {
    attemptId: "x-oriolehatch-attempt-id",
    // time that remains until the deadline
    deadline: "x-oriolehatch-deadline-ms",
    lastEventId: "last-event-id",
    // attempt id of the request that brought the first event of the stream that this request resumes
    resumes: "resumes",
    // its presence is checked, its value is not
    signature: "x-oriolehatch-response-signature",
    // client account
    account: "x-oriolehatch-tenant",
    // id of the backend server that must run the request; "instance" means a backend server in this name
    expectedServer: "x-oriolehatch-expect-instance",
    // RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,SLOWNESS, where the last is in percent and 100 is usual
    load: "x-oriolehatch-server-load",
    // requests a second from all instances together
    requestLimit: "server-limit",
    // seconds, with a fraction or none, for which a server that answers 503 wants no more requests from this instance
    retryAfter: "retry-after",
    // milliseconds for which the server stays cold, 0 when it isn't
    cold: "x-oriolehatch-cold-ms",
    // 1 in all responses of a server that is about to stop
    leaving: "server-leaving",
    // the server has not executed the request and will not
    notRun: "x-oriolehatch-not-executed",
    // id of the backend server that responds
    serverId: "x-oriolehatch-instance-id",
    // MODEL or MODEL/ADAPTER
    model: "x-oriolehatch-model",
    // PROMPT,OUTPUT, where the output is an upper bound
    tokens: "x-oriolehatch-token-counts",
    // ID:TOKENS of each part, separated by commas; the last part belongs to the request alone
    promptParts: "x-oriolehatch-prompt-prefix",
    priority: "x-oriolehatch-request-priority",
    // version of the adapter if the request names one, else of the model weights
    expectedVersion: "x-oriolehatch-expect-version",
    // API key of the client account
    key: "x-oriolehatch-key",
} as const;

/**
 * Headers that are not forwarded in either direction: the hop-by-hop headers of HTTP, and `expect` and
 * `content-length`, which describe the message on one connection.
 */
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

/**
 * Headers of a client's request that are not passed on to the server: the API key, the deadline, which is set anew for
 * each attempt, and headers that a client may not set. Those without an entry in `names` are not used by this program.
 */
const unforwardedRequestHeaders: ReadonlySet<string> = new Set([
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

/** Headers of a client's request of which this program and a server could read different values if it had two. */
const singleRequestHeaders: readonly string[] = [
    "host",
    names.attemptId,
    names.deadline,
    names.key,
    names.model,
    names.lastEventId,
    names.resumes,
];

/** Beginning of the names of the platform's own headers. */
const platformPrefix = "x-oriolehatch-";
/** Headers of HTTP and of the platform without its prefix that a `Connection` header can't take from a message. */
const neededHeaders: ReadonlySet<string> = new Set([...Object.values(names), "host", "content-type"]);

/** Headers that are removed from a server's response, because they are not meant for the client. */
const internalResponseHeaders: ReadonlySet<string> = new Set([
    names.load,
    names.requestLimit,
    names.cold,
    names.leaving,
    names.serverId,
]);

/** Parts of a prompt beyond this number are not looked at, so that a client can't have any number of them kept. */
const maximumPromptParts = 16;
const promptPartPattern = /^([0-9a-f]{1,64}):(\d+)$/i;

const usualSlownessPercent = 100;
/** No server that takes longer than this for its work still answers in time. */
const maximumSlownessPercent = 10_000;
/** Attempt ids that are longer than this, or hold other characters, name no attempt. */
const attemptIdPattern = /^[\x21-\x7e]{1,128}$/;

const serviceUnavailableStatus = 503;
/** A server that wants no requests for longer is asked again, as the value may be a mistake. */
const maximumRetryAfterMilliseconds = 600_000;
/** The server at this address is not the one that the request expects, so it has not run the request. */
const misdirectedRequestStatus = 421;

/** Headers of responses that this program decodes, or passes on to the client without a use for them. */
export const decodedResponseHeaders: readonly string[] = [
    storeEraHeader,
    ...Object.values(names),
    // version of the model weights that answered
    "x-oriolehatch-weight-versions",
];

/**
 * Creates the codec between the platform's headers and the typed fields that the request path uses.
 *
 * @param onResponse - called with the names of the headers of each response, in lower case
 * @returns the codec
 */
export function createPlatformHeaderCodec(onResponse: (names: Iterable<string>) => void): HeaderCodec {
    return {
        decodeRequest: decodeClientRequest,
        encodeForwardedHeaders: encodeForwardedHeaders,
        decodeResponseHead: (status, rawHeaders) => decodeServerResponseHead(status, rawHeaders, onResponse),
        encodeRefusalHeaders: encodeRefusalHeaders,
    };
}

function decodeClientRequest(method: string, target: string, rawHeaders: readonly string[]): ClientRequest {
    const values = collectHeaderValues(rawHeaders);
    return {
        repeatedHeader: findRepeatedHeader(rawHeaders),
        attemptId: values.get(names.attemptId),
        method,
        target,
        host: decodeHost(values.get("host") ?? ""),
        key: values.get(names.key),
        deadline: decodeLimitedNumber(values.get(names.deadline), longestTimerMilliseconds),
        choice: decodeModelChoice(values.get(names.model)),
        tokens: decodeTokenCounts(values.get(names.tokens)),
        prompt: decodePromptParts(values.get(names.promptParts)),
        promptSizes: decodePromptSizes(values.get(names.promptParts)),
        lastEventId: decodeEventId((values.get(names.lastEventId) ?? "").trim()),
        resumed: decodeResumedStream(values.get(names.lastEventId), values.get(names.resumes)),
        passedHeaders: filterHeaders(rawHeaders, values.get("connection"), unforwardedRequestHeaders),
    };
}

function encodeForwardedHeaders(request: ClientRequest, forwarded: ForwardedHeaders): string[] {
    const headers = forwarded.lastEventId === undefined
        ? [...request.passedHeaders]
        : replaceHeader(request.passedHeaders, names.lastEventId, forwarded.lastEventId);
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

function decodeServerResponseHead(
    status: number,
    rawHeaders: readonly string[],
    onResponse: (names: Iterable<string>) => void,
): ServerResponseHead {
    const values = collectHeaderValues(rawHeaders);
    onResponse(values.keys());
    return {
        status,
        attemptId: values.get(names.attemptId),
        isSigned: values.has(names.signature),
        isNotRun: values.has(names.notRun) || status === misdirectedRequestStatus,
        load: decodeServerLoad(values.get(names.load)),
        requestLimit: decodeRequestLimit(values.get(names.requestLimit)),
        retryAfter: status === serviceUnavailableStatus ? decodeRetryAfter(values.get(names.retryAfter)) : undefined,
        coldFor: decodeColdness(values.get(names.cold)),
        isLeaving: decodeLeavingNotice(values.get(names.leaving)),
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

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
    const present = rawHeaders.filter((part, index) => index % 2 === 0).map(name => name.toLowerCase());
    return singleRequestHeaders.find(name => present.indexOf(name) !== present.lastIndexOf(name));
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
        if (
            !hopByHopHeaders.has(name) && !excludedNames.has(name) && !(connectionOptions.has(name) && !isNeeded(name))
        ) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

// without them the other end would answer as to another request
function isNeeded(name: string): boolean {
    return name.startsWith(platformPrefix) || neededHeaders.has(name);
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

// more than the limit is as good as the limit: a client that names more must not be charged less
function decodeLimitedNumber(text: string | undefined, maximum: number): number | undefined {
    const value = decodeWholeNumber(text);
    return value === undefined ? undefined : Math.min(value, maximum);
}

// either header says that the client has events, also where its value can't be read
function decodeResumedStream(lastEventId: string | undefined, resumes: string | undefined): ResumedStream | undefined {
    if (lastEventId === undefined && resumes === undefined) {
        return undefined;
    }
    const named = resumes?.trim() ?? "";
    return { firstAttemptId: attemptIdPattern.test(named) ? named : undefined };
}

function decodeModelChoice(text: string | undefined): ModelChoice | undefined {
    if (text === undefined || text === "" || text.length > maximumNameLength) {
        return undefined;
    }
    const slash = text.indexOf("/");
    return slash < 0
        ? { model: text, adapter: undefined }
        : { model: text.slice(0, slash), adapter: text.slice(slash + 1) };
}

function decodeTokenCounts(text: string | undefined): ClientRequest["tokens"] {
    const [prompt, output] = (text ?? "").split(",").map(part => decodeLimitedNumber(part, maximumCount));
    return prompt === undefined || output === undefined ? undefined : { prompt, output };
}

// a negative number, or a text that is none, can't be kept and counts as no limit
function decodeRequestLimit(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,9}(\.\d{1,9})?$/.test(text.trim()) ? Number(text) : undefined;
}

// a text that is no such number, or a date, counts as nothing; a very long time ends sooner
function decodeRetryAfter(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,9}(\.\d{1,9})?$/.test(text.trim())
        ? Math.min(Number(text) * millisecondsPerSecond, maximumRetryAfterMilliseconds)
        : undefined;
}

function decodeColdness(text: string | undefined): StatedColdness | undefined {
    if (text === undefined) {
        return undefined;
    }
    return /^\d{1,15}(\.\d{1,9})?$/.test(text.trim()) ? Number(text) : "unreadable";
}

/**
 * Decodes the header by which a server announces that it is about to stop.
 *
 * @param text - value of the header; `undefined` when the response has none
 * @returns whether the server leaves; any value but 0 counts, as a request that is sent elsewhere loses nothing
 */
export function decodeLeavingNotice(text: string | undefined): boolean {
    return text !== undefined && text.trim() !== "0";
}

// a text that names no parts is passed on as it is and decodes to nothing
function decodePromptParts(text: string | undefined): PromptParts | undefined {
    const ids = (text ?? "").split(",").map(part => promptPartPattern.exec(part.trim())?.[1]?.toLowerCase());
    const own = ids.pop();
    if (own === undefined || ids.includes(undefined)) {
        return undefined;
    }
    return { shared: [...new Set(ids.slice(0, maximumPromptParts) as string[])], own };
}

// of a longer list the first parts, which other requests may share, as later ones are only kept together with them
function decodePromptSizes(text: string | undefined): ClientRequest["promptSizes"] {
    const sizes = (text ?? "").split(",", maximumPromptParts + 1).flatMap(part => decodePromptSize(part));
    return sizes.length > 0 ? sizes : undefined;
}

function decodePromptSize(text: string): readonly (readonly [id: string, tokens: number])[] {
    const match = promptPartPattern.exec(text.trim());
    return match ? [[match[1]!.toLowerCase(), Math.min(Number(match[2]), maximumCount)]] : [];
}

function decodeServerLoad(text: string | undefined): ServerLoad | undefined {
    const [running, waiting, slots, slowness] = (text ?? "").split(",").map(part => decodeWholeNumber(part));
    if (running === undefined || waiting === undefined || slots === undefined) {
        return undefined;
    }
    // no server has so many; such a load says nothing
    const isPossible = Math.max(running, waiting) <= maximumCount && slots <= maximumServerSlots;
    return isPossible ? { running, waiting, slots, ...decodeSlowness(slowness) } : undefined;
}

// 0 and values beyond the range say nothing of the machine
function decodeSlowness(percent: number | undefined): Pick<ServerLoad, "slowness"> {
    return percent !== undefined && percent > 0 && percent <= maximumSlownessPercent
        ? { slowness: percent / usualSlownessPercent }
        : {};
}
