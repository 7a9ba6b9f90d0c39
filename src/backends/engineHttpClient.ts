/**
 * HTTP client of a model engine.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { type Result, wrapError, wrapValue } from "../shared/index.js";
import { formatAdapterName } from "./adapterName.js";
import {
    type BackendConnection,
    type BackendConnectionOptions,
    type BackendResponse,
    createBackendConnection,
    describeError,
    readWholeBody,
    requestIdHeader,
} from "./backendConnection.js";
import type {
    AdapterOrder,
    BackendError,
    EngineClient,
    EngineReport,
    GenerationEvent,
    GenerationRequest,
    OrderError,
} from "./engineClient.js";
import {
    convertEngineError,
    createResponseReader,
    type EngineErrorBody,
    parseEngineError,
    parseJson,
} from "./engineResponse.js";

/** Options of the HTTP client of a model engine. */
export interface EngineHttpClientOptions extends BackendConnectionOptions {
    /** Name of the base model on the engine, sent in requests without an adapter. @default "base" */
    readonly baseModel?: string;
    /**
     * Resolves a name in the form of `formatAdapterName` to the path from which the engine loads the adapter's weights.
     * @default name => name
     */
    readonly resolveLoraPath?: (name: string) => string;
}

/** Client of a model engine with its own sockets. */
export interface EngineHttpClient extends EngineClient {
    /** Closes all sockets and aborts the requests on them. */
    readonly close: () => void;
}

const incarnationHeader = "x-engine-incarnation";
const errorBodyLimitBytes = 64 * 1024;
const reportBodyLimitBytes = 4 * 1024 * 1024;
const jsonHeaders = { "content-type": "application/json" };

const referenceSchema = z.object({
    adapter: z.string(),
    version: z.string(),
    generation: z.string().optional(),
});
const reportSchema = z.object({
    engine: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    running: z.number(),
    waiting: z.number(),
    resident: z.array(referenceSchema),
    loading: z.array(referenceSchema),
});

/**
 * Creates the HTTP client of one model engine.
 *
 * @param options - address, time limits, and how models and weights are named
 * @returns the client; the creator must close it
 */
export function createEngineHttpClient(options: EngineHttpClientOptions): EngineHttpClient {
    const connection = createBackendConnection(options);
    const resolvePath = options.resolveLoraPath ?? ((name: string): string => name);
    const sendLoadOrder = (order: AdapterOrder, signal: AbortSignal): Promise<Result<void, OrderError>> => {
        const name = formatAdapterName(order.adapter);
        const body = { lora_name: name, lora_path: resolvePath(name) };
        return sendOrder(connection, "/v1/load_lora_adapter", order, body, signal);
    };
    return {
        generate: (request, signal) => streamEvents(connection, request, options.baseModel ?? "base", signal),
        load: sendLoadOrder,
        unload: (order, signal) =>
            sendOrder(
                connection,
                "/v1/unload_lora_adapter",
                order,
                { lora_name: formatAdapterName(order.adapter) },
                signal,
            ),
        readReport: signal => readReport(connection, signal),
        close: connection.close,
    };
}

// a single generator, since each additional layer would cost several microtasks per token
async function* streamEvents(
    connection: BackendConnection,
    request: GenerationRequest,
    baseModel: string,
    signal: AbortSignal,
): AsyncGenerator<Result<GenerationEvent, BackendError>> {
    const opened = await sendGenerationRequest(connection, request, baseModel, signal);
    if (!opened.ok) {
        yield opened;
        return;
    }
    const answer = opened.value;
    const reader = createResponseReader(request);
    const decoder = new TextDecoder();
    try {
        for await (const part of answer.body) {
            const results = reader.accept(decoder.decode(part, { stream: true }));
            const isOver = reader.isFinished();
            if (isOver && results.at(-1)?.ok) {
                answer.release();
            }
            for (const step of results) {
                yield step;
            }
            if (isOver) {
                return;
            }
        }
        for (const step of reader.finish()) {
            yield step;
        }
    }
    catch (error) {
        yield wrapError(signal.aborted ? { kind: "aborted" } : { kind: "broken", detail: describeError(error) });
    }
    finally {
        // data left over from this response must not be read as the response to the next request
        answer.discard();
    }
}

