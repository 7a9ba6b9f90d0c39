/**
 * Reading of an engine's answer: frames of server-sent events into events, and error bodies into errors.
 *
 * @packageDocumentation
 */
import { createParser } from "eventsource-parser";
import { z } from "zod";
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

/** Body of an engine's error answer. */
export interface EngineErrorBody {
    readonly type: string;
    readonly message: string;
    readonly newest: number | undefined;
    readonly incarnation: string | undefined;
}

type EventResult = Result<GenerationEvent, BackendError>;

/** Turns the text of an answer into events; gives nothing more after an error or the end. */
export interface ResponseReader {
    /** Feeds text and returns what became whole by it. */
    readonly accept: (text: string) => readonly EventResult[];
    /** Tells that the connection has ended. */
    readonly finish: () => readonly EventResult[];
    readonly isFinished: () => boolean;
}

/**
 * Creates the reader of one answer.
 *
 * @param request - the request that the answer must belong to
 * @returns the reader
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
            endWithError({ kind: "mismatched", detail: "a chunk of another request" });
            return false;
        }
        if (chunk.choices.length === 0) {
            return true;
        }
        const adapter = chunk.model === undefined ? undefined : parseAdapterName(chunk.model);
        if (chunk.model === undefined || !isSameAdapterLoad(adapter, request.adapter)) {
            endWithError({ kind: "mismatched", detail: "a chunk of another adapter or version" });
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
            endWithError({ kind: "broken", detail: "text after the finish reason" });
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
            endWithError({ kind: "failed", detail: "the engine ended the answer for another reason" });
        }
        usage = chunk.usage ?? usage;
    };
    const acceptDone = (): void => {
        if (!accepted || reason === undefined || usage === undefined) {
            endWithError({ kind: "broken", detail: "end mark without finish reason and usage" });
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
                : { kind: "broken", detail: "a frame that is no chunk" },
        );
    };
    const parser = createParser({
        maxBufferSize: eventLimitCharacters,
        onEvent: message => acceptEvent(message.data),
        onError: error => {
            if (error.type === "max-buffer-size-exceeded" && !finished) {
                endWithError({ kind: "broken", detail: "a frame is too large" });
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
                endWithError({ kind: "broken", detail: "the answer ended without its end mark" });
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
 * Parses the body of an error answer.
 *
 * @param body - the body as it came
 * @returns its fields, or `undefined` when it has another form
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
 * Turns an engine's error answer into an error; only the codes of the protocol's page are taken as "not started".
 *
 * @param status - HTTP status
 * @param body - the parsed body, if it has the form of an error
 * @param retryAfter - the `Retry-After` header
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
            return { kind: "broken", detail: `status ${status} is not of the protocol` };
    }
}

function parseRetryAfter(value: string | undefined): number | undefined {
    const seconds = Number(value);
    return value === undefined || !Number.isFinite(seconds) || seconds < 0
        ? undefined
        : seconds * millisecondsPerSecond;
}

/**
 * Parses JSON from outside.
 *
 * @param text - what came
 * @returns the value, or `undefined` when it is no JSON
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
