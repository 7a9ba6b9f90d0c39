/**
 * Sends a model's response to the client, either streamed or as one JSON body. A response is marked as complete only
 * after the request's outcome is `completed`.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { AdapterReference } from "../backends/index.js";
import type { ModelCallEvent, RequestOutcome } from "../requests/index.js";
import { jsonNull, type Milliseconds, type RequestId } from "../shared/index.js";
import {
    adapterHeader,
    buildErrorBody,
    buildErrorHeaders,
    outcomeHeader,
    resolveStatus,
    type UncompletedOutcome,
} from "./errorResponses.js";
import type { CompletionKind, ModelRequest } from "./modelRequest.js";

/** Data that a response needs besides the generated tokens. */
export interface ResponseContext {
    readonly kind: CompletionKind;
    readonly requestId: RequestId;
    readonly request: ModelRequest;
    /** Time after which a client that reads nothing is disconnected. */
    readonly stallTimeout: Milliseconds;
    /** Creation time of the response in seconds since 1970. */
    readonly createdAt: number;
    /** Sends an error response; called only if no part of the response has been sent. */
    readonly sendError: (outcome: UncompletedOutcome) => void;
}

type EndEvent = Extract<ModelCallEvent, { readonly kind: "end"; }>;

const brokenOutcome: UncompletedOutcome = {
    kind: "unknown",
    reason: "broken",
    message: "The request ended without a known outcome; it may have run.",
    retryAfter: undefined,
};

interface ResponseEnd {
    readonly end: EndEvent | undefined;
    readonly outcome: RequestOutcome;
}

// reads all events; if `onToken` returns a promise, waits for it before reading the next event (backpressure)
async function readEvents(
    events: AsyncIterable<ModelCallEvent>,
    response: ServerResponse,
    onToken: (text: string) => Promise<void> | undefined,
): Promise<ResponseEnd> {
    let end: EndEvent | undefined;
    let outcome: RequestOutcome = brokenOutcome;
    for await (const event of events) {
        switch (event.kind) {
            case "started":
                setAdapterHeader(response, event.adapter);
                break;
            case "token": {
                const drained = onToken(event.text);
                drained && await drained;
                break;
            }
            case "end":
                end = event;
                break;
            case "outcome":
                outcome = event.outcome;
                break;
        }
    }
    return { end, outcome };
}

/**
 * Sends a response as one JSON body after the request has completed, or an error response if it has not.
 *
 * @param events - events of the model call, read to their end
 * @param response - HTTP response to write to
 * @param context - the request, and how to report errors
 * @returns a promise that resolves once the response has been handed to the socket
 */
export async function sendCompleteResponse(
    events: AsyncIterable<ModelCallEvent>,
    response: ServerResponse,
    context: ResponseContext,
): Promise<void> {
    let text = "";
    const { end, outcome } = await readEvents(events, response, token => {
        text += token;
        return undefined;
    });
    if (outcome.kind === "completed" && end) {
        const body = Buffer.from(JSON.stringify(buildCompletionBody(context, text, end)));
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": body.length,
            [outcomeHeader]: outcome.kind,
        });
        response.end(body);
        return;
    }
    context.sendError(outcome.kind === "completed" ? brokenOutcome : outcome);
}

/**
 * Streams a response as server-sent events. The final `[DONE]` event is sent only if the outcome is `completed`.
 * Otherwise an error event is sent and the connection is closed, so that no client treats the response as complete.
 *
 * @param events - events of the model call, read to their end
 * @param response - HTTP response to write to
 * @param context - the request, and how to report errors
 * @returns a promise that resolves once the response has been handed to the socket
 */
export async function streamResponse(
    events: AsyncIterable<ModelCallEvent>,
    response: ServerResponse,
    context: ResponseContext,
): Promise<void> {
    const template = buildChunkTemplate(context);
    const writer = createBatchingWriter(response);
    const { end, outcome } = await readEvents(events, response, token => {
        beginStream(response, writer, template);
        writer.write(template.textPrefix + JSON.stringify(token) + template.textSuffix);
        return response.writableNeedDrain ? waitForDrain(response, context.stallTimeout) : undefined;
    });
    if (outcome.kind === "completed" && end) {
        beginStream(response, writer, template);
        writer.write(template.endPrefix + JSON.stringify(end.reason) + template.endSuffix);
        writer.write(context.request.includeUsage ? buildUsageEvent(context, end) : "");
        writer.write("data: [DONE]\n\n");
        writer.flush();
        response.addTrailers({ [outcomeHeader]: outcome.kind });
        response.end();
        return;
    }
    const failure = outcome.kind === "completed" ? brokenOutcome : outcome;
    if (!response.headersSent) {
        context.sendError(failure);
        return;
    }
    writer.flush();
    const event = `data: ${JSON.stringify(buildErrorBody(failure, resolveStatus(failure)))}\n\n`;
    response.write(event, () => response.destroy());
}

