/**
 * HTTP client of the log service.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import * as z from "zod";
import { type Milliseconds, millisecondsPerSecond, type Result, wrapError, wrapValue } from "../shared/index.js";
import { isNotSent } from "./httpErrors.js";
import type { LogError, LogPage, LogService, LogStream } from "./logService.js";

/** Options of the HTTP client of the log service. */
export interface LogHttpClientOptions {
    /** IP and port of the log service. */
    readonly address: string;
    /**
     * Maximum time to connect, to receive the response headers, and between parts of the body. The `waitFor` of a read is
     * added to the latter two. @default 5_000
     */
    readonly responseTimeout?: Milliseconds;
}

/** Client of the log service with its own sockets. */
export interface LogHttpClient extends LogService {
    /** Closes all sockets and aborts the requests on them. */
    readonly close: () => Promise<void>;
}

const defaultResponseTimeoutMilliseconds = 5_000;
const defaultMaximumRecords = 500;
const connectionLimit = 16;

const appendResponseSchema = z.object({ offset: z.int().nonnegative() });
const expiredResponseSchema = z.object({ earliest: z.int().nonnegative() });
const rateLimitedResponseSchema = z.object({ retryAfter: z.number().nonnegative() });
const pageResponseSchema = z.object({
    records: z.array(z.object({ offset: z.int().nonnegative(), appendedAt: z.number(), payload: z.string() })),
    earliest: z.int().nonnegative(),
    head: z.int().nonnegative(),
});

interface LogResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: unknown;
}

/**
 * Creates an HTTP client of the log service.
 *
 * @param options - address and timeout
 * @returns the client; it connects on demand, and the creator must close it
 */
export function createLogHttpClient(options: LogHttpClientOptions): LogHttpClient {
    const responseTimeout = options.responseTimeout ?? defaultResponseTimeoutMilliseconds;
    const pool = new Pool(`http://${options.address}`, {
        connections: connectionLimit,
        connectTimeout: responseTimeout,
    });
    const sendRequest = async (
        method: "GET" | "POST",
        path: string,
        timeout: Milliseconds,
        body: Uint8Array | undefined,
        signal: AbortSignal | undefined,
    ): Promise<Result<LogResponse, LogError>> => {
        try {
            const response = await pool.request({
                method,
                path,
                body,
                headers: body ? { "content-type": "application/octet-stream" } : {},
                headersTimeout: timeout,
                bodyTimeout: timeout,
                signal,
            });
            const text = await response.body.text();
            return wrapValue({ status: response.statusCode, headers: response.headers, body: parseBody(text) });
        }
        catch (error) {
            return wrapError(convertRequestError(error, method));
        }
    };
    return {
        append: async (stream, payload, signal) => {
            if (signal?.aborted) {
                return wrapError({ kind: "unavailable", detail: "the append was aborted before it was sent" });
            }
            const answer = await sendRequest("POST", buildPath(stream), responseTimeout, payload, signal);
            return answer.ok ? parseAppendResponse(answer.value) : answer;
        },
        read: async (stream, wanted) => {
            const waitFor = wanted.waitFor ?? 0;
            const query = `?from=${wanted.from}&max=${wanted.maximumRecords ?? defaultMaximumRecords}&wait=${waitFor}`;
            const timeout = responseTimeout + waitFor;
            const answer = await sendRequest("GET", buildPath(stream) + query, timeout, undefined, wanted.signal);
            return answer.ok ? parsePageResponse(answer.value) : answer;
        },
        close: () => pool.destroy(),
    };
}

function buildPath(stream: LogStream): string {
    return `/streams/${encodeURIComponent(stream)}/records`;
}

function parseBody(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function convertRequestError(error: unknown, method: "GET" | "POST"): LogError {
    const detail = error instanceof Error ? error.message : String(error);
    // a read has no effect, so a lost response needs no distinction from an unreachable service
    return method === "GET" || isNotSent(error)
        ? { kind: "unavailable", detail }
        : { kind: "unknownOutcome", detail };
}

function parseAppendResponse(answer: LogResponse): Result<number, LogError> {
    if (answer.status !== 200) {
        return wrapError(parseErrorResponse(answer, "append"));
    }
    const parsed = appendResponseSchema.safeParse(answer.body);
    return parsed.success
        ? wrapValue(parsed.data.offset)
        : wrapError({ kind: "unknownOutcome", detail: "the response has no offset" });
}

function parsePageResponse(answer: LogResponse): Result<LogPage, LogError> {
    if (answer.status !== 200) {
        return wrapError(parseErrorResponse(answer, "read"));
    }
    const parsed = pageResponseSchema.safeParse(answer.body);
    if (!parsed.success) {
        return wrapError({ kind: "unavailable", detail: "the response is not a page of records" });
    }
    const records = parsed.data.records.map(record => ({
        offset: record.offset,
        appendedAt: record.appendedAt,
        payload: new Uint8Array(Buffer.from(record.payload, "base64")),
    }));
    return wrapValue({ records, earliest: parsed.data.earliest, head: parsed.data.head });
}

function parseErrorResponse(answer: LogResponse, call: "append" | "read"): LogError {
    const expired = expiredResponseSchema.safeParse(answer.body);
    if (answer.status === 410 && expired.success) {
        return { kind: "expired", earliest: expired.data.earliest };
    }
    if (answer.status === 429) {
        return { kind: "rateLimited", retryAfter: parseRetryAfter(answer) };
    }
    const detail = `the log service responded with status ${answer.status}`;
    const tookNoEffect = call === "read" || answer.status === 503 || answer.status < 500;
    return { kind: tookNoEffect ? "unavailable" : "unknownOutcome", detail };
}

// falls back to one second if the response names no delay
function parseRetryAfter(answer: LogResponse): Milliseconds {
    const exact = rateLimitedResponseSchema.safeParse(answer.body);
    if (exact.success) {
        return exact.data.retryAfter;
    }
    const seconds = Number(answer.headers["retry-after"]);
    return Number.isFinite(seconds) ? seconds * millisecondsPerSecond : millisecondsPerSecond;
}
