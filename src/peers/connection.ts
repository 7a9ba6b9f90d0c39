/**
 * One WebSocket to another instance, after its handshake.
 *
 * @packageDocumentation
 */
import { WebSocket } from "ws";
import { createLogger, type InstanceId, type Milliseconds } from "../shared/index.js";
import {
    connectTimeoutMilliseconds,
    frameLimitBytes,
    idleConnectionMilliseconds,
    peerProtocolVersion,
} from "./constants.js";
import { createFrameCodec, type FrameCodec, type PeerFrame } from "./frames.js";

/** A frame that carries a part's message. */
export type PayloadFrame = Extract<PeerFrame, { readonly kind: "message" | "request" | "response"; }>;

/** An open connection. */
export interface PeerConnection {
    readonly peer: InstanceId;
    readonly isOpen: () => boolean;
    /** Bytes that the socket has not yet taken. */
    readonly measureBacklog: () => number;
    readonly send: (frame: PayloadFrame) => void;
    readonly close: () => void;
}

/** What the owner of connections is told. */
export interface ConnectionEvents {
    readonly onOpen: (connection: PeerConnection) => void;
    readonly onFrame: (connection: PeerConnection, frame: PayloadFrame) => void;
    readonly onClose: (connection: PeerConnection) => void;
}

/** Why a handshake failed. */
export type HandshakeError =
    | { readonly kind: "unreachable"; readonly detail: string; }
    | { readonly kind: "incompatible"; readonly theirs: number; };

const debug = createLogger("peers");

/**
 * Connects to a peer and shakes hands.
 *
 * @param self - this instance
 * @param peer - the instance expected at the address
 * @param address - IP and port
 * @param events - told of the connection once it is open
 * @returns `undefined` once open, or why it is not
 */
export function connectToPeer(
    self: InstanceId,
    peer: InstanceId,
    address: string,
    events: ConnectionEvents,
): Promise<HandshakeError | undefined> {
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
        socket.once("close", () => finish({ kind: "unreachable", detail: `no handshake with ${peer} at ${address}` }));
        socket.once(
            "open",
            () => socket.send(codec.encode({ kind: "hello", version: peerProtocolVersion, from: self, to: peer })),
        );
        socket.once("message", data => {
            const decoded = codec.decode(data as Buffer);
            const frame = decoded.ok ? decoded.value : undefined;
            if (frame?.kind === "hello" && frame.from === peer) {
                openConnection(socket, peer, codec, events);
                finish(undefined);
                return;
            }
            finish(
                frame?.kind === "refusal" && frame.reason === "version"
                    ? { kind: "incompatible", theirs: frame.version }
                    : { kind: "unreachable", detail: `${address} is not ${peer}` },
            );
            socket.terminate();
        });
    });
}

/**
 * Takes an incoming socket: waits for its handshake and answers it.
 *
 * @param self - this instance
 * @param socket - the new socket
 * @param events - told of the connection once it is open
 */
export function acceptSocket(self: InstanceId, socket: WebSocket, events: ConnectionEvents): void {
    const codec = createFrameCodec();
    const timer = setTimeout(() => socket.terminate(), connectTimeoutMilliseconds);
    socket.on("error", error => debug.debug("connection failed", { error: String(error) }));
    socket.once("close", () => clearTimeout(timer));
    socket.once("message", data => {
        clearTimeout(timer);
        const decoded = codec.decode(data as Buffer);
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
    });
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
        send: frame => {
            refreshIdleTimer();
            socket.send(codec.encode(frame));
        },
        close: () => socket.close(),
    };
    socket.on("message", data => {
        refreshIdleTimer();
        const decoded = codec.decode(data as Buffer);
        if (!decoded.ok || decoded.value.kind === "hello" || decoded.value.kind === "refusal") {
            debug.warn("malformed frame, connection closed", { peer });
            socket.terminate();
            return;
        }
        events.onFrame(connection, decoded.value);
    });
    socket.once("close", () => {
        clearTimeout(idleTimer);
        events.onClose(connection);
    });
    events.onOpen(connection);
}

function startIdleTimer(socket: WebSocket, duration: Milliseconds): NodeJS.Timeout {
    return setTimeout(() => socket.close(), duration).unref();
}
