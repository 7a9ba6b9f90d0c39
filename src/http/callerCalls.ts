/**
 * Turns requests of callers into calls of the request service, and their ends into answers.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildNotRunReport, type OutcomeReason, type RequestOutcome } from "../requests/index.js";
import { type Milliseconds, millisecondsPerSecond, type RequestId } from "../shared/index.js";
import { outcomeHeader, refuseCall, requestTimeoutStatus, type UncompletedOutcome } from "./callerErrors.js";
import { type CallerKey, hasKeyInBody, hasKeyInTexts, readCallerKey } from "./callerKey.js";
import { sendErrorAnswer, sendWholeAnswer, streamAnswer } from "./modelAnswer.js";
import { type CompletionKind, listPromptTexts, parseModelRequest } from "./modelRequest.js";
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

interface AdmittedExchange extends Exchange {
    readonly key: CallerKey | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
}

const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;
const keyMisplacedMessage = "A key belongs only into the Authorization header; it was found elsewhere in the request.";
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
// time for an error to reach a caller that is still sending
const lingerMilliseconds = 500;

/**
 * Creates the handlers.
 *
 * @param options - the request service and the tree in force
 * @param limits - limits of bodies
 * @returns the handlers
 */
export function createCallHandlers(options: HttpServerOptions, limits: ResolvedHttpLimits): CallHandlers {
    const refuse = (exchange: Exchange, outcome: UncompletedOutcome, status?: number, parameter?: string): void => {
        const { requestId, arrivedAt } = exchange;
        const total = options.clock.now() - arrivedAt;
        options.onReport(buildNotRunReport({ requestId, route: undefined, outcome, total }));
        sendErrorAnswer(exchange.response, outcome, status, parameter);
    };
    const refuseFor = (exchange: Exchange, reason: OutcomeReason, message: string, parameter?: string): void =>
        refuse(exchange, refuseCall(reason, message), undefined, parameter);

    const acceptExchange = async (exchange: Exchange): Promise<AdmittedExchange | undefined> => {
        const key = readCallerKey(exchange.request);
        const idempotencyKey = readIdempotencyKey(exchange.request);
        if (!key.ok || idempotencyKey === "malformed") {
            closeAfterAnswer(exchange);
            const message = key.ok ? "Idempotency-Key must be 1 to 255 visible characters, sent once." : key.error;
            refuseFor(exchange, "badRequest", message);
            return undefined;
        }
        const body = await readBody(exchange.request, limits);
        if (body.ok) {
            return { ...exchange, key: key.value, idempotencyKey: idempotencyKey?.value, body: body.value };
        }
        closeAfterAnswer(exchange);
        switch (body.error) {
            case "tooLarge":
                refuseFor(exchange, "tooLarge", `The body is larger than ${limits.bodyBytes} bytes.`);
                break;
            case "tooSlow":
                refuse(exchange, refuseCall("badRequest", "The body did not arrive in time."), requestTimeoutStatus);
                break;
            case "callerGone":
                exchange.response.destroy();
                break;
        }
        return undefined;
    };

    const handleCompletion = async (kind: CompletionKind, exchange: Exchange): Promise<void> => {
        const admitted = await acceptExchange(exchange);
        if (!admitted) {
            return;
        }
        const parsed = parseModelRequest(kind, admitted.body);
        if (!parsed.ok) {
            refuseFor(exchange, "badRequest", parsed.error.message, parsed.error.parameter);
            return;
        }
        const request = parsed.value;
        const texts = [request.model, ...listPromptTexts(request.prompt), ...request.stop ?? []];
        if (hasKeyInTexts(texts, admitted.key, undefined)) {
            refuseFor(exchange, "badRequest", keyMisplacedMessage);
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
        const send = request.stream ? streamAnswer : sendWholeAnswer;
        await send(events, exchange.response, {
            kind,
            requestId: exchange.requestId,
            request,
            stallTimeout: limits.stallTimeout,
            createdAt: Math.floor(Date.now() / millisecondsPerSecond),
            sendError: outcome => sendErrorAnswer(exchange.response, outcome),
        });
    };

    const handleService = async (exchange: Exchange): Promise<void> => {
        const { request, response } = exchange;
        const target = parseServiceTarget(request.url ?? "");
        const method = request.method ?? "";
        if (!target.ok || !serviceMethods.has(method)) {
            closeAfterAnswer(exchange);
            refuseFor(exchange, "badRequest", target.ok ? `Method ${method} is not passed on.` : target.error);
            return;
        }
        const admitted = await acceptExchange(exchange);
        if (!admitted) {
            return;
        }
        const headers = filterRequestHeaders(request.headers);
        const texts = [target.value.path, ...Object.values(headers), admitted.idempotencyKey ?? ""];
        const isKeyMisplaced = hasKeyInTexts(texts, admitted.key, options.settings.read())
            || hasKeyInBody(admitted.body, admitted.key);
        if (isKeyMisplaced) {
            refuseFor(exchange, "badRequest", keyMisplacedMessage);
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
        sendServiceAnswer(response, result.outcome, result.response);
    };
    return { handleCompletion, handleService };
}

type ServiceAnswer = Parameters<typeof filterResponseHeaders>[0];

function sendServiceAnswer(
    response: ServerResponse,
    outcome: RequestOutcome,
    answer: { readonly status: number; readonly headers: ServiceAnswer; readonly body: Uint8Array; } | undefined,
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
    sendErrorAnswer(response, failure);
}

function hasBody(response: ServerResponse, status: number): boolean {
    return response.req.method !== "HEAD" && !bodilessStatuses.has(status);
}

function buildCallBase(exchange: AdmittedExchange): {
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
function closeAfterAnswer(exchange: Exchange): void {
    const { request, response } = exchange;
    response.shouldKeepAlive = false;
    response.once("finish", () => {
        if (!request.complete) {
            request.resume();
            setTimeout(() => request.destroy(), lingerMilliseconds).unref();
        }
    });
}
