/**
 * A few whole instances on local ports, with a store in memory and servers that can end under a request or name a limit.
 */
import {
    createServer,
    type IncomingMessage,
    request as sendHttpRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, createServer as createNetServer, type Socket } from "node:net";
import type { EngineControl, ShardGroup } from "../../adapters/types.js";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { createServingInstance } from "../servingInstance.js";
import type { BackendServer, HeaderCodec, KeyedLog, KeyedRecord, KeyedTopic, ServingConfig } from "../types.js";

/** Requests that a client of the fleet sends. */
export interface TestRequest {
    readonly id: string;
    /** Parts of the prompt; the last one is the request's own. */
    readonly parts: readonly string[];
    readonly key: string;
    /** @default "/x", a stream that can be resumed; paths that begin with "/lookup/" are idempotent requests */
    readonly path?: string;
    /** @default "body" */
    readonly body?: string;
    /** Last event that the client has of an earlier stream. */
    readonly lastEventId?: number;
    /** Attempt that brought the first event of that stream. */
    readonly resumes?: string;
    /** Number of events after which the client closes its connection. */
    readonly leaveAfter?: number;
}

/** An event that a client got. */
export interface TestEvent {
    readonly id: number;
    /** Software version of the server that wrote it. */
    readonly version: string;
}

/** What a client got. */
export interface TestAnswer {
    /** `undefined` when the connection was closed without an answer. */
    readonly status: number | undefined;
    readonly isComplete: boolean;
    readonly retryAfter: string | undefined;
    readonly events: readonly TestEvent[];
    readonly took: number;
}

/** An arrival at a server. */
export interface TestArrival {
    readonly at: number;
    readonly server: string;
    /** Id of the request. */
    readonly id: string;
    readonly parts: readonly string[];
    readonly body: string;
}

/** Behaviour of the servers. */
export interface TestFleetOptions {
    readonly instances: number;
    readonly servers: number;
    /** A server that begins to answer a request with this part ends. */
    readonly crashingPart?: string;
    /** A server that begins to run a request of the first account with this body ends. */
    readonly crashingBody?: string;
    /** Time until a server that ended is back as a new run. */
    readonly restartDelay?: number;
    readonly answerDuration: number;
    /** Events of a stream, the first at once, the others over the duration of the answer. @default 2 */
    readonly eventCount?: number;
    /** Software version that a server, counted from 0, states in its entry. @default "v1" for all */
    readonly readVersion?: (server: number) => string | number;
    /** Limit in requests a second that the first server names, once it is set. */
    readonly readLimit?: () => string | undefined;
    /** Seconds for which a server, counted from 0, wants no more requests; it turns requests away meanwhile. */
    readonly readShedding?: (server: number) => number | undefined;
    /** Whether a server, counted from 0, says in its responses that it leaves. */
    readonly isLeaving?: (server: number) => boolean;
}

/** How an instance is cut off from the servers. */
export type TestCut = "none" | "refused" | "frozen" | "newRefused";

/** A server of the fleet, whatever its present run. */
export interface TestServer {
    /** Writes the entry of the present run to the store again, as servers do regularly. */
    readonly writeEntry: () => void;
    /** Deletes the entry of the present run, which goes on serving. */
    readonly deleteEntry: () => void;
    /** Ends the present run; the next one starts after the restart delay. */
    readonly restart: () => void;
    /** Resets all connections without ending the run. */
    readonly resetConnections: () => void;
}

/** A running fleet. */
export interface TestFleet {
    /** Sends a request to an instance, counted from 0. */
    readonly send: (instance: number, request: TestRequest) => Promise<TestAnswer>;
    readonly arrivals: readonly TestArrival[];
    /** Times at which servers ended. */
    readonly crashes: readonly number[];
    readonly servers: readonly TestServer[];
    /**
     * Cuts an instance off from all servers, or ends that: `refused` resets its connections to them, `frozen` lets them hang,
     * and `newRefused` lets them live on; new ones are refused in all of these.
     */
    readonly setCut: (instance: number, cut: TestCut) => Promise<void>;
    /** Stops an instance for good; resolves when all its connections are closed. */
    readonly stopInstance: (instance: number) => Promise<void>;
    /** Gives each shard another holder. */
    readonly moveShards: () => void;
    readonly stop: () => Promise<void>;
}

