/**
 * Turns requests of callers into calls of the request service, and their ends into answers.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildNotRunReport, type OutcomeReason, type RequestOutcome } from "../requests/index.js";
import { type Milliseconds, millisecondsPerSecond, type RequestId } from "../shared/index.js";
import { type ClientKey, hasKeyInBody, hasKeyInTexts, readClientKey } from "./callerKey.js";
import {
    createRefusedOutcome,
    outcomeHeader,
    requestTimeoutStatus,
    type UncompletedOutcome,
} from "./errorResponses.js";
import { type CompletionKind, listPromptTexts, parseModelRequest } from "./modelRequest.js";
import { sendCompleteResponse, sendErrorResponse, streamResponse } from "./modelResponse.js";
import { readBody } from "./requestBody.js";
import { filterRequestHeaders, filterResponseHeaders, parseServiceTarget, serviceMethods } from "./serviceRequest.js";
import type { HttpServerOptions, ResolvedHttpLimits } from "./types.js";

/** Handlers of the calls that reach backend servers. */
export interface CallHandlers {
    readonly handleCompletion: (kind: CompletionKind, exchange: Exchange) => Promise<void>;
    readonly handleService: (exchange: Exchange) => Promise<void>;
}

/** One request of a caller and its answer. */
export interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: RequestId;
    readonly arrivedAt: Milliseconds;
    /** Aborted when the caller goes away before its answer is sent. */
    readonly signal: AbortSignal;
}

interface ReceivedExchange extends Exchange {
    readonly key: ClientKey | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
}

const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;
const keyMisplacedMessage = "A key belongs only into the Authorization header; it was found elsewhere in the request.";
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);
// time for an error to reach a caller that is still sending
const closeDelayMilliseconds = 500;

/**
 * Creates the handlers.
 *
 * @param options - the request service and the tree in force
 * @param limits - limits of bodies
 * @returns the handlers
 */
export function createCallHandlers(options: HttpServerOptions, limits: ResolvedHttpLimits): CallHandlers {
    const refuseWithOutcome = (
        exchange: Exchange,
        outcome: UncompletedOutcome,
        status?: number,
        parameter?: string,
    ): void => {
        const { requestId, arrivedAt } = exchange;
        const total = options.clock.now() - arrivedAt;
        options.onReport(buildNotRunReport({ requestId, route: undefined, outcome, total }));
        sendErrorResponse(exchange.response, outcome, status, parameter);
    };
    const refuseWithReason = (exchange: Exchange, reason: OutcomeReason, message: string, parameter?: string): void =>
        refuseWithOutcome(exchange, createRefusedOutcome(reason, message), undefined, parameter);

    const receiveExchange = async (exchange: Exchange): Promise<ReceivedExchange | undefined> => {
        const key = readClientKey(exchange.request);
        const idempotencyKey = readIdempotencyKey(exchange.request);
        if (!key.ok || idempotencyKey === "malformed") {
            closeAfterResponse(exchange);
            const message = key.ok ? "Idempotency-Key must be 1 to 255 visible characters, sent once." : key.error;
            refuseWithReason(exchange, "badRequest", message);
            return undefined;
        }
        const body = await readBody(exchange.request, limits);
        if (body.ok) {
            return { ...exchange, key: key.value, idempotencyKey: idempotencyKey?.value, body: body.value };
        }
        closeAfterResponse(exchange);
        switch (body.error) {
            case "tooLarge":
                refuseWithReason(exchange, "tooLarge", `The body is larger than ${limits.bodyBytes} bytes.`);
                break;
            case "tooSlow":
                refuseWithOutcome(
                    exchange,
                    createRefusedOutcome("badRequest", "The body did not arrive in time."),
                    requestTimeoutStatus,
                );
                break;
            case "callerGone":
                exchange.response.destroy();
                break;
        }
        return undefined;
    };

    const handleCompletion = async (kind: CompletionKind, exchange: Exchange): Promise<void> => {
        const admitted = await receiveExchange(exchange);
        if (!admitted) {
            return;
        }
        const parsed = parseModelRequest(kind, admitted.body);
        if (!parsed.ok) {
            refuseWithReason(exchange, "badRequest", parsed.error.message, parsed.error.parameter);
            return;
        }
        const request = parsed.value;
        const texts = [request.model, ...listPromptTexts(request.prompt), ...request.stop ?? []];
        if (hasKeyInTexts(texts, admitted.key, undefined)) {
            refuseWithReason(exchange, "badRequest", keyMisplacedMessage);
            return;
        }
        const events = options.service.runModelCall({
            kind: "model",
            ...buildCallBase(admitted),
            model: request.model,
            prompt: request.prompt,
            maximumOutputTokens: request.maximumOutputTokens,
            temperature: request.temperature,
            stop: request.stop,
        }, exchange.signal);
        const send = request.stream ? streamResponse : sendCompleteResponse;
        await send(events, exchange.response, {
            kind,
            requestId: exchange.requestId,
            request,
            stallTimeout: limits.stallTimeout,
            createdAt: Math.floor(Date.now() / millisecondsPerSecond),
            sendError: outcome => sendErrorResponse(exchange.response, outcome),
        });
    };

    const handleService = async (exchange: Exchange): Promise<void> => {
        const { request, response } = exchange;
        const target = parseServiceTarget(request.url ?? "");
        const method = request.method ?? "";
        if (!target.ok || !serviceMethods.has(method)) {
            closeAfterResponse(exchange);
            refuseWithReason(exchange, "badRequest", target.ok ? `Method ${method} is not passed on.` : target.error);
            return;
        }
        const admitted = await receiveExchange(exchange);
        if (!admitted) {
            return;
        }
        const headers = filterRequestHeaders(request.headers);
        const texts = [target.value.path, ...Object.values(headers), admitted.idempotencyKey ?? ""];
        const isKeyMisplaced = hasKeyInTexts(texts, admitted.key, options.settings.read())
            || hasKeyInBody(admitted.body, admitted.key);
        if (isKeyMisplaced) {
            refuseWithReason(exchange, "badRequest", keyMisplacedMessage);
            return;
        }
        const result = await options.service.runServiceCall({
            kind: "service",
            ...buildCallBase(admitted),
            route: target.value.route,
            method,
            path: target.value.path,
            headers,
            body: admitted.body,
        }, exchange.signal);
        sendServiceResponse(response, result.outcome, result.response);
    };
    return { handleCompletion, handleService };
}

