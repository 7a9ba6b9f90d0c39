/**
 * HTTP stand-in for an inference engine, built on the engine model. The protocol is described in
 * docs/design/backend-protocol.md.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import * as z from "zod";
import {
    type AdapterOrder,
    type AdapterReference,
    type BackendError,
    formatAdapterName,
    type GenerationRequest,
    type OrderError,
    parseAdapterName,
    type Prompt,
} from "../backends/index.js";
import { type Clock, jsonNull, type Milliseconds, type RequestId } from "../shared/index.js";
import type { EngineModel, EngineModelEvent } from "./engineModelTypes.js";
import { createStandinServer, sendJson, type StandinRequest, type StandinServer } from "./standinServer.js";

/** Options of {@link createEngineStandin}. */
export interface EngineStandinOptions {
    readonly model: EngineModel;
    readonly baseModel: string;
    readonly clock: Clock;
    /** Changes the text of a token before it is sent; benches add the time. @default the text from the model */
    readonly formatText?: (text: string) => string;
}

/** Faults of the HTTP exchange. Faults of the engine itself are set on its model. */
export interface EngineStandinFaults {
    /** Closes the connection of the next `count` streams after their first token. */
    readonly breakStreams: (count: number) => void;
    /** Ends the next `count` streams regularly but without a finish reason, usage or `[DONE]`. */
    readonly omitEndMarks: (count: number) => void;
    /** Answers the next `count` requests with the id of a different request. */
    readonly sendWrongRequestIds: (count: number) => void;
    /** Executes the next `count` load and unload orders, but closes the connection instead of responding. */
    readonly loseOrderAnswers: (count: number) => void;
    /** Delays the processing of every request by a time; 0 turns the delay off. */
    readonly setDelay: (delay: Milliseconds) => void;
}

/** An engine that listens on a local address. */
export interface EngineStandin extends StandinServer {
    readonly model: EngineModel;
    readonly faults: EngineStandinFaults;
    /** Closes the connections of open requests and begins a new incarnation without adapters. */
    readonly restart: () => void;
}

interface OpenStream {
    readonly response: ServerResponse;
    readonly beforeText: string;
    readonly afterText: string;
    readonly name: string;
    readonly fault: "none" | "break" | "omitEnd";
    /** Set once the `break` fault has taken effect; nothing more is written after that. */
    isCut: boolean;
}

const pollMilliseconds = 20;
const retryAfterSeconds = 1;

const completionBody = z.object({
    model: z.string(),
    prompt: z.string().optional(),
    messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
    max_tokens: z.int().positive(),
    priority: z.number().default(0),
    resume_after_tokens: z.int().nonnegative().default(0),
});
const orderBody = z.object({ lora_name: z.string() });

/**
 * Creates an HTTP stand-in for an engine.
 *
 * @param options - engine model, base model name and clock
 * @returns the stand-in, not yet listening
 */