const service = "llm";
const firstAccount = "acme";
const createRoute = (name: string, pathPrefix: string) => ({
    name,
    host: "a.example",
    pathPrefix,
    targets: [{ service, weight: 1 }],
    timeout: 4_000,
    targetLatency: 600,
    attemptLimit: 3,
    priority: 0,
    isPublic: false,
});
const config: ServingConfig = {
    version: 1,
    routes: [
        { ...createRoute("draft", "/"), kind: "stream", targetEventGap: 300, canResume: true },
        { ...createRoute("lookup", "/lookup/"), kind: "idempotent", targetEventGap: undefined, canResume: false },
    ],
    services: new Map([[service, { name: service, connectionLimit: 200, engine: undefined }]]),
    accounts: [firstAccount, "bolt"].map(name => ({
        name,
        keys: [`${name}-key`],
        priority: undefined,
        quota: undefined,
    })),
    limits: { headerBytes: 8_000, bodyBytes: 8_000, headerTimeout: 2_000, idleTimeout: 5_000 },
};

/** Codec of simple headers of its own. */
const testCodec: HeaderCodec = {
    decodeRequest: (method, target, raw) => {
        const headers = readHeaders(raw);
        const named = headers.get("parts");
        const parts = named?.split(",");
        return {
            attemptId: headers.get("id"),
            method,
            target,
            host: "a.example",
            key: headers.get("key"),
            deadline: 4_000,
            choice: undefined,
            tokens: undefined,
            prompt: parts && { shared: parts.slice(0, -1), own: parts.at(-1)! },
            lastEventId: headers.has("last-event-id") ? Number(headers.get("last-event-id")) : undefined,
            resumed: headers.has("last-event-id") ? { firstAttemptId: headers.get("resumes") } : undefined,
            passedHeaders: ["id", headers.get("id")!, ...named === undefined ? [] : ["parts", named]],
        };
    },
    encodeForwardedHeaders: (request, forwarded) => [
        ...request.passedHeaders,
        "expected",
        forwarded.server,
        "account",
        forwarded.account ?? "",
        ...forwarded.lastEventId === undefined ? [] : ["last-event-id", String(forwarded.lastEventId)],
    ],
    decodeResponseHead: (status, raw) => {
        const headers = readHeaders(raw);
        return {
            status,
            attemptId: headers.get("id"),
            isSigned: headers.has("signed"),
            isNotRun: headers.has("not-run"),
            load: undefined,
            requestLimit: headers.has("limit") ? Number(headers.get("limit")) : undefined,
            retryAfter: headers.has("retry-after") ? Number(headers.get("retry-after")) * 1_000 : undefined,
            isLeaving: headers.has("leaving"),
            isEventStream: true,
            contentLength: undefined,
            passedHeaders: [],
        };
    },
    encodeRefusalHeaders: (id, retryAfter) => retryAfter === undefined ? [] : ["retry-after", String(retryAfter)],
};

function readHeaders(raw: readonly string[]): Map<string, string> {
    const pairs = raw.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), raw[index + 1]!] as const] : []);
    return new Map(pairs);
}

/** Store in memory: keyed topics with delayed reads, and shards dealt to its members in turn. */
export interface MemoryStore extends KeyedLog {
    readonly put: (topic: KeyedTopic, key: string, value: Uint8Array | undefined) => void;
    readonly group: ShardGroup;
    /** Deals each shard to the next member, under a new generation. */
    readonly moveShards: () => void;
}

/**
 * Creates an empty store.
 *
 * @param shardCount - shards that are dealt to the members
 * @returns the store
 */