/**
 * Sends an error response with a JSON body.
 *
 * @param response - HTTP response to write to; its headers must not have been sent
 * @param outcome - how the request ended
 * @param status - HTTP status; by default the one that belongs to the outcome
 * @param parameter - path of the invalid field in the request body, if one is known
 */
export function sendErrorResponse(
    response: ServerResponse,
    outcome: UncompletedOutcome,
    status = resolveStatus(outcome),
    parameter?: string,
): void {
    const body = Buffer.from(JSON.stringify(buildErrorBody(outcome, status, parameter)));
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": body.length,
        ...buildErrorHeaders(outcome),
    });
    response.end(body);
}

interface ChunkTemplate {
    readonly openingChunk: string;
    readonly textPrefix: string;
    readonly textSuffix: string;
    readonly endPrefix: string;
    readonly endSuffix: string;
}

// the constant parts of a chunk are built once per request, so that each token needs only one small JSON.stringify
function buildChunkTemplate(context: ResponseContext): ChunkTemplate {
    const head = `data: {"id":${JSON.stringify(buildCompletionId(context))},"object":"${
        context.kind === "chat" ? "chat.completion.chunk" : "text_completion"
    }","created":${context.createdAt},"model":${JSON.stringify(context.request.model)},"choices":[{"index":0,`;
    switch (context.kind) {
        case "chat":
            return {
                openingChunk: `${head}"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`,
                textPrefix: `${head}"delta":{"content":`,
                textSuffix: `},"finish_reason":null}]}\n\n`,
                endPrefix: `${head}"delta":{},"finish_reason":`,
                endSuffix: `}]}\n\n`,
            };
        case "text":
            return {
                openingChunk: "",
                textPrefix: `${head}"text":`,
                textSuffix: `,"logprobs":null,"finish_reason":null}]}\n\n`,
                endPrefix: `${head}"text":"","logprobs":null,"finish_reason":`,
                endSuffix: `}]}\n\n`,
            };
    }
}

function buildCompletionId(context: ResponseContext): string {
    return `${context.kind === "chat" ? "chatcmpl" : "cmpl"}-${context.requestId}`;
}

function buildCompletionBody(context: ResponseContext, text: string, end: EndEvent): object {
    const shared = {
        id: buildCompletionId(context),
        created: context.createdAt,
        model: context.request.model,
        usage: buildUsage(end),
    };
    switch (context.kind) {
        case "chat": {
            const message = { role: "assistant", content: text };
            return {
                ...shared,
                object: "chat.completion",
                choices: [{ index: 0, message, finish_reason: end.reason }],
            };
        }
        case "text":
            return {
                ...shared,
                object: "text_completion",
                choices: [{ index: 0, text, logprobs: jsonNull, finish_reason: end.reason }],
            };
    }
}

function buildUsage(end: EndEvent): object {
    return {
        prompt_tokens: end.promptTokens,
        completion_tokens: end.outputTokens,
        total_tokens: end.promptTokens + end.outputTokens,
    };
}

function buildUsageEvent(context: ResponseContext, end: EndEvent): string {
    const event = {
        id: buildCompletionId(context),
        object: context.kind === "chat" ? "chat.completion.chunk" : "text_completion",
        created: context.createdAt,
        model: context.request.model,
        choices: [],
        usage: buildUsage(end),
    };
    return `data: ${JSON.stringify(event)}\n\n`;
}

function setAdapterHeader(response: ServerResponse, adapter: AdapterReference | undefined): void {
    if (adapter && !response.headersSent) {
        response.setHeader(adapterHeader, `${adapter.adapter}@${adapter.version}`);
    }
}

function beginStream(response: ServerResponse, writer: BatchingWriter, template: ChunkTemplate): void {
    if (response.headersSent) {
        return;
    }
    response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
        trailer: outcomeHeader,
    });
    writer.write(template.openingChunk);
}

interface BatchingWriter {
    readonly write: (text: string) => void;
    readonly flush: () => void;
}

// combines the tokens that arrive in one socket read into one write; process.nextTick flushes them before the event loop
// reads from other sockets, whereas a callback in a later phase of the loop would wait for all of these reads
function createBatchingWriter(response: ServerResponse): BatchingWriter {
    let pending = "";
    let isScheduled = false;
    const flush = (): void => {
        isScheduled = false;
        if (pending !== "" && !response.destroyed) {
            response.write(pending);
        }
        pending = "";
    };
    return {
        write: text => {
            pending += text;
            if (!isScheduled) {
                isScheduled = true;
                process.nextTick(flush);
            }
        },
        flush,
    };
}

function waitForDrain(response: ServerResponse, stallTimeout: Milliseconds): Promise<void> {
    return new Promise(resolve => {
        if (response.destroyed) {
            resolve();
            return;
        }
        const timer = setTimeout(() => response.destroy(), stallTimeout);
        const finish = (): void => {
            clearTimeout(timer);
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