async function sendGenerationRequest(
    connection: BackendConnection,
    request: GenerationRequest,
    baseModel: string,
    signal: AbortSignal,
): Promise<Result<BackendResponse, BackendError>> {
    const sent = await connection.send({
        method: "POST",
        path: request.prompt.kind === "chat" ? "/v1/chat/completions" : "/v1/completions",
        headers: {
            ...jsonHeaders,
            [requestIdHeader]: request.requestId,
            [incarnationHeader]: request.incarnation,
        },
        body: encodeRequest(request, baseModel),
    }, signal);
    const fault = sent.ok ? await checkResponseHead(sent.value, request, signal) : undefined;
    if (sent.ok && fault) {
        sent.value.discard();
        return wrapError(fault);
    }
    return sent;
}

function encodeRequest(request: GenerationRequest, baseModel: string): string {
    const { prompt } = request;
    return JSON.stringify({
        model: request.adapter ? formatAdapterName(request.adapter) : baseModel,
        ...(prompt.kind === "chat" ? { messages: prompt.messages } : { prompt: prompt.text }),
        max_tokens: request.maximumOutputTokens,
        temperature: request.temperature,
        stop: request.stop,
        stream: true,
        stream_options: { include_usage: true },
        priority: request.priority,
        resume_after_tokens: request.resumeAfterTokens,
    });
}

async function checkResponseHead(
    answer: BackendResponse,
    request: GenerationRequest,
    signal: AbortSignal,
): Promise<BackendError | undefined> {
    const responseId = answer.headers[requestIdHeader];
    if (responseId !== undefined && responseId !== request.requestId) {
        return { kind: "mismatched", detail: "the response belongs to another request" };
    }
    if (responseId === undefined) {
        return { kind: "broken", detail: "the response has no request id" };
    }
    if (answer.status !== 200) {
        const body = await readErrorBody(answer, signal);
        return convertEngineError(answer.status, body, answer.headers["retry-after"]);
    }
    if (answer.headers[incarnationHeader] !== request.incarnation) {
        return { kind: "mismatched", detail: "the response comes from another incarnation" };
    }
    return undefined;
}

async function readErrorBody(answer: BackendResponse, signal: AbortSignal): Promise<EngineErrorBody | undefined> {
    const body = await readWholeBody(answer, errorBodyLimitBytes, signal);
    return body.ok ? parseEngineError(body.value.toString("utf8")) : undefined;
}

async function sendOrder(
    connection: BackendConnection,
    path: string,
    order: AdapterOrder,
    body: object,
    signal: AbortSignal,
): Promise<Result<void, OrderError>> {
    const sent = await connection.send({
        method: "POST",
        path,
        headers: {
            ...jsonHeaders,
            "x-fencing-number": String(order.fencingNumber),
            [incarnationHeader]: order.incarnation,
        },
        body: JSON.stringify(body),
    }, signal);
    if (!sent.ok) {
        return wrapError(convertTransportError(sent.error));
    }
    const answered = await readWholeBody(sent.value, errorBodyLimitBytes, signal);
    if (!answered.ok) {
        return wrapError(convertTransportError(answered.error));
    }
    if (sent.value.status === 200) {
        return wrapValue(undefined);
    }
    return wrapError(convertErrorResponse(sent.value.status, parseEngineError(answered.value.toString("utf8"))));
}

function convertTransportError(error: BackendError): OrderError {
    const detail = "detail" in error ? error.detail : error.kind;
    return error.kind === "notSent" ? { kind: "notSent", detail } : { kind: "unknownOutcome", detail };
}

function convertErrorResponse(status: number, body: EngineErrorBody | undefined): OrderError {
    switch (`${status} ${body?.type}`) {
        case "409 fenced":
            return { kind: "fenced", newest: body?.newest ?? 0 };
        case "409 wrong_incarnation":
            return { kind: "wrongIncarnation", incarnation: body?.incarnation ?? "" };
        case "409 in_use":
            return { kind: "inUse" };
        case "507 no_free_slot":
            return { kind: "noFreeSlot" };
        case "502 load_failed":
            return { kind: "loadFailed", detail: body?.message ?? "load failed" };
        default:
            return { kind: "unknownOutcome", detail: `the engine responded with status ${status}` };
    }
}

async function readReport(
    connection: BackendConnection,
    signal: AbortSignal,
): Promise<Result<EngineReport, BackendError>> {
    const sent = await connection.send({ method: "GET", path: "/report", headers: {}, body: undefined }, signal);
    if (!sent.ok) {
        return sent;
    }
    const body = await readWholeBody(sent.value, reportBodyLimitBytes, signal);
    if (!body.ok) {
        return body;
    }
    const parsed = reportSchema.safeParse(parseJson(body.value.toString("utf8")));
    return sent.value.status === 200 && parsed.success
        ? wrapValue(parsed.data)
        : wrapError({
            kind: "broken",
            detail: `the engine responded with status ${sent.value.status} and no valid report`,
        });
}
