/**
 * The task that owns the connections to other instances. Connections are opened on first use and closed when idle, so
 * their number depends on the peers in use, not on the total number of instances.
 *
 * @packageDocumentation
 */
import type { AddressInfo } from "node:net";
import { WebSocketServer } from "ws";
import {
    type Clock,
    createLogger,
    describeInputError,
    type InstanceId,
    type Milliseconds,
    waitForEvents,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { callGuarded, startTask, type Task, waitForAbort } from "../supervision/index.js";
import {
    acceptSocket,
    type ConnectionEvents,
    connectToPeer,
    type HandshakeError,
    type PayloadFrame,
    type PeerConnection,
} from "./connection.js";
import {
    frameLimitBytes,
    reconnectDelayMilliseconds,
    sendBufferLimitBytes,
    silenceLimitMilliseconds,
    waitingFramesPerPeerLimit,
} from "./constants.js";
import { createPendingRequests } from "./pendingRequests.js";
import type {
    BoundedMemory,
    ConnectionMemory,
    PeerError,
    PeerHandler,
    PeerMessagesByTopic,
    PeerNetwork,
    PeerTopic,
} from "./types.js";

/** Settings of the connections to other instances. */
export interface PeerTaskOptions {
    /** Identifier of this instance. */
    readonly self: InstanceId;
    /** IP address that other instances connect to. @default "127.0.0.1" */
    readonly host?: string;
    /** Port that other instances connect to; 0 chooses a free port. @default 0 */
    readonly port?: number;
    /** Finds the IP address and port of an instance; `undefined` if they are unknown. */
    readonly findAddress: (instance: InstanceId) => string | undefined;
    readonly clock: Clock;
    /** Memory that the frames which wait to be sent are part of. @default they have no bound together */
    readonly memory?: BoundedMemory;
}

/** The task, with the interface that the other parts of the instance use. */
export interface PeerTask extends Task {
    readonly network: PeerNetwork;
    /** Opens the port and resolves with IP address and port; must be called before `run`. */
    readonly listen: () => Promise<string>;
    /** Returns the number of open connections, and the counts of frames since the start. */
    readonly readStatus: () => PeerStatus;
}

/** Connections and frames, as shown on the status page. */
export interface PeerStatus {
    readonly connections: number;
    readonly sentFrames: number;
    readonly receivedFrames: number;
    readonly droppedFrames: number;
    /** Messages that their handler could not read, such as those of an instance of another version. */
    readonly refusedMessages: number;
}

type UntypedHandler = (from: InstanceId, body: unknown) => unknown;

interface ConnectionAttempt {
    /** Frames to send once the connection is open. */
    readonly frames: PayloadFrame[];
}

/** What waits to be sent on a connection. */
interface Backlog {
    readonly memory: ConnectionMemory;
    frames: number;
}

/** Memory of the objects of a frame that waits to be sent, beside its bytes. */
const frameObjectBytes = 1_024;
/** Interval of the log lines on refused messages; all are counted. */
const refusalLogIntervalMilliseconds = 1_000;
const debug = createLogger("peers");

/**
 * Creates the task that connects this instance to others.
 *
 * @param options - address of this instance, and the lookup of other instances' addresses
 * @returns a task for the caller to supervise
 */
export function createPeerTask(options: PeerTaskOptions): PeerTask {
    const connections = new Map<InstanceId, PeerConnection>();
    // two instances may connect to each other at once: the connection that isn't used any more is open all the same
    const openConnections = new Set<PeerConnection>();
    // when a frame of each connection came last
    const heardAt = new WeakMap<PeerConnection, Milliseconds>();
    const backlogs = new WeakMap<PeerConnection, Backlog>();
    const connectionAttempts = new Map<InstanceId, ConnectionAttempt>();
    const retryAt = new Map<InstanceId, number>();
    const handlers = new Map<string, UntypedHandler>();
    const pending = createPendingRequests();
    const counts = { sentFrames: 0, receivedFrames: 0, droppedFrames: 0, refusedMessages: 0 };
    let refusalLoggedAt = Number.NEGATIVE_INFINITY;
    let server: WebSocketServer | undefined;
    let isStopped = false;

    const events: ConnectionEvents = {
        onOpen: connection => {
            openConnections.add(connection);
            if (isStopped) {
                connection.close();
                return;
            }
            connections.set(connection.peer, connection);
            heardAt.set(connection, options.clock.now());
            openBacklog(connection);
        },
        onFrame: (connection, frame) => {
            counts.receivedFrames++;
            heardAt.set(connection, options.clock.now());
            callGuarded("message of an instance", () => receiveFrame(connection, frame));
        },
        onClose: connection => {
            openConnections.delete(connection);
            backlogs.get(connection)?.memory.close();
            if (connections.get(connection.peer) === connection) {
                connections.delete(connection.peer);
                pending.failAll(connection.peer, { kind: "disconnected" });
            }
        },
    };
    const sendCounted = (connection: PeerConnection, frame: PayloadFrame): void => {
        const backlog = backlogs.get(connection);
        if (!backlog) {
            connection.send(frame);
            return;
        }
        const record = (): void => {
            const bytes = connection.measureBacklog();
            backlog.memory.set(bytes === 0 ? 0 : bytes + backlog.frames * frameObjectBytes);
        };
        backlog.frames++;
        connection.send(frame, () => {
            backlog.frames--;
            record();
        });
        record();
    };
    // what waits to be sent can't be taken back but with the connection
    const openBacklog = (connection: PeerConnection): void => {
        const memory = options.memory?.open({
            giveUp: () => {
                debug.warn("connection ended for want of memory", { peer: connection.peer });
                // its frames are given up one after the other, and count no longer
                backlogs.get(connection)?.memory.close();
                connection.terminate();
            },
        });
        if (memory) {
            backlogs.set(connection, { memory, frames: 0 });
        }
    };
    const receiveFrame = (connection: PeerConnection, frame: PayloadFrame): void => {
        switch (frame.kind) {
            case "message":
                startTask("message of an instance", () => runHandler(frame.topic, connection.peer, frame.body));
                break;
            case "request":
                startTask("message of an instance", async () => {
                    const body = await runHandler(frame.topic, connection.peer, frame.body);
                    if (body !== undefined && connection.isOpen()) {
                        sendFrame(connection, { kind: "response", id: frame.id, body });
                    }
                });
                break;
            case "response":
                pending.finish(connection.peer, frame.id, frame.body);
                break;
        }
    };
    const runHandler = async (topic: string, from: InstanceId, body: unknown): Promise<unknown> => {
        try {
            return await handlers.get(topic)?.(from, body);
        }
        catch (error) {
            // an exception caused by a peer's malformed message must not end the task of the part that handles it
            countRefused(topic, from, error);
            return undefined;
        }
    };
    const countRefused = (topic: string, from: InstanceId, error: unknown): void => {
        counts.refusedMessages++;
        const now = options.clock.now();
        if (now - refusalLoggedAt >= refusalLogIntervalMilliseconds) {
            refusalLoggedAt = now;
            debug.warn("message refused", {
                topic,
                from,
                refused: counts.refusedMessages,
                error: describeInputError(error),
            });
        }
    };
    const sendFrame = (connection: PeerConnection, frame: PayloadFrame): void => {
        if (frame.kind === "message" && connection.measureBacklog() > sendBufferLimitBytes) {
            counts.droppedFrames++;
            return;
        }
        counts.sentFrames++;
        sendCounted(connection, frame);
    };
    // other requests to the same instance may have been sent over a connection that is still closing
    const failUnsent = ({ frames }: ConnectionAttempt, error: PeerError): void =>
        frames.forEach(frame => frame.kind === "request" && pending.fail(frame.id, error));
    const connectAndSendWaiting = async (
        to: InstanceId,
        address: string,
        waiting: ConnectionAttempt,
    ): Promise<void> => {
        const error = await connectToPeer(options.self, to, address, events);
        connectionAttempts.delete(to);
        const connection = connections.get(to);
        if (connection?.isOpen()) {
            // one that fails while it is sent may have been sent, and waits for its time limit
            for (let frame = waiting.frames.shift(); frame; frame = waiting.frames.shift()) {
                sendFrame(connection, frame);
            }
            return;
        }
        retryAt.set(to, options.clock.now() + reconnectDelayMilliseconds);
        counts.droppedFrames += waiting.frames.length;
        failUnsent(waiting, translateHandshakeError(error));
    };
    const route = (to: InstanceId, frame: PayloadFrame): boolean => {
        const connection = connections.get(to);
        if (connection?.isOpen()) {
            sendFrame(connection, frame);
            return true;
        }
        const currentAttempt = connectionAttempts.get(to);
        if (currentAttempt) {
            const hasRoom = currentAttempt.frames.length < waitingFramesPerPeerLimit;
            counts.droppedFrames += hasRoom ? 0 : 1;
            hasRoom && currentAttempt.frames.push(frame);
            return hasRoom;
        }
        const address = options.findAddress(to);
        if (address === undefined || (retryAt.get(to) ?? 0) > options.clock.now()) {
            counts.droppedFrames++;
            return false;
        }
        const waiting: ConnectionAttempt = { frames: [frame] };
        connectionAttempts.set(to, waiting);
        startTask("connection to an instance", () => connectAndSendWaiting(to, address, waiting), error => {
            connectionAttempts.delete(to);
            failUnsent(waiting, { kind: "unreachable", detail: String(error) });
        });
        return true;
    };
    // an event loop that was late hears first what has come meanwhile
    const endSilentConnection = async (connection: PeerConnection): Promise<void> => {
        await waitForEvents();
        const silence = options.clock.now() - (heardAt.get(connection) ?? Number.NEGATIVE_INFINITY);
        if (silence >= silenceLimitMilliseconds) {
            debug.warn("connection silent", { peer: connection.peer, silence: Math.round(silence) });
            connection.terminate();
        }
    };
    const network: PeerNetwork = {
        self: options.self,
        send: (to, topic, message) => {
            route(to, { kind: "message", topic, body: message });
        },
        request: async (to, topic, message, timeout) => {
            const { id, answer } = pending.open(to, timeout);
            const connection = connections.get(to);
            if (!route(to, { kind: "request", id, topic, body: message })) {
                pending.fail(id, { kind: "unreachable", detail: `there is no connection to ${to}` });
            }
            const result = await answer;
            if (connection && !result.ok && result.error.kind === "timeout") {
                startTask("silent connection", () => endSilentConnection(connection));
            }
            return result.ok ? wrapValue(result.value as PeerMessagesByTopic[typeof topic]) : wrapError(result.error);
        },
        handle: <Topic extends PeerTopic>(topic: Topic, handler: PeerHandler<Topic>) => {
            handlers.set(topic, handler as UntypedHandler);
        },
    };
    const listen = async (): Promise<string> => {
        const host = options.host ?? "127.0.0.1";
        server = await openServer(host, options.port ?? 0);
        server.on("connection", socket => acceptSocket(options.self, socket, events));
        return `${host}:${(server.address() as AddressInfo).port}`;
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        await waitForAbort(signal);
        isStopped = true;
        openConnections.forEach(connection => connection.close());
        server?.close();
    };
    return {
        name: "peers",
        network,
        listen,
        run,
        readStatus: () => ({ connections: connections.size, ...counts }),
    };
}

function translateHandshakeError(error: HandshakeError | undefined): HandshakeError {
    return error ?? { kind: "unreachable", detail: "the connection was closed right after the handshake" };
}

function openServer(host: string, port: number): Promise<WebSocketServer> {
    return new Promise((resolve, reject) => {
        const server = new WebSocketServer({ host, port, maxPayload: frameLimitBytes, perMessageDeflate: false });
        server.once("listening", () => resolve(server));
        server.once("error", reject);
    });
}
