/**
 * Sends one attempt over the connections of a server and reports its events, until its answer has ended or is given up.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import { createStatusCheck, type Milliseconds } from "../shared/index.js";
import { recordTaskFailure, startTask } from "../supervision/index.js";
import { createAnswerDelivery } from "./answerDelivery.js";
import type {
    Attempt,
    AttemptFault,
    AttemptHandlers,
    AttemptRequest,
    ServerConnectionsOptions,
} from "./serverConnections.js";
import { isNoAnswer, type ServerSocket, type ServerSockets } from "./serverSockets.js";
import { formatServerRunId, type ServerResponseHead, type ServerRunId } from "./types.js";
import type { UnsentAttempts } from "./unsentAttempts.js";

/** Fault of an attempt whose server may receive nothing more. */
export const withdrawnFault: AttemptFault = { kind: "withdrawn", detail: "the server takes no more requests" };
/** Fault of an attempt of an instance that stops, or whose permit for a cold server is void. */
const lateFault: AttemptFault = { kind: "withdrawn", detail: "the attempt may not begin any more" };
const maximumDetailLength = 200;
/** Rest of an answer that is read though nobody wants it, and the time for that, if the request has as much left. */
const ignoredRest = { bytes: 65_536, milliseconds: 1_000 } as const;
/** Codes of the errors with which undici refuses a request that it can't write. */
const refusalCodes: ReadonlySet<string> = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);
/**
 * Times that a request waits for the events that wait: before it is dispatched, and once it has a connection. It is then
 * written, as a loop counts as late for longer than some requests may take.
 */
const maximumChecks = 2;

/** What attempts share. */
export interface AttemptConnections {
    /** Has later requests use another pool than this one. */
    readonly replacePool: (run: ServerRunId, pool: Pool) => void;
    readonly sockets: ServerSockets;
    readonly unsentAttempts: UnsentAttempts;
}

/**
 * Sends an attempt.
 *
 * @param pool - connections to its server
 * @param options - settings of the connections
 * @param connections - what attempts share
 * @param request - the attempt
 * @param handlers - callbacks
 * @returns the attempt in progress
 */
export function sendAttempt(
    pool: Pool,
    options: ServerConnectionsOptions,
    { replacePool, sockets, unsentAttempts }: AttemptConnections,
    request: AttemptRequest,
    handlers: AttemptHandlers,
): Attempt {
    const run = formatServerRunId(request.server);
    // whether undici is being handed the request
    let isDispatching = false;
    // whether undici has had a connection for the request
    let hasConnection = false;
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    // how often the events that waited have been handled for this request
    let checks = 0;
    // whether the request has been taken off a connection and is dispatched again
    let isPostponed = false;
    const checkStatus = createStatusCheck();
    // connection of the answer, from its head on
    let socket: ServerSocket | undefined;
    const finish = (notify: () => void): void => {
        unsentAttempts.remove(run, endUnsent);
        delivery.discard();
        if (!isOver) {
            isOver = true;
            notify();
        }
    };
    const rest = createIgnoredRest(() => isOver || abort());
    const endUnsent = (fault: AttemptFault): void => finish(() => handlers.onFault(fault));
    const abort = (): void => {
        isOver = true;
        unsentAttempts.remove(run, endUnsent);
        delivery.discard();
        controller?.abort(new Error("attempt aborted"));
    };
    // its server may have run the request; the connection is closed, as the rest of the answer can't be read
    const failInside = (error: unknown): void => {
        recordTaskFailure("answer of a server", error);
        const detail = `failed here: ${String(error).slice(0, maximumDetailLength)}`;
        finish(() => handlers.onFault({ kind: controller ? "broken" : "notSent", detail }));
        controller?.abort(new Error("answer failed here"));
    };
    const wrapHandler =
        <Values extends unknown[]>(handle: (...values: Values) => void) => (...values: Values): void => {
            try {
                handle(...values);
            }
            catch (error) {
                failInside(error);
            }
        };
    const delivery = createAnswerDelivery(
        chunk => isOver || handlers.onData(chunk),
        wrapHandler(() => delivery.flush()),
    );
    const handler: Dispatcher.DispatchHandler = {
        // undici calls this on a connected socket, immediately before it writes the first byte
        onRequestStart: started => {
            hasConnection = true;
            if (!isOver && !options.mayReceive(run)) {
                endUnsent(withdrawnFault);
            }
            if (!isOver && request.mayBegin?.() === false) {
                endUnsent(lateFault);
            }
            isPostponed = !isOver && checks < maximumChecks && options.loop.isLate();
            if (isOver || isPostponed) {
                // undici keeps the connection when this throws; it closes it when the request is aborted
                throw new Error("request not written");
            }
            controller = started;
            unsentAttempts.remove(run, endUnsent);
        },
        onResponseStart: wrapHandler((started, status, headers) => {
            const checked = checkStatus(status);
            if (checked.kind === "none") {
                const { detail } = checked;
                finish(() => handlers.onFault({ kind: "broken", detail, isNoAnswer: true }));
                started.abort(new Error(detail));
            }
            if (checked.kind !== "final") {
                return;
            }
            socket = sockets.findCurrent();
            socket?.markUseful();
            const head = options.headers.decodeResponseHead(status, convertHeaders(started.rawHeaders, headers));
            if (head.isLeaving) {
                options.onLeaving(request.server);
            }
            if (isOver) {
                return;
            }
            if (!isOwnResponse(head, request)) {
                const detail = `response of status ${head.status} carries attempt id ${head.attemptId ?? "none"}`;
                finish(() => handlers.onFault({ kind: "crossed", detail }));
                started.abort(new Error("response belongs to another request"));
                return;
            }
            delivery.begin(socket);
            handlers.onHead(head);
        }),
        onResponseData: wrapHandler((dispatch, chunk) => {
            socket?.countUseful(chunk.length);
            if (isOver) {
                return;
            }
            if (rest.isIgnored()) {
                rest.add(chunk.length);
            }
            else {
                delivery.push(chunk);
            }
        }),
        onResponseEnd: wrapHandler(() => {
            const isReset = socket?.wasReset() === true;
            socket?.markEnd();
            delivery.end(() =>
                finish(() =>
                    isReset
                        ? handlers.onFault({
                            kind: "broken",
                            detail: "connection reset before the end of the response",
                        })
                        : handlers.onEnd()
                )
            );
        }),
        onResponseError: wrapHandler((dispatch, error) => {
            if (isPostponed) {
                isPostponed = false;
                sendChecked();
                return;
            }
            const fault = describeError(error, { hasConnection, isWritten: controller !== undefined, socket });
            delivery.flush();
            finish(() => handlers.onFault(fault));
            if (fault.kind === "unsendable" || (isDispatching && !hasConnection)) {
                // the pool doesn't use the connection again that it chose for the request
                replacePool(run, pool);
            }
        }),
    };
    const send = (): void => {
        isDispatching = true;
        pool.dispatch(
            {
                path: request.target,
                method: request.method as Dispatcher.HttpMethod,
                headers: request.headers,
                body: request.body,
                idempotent: false,
            },
            handler,
        );
        isDispatching = false;
    };
    const sendChecked = (): void => {
        checks++;
        const checkAndSend = async (): Promise<void> => {
            await options.loop.handleWaiting();
            if (!isOver) {
                send();
            }
        };
        startTask("send after a check", checkAndSend, failInside);
    };
    unsentAttempts.add(run, endUnsent);
    if (options.loop.isLate()) {
        sendChecked();
    }
    else {
        send();
    }
    const drain = (timeLeft: Milliseconds): void => {
        if (!isOver && !rest.isIgnored()) {
            delivery.discard();
            rest.begin(timeLeft);
        }
    };
    return { abort, pause: delivery.pause, resume: delivery.resume, drain };
}

