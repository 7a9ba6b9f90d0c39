/**
 * Handlers of client requests that go to backend servers: they validate a request, run it through the request service
 * and send the result as the HTTP response.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildNotRunReport, type OutcomeReason, type RequestOutcome } from "../requests/index.js";
import { type Milliseconds, millisecondsPerSecond, type RequestId } from "../shared/index.js";
import { type ClientKey, hasKeyInBody, hasKeyInTexts, readClientKey } from "./clientKey.js";
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

/** Handlers of the requests that are forwarded to backend servers. */
export interface CallHandlers {
    /** Serves an OpenAI-style completion request; resolves once the response has been handed to the socket. */
    readonly handleCompletion: (kind: CompletionKind, exchange: Exchange) => Promise<void>;
    /** Forwards a request below `/services/` to a plain service. */
    readonly handleService: (exchange: Exchange) => Promise<void>;
}

/** One HTTP request of a client with its response. */
export interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: RequestId;
    /** Monotonic time at which the request's headers were received. */
    readonly arrivedAt: Milliseconds;
    /** Aborted when the response closes: after it was sent, or before that if the client disconnects. */
    readonly signal: AbortSignal;
}

/** An exchange whose headers were valid and whose body has been read in full. */
interface ReceivedExchange extends Exchange {
    readonly key: ClientKey | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
}

const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;
const keyMisplacedMessage = "Send the API key only in the Authorization header; it was found elsewhere in the request.";
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);
// lets an error response reach a client that is still sending its request
const closeDelayMilliseconds = 500;

/**
 * Creates the handlers of requests to backend servers.
 *
 * @param options - the request service, the settings and the receiver of reports
 * @param limits - size and time limits of request bodies, and the time after which a stalled client is disconnected
 * @returns the handlers; they hold no state between requests
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
            const message = key.ok
                ? "Idempotency-Key must be sent once and have 1 to 255 visible ASCII characters."
                : key.error;
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
            refuseWithReason(exchange, "badRequest", target.ok ? `Method ${method} is not supported.` : target.error);
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
        ? {
            kind: "unknown",
            reason: "broken",
            message:
                "The response of the service was lost; the request may have run, so check that before sending it again.",
            retryAfter: undefined,
        }
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

// reads and discards the rest of the request for a short time: closing the socket with unread data would reset the
// connection, and the client could lose the response
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
