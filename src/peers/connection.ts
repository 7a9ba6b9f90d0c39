/**
 * Opens WebSocket connections to other instances, accepts theirs, and exchanges frames after the handshake.
 *
 * @packageDocumentation
 */
import { WebSocket } from "ws";
import { createLogger, type InstanceId, type Milliseconds, parseNetworkAddress } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";
import {
    connectTimeoutMilliseconds,
    frameLimitBytes,
    idleConnectionMilliseconds,
    peerProtocolVersion,
} from "./constants.js";
import { createFrameCodec, type FrameCodec, type PeerFrame } from "./frames.js";

/** A frame that carries a message, a request or a response, as opposed to a frame of the handshake. */
export type PayloadFrame = Extract<PeerFrame, { readonly kind: "message" | "request" | "response"; }>;

/** A connection that has completed its handshake. */
export interface PeerConnection {
    /** Instance at the other end. */
    readonly peer: InstanceId;
    /** False once the connection is closing or closed. */
    readonly isOpen: () => boolean;
    /** Returns the number of bytes that are buffered and not yet written to the network. */
    readonly measureBacklog: () => number;
    /** Sends a frame; `onWritten` is called once it is no longer buffered. */
    readonly send: (frame: PayloadFrame, onWritten?: () => void) => void;
    /** Starts the closing handshake of the WebSocket. */
    readonly close: () => void;
    /** Ends the connection at once, without a word to the peer. */
    readonly terminate: () => void;
}

/** Callbacks to the owner of the connections. */
export interface ConnectionEvents {
    /** Called after the handshake. */
    readonly onOpen: (connection: PeerConnection) => void;
    /** Called for each frame received after the handshake. */
    readonly onFrame: (connection: PeerConnection, frame: PayloadFrame) => void;
    /** Called once for each connection that was opened. */
    readonly onClose: (connection: PeerConnection) => void;
}

/** Reason for a failed handshake; `theirs` is the peer's protocol version. */
export type HandshakeError =
    | { readonly kind: "unreachable"; readonly detail: string; }
    | { readonly kind: "incompatible"; readonly theirs: number; };

const debug = createLogger("peers");

/**
 * Connects to a peer and performs the handshake.
 *
 * @param self - identifier of this instance
 * @param peer - instance that is expected at the address
 * @param address - IP address and port, such as `127.0.0.1:7000`
 * @param events - callbacks for the new connection
 * @returns `undefined` after the connection was passed to `events.onOpen`, or the reason for the failure
 */
export function connectToPeer(
    self: InstanceId,
    peer: InstanceId,
    address: string,
    events: ConnectionEvents,
): Promise<HandshakeError | undefined> {
    // the WebSocket throws at such an address
    if (!parseNetworkAddress(address)) {
        return Promise.resolve({ kind: "unreachable", detail: `${peer} has no address for the network: ${address}` });
    }
    return new Promise(resolve => {
        const socket = new WebSocket(`ws://${address}`, {
            handshakeTimeout: connectTimeoutMilliseconds,
            maxPayload: frameLimitBytes,
            perMessageDeflate: false,
        });
        const codec = createFrameCodec();
        const timer = setTimeout(() => socket.terminate(), connectTimeoutMilliseconds);
        const finish = (error: HandshakeError | undefined): void => {
            clearTimeout(timer);
            resolve(error);
        };
        socket.on("error", error => debug.debug("connection failed", { peer, error: String(error) }));
        socket.once(
            "close",
            () => finish({ kind: "unreachable", detail: `the handshake with ${peer} at ${address} did not complete` }),
        );
        const receiveHandshake = (data: Buffer): void => {
            const decoded = codec.decode(data);
            const frame = decoded.ok ? decoded.value : undefined;
            if (frame?.kind === "hello" && frame.from === peer) {
                openConnection(socket, peer, codec, events);
                finish(undefined);
                return;
            }
            finish(
                frame?.kind === "refusal" && frame.reason === "version"
                    ? { kind: "incompatible", theirs: frame.version }
                    : { kind: "unreachable", detail: `the process at ${address} did not identify itself as ${peer}` },
            );
            socket.terminate();
        };
        socket.once("open", () =>
            callOrTerminate(
                socket,
                () => socket.send(codec.encode({ kind: "hello", version: peerProtocolVersion, from: self, to: peer })),
            ));
        socket.once("message", data => callOrTerminate(socket, () => receiveHandshake(data as Buffer)));
    });
}

/**
 * Accepts an incoming socket: waits for the peer's handshake frame and answers it.
 *
 * @param self - identifier of this instance
 * @param socket - new socket, owned by this function until the handshake completes
 * @param events - callbacks for the new connection
 */
export function acceptSocket(self: InstanceId, socket: WebSocket, events: ConnectionEvents): void {
    const codec = createFrameCodec();
    const timer = setTimeout(() => socket.terminate(), connectTimeoutMilliseconds);
    socket.on("error", error => debug.debug("connection failed", { error: String(error) }));
    socket.once("close", () => clearTimeout(timer));
    const receiveHandshake = (data: Buffer): void => {
        clearTimeout(timer);
        const decoded = codec.decode(data);
        const frame = decoded.ok ? decoded.value : undefined;
        if (frame?.kind !== "hello") {
            debug.warn("first frame is no handshake", {
                detail: decoded.ok ? decoded.value.kind : decoded.error.detail,
            });
            socket.terminate();
            return;
        }
        const reason = frame.version !== peerProtocolVersion
            ? "version"
            : frame.to !== self
            ? "wrongInstance"
            : undefined;
        if (reason) {
            socket.send(codec.encode({ kind: "refusal", reason, version: peerProtocolVersion }));
            socket.close();
            return;
        }
        socket.send(codec.encode({ kind: "hello", version: peerProtocolVersion, from: self, to: frame.from }));
        openConnection(socket, frame.from, codec, events);
    };
    socket.once("message", data => callOrTerminate(socket, () => receiveHandshake(data as Buffer)));
}

// an exception in a callback of a connection costs the connection, not the process; its owner hears that it is closed
function callOrTerminate(socket: WebSocket, call: () => void): void {
    callGuarded("callback of a connection to an instance", call, () => socket.terminate());
}

function openConnection(socket: WebSocket, peer: InstanceId, codec: FrameCodec, events: ConnectionEvents): void {
    const idleTimer = startIdleTimer(socket, idleConnectionMilliseconds);
    const refreshIdleTimer = (): void => {
        idleTimer.refresh();
    };
    const connection: PeerConnection = {
        peer,
        isOpen: () => socket.readyState === WebSocket.OPEN,
        measureBacklog: () => socket.bufferedAmount,
        send: (frame, onWritten) => {
            refreshIdleTimer();
            socket.send(codec.encode(frame), onWritten);
        },
        close: () => socket.close(),
        terminate: () => socket.terminate(),
    };
    const receiveFrame = (data: Buffer): void => {
        refreshIdleTimer();
        const decoded = codec.decode(data);
        if (!decoded.ok || decoded.value.kind === "hello" || decoded.value.kind === "refusal") {
            debug.warn("malformed frame, connection closed", { peer });
            socket.terminate();
            return;
        }
        events.onFrame(connection, decoded.value);
    };
    socket.on("message", data => callOrTerminate(socket, () => receiveFrame(data as Buffer)));
    socket.once("close", () => {
        clearTimeout(idleTimer);
        callOrTerminate(socket, () => events.onClose(connection));
    });
    events.onOpen(connection);
}

function startIdleTimer(socket: WebSocket, duration: Milliseconds): NodeJS.Timeout {
    return setTimeout(() => socket.close(), duration).unref();
}