/** What comes of an answer that nobody wants any more. */
interface IgnoredRest {
    /** Whether nobody wants the answer. */
    readonly isIgnored: () => boolean;
    readonly begin: (timeLeft: Milliseconds) => void;
    readonly add: (bytes: number) => void;
}

function createIgnoredRest(end: () => void): IgnoredRest {
    let bytes: number | undefined;
    return {
        isIgnored: () => bytes !== undefined,
        begin: timeLeft => {
            bytes = 0;
            setTimeout(end, Math.min(ignoredRest.milliseconds, Math.max(0, timeLeft))).unref();
        },
        add: more => {
            bytes = (bytes ?? 0) + more;
            if (bytes > ignoredRest.bytes) {
                end();
            }
        },
    };
}

interface AttemptProgress {
    /** Whether undici has had a connection for the request. */
    readonly hasConnection: boolean;
    /** Whether bytes of the request may have been written. */
    readonly isWritten: boolean;
    /** Connection of the answer, from its head on. */
    readonly socket: ServerSocket | undefined;
}

function describeError(error: Error, { hasConnection, isWritten, socket }: AttemptProgress): AttemptFault {
    if (!hasConnection && isRefusal(error)) {
        return { kind: "unsendable", detail: error.message };
    }
    const detail = (error as NodeJS.ErrnoException).code ?? error.message;
    return isWritten
        ? { kind: "broken", detail, isNoAnswer: isNoAnswer(error, socket) }
        : { kind: "notSent", detail };
}

function isRefusal(error: Error): boolean {
    return refusalCodes.has((error as NodeJS.ErrnoException).code ?? "");
}

// a refusal is believed only when it names this request: it may be a second copy of an answer to an earlier one
function isOwnResponse(head: ServerResponseHead, request: AttemptRequest): boolean {
    return head.attemptId === request.attemptId || (head.attemptId === undefined && !head.isNotRun);
}

function convertHeaders(rawHeaders: unknown, headers: IncomingHttpHeaders): string[] {
    if (Array.isArray(rawHeaders)) {
        return rawHeaders.map(part => Buffer.isBuffer(part) ? part.toString("latin1") : String(part));
    }
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap(single => [name, single])
    );
}
