import { expect } from "chai";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { createSystemClock, type InstanceId } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { peerProtocolVersion } from "../constants.js";
import { createFrameCodec, createPeerTask, type PeerTask } from "../index.js";

const requestBody = { kind: "snapshotRefused", reason: "notReady" } as const;
const answerTimeoutMilliseconds = 300;
/** Time in which a connection of a stopped instance is closed; an idle one lives for 60 s. */
const closeMilliseconds = 1_000;

interface WatchedPeer {
    readonly address: string;
    /** The next connection that the instance opens, after its first frame; the handshake is answered by `greet`. */
    readonly waitForConnection: () => Promise<WebSocket>;
    readonly greet: (socket: WebSocket, to: InstanceId) => void;
    /** Opens a connection to an instance and resolves when it is open. */
    readonly connect: (address: string) => Promise<WebSocket>;
    readonly stop: () => void;
}

async function startWatchedPeer(name: InstanceId): Promise<WatchedPeer> {
    const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
    await new Promise(resolve => server.once("listening", resolve));
    const accepted: WebSocket[] = [];
    const opened: WebSocket[] = [];
    server.on("connection", socket => accepted.push(socket));
    const next = new Promise<WebSocket>(resolve =>
        server.once("connection", socket => socket.once("message", () => resolve(socket)))
    );
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        waitForConnection: () => next,
        greet: (socket, to) =>
            socket.send(createFrameCodec().encode({ kind: "hello", version: peerProtocolVersion, from: name, to })),
        connect: async address => {
            const socket = new WebSocket(`ws://${address}`);
            opened.push(socket);
            await new Promise((resolve, reject) => {
                socket.once("open", resolve);
                socket.once("error", reject);
            });
            return socket;
        },
        stop: () => {
            [...accepted, ...opened].forEach(socket => socket.terminate());
            server.close();
        },
    };
}

function waitForMessage(socket: WebSocket): Promise<void> {
    return new Promise(resolve => socket.once("message", () => resolve()));
}

async function waitForClose(socket: WebSocket): Promise<"closed" | "open"> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve("open"), closeMilliseconds);
        const finish = (): void => {
            clearTimeout(timer);
            resolve("closed");
        };
        socket.readyState === WebSocket.CLOSED ? finish() : socket.once("close", finish);
    });
}

describe("connections of an instance that stops", () => {
    let peer: WatchedPeer;
    let instance: PeerTask;
    let address: string;
    let stopping: AbortController;

    beforeEach(async () => {
        peer = await startWatchedPeer("right");
        stopping = new AbortController();
        instance = createPeerTask({ self: "left", findAddress: () => peer.address, clock: createSystemClock() });
        address = await instance.listen();
        startDetached(instance.run(stopping.signal));
    });
    afterEach(() => {
        stopping.abort();
        peer.stop();
    });

    // guards against a second connection to the same instance that a stop forgets, so that it keeps both processes for 60 s
    it("are all closed where two instances had connected to each other at once", async () => {
        const sent = instance.network.request("right", "config", requestBody, answerTimeoutMilliseconds);
        const outgoing = await peer.waitForConnection();
        const incoming = await peer.connect(address);
        peer.greet(incoming, "left");
        await waitForMessage(incoming);
        peer.greet(outgoing, "left");
        await sent;
        stopping.abort();
        expect(await Promise.all([incoming, outgoing].map(waitForClose))).to.deep.equal(["closed", "closed"]);
    });

    // guards against a connection whose handshake ends after the stop, which nobody closes
    it("are closed also when their handshake ends after the stop", async () => {
        const incoming = await peer.connect(address);
        const sent = instance.network.request("right", "config", requestBody, answerTimeoutMilliseconds);
        const outgoing = await peer.waitForConnection();
        stopping.abort();
        peer.greet(outgoing, "left");
        peer.greet(incoming, "left");
        const ends = await Promise.all([incoming, outgoing].map(waitForClose));
        await sent;
        expect(ends).to.deep.equal(["closed", "closed"]);
    });
});
