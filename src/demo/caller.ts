/**
 * A caller that speaks to instances as any client would.
 *
 * @packageDocumentation
 */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** What a caller got. */
export interface CallerAnswer {
    readonly status: number;
    /** The outcome that the instance stated, or `none` when a stream ended without one. */
    readonly outcome: string;
    readonly reason: string | undefined;
    readonly requestId: string;
    readonly text: string;
    /** Whether the answer says itself that it is whole. */
    readonly isComplete: boolean;
    readonly retryAfterSeconds: number | undefined;
}

/** A call to a model. */
export interface CompletionCall {
    readonly address: string;
    readonly key: string | undefined;
    readonly model: string;
    readonly prompt: string;
    /** @default 24 */
    readonly maximumTokens?: number;
}

/** A call to a plain service; with a body it is a `POST`, else a `GET`. */
export interface ServiceCall {
    readonly address: string;
    readonly key: string | undefined;
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
 * Asks a model for a text and reads the streamed answer to its end.
 *
 * @param call - where, with which key, and what
 * @returns what came
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
        // an incomplete answer ends with a cut stream; its outcome was read before that
    }
    const requestId = readHeader(answer.headers, "x-request-id");
    return { status: answer.statusCode, requestId, ...stream, retryAfterSeconds: undefined };
}

/**
 * Calls a plain service.
 *
 * @param call - where, with which key, and what
 * @returns what came
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
