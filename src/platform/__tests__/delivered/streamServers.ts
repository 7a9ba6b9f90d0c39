/**
 * Behaviour of stand-in servers in plays with long streams: events at a steady pace, times without a byte in which a server
 * accepts and writes nothing, and the calls of an engine. Each run of a request is recorded.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { WireRun } from "./wireServers.js";

/** Headers with which a client of a play says what its request takes. */
export const workHeaders = {
    /** Name of the stream or request, the same for all its attempts. */
    name: "x-name",
    /** Events of a stream; a plain request has none. */
    events: "x-events",
    /** Time of a plain request, in milliseconds. */
    work: "x-work",
    /** Bytes that fill up each event. */
    padding: "x-padding",
} as const;

/** Time between two events of a stream, in milliseconds. */
export const eventIntervalMilliseconds = 100;

/** A request that a server has begun to run. */
export interface RecordedRun {
    readonly attemptId: string;
    readonly server: string;
    readonly beganAt: number;
    /** When the server had written its whole answer, or its connection was closed; `undefined` while it works. */
    endedAt: number | undefined;
    isWhole: boolean;
}

/** Behaviour and records of all servers of a play. */
export interface StreamServers {
    /** Runs of all servers, oldest first. */
    readonly runs: readonly RecordedRun[];
    /** Returns the behaviour of a server. */
    readonly createResponder: (server: string, adapters: readonly string[]) => (run: WireRun) => boolean;
    /** Has a server accept and write nothing for a time, in milliseconds. */
    readonly silence: (server: string, duration: number) => void;
    readonly isSilent: (server: string) => boolean;
}

/** Base model of all engines of a play. */
export const playModel = "base";

/**
 * Creates the behaviour of servers, none of which is silent.
 *
 * @returns behaviour and records
 */
export function createStreamServers(): StreamServers {
    const runs: RecordedRun[] = [];
    const silentUntil = new Map<string, number>();
    const isSilent = (server: string): boolean => (silentUntil.get(server) ?? 0) > performance.now();
    const waitForVoice = (server: string, act: () => void): void => {
        const rest = (silentUntil.get(server) ?? 0) - performance.now();
        if (rest > 0) {
            setTimeout(() => waitForVoice(server, act), rest);
        }
        else {
            act();
        }
    };
    return {
        runs,
        isSilent,
        silence: (server, duration) => void silentUntil.set(server, performance.now() + duration),
        createResponder: (server, adapters) => {
            const engine = createEngine(server, adapters);
            return wireRun =>
                engine.respond(wireRun) || respond(wireRun, {
                    server,
                    runs,
                    isSilent: () => isSilent(server),
                    waitForVoice: act => waitForVoice(server, act),
                });
        },
    };
}

interface ServerVoice {
    readonly server: string;
    readonly runs: RecordedRun[];
    readonly isSilent: () => boolean;
    readonly waitForVoice: (act: () => void) => void;
}

function respond(wireRun: WireRun, voice: ServerVoice): boolean {
    const { attemptId, request, response } = wireRun;
    voice.waitForVoice(() => {
        if (response.destroyed) {
            return;
        }
        const run: RecordedRun = {
            attemptId,
            server: voice.server,
            beganAt: performance.now(),
            endedAt: undefined,
            isWhole: false,
        };
        voice.runs.push(run);
        response.once("close", () => run.endedAt ??= performance.now());
        if (request.headers[workHeaders.events] === undefined) {
            respondPlainly(wireRun, run, voice);
        }
        else {
            writeEvents(wireRun, run, voice);
        }
    });
    return true;
}

function createHeaders({ attemptId, ownHeaders }: WireRun): Readonly<Record<string, string>> {
    return { ...ownHeaders, "X-Oriolehatch-Response-Signature": `sig.${attemptId}` };
}

function respondPlainly(wireRun: WireRun, run: RecordedRun, voice: ServerVoice): void {
    const { request, response } = wireRun;
    const timer = setTimeout(() =>
        voice.waitForVoice(() => {
            if (!response.destroyed) {
                response.writeHead(200, { ...createHeaders(wireRun), "Content-Length": "2" });
                endRun(response, run, "ok");
            }
        }), Number(request.headers[workHeaders.work]));
    response.once("close", () => clearTimeout(timer));
}

// goes on after the event that the request names
function writeEvents(wireRun: WireRun, run: RecordedRun, voice: ServerVoice): void {
    const { attemptId, request, response } = wireRun;
    const count = Number(request.headers[workHeaders.events]);
    const name = readHeader(request, workHeaders.name);
    const padding = "p".repeat(Number(request.headers[workHeaders.padding] ?? 0));
    response.writeHead(200, { ...createHeaders(wireRun), "Content-Type": "text/event-stream" });
    let id = Number(request.headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
        // the connection's end is handled late by a server that is held up
        if (voice.isSilent() || response.destroyed) {
            return;
        }
        if (id < count) {
            id++;
            response.write(`id: ${id}\ndata: ${name} ${attemptId} ${padding}\n\n`);
        }
        if (id >= count) {
            clearInterval(timer);
            endRun(response, run);
        }
    }, eventIntervalMilliseconds);
    response.once("close", () => clearInterval(timer));
}

function endRun(response: ServerResponse, run: RecordedRun, text?: string): void {
    run.endedAt = performance.now();
    run.isWhole = true;
    response.end(text);
}

function readHeader(request: IncomingMessage, name: string): string {
    return String(request.headers[name] ?? "");
}

// has all its adapters from the beginning, and accepts each order at once
function createEngine(server: string, names: readonly string[]): { readonly respond: (run: WireRun) => boolean; } {
    const versions = new Map(names.map(name => [name, 1]));
    let sequence = 0;
    const listAdapters = (): readonly string[] => [...versions].map(([name, version]) => `${name}@${version}`);
    const accept = (body: Buffer): number => {
        const order = JSON.parse(body.toString()) as {
            readonly operation: string;
            readonly adapter?: string;
            readonly version?: number;
            readonly precondition?: number;
        };
        if (order.precondition !== undefined && order.precondition !== sequence) {
            return 409;
        }
        sequence++;
        if (order.adapter !== undefined && order.operation === "load") {
            versions.set(order.adapter, order.version ?? 1);
        }
        if (order.adapter !== undefined && order.operation === "unload") {
            versions.delete(order.adapter);
        }
        return 200;
    };
    return {
        respond: ({ request, response, body, ownHeaders }) => {
            if (request.url === "/report") {
                const models = [{ name: playModel, version: 1, adapters: listAdapters() }];
                sendJson(response, 200, ownHeaders, { stage: "combined", models, busy: false, sequence, server });
                return true;
            }
            if (request.url === "/order") {
                sendJson(response, accept(body), ownHeaders, {});
                return true;
            }
            return false;
        },
    };
}

function sendJson(
    response: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    body: unknown,
): void {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        ...headers,
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
}
