/**
 * Parses responses of model engines: server-sent events to generation events, and error bodies to errors.
 *
 * @packageDocumentation
 */
import { createParser } from "eventsource-parser";
import * as z from "zod";
import { jsonNull, millisecondsPerSecond, type Result, wrapError, wrapValue } from "../shared/index.js";
import { parseAdapterName } from "./adapterName.js";
import type { AdapterReference, BackendError, GenerationEvent, GenerationRequest } from "./engineClient.js";

const eventLimitCharacters = 256 * 1024;
const doneMarker = "[DONE]";

const chunkSchema = z.object({
    id: z.string().optional(),
    model: z.string().optional(),
    choices: z.array(z.object({
        index: z.number().int().optional(),
        text: z.string().optional(),
        delta: z.object({ content: z.string().nullish() }).optional(),
        finish_reason: z.string().nullish(),
    })),
    usage: z.object({
        prompt_tokens: z.number().int().nonnegative(),
        completion_tokens: z.number().int().nonnegative(),
    }).nullish(),
});

const errorSchema = z.object({
    error: z.object({
        type: z.string(),
        message: z.string().optional(),
        newest: z.number().int().optional(),
        incarnation: z.string().optional(),
    }),
});

/** Parsed body of an engine's error response. */
export interface EngineErrorBody {
    readonly type: string;
    readonly message: string;
    readonly newest: number | undefined;
    readonly incarnation: string | undefined;
}

type EventResult = Result<GenerationEvent, BackendError>;

/** Incremental parser of a streamed response; produces no more results after an error or the end event. */
export interface ResponseReader {
    /** Parses the next part of the text and returns the events that it completes. */
    readonly accept: (text: string) => readonly EventResult[];
    /** Reports that the connection has ended; returns an error if the response is incomplete. */
    readonly finish: () => readonly EventResult[];
    /** Returns whether the end event or an error has been produced. */
    readonly isFinished: () => boolean;
}

/**
 * Creates the parser of one streamed response.
 *
 * @param request - request that the response must belong to; a chunk of another request or adapter is an error
 * @returns the parser, to be used for this response only
 */
export function createResponseReader(request: GenerationRequest): ResponseReader {
    let results: EventResult[] = [];
    let accepted = false;
    let tokens = request.resumeAfterTokens;
    let reason: "stop" | "length" | undefined;
    let usage: { readonly prompt_tokens: number; readonly completion_tokens: number; } | undefined;
    let finished = false;

    const endWithError = (error: BackendError): void => {
        finished = true;
        results.push(wrapError(error));
    };
    const checkIdentity = (chunk: z.infer<typeof chunkSchema>): boolean => {
        if (chunk.id !== undefined && chunk.id !== request.requestId) {
            endWithError({ kind: "mismatched", detail: "the chunk belongs to another request" });
            return false;
        }
        if (chunk.choices.length === 0) {
            return true;
        }
        const adapter = chunk.model === undefined ? undefined : parseAdapterName(chunk.model);
        if (chunk.model === undefined || !isSameAdapterLoad(adapter, request.adapter)) {
            endWithError({
                kind: "mismatched",
                detail: "the chunk names no model, or another adapter, version or load",
            });
            return false;
        }
        if (!accepted) {
            accepted = true;
            const { requestId, incarnation } = request;
            results.push(wrapValue({ kind: "accepted", requestId, adapter, incarnation }));
        }
        return true;
    };
    const acceptChunk = (chunk: z.infer<typeof chunkSchema>): void => {
        if (!checkIdentity(chunk)) {
            return;
        }
        const choice = chunk.choices[0];
        if (choice && reason !== undefined) {
            endWithError({ kind: "broken", detail: "a choice was received after the finish reason" });
            return;
        }
        const text = choice?.text ?? choice?.delta?.content;
        if (text !== undefined && text !== jsonNull && (text !== "" || !choice?.finish_reason)) {
            results.push(wrapValue({ kind: "token", index: tokens++, text }));
        }
        if (choice?.finish_reason === "stop" || choice?.finish_reason === "length") {
            reason = choice.finish_reason;
        }
        else if (choice?.finish_reason) {
            endWithError({ kind: "failed", detail: "the finish reason is neither stop nor length" });
        }
        usage = chunk.usage ?? usage;
    };
    const acceptDone = (): void => {
        if (!accepted || reason === undefined || usage === undefined) {
            endWithError({
                kind: "broken",
                detail: "[DONE] was received without an earlier chunk, finish reason or usage",
            });
            return;
        }
        finished = true;
        const { prompt_tokens: promptTokens, completion_tokens: outputTokens } = usage;
        results.push(wrapValue({ kind: "end", reason, promptTokens, outputTokens }));
    };
    const acceptEvent = (data: string): void => {
        if (finished) {
            return;
        }
        if (data === doneMarker) {
            acceptDone();
            return;
        }
        const parsed = chunkSchema.safeParse(parseJson(data));
        if (parsed.success) {
            acceptChunk(parsed.data);
            return;
        }
        const failure = errorSchema.safeParse(parseJson(data));
        endWithError(
            failure.success
                ? { kind: "failed", detail: failure.data.error.type }
                : { kind: "broken", detail: "an event is neither a chunk nor an error" },
        );
    };
    const parser = createParser({
        maxBufferSize: eventLimitCharacters,
        onEvent: message => acceptEvent(message.data),
        onError: error => {
            if (error.type === "max-buffer-size-exceeded" && !finished) {
                endWithError({ kind: "broken", detail: "an event is too large" });
            }
        },
    });
    const takeResults = (): readonly EventResult[] => {
        const taken = results;
        results = [];
        return taken;
    };
    return {
        accept: text => {
            if (!finished) {
                parser.feed(text);
            }
            return takeResults();
        },
        finish: () => {
            if (!finished) {
                endWithError({ kind: "broken", detail: "the response ended without [DONE]" });
            }
            return takeResults();
        },
        isFinished: () => finished,
    };
}

