/**
 * A minimal HTTP client of an instance, without retries, that sees only what any client sees.
 *
 * @packageDocumentation
 */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** Answer of an instance to one request. */
export interface CallerAnswer {
    readonly status: number;
    /**
     * Outcome that the instance reported in a header or at the end of a stream; `none` when a stream ended without an
     * outcome, empty when the header was missing.
     */
    readonly outcome: string;
    /** Error code of a request that did not complete, if the instance sent one. */
    readonly reason: string | undefined;
    /** Id of the request, from the response's header; empty when the header was missing. */
    readonly requestId: string;
    /** Generated text, or the body of any other answer. */
    readonly text: string;
    /** Whether the instance marked the answer as complete. */
    readonly isComplete: boolean;
    readonly retryAfterSeconds: number | undefined;
}

/** A completion request to a model. */
export interface CompletionCall {
    /** IP and port of the instance. */
    readonly address: string;
    /** Key of a client account; `undefined` sends none. */
    readonly key: string | undefined;
    readonly model: string;
    readonly prompt: string;
    /** Most tokens of the generated text. @default 24 */
    readonly maximumTokens?: number;
}

/** A request to a plain service: a `POST` when it has a body, else a `GET`. */
export interface ServiceCall {
    /** IP and port of the instance. */
    readonly address: string;
    /** Key of a client account; `undefined` sends none. */
    readonly key: string | undefined;
    /** Route and path behind `/services/`. */
    readonly path: string;
    readonly body?: unknown;
    readonly idempotencyKey?: string;
}

type AnswerHeaders = Record<string, string | string[] | undefined>;

interface StreamState {
    text: string;
    isComplete: boolean;
    outcome: string;
    reason: string | undefined;
}

interface StreamChunk {
    readonly choices?: readonly { readonly text?: string; }[];
    readonly outcome?: string;
    readonly error?: { readonly code?: string; };
}

const defaultMaximumTokens = 24;
const okStatus = 200;

/**
 * Requests a completion from a model and reads the streamed answer to its end.
 *
 * @param call - address, key and prompt
 * @returns the answer, also when the stream was cut off; rejects when the connection fails before a response arrives or
 * within an error response
 */
export async function sendCompletion(call: CompletionCall): Promise<CallerAnswer> {
    const answer = await request(`http://${call.address}/v1/completions`, {
        method: "POST",
        headers: createHeaders(call.key, undefined),
        body: JSON.stringify({
            model: call.model,
            prompt: call.prompt,
            max_tokens: call.maximumTokens ?? defaultMaximumTokens,
            stream: true,
        }),
    });
    if (answer.statusCode !== okStatus) {
        return createErrorAnswer(answer.statusCode, answer.headers, await answer.body.text());
    }
    const stream: StreamState = { text: "", isComplete: false, outcome: "none", reason: undefined };
    const parser = createParser({ onEvent: event => readStreamEvent(stream, event.data) });
    try {
        for await (const bytes of answer.body) {
            parser.feed((bytes as Buffer).toString("utf8"));
        }
    }
    catch {
        // the instance closes the connection after an incomplete answer; the outcome was read before that
    }
    const requestId = readHeader(answer.headers, "x-request-id");
    return { status: answer.statusCode, requestId, ...stream, retryAfterSeconds: undefined };
}

/**
 * Sends a request to a plain service.
 *
 * @param call - address, key, path and body
 * @returns the answer; rejects when no complete response arrives
 */
export async function sendServiceCall(call: ServiceCall): Promise<CallerAnswer> {
    const answer = await request(`http://${call.address}/services/${call.path}`, {
        method: call.body === undefined ? "GET" : "POST",
        headers: createHeaders(call.key, call.idempotencyKey),
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    const text = await answer.body.text();
    const outcome = readHeader(answer.headers, "x-oriolehatch-outcome");
    if (outcome !== "completed") {
        return createErrorAnswer(answer.statusCode, answer.headers, text);
    }
    return {
        status: answer.statusCode,
        outcome,
        reason: undefined,
        requestId: readHeader(answer.headers, "x-request-id"),
        text,
        isComplete: true,
        retryAfterSeconds: undefined,
    };
}

function createHeaders(key: string | undefined, idempotencyKey: string | undefined): Record<string, string> {
    return {
        "content-type": "application/json",
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
    };
}

function readStreamEvent(stream: StreamState, data: string): void {
    if (data === "[DONE]") {
        stream.isComplete = true;
        stream.outcome = "completed";
        return;
    }
    const chunk = JSON.parse(data) as StreamChunk;
    stream.text += chunk.choices?.[0]?.text ?? "";
    stream.outcome = chunk.outcome ?? stream.outcome;
    stream.reason = chunk.error?.code ?? stream.reason;
}

function createErrorAnswer(status: number, headers: AnswerHeaders, text: string): CallerAnswer {
    const retryAfter = readHeader(headers, "retry-after");
    return {
        status,
        outcome: readHeader(headers, "x-oriolehatch-outcome"),
        reason: readErrorCode(text),
        requestId: readHeader(headers, "x-request-id"),
        text,
        isComplete: false,
        retryAfterSeconds: retryAfter === "" ? undefined : Number(retryAfter),
    };
}

function readErrorCode(text: string): string | undefined {
    try {
        return (JSON.parse(text) as StreamChunk).error?.code;
    }
    catch {
        return undefined;
    }
}

function readHeader(headers: AnswerHeaders, name: string): string {
    const value = headers[name];
    return (Array.isArray(value) ? value[0] : value) ?? "";
}