export function createEngineStandin(options: EngineStandinOptions): EngineStandin {
    const { model, clock } = options;
    const streams = new Map<RequestId, OpenStream>();
    const loads = new Map<string, ServerResponse[]>();
    const pending = { breakStreams: 0, omitEndMarks: 0, sendWrongRequestIds: 0, loseOrderAnswers: 0 };
    let delay: Milliseconds = 0;
    let timer: NodeJS.Timeout | undefined;

    const takeFault = (name: keyof typeof pending): boolean => {
        const isDue = pending[name] > 0;
        pending[name] -= isDue ? 1 : 0;
        return isDue;
    };
    const runEvents = (): void => {
        clearTimeout(timer);
        for (const event of model.advance(clock.now())) {
            handleEvent(event);
        }
        const next = model.nextEventAt();
        if (next !== undefined) {
            // a load may end earlier than predicted because other engines share the weight store
            timer = setTimeout(runEvents, Math.min(Math.max(0, next - clock.now()), pollMilliseconds));
        }
    };
    const handleEvent = (event: EngineModelEvent): void => {
        switch (event.kind) {
            case "token":
                return sendToken(
                    streams,
                    options.formatText ? { ...event, text: options.formatText(event.text) } : event,
                );
            case "end":
            case "failed":
                return endStream(streams, event);
            case "loadEnded": {
                const name = formatAdapterName(event.adapter);
                for (const response of loads.get(name) ?? []) {
                    sendOrderResult(response, event.result.ok ? undefined : event.result.error);
                }
                loads.delete(name);
            }
        }
    };
    const handleCompletion = (request: StandinRequest, response: ServerResponse): void => {
        const generation = parseGeneration(request, options.baseModel);
        const requestId = takeFault("sendWrongRequestIds") ? `not-${generation.requestId}` : generation.requestId;
        response.setHeader("x-request-id", requestId);
        const submitted = model.submit(generation, clock.now());
        if (!submitted.ok) {
            sendBackendError(response, submitted.error, model.readIncarnation());
            return;
        }
        const fault = takeFault("breakStreams") ? "break" : takeFault("omitEndMarks") ? "omitEnd" : "none";
        const name = generation.adapter ? formatAdapterName(generation.adapter) : options.baseModel;
        const frame = buildChunkFrame(requestId, name, generation.prompt);
        streams.set(generation.requestId, { response, ...frame, name, fault, isCut: false });
        response.once("close", () => {
            if (streams.get(generation.requestId)?.response === response) {
                streams.delete(generation.requestId);
                model.cancel(generation.requestId, clock.now());
            }
        });
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "x-engine-incarnation": model.readIncarnation(),
        });
        response.flushHeaders();
    };
    const handleOrder = (request: StandinRequest, response: ServerResponse, kind: "load" | "unload"): void => {
        const order = parseOrder(request);
        const isLost = takeFault("loseOrderAnswers");
        const result = kind === "load" ? model.load(order, clock.now()) : model.unload(order, clock.now());
        if (isLost) {
            response.destroy();
        }
        else if (result.ok && result.value === false) {
            const name = formatAdapterName(order.adapter);
            loads.set(name, [...loads.get(name) ?? [], response]);
        }
        else {
            sendOrderResult(response, result.ok ? undefined : result.error);
        }
    };
    const handle = async (request: StandinRequest, response: ServerResponse): Promise<void> => {
        response.setHeader("x-request-id", String(request.headers["x-request-id"] ?? ""));
        if (delay > 0) {
            await clock.sleep(delay);
        }
        switch (`${request.method} ${request.path}`) {
            case "POST /v1/completions":
            case "POST /v1/chat/completions":
                handleCompletion(request, response);
                break;
            case "POST /v1/load_lora_adapter":
                handleOrder(request, response, "load");
                break;
            case "POST /v1/unload_lora_adapter":
                handleOrder(request, response, "unload");
                break;
            case "GET /report":
                sendJson(response, 200, model.readReport(clock.now()));
                break;
            default:
                sendError(response, 404, "bad_request", `no endpoint ${request.method} ${request.path}`);
        }
        runEvents();
    };
    const endConnections = (): void => {
        for (const response of [...streams.values()].map(stream => stream.response).concat(...loads.values())) {
            response.destroy();
        }
        streams.clear();
        loads.clear();
    };
    const server = createStandinServer(handle);
    return {
        ...server,
        stop: async () => {
            clearTimeout(timer);
            endConnections();
            await server.stop();
            clearTimeout(timer);
        },
        model,
        faults: {
            breakStreams: count => pending.breakStreams = count,
            omitEndMarks: count => pending.omitEndMarks = count,
            sendWrongRequestIds: count => pending.sendWrongRequestIds = count,
            loseOrderAnswers: count => pending.loseOrderAnswers = count,
            setDelay: wanted => delay = wanted,
        },
        restart: () => {
            endConnections();
            model.restart(clock.now());
            runEvents();
        },
    };
}

function sendToken(streams: Map<RequestId, OpenStream>, event: Extract<EngineModelEvent, { kind: "token"; }>): void {
    const stream = streams.get(event.requestId);
    if (!stream || stream.isCut) {
        return;
    }
    stream.isCut = stream.fault === "break";
    const chunk = stream.beforeText + JSON.stringify(event.text) + stream.afterText;
    stream.response.write(chunk, () => stream.isCut && stream.response.destroy());
}