function isSameAdapterLoad(answered: AdapterReference | undefined, asked: AdapterReference | undefined): boolean {
    const isSameGeneration = answered?.generation === undefined || asked?.generation === undefined
        || answered.generation === asked.generation;
    return answered?.adapter === asked?.adapter && answered?.version === asked?.version && isSameGeneration;
}

/**
 * Parses the body of an engine's error response.
 *
 * @param body - body as received
 * @returns the fields of the error; `undefined` if the body has another format
 */
export function parseEngineError(body: string): EngineErrorBody | undefined {
    const parsed = errorSchema.safeParse(parseJson(body));
    if (!parsed.success) {
        return undefined;
    }
    const { type, message, newest, incarnation } = parsed.data.error;
    return { type, message: message ?? type, newest, incarnation };
}

/**
 * Converts an engine's error response to an error. Only combinations of status and type that the engine protocol
 * defines prove whether the request was started; any other response is `broken`, since the request may have run.
 *
 * @param status - HTTP status
 * @param body - parsed body, or `undefined` if it was not an error body
 * @param retryAfter - value of the `Retry-After` header in seconds
 * @returns the error
 */
export function convertEngineError(
    status: number,
    body: EngineErrorBody | undefined,
    retryAfter: string | undefined,
): BackendError {
    const detail = body?.message ?? `status ${status}`;
    switch (`${status} ${body?.type}`) {
        case "400 bad_request":
            return { kind: "refused", reason: "badRequest", detail };
        case "404 adapter_absent":
            return { kind: "refused", reason: "adapterAbsent", detail };
        case "409 wrong_incarnation":
            return { kind: "refused", reason: "wrongIncarnation", detail };
        case "429 overloaded":
            return { kind: "refused", reason: "overloaded", detail, retryAfter: parseRetryAfter(retryAfter) };
        case "503 leaving":
            return { kind: "refused", reason: "leaving", detail };
        case "500 failed":
            return { kind: "failed", detail };
        default:
            return { kind: "broken", detail: `status ${status} is not defined by the engine protocol` };
    }
}

function parseRetryAfter(value: string | undefined): number | undefined {
    const seconds = Number(value);
    return value === undefined || !Number.isFinite(seconds) || seconds < 0
        ? undefined
        : seconds * millisecondsPerSecond;
}

/**
 * Parses JSON from an untrusted source without throwing.
 *
 * @param text - text as received
 * @returns the parsed value, or `undefined` if the text is not valid JSON
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
