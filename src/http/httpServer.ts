/**
 * The front door: callers, operators and metrics over HTTP.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import restana from "restana";
import type { SettingsView } from "../config/index.js";
import { createLogger } from "../shared/index.js";
import { readClientKey } from "./callerKey.js";
import { type CallHandlers, createCallHandlers, type Exchange } from "./callHandlers.js";
import { sendConnectionError } from "./connectionErrors.js";
import { createRefusedOutcome, outcomeHeader, type UncompletedOutcome } from "./errorResponses.js";
import { type ListedModel, listModels } from "./modelList.js";
import { sendErrorResponse } from "./modelResponse.js";
import { type HttpServer, type HttpServerOptions, type ResolvedHttpLimits, resolveHttpLimits } from "./types.js";

const requestIdHeader = "x-request-id";
// paths of callers are unbounded, so that the router must remember only a few
const routerCacheSize = 64;
const connectionCheckIntervalMilliseconds = 1_000;
const stopPollMilliseconds = 50;
const internalErrorStatus = 500;
const unknownPathMessage = "There is no such path, or not by this method.";
const debug = createLogger("http");

/**
 * Creates the front door.
 *
 * @param options - where to listen, and what to serve
 * @returns the server, not yet listening
 */
export function createHttpServer(options: HttpServerOptions): HttpServer {
    const limits = resolveHttpLimits(options.limits);
    const server = createServer({
        maxHeaderSize: limits.headBytes,
        headersTimeout: limits.headTimeout,
        // bodies have a timer of their own, and answers may take long
        requestTimeout: 0,
        keepAliveTimeout: limits.keepAlive,
        connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
        noDelay: true,
    });
    server.maxConnections = limits.connections;
    const openResponses = new Set<ServerResponse>();
    const exchangeBySocket = new WeakMap<Socket, Exchange>();
    let isDraining = false;

    const openExchange = (request: IncomingMessage, response: ServerResponse): Exchange => {
        const requestId = (options.createRequestId ?? randomUUID)();
        const controller = new AbortController();
        openResponses.add(response);
        options.metrics.setOpenRequests(openResponses.size);
        // an answer that was ended and is never taken would hold up a drain for ever
        let stallTimer: NodeJS.Timeout | undefined;
        response.once("prefinish", () => {
            stallTimer = setTimeout(() => response.destroy(), limits.stallTimeout);
        });
        response.once("close", () => {
            clearTimeout(stallTimer);
            openResponses.delete(response);
            options.metrics.setOpenRequests(openResponses.size);
            controller.abort();
        });
        response.setHeader(requestIdHeader, requestId);
        if (isDraining) {
            response.shouldKeepAlive = false;
        }
        const arrivedAt = options.clock.now();
        const exchange: Exchange = { request, response, requestId, arrivedAt, signal: controller.signal };
        exchangeBySocket.set(request.socket, exchange);
        return exchange;
    };
    registerRoutes(server, options, limits, openExchange, () => isDraining);
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        options.metrics.recordConnectionError(error.code ?? "unknown");
        const exchange = exchangeBySocket.get(socket);
        const hasOpenResponse = exchange !== undefined && openResponses.has(exchange.response);
        if (hasOpenResponse && (exchange.request.complete || exchange.response.headersSent)) {
            // a second answer would be mixed into the one under way
            socket.destroy();
            return;
        }
        sendConnectionError(socket, error.code);
    });
    return {
        start: () => startListening(server, options.address),
        beginDrain: () => {
            isDraining = true;
        },
        stop: async () => {
            isDraining = true;
            const closed = new Promise<void>(resolve => server.close(() => resolve()));
            do {
                await options.clock.sleep(stopPollMilliseconds);
            }
            while (openResponses.size > 0);
            server.closeAllConnections();
            await closed;
        },
    };
}