export function createMemoryStore(shardCount: number): MemoryStore {
    const topics = new Map<KeyedTopic, { readonly records: Map<string, KeyedRecord>; end: number; }>();
    const getTopic = (topic: KeyedTopic) => {
        const state = topics.get(topic) ?? { records: new Map<string, KeyedRecord>(), end: 0 };
        topics.set(topic, state);
        return state;
    };
    const members: string[] = [];
    let generation = 0;
    let moves = 0;
    const findOwner = (shard: number): string => members[(shard + moves) % members.length]!;
    const listShards = (): readonly number[] => Array.from({ length: shardCount }, (unused, shard) => shard);
    const put: MemoryStore["put"] = (topic, key, value) => {
        const state = getTopic(topic);
        state.records.set(key, { key, value, offset: state.end });
        state.end++;
    };
    return {
        put,
        moveShards: () => {
            moves++;
            generation++;
        },
        readNewest: async topic => {
            const { records, end } = getTopic(topic);
            return wrapValue({ records: [...records.values()].filter(({ value }) => value), endOffset: end });
        },
        readFrom: async (topic, offset, wait) => {
            const until = performance.now() + wait;
            while (getTopic(topic).end <= offset && performance.now() < until) {
                await pause(10);
            }
            const { records, end } = getTopic(topic);
            return wrapValue({ records: [...records.values()].filter(each => each.offset >= offset), endOffset: end });
        },
        append: async (topic, key, value) => {
            put(topic, key, value);
            return wrapValue(undefined);
        },
        group: {
            join: async member => {
                if (!members.includes(member)) {
                    members.push(member);
                    generation++;
                }
                return wrapValue({ generation, shards: listShards().filter(shard => findOwner(shard) === member) });
            },
            leave: async () => wrapValue(undefined),
            listOwners: async () => wrapValue(listShards().map(shard => ({ shard, member: findOwner(shard) }))),
        },
    };
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

/**
 * Starts instances and servers.
 *
 * @param options - numbers and behaviour
 * @returns the fleet, ready for requests; the caller stops it
 */
export async function startTestFleet(options: TestFleetOptions): Promise<TestFleet> {
    const store = createMemoryStore(4);
    const arrivals: TestArrival[] = [];
    const crashes: number[] = [];
    const stopping = new AbortController();
    const servers = await Promise.all(
        Array.from(
            { length: options.servers },
            (unused, index) => startServer(index, { options, store, arrivals, crashes, stopping: stopping.signal }),
        ),
    );
    store.put("configuration", "config", Buffer.from("{}"));
    const control: EngineControl = {
        order: async () => ({ kind: "unreachable" }),
        report: async () => wrapError({ kind: "unanswered", detail: "no engine" }),
    };
    const ports = await findFreePorts(options.instances * 4);
    const links = await Promise.all(
        Array.from({ length: options.instances }, () => createServerLinks(servers.map(({ readPort }) => readPort))),
    );
    const running = Array.from({ length: options.instances }, (unused, index) => {
        const [clientPort, readyPort, peerPort, metricsPort] = ports.slice(index * 4, index * 4 + 4);
        const instance = createServingInstance({
            instanceName: `front-${index}`,
            host: "127.0.0.1",
            failureDomain: "a",
            cores: 1,
            clientPort: clientPort!,
            readyPort: readyPort!,
            peerPort: peerPort!,
            metricsPort: metricsPort!,
            shardCount: 4,
            shardTtl: 1_500,
            orderLease: 3_000,
            areOrdersFenced: true,
            revocationBound: 5_000,
            versionBound: 5_000,
            grace: 1_000,
            isFirstStart: true,
            quota: { window: 8_000, excessRatio: 0.1, excessUnits: 17_000 },
            retry: { window: 10_000, ratio: 0.2, slack: 50 },
            clock: createSystemClock(),
        }, {
            log: store,
            shards: store.group,
            control,
            headers: testCodec,
            records: {
                decodeOperatorRecord: () => wrapValue({ kind: "configuration", config }),
                decodeServerEntry: (id, value) => {
                    const entry = JSON.parse(Buffer.from(value).toString()) as BackendServer;
                    return wrapValue({ ...entry, address: links[index]!.translate(entry.address) });
                },
            },
        });
        const leaving = new AbortController();
        stopping.signal.addEventListener("abort", () => leaving.abort());
        return { stop: () => leaving.abort(), ended: instance.run(leaving.signal) };
    });
    await pause(1_200);
    return {
        send: (instance, request) => sendRequest(ports[instance * 4]!, request),
        arrivals,
        crashes,
        servers,
        moveShards: store.moveShards,
        setCut: (instance, cut) => links[instance]!.setCut(cut),
        stopInstance: index => {
            running[index]!.stop();
            return running[index]!.ended;
        },
        stop: async () => {
            stopping.abort();
            servers.forEach(server => server.close());
            links.forEach(link => link.close());
            await Promise.all(running.map(({ ended }) => ended));
        },
    };
}

interface ServerWorld {
    readonly options: TestFleetOptions;
    readonly store: MemoryStore;
    readonly arrivals: TestArrival[];
    readonly crashes: number[];
    readonly stopping: AbortSignal;
}

async function startServer(
    index: number,
    world: ServerWorld,
): Promise<TestServer & { readonly readPort: () => number | undefined; readonly close: () => void; }> {
    const { options, store } = world;
    const sockets = new Set<Socket>();
    let run = 0;
    let port: number | undefined;
    let server: Server | undefined;
    let version: string | number = "v1";
    const readId = (): string => `s-${index}-${run}`;
    const end = (endedRun: number): void => {
        if (endedRun !== run || world.stopping.aborted) {
            return;
        }
        run++;
        port = undefined;
        world.crashes.push(performance.now());
        server?.close();
        sockets.forEach(socket => socket.resetAndDestroy());
        store.put("servers", `s-${index}-${endedRun}`, undefined);
        setTimeout(() => world.stopping.aborted || void listen(), options.restartDelay ?? 1_000);
    };
    const respond = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const parts = String(request.headers.parts ?? "").split(",");
        const id = String(request.headers.id);
        world.arrivals.push({ at: performance.now(), server: readId(), id, parts, body });
        const limit = index === 0 ? options.readLimit?.() : undefined;
        const headers: Record<string, string> = { id, signed: "1" };
        if (limit !== undefined) {
            headers["limit"] = limit;
        }
        if (options.isLeaving?.(index)) {
            headers["leaving"] = "1";
        }
        if (request.headers.expected !== readId()) {
            response.writeHead(421, { ...headers, "not-run": "1" });
            response.end();
            return;
        }
        const shedding = options.readShedding?.(index);
        if (shedding !== undefined) {
            response.writeHead(503, { ...headers, "not-run": "1", "retry-after": String(shedding) });
            response.end();
            return;
        }
        if (body === options.crashingBody && request.headers.account === firstAccount) {
            setTimeout(end, 20, run);
            return;
        }
        response.writeHead(200, headers);
        const count = options.eventCount ?? 2;
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        const writeEvent = (id: number): void => {
            response.write(`id: ${id}\ndata: ${version}\n\n`);
        };
        writeEvent(first);
        if (options.crashingPart !== undefined && parts.includes(options.crashingPart)) {
            setTimeout(end, 20, run);
            return;
        }
        const interval = options.answerDuration / (count - 1);
        for (let id = first + 1; id <= count; id++) {
            setTimeout(writeEvent, (id - first) * interval, id);
        }
        setTimeout(() => response.end(), (count - first) * interval);
    };
    const listen = async (): Promise<void> => {
        server = createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.once("end", () => respond(request, response, Buffer.concat(chunks).toString()));
        });
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => sockets.delete(socket));
        });
        await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
        port = (server.address() as AddressInfo).port;
        writeEntry();
    };
    const writeEntry = (): void => {
        version = options.readVersion?.(index) ?? "v1";
        const entry: BackendServer = {
            id: readId(),
            startedAt: run,
            service,
            address: formatServerAddress(index),
            failureDomain: "a",
            isDraining: false,
            softwareVersion: version,
            slots: 32,
            models: [],
        };
        store.put("servers", readId(), Buffer.from(JSON.stringify(entry)));
    };
    await listen();
    return {
        readPort: () => port,
        writeEntry,
        deleteEntry: () => store.put("servers", readId(), undefined),
        restart: () => end(run),
        resetConnections: () => sockets.forEach(socket => socket.resetAndDestroy()),
        close: () => {
            server?.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** Links of one instance to all servers, each through a port of its own. */
interface ServerLinks {
    readonly translate: (address: string) => string;
    readonly setCut: (cut: TestCut) => Promise<void>;
    readonly close: () => void;
}

// entries name the server; each instance reaches it through a port of its own, which stays while the server restarts
function formatServerAddress(index: number): string {
    return `server:${index}`;
}

async function createServerLinks(readPorts: readonly (() => number | undefined)[]): Promise<ServerLinks> {
    const links = await Promise.all(readPorts.map(createServerLink));
    return {
        translate: address => {
            const index = links.findIndex((unused, server) => formatServerAddress(server) === address);
            return `127.0.0.1:${links[index]!.port}`;
        },
        setCut: async cut => void await Promise.all(links.map(link => link.setCut(cut))),
        close: () => links.forEach(link => link.close()),
    };
}

async function createServerLink(readPort: () => number | undefined) {
    const sockets = new Set<Socket>();
    const relay = createNetServer(near => {
        const serverPort = readPort();
        if (serverPort === undefined) {
            near.resetAndDestroy();
            return;
        }
        const far = connect({ host: "127.0.0.1", port: serverPort });
        for (const [socket, other] of [[near, far], [far, near]] as const) {
            sockets.add(socket);
            // a reset is passed on as one
            socket.on("error", () => other.resetAndDestroy());
            socket.once("close", () => {
                sockets.delete(socket);
                other.destroy();
            });
            socket.pipe(other);
        }
    });
    const listen = (port: number): Promise<void> => new Promise(resolve => relay.listen(port, "127.0.0.1", resolve));
    await listen(0);
    const { port } = relay.address() as AddressInfo;
    return {
        port,
        setCut: async (cut: TestCut): Promise<void> => {
            if (cut === "none") {
                sockets.forEach(socket => socket.resetAndDestroy());
                await listen(port);
                return;
            }
            relay.close();
            if (cut === "refused") {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
            if (cut === "frozen") {
                sockets.forEach(socket => socket.pause());
            }
        },
        close: () => {
            relay.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

async function findFreePorts(count: number): Promise<readonly number[]> {
    const probes = Array.from({ length: count }, () => createNetServer());
    const ports = await Promise.all(
        probes.map(probe =>
            new Promise<number>(resolve =>
                probe.listen(0, "127.0.0.1", () => resolve((probe.address() as AddressInfo).port))
            )
        ),
    );
    await Promise.all(probes.map(probe => new Promise(resolve => probe.close(resolve))));
    return ports;
}

function sendRequest(
    port: number,
    { id, parts, key, path = "/x", body = "body", lastEventId, resumes, leaveAfter }: TestRequest,
): Promise<TestAnswer> {
    const sentAt = performance.now();
    return new Promise(resolve => {
        let text = "";
        const finish = (answer: Omit<TestAnswer, "took" | "events">): void =>
            resolve({ ...answer, events: readEvents(text), took: performance.now() - sentAt });
        const sent = sendHttpRequest(
            {
                host: "127.0.0.1",
                port,
                method: "POST",
                path,
                agent: false,
                headers: {
                    id,
                    key,
                    ...parts.length === 0 ? {} : { parts: parts.join() },
                    ...lastEventId === undefined ? {} : { "last-event-id": String(lastEventId) },
                    ...resumes === undefined ? {} : { resumes },
                },
            },
            response => {
                const { statusCode: status, headers } = response;
                response.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                    if (leaveAfter !== undefined && readEvents(text).length >= leaveAfter) {
                        sent.destroy();
                    }
                });
                response.once(
                    "close",
                    () => finish({ status, isComplete: response.complete, retryAfter: headers["retry-after"] }),
                );
            },
        );
        sent.once("error", () => finish({ status: undefined, isComplete: false, retryAfter: undefined }));
        sent.end(body);
    });
}

function readEvents(text: string): TestEvent[] {
    return [...text.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)].map(([, id, version]) => ({
        id: Number(id),
        version: version!,
    }));
}
