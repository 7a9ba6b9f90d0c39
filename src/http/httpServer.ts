/**
 * The HTTP server of an instance. It serves the endpoints for clients (`/v1/`, `/services/`) and for operators
 * (`/healthz`, `/readyz`, `/status`, `/metrics`).
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import restana from "restana";
import type { SettingsView } from "../config/index.js";
import { createLogger } from "../shared/index.js";
import { type CallHandlers, createCallHandlers, type Exchange } from "./callHandlers.js";
import { readClientKey } from "./clientKey.js";
import { sendConnectionError } from "./connectionErrors.js";
import { createRefusedOutcome, outcomeHeader, type UncompletedOutcome } from "./errorResponses.js";
import { type ListedModel, listModels } from "./modelList.js";
import { sendErrorResponse } from "./modelResponse.js";
import { type HttpServer, type HttpServerOptions, type ResolvedHttpLimits, resolveHttpLimits } from "./types.js";

const requestIdHeader = "x-request-id";
// limits the router's cache of resolved paths, since clients can send any number of different paths
const routerCacheSize = 64;
const connectionCheckIntervalMilliseconds = 1_000;
const stopPollMilliseconds = 50;
const internalErrorStatus = 500;
const unknownPathMessage = "No endpoint has this path and method; check the URL and the HTTP method.";
const debug = createLogger("http");

/**
 * Creates the HTTP server of an instance.
 *
 * @param options - address to listen on, and the services behind the endpoints
 * @returns the server; it listens once `start` is called
 */
export function createHttpServer(options: HttpServerOptions): HttpServer {
    const limits = resolveHttpLimits(options.limits);
    const server = createServer({
        maxHeaderSize: limits.headBytes,
        headersTimeout: limits.headTimeout,
        // readBody has its own timer for request bodies, and responses may take long
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
        // without this timer, a client that never reads a finished response would block a drain forever
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
            // an error response would be mixed into the response that is being sent
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
            // the message does not repeat the path, which may contain a misplaced API key
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
                createRefusedOutcome("unknownModel", "The model does not exist or the key has no access to it."),
            );
        }
    });
}

function listAccessibleModels(exchange: Exchange, settingsView: SettingsView): readonly ListedModel[] | undefined {
    const settings = settingsView.read();
    const key = readClientKey(exchange.request);
    if (!settings || !key.ok) {
        const outcome = key.ok
            ? createRefusedOutcome("notReady", "This instance has not received its settings yet; retry later.")
            : createRefusedOutcome("badRequest", key.error);
        sendErrorResponse(exchange.response, outcome);
        return undefined;
    }
    const granted = key.value && settings.keys.get(key.value.hash);
    if (key.value && !granted) {
        sendErrorResponse(
            exchange.response,
            createRefusedOutcome("wrongKey", "The API key is not known; check the Authorization header."),
        );
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
    // the handler may have failed after the request was dispatched, so it is unknown whether the request ran
    const outcome: UncompletedOutcome = {
        kind: "unknown",
        reason: "broken",
        message: "An internal error occurred while the instance served the request.",
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