function registerRoutes(
    server: Server,
    options: HttpServerOptions,
    limits: ResolvedHttpLimits,
    openExchange: (request: IncomingMessage, response: ServerResponse) => Exchange,
    isDraining: () => boolean,
): void {
    const handlers = createCallHandlers(options, limits);
    const router = restana({
        server,
        prioRequestsProcessing: false,
        routerCacheSize,
        defaultRoute: (request, response) => {
            // the path is not repeated: it may hold a key that a caller has put into the wrong place
            sendErrorResponse(
                openExchange(request, response).response,
                createRefusedOutcome("unknownRoute", unknownPathMessage),
            );
        },
        errorHandler: (error, request, response) => sendInternalError(error, response),
    });
    registerClientRoutes(router, handlers, options.settings, openExchange);
    router.get("/healthz", (request, response) => response.send({ status: "ok" }));
    router.get("/readyz", (request, response) => {
        const status = options.readStatus();
        const ready = status.ready && !isDraining();
        response.send({ ready, reasons: isDraining() ? ["draining"] : status.reasons }, ready ? 200 : 503);
    });
    router.get("/status", (request, response) => response.send({ ...options.readStatus(), draining: isDraining() }));
    router.get("/metrics", async (request, response) => {
        const text = await options.metrics.readText();
        response.send(text, 200, { "content-type": options.metrics.contentType });
    });
}

function registerClientRoutes(
    router: restana.Service<restana.Protocol.HTTP>,
    handlers: CallHandlers,
    settings: SettingsView,
    openExchange: (request: IncomingMessage, response: ServerResponse) => Exchange,
): void {
    router.post(
        "/v1/chat/completions",
        (request, response) => handlers.handleCompletion("chat", openExchange(request, response)),
    );
    router.post(
        "/v1/completions",
        (request, response) => handlers.handleCompletion("text", openExchange(request, response)),
    );
    router.all("/services/*", (request, response) => handlers.handleService(openExchange(request, response)));
    router.get("/v1/models", (request, response) => {
        const models = listAccessibleModels(openExchange(request, response), settings);
        if (models) {
            response.send({ object: "list", data: models }, 200, { [outcomeHeader]: "completed" });
        }
    });
    router.get("/v1/models/:model", (request, response) => {
        const models = listAccessibleModels(openExchange(request, response), settings);
        const wanted = models?.find(model => model.id === request.params["model"]);
        if (wanted) {
            response.send(wanted, 200, { [outcomeHeader]: "completed" });
        }
        else if (models) {
            sendErrorResponse(
                response,
                createRefusedOutcome("unknownModel", "There is no such model, or the key has no access."),
            );
        }
    });
}

function listAccessibleModels(exchange: Exchange, settingsView: SettingsView): readonly ListedModel[] | undefined {
    const settings = settingsView.read();
    const key = readClientKey(exchange.request);
    if (!settings || !key.ok) {
        const outcome = key.ok
            ? createRefusedOutcome("notReady", "This instance has no settings yet.")
            : createRefusedOutcome("badRequest", key.error);
        sendErrorResponse(exchange.response, outcome);
        return undefined;
    }
    const granted = key.value && settings.keys.get(key.value.hash);
    if (key.value && !granted) {
        sendErrorResponse(exchange.response, createRefusedOutcome("wrongKey", "The key is not granted."));
        return undefined;
    }
    return listModels(settings, granted?.account);
}

function sendInternalError(error: Error, response: ServerResponse): void {
    debug.error("a handler failed", { error: error.stack ?? String(error) });
    if (response.headersSent) {
        response.destroy();
        return;
    }
    // the handler may have failed after the request was dispatched, so that nothing can be said of its run
    const outcome: UncompletedOutcome = {
        kind: "unknown",
        reason: "broken",
        message: "The instance failed while it served the request.",
        retryAfter: undefined,
    };
    sendErrorResponse(response, outcome, internalErrorStatus);
}

function startListening(server: Server, address: string): Promise<string> {
    const separator = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), () => {
            server.off("error", reject);
            const bound = server.address() as AddressInfo;
            resolve(`${bound.address}:${bound.port}`);
        });
    });
}
