/**
 * Backend servers of the tests over whole instances, and the links of each instance to them.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer as createNetServer, type Socket } from "node:net";
import { resetSocket } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import type { BackendServer } from "../types.js";
import { firstTestAccount, testService } from "./testCodec.js";
import { testHost } from "./testHost.js";
import type { MemoryStore } from "./testStore.js";

const longHead = `HTTP/1.1 200 OK\r\nname: ${"x".repeat(100_000)}\r\n\r\n`;

/** An arrival at a server. */
export interface TestArrival {
    readonly at: number;
    readonly server: string;
    /** Id of the request. */
    readonly id: string;
    readonly parts: readonly string[];
    readonly body: string;
}

/** A connection that was closed before the end of the answer. */
export interface TestClose {
    readonly at: number;
    /** Id of the request. */
    readonly id: string;
}

/** Behaviour of the servers. */
export interface TestServerOptions {
    /** A server that begins to answer a request with this part ends. */
    readonly crashingPart?: string;
    /** A server that begins to run a request of the first account with this body ends. */
    readonly crashingBody?: string;
    /** A server answers a request with this body with bytes that are no answer. */
    readonly unreadableBody?: string;
    /** These bytes. @default a head that is too long */
    readonly unreadableBytes?: string;
    /** Time until a server that ended is back as a new run. */
    readonly restartDelay?: number;
    readonly answerDuration: number;
    /** Events of a stream, the first at once, the others over the duration of the answer. @default 2 */
    readonly eventCount?: number;
    /** Software version that a server, counted from 0, states in its entry. @default "v1" for all */
    readonly readVersion?: (server: number) => string | number;
    /** Limit in requests a second that the first server names, once it is set. */
    readonly readLimit?: () => string | undefined;
    /** Time from the arrival of a request to the head of its answer, in milliseconds. @default 0 */
    readonly readHeadDelay?: () => number;
    /** Seconds for which a server, counted from 0, wants no more requests; it turns requests away meanwhile. */
    readonly readShedding?: (server: number) => number | undefined;
    /**
     * Time for which a server, counted from 0, stays cold, as its responses and its entry state it, and whether they do.
     *
     * @default they state nothing
     */
    readonly readCold?: (server: number, by: "response" | "entry") => number | undefined;
    /** Failure domain that a server, counted from 0, states in its entry. @default "a" for all */
    readonly readDomain?: (server: number) => string;
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

/** What the servers share. */
export interface ServerWorld {
    readonly options: TestServerOptions;
    readonly store: MemoryStore;
    readonly arrivals: TestArrival[];
    readonly closes: TestClose[];
    readonly crashes: number[];
    readonly stopping: AbortSignal;
}

/**
 * Starts a server on a port of its own.
 *
 * @param index - number of the server, from 0
 * @param world - what the servers share
 * @returns the server, which is listed in the store
 */
export async function startServer(
    index: number,
    world: ServerWorld,
): Promise<TestServer & { readonly readPort: () => number | undefined; readonly close: () => void; }> {
    const { options, store } = world;
    const sockets = new Set<Socket>();
    let run = 0;
    let port: number | undefined;
    let server: Server | undefined;
    let restart: NodeJS.Timeout | undefined;
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
        sockets.forEach(socket => resetSocket(socket));
        store.put("servers", `s-${index}-${endedRun}`, undefined);
        restart = setTimeout(() => startDetached(listen()), options.restartDelay ?? 1_000);
    };
    const respond = (request: IncomingMessage, response: ServerResponse, body: string): void => {
        const parts = String(request.headers.parts ?? "").split(",");
        const id = String(request.headers.id);
        world.arrivals.push({ at: performance.now(), server: readId(), id, parts, body });
        response.once("close", () => response.writableFinished || world.closes.push({ at: performance.now(), id }));
        const limit = index === 0 ? options.readLimit?.() : undefined;
        const headers: Record<string, string> = { id, signed: "1" };
        if (limit !== undefined) {
            headers["limit"] = limit;
        }
        if (options.isLeaving?.(index)) {
            headers["leaving"] = "1";
        }
        const coldFor = options.readCold?.(index, "response");
        if (coldFor !== undefined) {
            headers["cold"] = String(coldFor);
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
        if (body === options.unreadableBody) {
            request.socket.write(options.unreadableBytes ?? longHead);
            return;
        }
        if (body === options.crashingBody && request.headers.account === firstTestAccount) {
            setTimeout(end, 20, run);
            return;
        }
        const arrivedRun = run;
        // a request of a run that has ended doesn't end the next one
        setTimeout(
            () => arrivedRun === run && writeAnswer(request, response, headers),
            options.readHeadDelay?.() ?? 0,
        );
    };
    const writeAnswer = (
        request: IncomingMessage,
        response: ServerResponse,
        headers: Readonly<Record<string, string>>,
    ): void => {
        const parts = String(request.headers.parts ?? "").split(",");
        response.writeHead(200, headers);
        const count = options.eventCount ?? 2;
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        const writeEvent = (id: number): void => {
            response.write(`id: ${id}\ndata: ${version}\n\n`);
        };
        const isCrashing = options.crashingPart !== undefined && parts.includes(options.crashingPart);
        if (first > count && !isCrashing) {
            // asked for after its last event
            response.end();
            return;
        }
        writeEvent(first);
        if (isCrashing) {
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
        if (world.stopping.aborted) {
            return;
        }
        const opened = createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.once("end", () => respond(request, response, Buffer.concat(chunks).toString()));
        });
        server = opened;
        opened.on("connection", socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => sockets.delete(socket));
        });
        await new Promise<void>(resolve => opened.listen(0, "127.0.0.1", resolve));
        if (world.stopping.aborted) {
            opened.close();
            return;
        }
        port = (opened.address() as AddressInfo).port;
        writeEntry();
    };
    const writeEntry = (): void => {
        version = options.readVersion?.(index) ?? "v1";
        const entry: BackendServer = {
            id: readId(),
            startedAt: run,
            service: testService,
            address: formatServerAddress(index),
            failureDomain: options.readDomain?.(index) ?? "a",
            isDraining: false,
            softwareVersion: version,
            slots: 32,
            models: [],
            coldFor: options.readCold?.(index, "entry"),
        };
        store.put("servers", readId(), Buffer.from(JSON.stringify(entry)));
    };
    await listen();
    return {
        readPort: () => port,
        writeEntry,
        deleteEntry: () => store.put("servers", readId(), undefined),
        restart: () => end(run),
        resetConnections: () => sockets.forEach(socket => resetSocket(socket)),
        close: () => {
            clearTimeout(restart);
            server?.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** Links of one instance to all servers, each through a port of its own. */
export interface ServerLinks {
    readonly translate: (address: string) => string;
    readonly setCut: (cut: TestCut) => Promise<void>;
    readonly close: () => void;
}

// entries name the server; each instance reaches it through a port of its own, which stays while the server restarts
function formatServerAddress(index: number): string {
    return `server:${index}`;
}

/**
 * Creates the links of one instance.
 *
 * @param readPorts - present ports of the servers
 * @param host - address of the servers
 * @returns the links
 */
export async function createServerLinks(
    readPorts: readonly (() => number | undefined)[],
    host = "127.0.0.1",
): Promise<ServerLinks> {
    const links = await Promise.all(readPorts.map(readPort => createServerLink(readPort, host)));
    return {
        translate: address => {
            const index = links.findIndex((unused, server) => formatServerAddress(server) === address);
            return `${testHost}:${links[index]!.port}`;
        },
        setCut: async cut => void await Promise.all(links.map(link => link.setCut(cut))),
        close: () => links.forEach(link => link.close()),
    };
}

async function createServerLink(readPort: () => number | undefined, host: string) {
    const sockets = new Set<Socket>();
    const relay = createNetServer(near => {
        const serverPort = readPort();
        if (serverPort === undefined) {
            resetSocket(near);
            return;
        }
        const far = connect({ host, port: serverPort });
        for (const [socket, other] of [[near, far], [far, near]] as const) {
            sockets.add(socket);
            // a reset is passed on as one
            socket.on("error", () => resetSocket(other));
            socket.once("close", () => {
                sockets.delete(socket);
                other.destroy();
            });
            socket.pipe(other);
        }
    });
    const listen = (port: number): Promise<void> => new Promise(resolve => relay.listen(port, testHost, resolve));
    await listen(0);
    const { port } = relay.address() as AddressInfo;
    return {
        port,
        setCut: async (cut: TestCut): Promise<void> => {
            if (cut === "none") {
                sockets.forEach(socket => resetSocket(socket));
                await listen(port);
                return;
            }
            relay.close();
            if (cut === "refused") {
                sockets.forEach(socket => resetSocket(socket));
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

/**
 * Finds ports that no program listens on.
 *
 * @param count - number of ports
 * @returns the ports
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const probes = Array.from({ length: count }, () => createNetServer());
    const ports = await Promise.all(
        probes.map(probe =>
            new Promise<number>(resolve =>
                probe.listen(0, testHost, () => resolve((probe.address() as AddressInfo).port))
            )
        ),
    );
    await Promise.all(probes.map(probe => new Promise(resolve => probe.close(resolve))));
    return ports;
}
