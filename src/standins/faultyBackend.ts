/**
 * Backend server that writes HTTP directly to sockets, so that a test can make it fail at any byte of a response. It
 * acts as an engine below `/v1/` and as a plain service elsewhere, and records which requests it ran.
 *
 * @packageDocumentation
 */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { jsonNull, resetSocket } from "../shared/index.js";

/** How the backend handles one request. */
export type BackendBehavior =
    /** Sends a complete answer. */
    | { readonly kind: "answer"; }
    /** Refuses the request with an error of the backend protocol, without running it. */
    | { readonly kind: "refuse"; readonly status: number; readonly type: string; }
    /** Reads the request and resets the connection; `runs` tells whether the request is run before. */
    | { readonly kind: "resetUnanswered"; readonly runs: boolean; }
    /** Sends the response head and `tokens` tokens, then resets the connection. */
    | { readonly kind: "resetMidway"; readonly tokens: number; }
    /** Closes the connection after `tokens` tokens, before the answer is complete. */
    | { readonly kind: "halfAnswer"; readonly tokens: number; }
    /** Runs the request and never responds. */
    | { readonly kind: "hang"; }
    /** Sends the response head and `tokens` tokens, then nothing more; the connection stays open. */
    | { readonly kind: "stall"; readonly tokens: number; }
    /** Sends a complete answer in pieces, with a delay between them. */
    | { readonly kind: "slow"; readonly pieceDelayMilliseconds: number; }
    /** Sends a complete answer with the id of a different request. */
    | { readonly kind: "wrongId"; }
    /** Sends a complete answer that names a different version of the adapter. */
    | { readonly kind: "wrongVersion"; }
    /** Sends a complete answer followed by a late answer to an earlier request, on the same connection. */
    | { readonly kind: "leftover"; }
    /** Swaps the answers of two requests: the first waits until the second request with this behavior arrives. */
    | { readonly kind: "crossed"; }
    /** Sends the given bytes in place of a response. */
    | { readonly kind: "raw"; readonly bytes: string; };

/** The backend's record of one request. */
export interface BackendRun {
    readonly requestId: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** Whether the backend started to run the request. */
    ran: boolean;
    /** Whether the connection closed before the backend had finished its answer. */
    cancelled: boolean;
}

/** A backend server with planned failures. */
export interface FaultyBackend {
    readonly address: string;
    readonly incarnation: () => string;
    /** Appends behaviors to the plan. Each request takes the next one; without any left, it gets a complete answer. */
    readonly planBehaviors: (...behaviors: readonly BackendBehavior[]) => void;
    readonly runs: readonly BackendRun[];
    /** Adds a listener that is called once a request has been read and its behavior has been applied. */
    readonly onRequest: (listener: (run: BackendRun) => void) => void;
    /** Resets every connection and begins a new incarnation; the address stays the same. */
    readonly restart: () => void;
    /** Number of connections accepted since the start, including closed ones. */
    readonly connections: () => number;
    readonly stop: () => Promise<void>;
}

interface ParsedRequest {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly length: number;
}

/** Tokens of a complete answer. */
export const completeAnswerTokens: readonly string[] = ["one ", "two ", "three ", "four"];

/**
 * Starts a backend server on a free loopback port.
 *
 * @returns the backend, listening
 */
export async function startFaultyBackend(): Promise<FaultyBackend> {
    const planned: BackendBehavior[] = [];
    const runs: BackendRun[] = [];
    const sockets = new Set<Socket>();
    const listeners = new Set<(run: BackendRun) => void>();
    const held: (() => void)[] = [];
    let restarts = 0;
    let connections = 0;
    const readIncarnation = (): string => `run-${restarts}`;

    const acceptRequest = (socket: Socket, unfinished: Set<BackendRun>, parsed: ParsedRequest): void => {
        const requestId = parsed.headers["x-request-id"] ?? "";
        const run: BackendRun = { requestId, headers: parsed.headers, body: parsed.body, ran: false, cancelled: false };
        runs.push(run);
        const behavior = planned.shift() ?? { kind: "answer" };
        const answer = parsed.path.startsWith("/v1/")
            ? buildEngineAnswer(parsed, requestId, readIncarnation())
            : buildServiceAnswer(requestId);
        unfinished.add(run);
        serveRequest({ socket, run, answer, held, finish: () => unfinished.delete(run) }, behavior);
        listeners.forEach(notify => notify(run));
    };
    const server = createServer(socket => {
        connections++;
        sockets.add(socket);
        const unfinished = new Set<BackendRun>();
        let received = "";
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            unfinished.forEach(run => run.cancelled = true);
        });
        socket.on("data", data => {
            received += data.toString("latin1");
            for (let parsed = parseRequest(received); parsed; parsed = parseRequest(received)) {
                received = received.slice(parsed.length);
                acceptRequest(socket, unfinished, parsed);
            }
        });
    });
    const resetSockets = (): void => sockets.forEach(socket => resetSocket(socket));
    const port = await startListening(server);
    return {
        address: `127.0.0.1:${port}`,
        incarnation: readIncarnation,
        planBehaviors: (...behaviors) => void planned.push(...behaviors),
        runs,
        onRequest: listener => void listeners.add(listener),
        restart: () => {
            restarts++;
            resetSockets();
        },
        connections: () => connections,
        stop: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                resetSockets();
            }),
    };
}

interface ServedRequest {
    readonly socket: Socket;
    readonly run: BackendRun;
    readonly answer: CompleteAnswer;
    /** Marks the answer as finished, so that a closed connection no longer counts as a cancellation. */
    readonly finish: () => void;
    /** Callbacks that answer the requests that wait for a second request to swap answers with. */
    readonly held: (() => void)[];
}