function endStream(
    streams: Map<RequestId, OpenStream>,
    event: Extract<EngineModelEvent, { kind: "end" | "failed"; }>,
): void {
    const stream = streams.get(event.requestId);
    streams.delete(event.requestId);
    if (!stream || stream.isCut) {
        return;
    }
    if (event.kind === "failed") {
        const error = { error: { type: "failed", message: event.detail } };
        stream.response.end(`data: ${JSON.stringify(error)}\n\n`);
        return;
    }
    if (stream.fault === "omitEnd") {
        stream.response.end();
        return;
    }
    const last = { index: 0, text: "", delta: {}, finish_reason: event.reason };
    const usage = { prompt_tokens: event.promptTokens, completion_tokens: event.outputTokens };
    const chunks = [{ model: stream.name, choices: [last] }, { model: stream.name, choices: [], usage }];
    stream.response.end(`${chunks.map(chunk => `data: ${JSON.stringify(chunk)}\n\n`).join("")}data: [DONE]\n\n`);
}

function buildChunkFrame(
    requestId: RequestId,
    name: string,
    prompt: Prompt,
): Pick<OpenStream, "beforeText" | "afterText"> {
    const head = `data: {"id":${JSON.stringify(requestId)},"model":${JSON.stringify(name)},"choices":[{"index":0,`;
    const tail = `"finish_reason":${JSON.stringify(jsonNull)}}]}\n\n`;
    return prompt.kind === "chat"
        ? { beforeText: `${head}"delta":{"content":`, afterText: `},${tail}` }
        : { beforeText: `${head}"text":`, afterText: `,${tail}` };
}

function parseGeneration(request: StandinRequest, baseModel: string): GenerationRequest {
    const body = completionBody.parse(JSON.parse(request.body.toString("utf8")));
    return {
        requestId: String(request.headers["x-request-id"]),
        adapter: body.model === baseModel ? undefined : parseModelName(body.model),
        incarnation: String(request.headers["x-engine-incarnation"]),
        prompt: body.messages ? { kind: "chat", messages: body.messages } : { kind: "text", text: body.prompt ?? "" },
        maximumOutputTokens: body.max_tokens,
        priority: body.priority,
        resumeAfterTokens: body.resume_after_tokens,
    };
}

function parseOrder(request: StandinRequest): AdapterOrder {
    const body = orderBody.parse(JSON.parse(request.body.toString("utf8")));
    return {
        adapter: parseModelName(body.lora_name),
        fencingNumber: Number(request.headers["x-fencing-number"]),
        incarnation: String(request.headers["x-engine-incarnation"]),
    };
}

// a name without a version never matches a resident adapter, because every adapter is loaded with its version
function parseModelName(name: string): AdapterReference {
    return parseAdapterName(name) ?? { adapter: name, version: "" };
}

function sendError(response: ServerResponse, status: number, type: string, message: string, fields = {}): void {
    const headers: Record<string, string> = status === 429 ? { "retry-after": String(retryAfterSeconds) } : {};
    sendJson(response, status, { error: { type, message, ...fields } }, headers);
}

function sendBackendError(response: ServerResponse, error: BackendError, incarnation: string): void {
    if (error.kind !== "refused") {
        sendError(response, 500, "failed", error.kind);
        return;
    }
    switch (error.reason) {
        case "badRequest":
            return sendError(response, 400, "bad_request", error.detail);
        case "adapterAbsent":
            return sendError(response, 404, "adapter_absent", error.detail);
        case "wrongIncarnation":
            return sendError(response, 409, "wrong_incarnation", error.detail, { incarnation });
        case "overloaded":
            return sendError(response, 429, "overloaded", error.detail);
        case "leaving":
            return sendError(response, 503, "leaving", error.detail);
    }
}

function sendOrderResult(response: ServerResponse, error: OrderError | undefined): void {
    if (!error) {
        sendJson(response, 200, {});
        return;
    }
    switch (error.kind) {
        case "fenced":
            return sendError(response, 409, "fenced", "an order with a newer fencing number was received", {
                newest: error.newest,
            });
        case "wrongIncarnation":
            return sendError(response, 409, "wrong_incarnation", "the engine has restarted", {
                incarnation: error.incarnation,
            });
        case "inUse":
            return sendError(response, 409, "in_use", "requests are using the adapter");
        case "noFreeSlot":
            return sendError(response, 507, "no_free_slot", "every adapter slot is in use");
        case "loadFailed":
            return sendError(response, 502, "load_failed", error.detail);
        case "notSent":
        case "unknownOutcome":
            return sendError(response, 500, "failed", error.detail);
    }
}