type ServiceHeaders = Parameters<typeof filterResponseHeaders>[0];

function sendServiceResponse(
    response: ServerResponse,
    outcome: RequestOutcome,
    answer: { readonly status: number; readonly headers: ServiceHeaders; readonly body: Uint8Array; } | undefined,
): void {
    if (answer) {
        const length = hasBody(response, answer.status) ? { "content-length": answer.body.length } : {};
        const headers = filterResponseHeaders(answer.headers);
        response.writeHead(answer.status, { ...headers, ...length, [outcomeHeader]: outcome.kind });
        response.end(answer.body);
        return;
    }
    const failure: UncompletedOutcome = outcome.kind === "completed"
        ? { kind: "unknown", reason: "broken", message: "The service's answer was lost.", retryAfter: undefined }
        : outcome;
    sendErrorResponse(response, failure);
}

function hasBody(response: ServerResponse, status: number): boolean {
    return response.req.method !== "HEAD" && !statusesWithoutBody.has(status);
}

function buildCallBase(exchange: ReceivedExchange): {
    readonly requestId: RequestId;
    readonly keyHash: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly arrivedAt: Milliseconds;
} {
    return {
        requestId: exchange.requestId,
        keyHash: exchange.key?.hash,
        idempotencyKey: exchange.idempotencyKey,
        arrivedAt: exchange.arrivedAt,
    };
}

function readIdempotencyKey(request: IncomingMessage): { readonly value: string | undefined; } | "malformed" {
    const sent = request.headersDistinct["idempotency-key"];
    if (sent === undefined) {
        return { value: undefined };
    }
    return sent.length === 1 && idempotencyKeyPattern.test(sent[0]!) ? { value: sent[0] } : "malformed";
}

// the rest of the request is read and dropped for a moment, since a reset would lose the answer on its way
function closeAfterResponse(exchange: Exchange): void {
    const { request, response } = exchange;
    response.shouldKeepAlive = false;
    response.once("finish", () => {
        if (!request.complete) {
            request.resume();
            setTimeout(() => request.destroy(), closeDelayMilliseconds).unref();
        }
    });
}