interface CompleteAnswer {
    /** Whether the body itself marks the end of the answer, as `[DONE]` does in an event stream. */
    readonly hasEndMark: boolean;
    readonly pieces: readonly string[];
    /** Builds the pieces of the answer again with a different request id or adapter version. */
    readonly build: (change: { readonly requestId?: string; readonly version?: string; }) => readonly string[];
}

function serveRequest(served: ServedRequest, behavior: BackendBehavior): void {
    const { socket, run, answer, finish } = served;
    const send = (pieces: readonly string[]): void => pieces.forEach(piece => void socket.write(piece));
    const reset = (): void => void setImmediate(() => resetSocket(socket));
    const { pieces } = answer;
    run.ran = behavior.kind !== "refuse" && (behavior.kind !== "resetUnanswered" || behavior.runs);
    switch (behavior.kind) {
        case "answer":
            finish();
            return send(pieces);
        case "refuse":
            finish();
            return send([buildRefusal(run.requestId, behavior)]);
        case "resetUnanswered":
            return reset();
        case "resetMidway":
            // the delay lets the tokens arrive before the reset, which would discard them otherwise
            socket.write(
                pieces.slice(0, 1 + behavior.tokens).join(""),
                () => void setTimeout(reset, resetDelayMilliseconds),
            );
            return;
        case "halfAnswer":
            // an engine's answer is incomplete without its end frames, even if its chunked encoding ends correctly; a
            // service's answer is incomplete only without the last chunk
            socket.end(`${pieces.slice(0, 1 + behavior.tokens).join("")}${answer.hasEndMark ? lastChunk : ""}`);
            return;
        case "hang":
            return;
        case "stall":
            return send(pieces.slice(0, 1 + behavior.tokens));
        case "slow":
            finish();
            pieces.forEach((piece, index) =>
                setTimeout(() => socket.write(piece), index * behavior.pieceDelayMilliseconds)
            );
            return;
        case "wrongId":
            finish();
            return send(answer.build({ requestId: "another-request" }));
        case "wrongVersion":
            finish();
            return send(answer.build({ version: "another-version" }));
        case "leftover":
            finish();
            return send([[...pieces, ...answer.build({ requestId: "an-earlier-request" })].join("")]);
        case "crossed":
            return sendSwappedAnswers(served);
        case "raw":
            finish();
            return send([behavior.bytes]);
    }
}

function sendSwappedAnswers(served: ServedRequest): void {
    const { socket, answer, held, run, finish } = served;
    const writeFor = (requestId: string): void => {
        finish();
        answer.build({ requestId }).forEach(piece => void socket.write(piece));
    };
    const writeOther = held.shift();
    if (!writeOther) {
        held.push(() => writeFor("the-later-one"));
        return;
    }
    writeOther();
    writeFor(`not-${run.requestId}`);
}

const resetDelayMilliseconds = 10;
const headEnd = "\r\n\r\n";
const lastChunk = "0\r\n\r\n";

function buildEngineAnswer(parsed: ParsedRequest, requestId: string, incarnation: string): CompleteAnswer {
    const body = JSON.parse(parsed.body) as { readonly model: string; readonly resume_after_tokens: number; };
    const build: CompleteAnswer["build"] = change => {
        const id = change.requestId ?? requestId;
        const model = change.version === undefined ? body.model : body.model.replace(/@.*/u, `@${change.version}`);
        const tokens = completeAnswerTokens.slice(body.resume_after_tokens);
        const buildChunk = (text: string, finish: string | undefined): string =>
            formatFrame({ id, model, choices: [{ index: 0, text, finish_reason: finish ?? jsonNull }] });
        const usage = { prompt_tokens: 3, completion_tokens: completeAnswerTokens.length };
        return [
            buildHead(200, {
                "content-type": "text/event-stream",
                "x-request-id": id,
                "x-engine-incarnation": incarnation,
            }),
            ...tokens.map(text => buildChunk(text, undefined)),
            buildChunk("", "stop"),
            formatFrame({ id, choices: [], usage }),
            `${formatChunk("data: [DONE]\n\n")}${lastChunk}`,
        ];
    };
    return { hasEndMark: true, pieces: build({}), build };
}

function buildServiceAnswer(requestId: string): CompleteAnswer {
    const build: CompleteAnswer["build"] = change => [
        buildHead(201, { "content-type": "text/plain", "x-request-id": change.requestId ?? requestId }),
        ...completeAnswerTokens.map(formatChunk),
        lastChunk,
    ];
    return { hasEndMark: false, pieces: build({}), build };
}

function buildRefusal(requestId: string, refusal: { readonly status: number; readonly type: string; }): string {
    const body = JSON.stringify({ error: { type: refusal.type, message: "refused before starting" } });
    const head = `HTTP/1.1 ${refusal.status} X\r\nx-request-id: ${requestId}\r\n`;
    return `${head}content-length: ${body.length}${headEnd}${body}`;
}

function buildHead(status: number, headers: Readonly<Record<string, string>>): string {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return [`HTTP/1.1 ${status} X`, ...lines, "transfer-encoding: chunked"].join("\r\n") + headEnd;
}

function formatFrame(value: unknown): string {
    return formatChunk(`data: ${JSON.stringify(value)}\n\n`);
}

function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function parseRequest(received: string): ParsedRequest | undefined {
    const end = received.indexOf(headEnd);
    if (end < 0) {
        return undefined;
    }
    const [requestLine, ...lines] = received.slice(0, end).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const length = end + headEnd.length + Number(headers["content-length"] ?? 0);
    if (received.length < length) {
        return undefined;
    }
    const body = received.slice(end + headEnd.length, length);
    return { path: requestLine!.split(" ")[1] ?? "/", headers, body, length };
}

function startListening(server: Server): Promise<number> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
}
