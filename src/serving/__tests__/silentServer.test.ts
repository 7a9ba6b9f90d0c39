import { expect } from "chai";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type AttemptFault, createServerConnections, type ServerConnections } from "../serverConnections.js";
import { testCodec } from "./testCodec.js";

/** A process that listens and, once it is stopped, accepts nothing. */
const listenerCode = `
    const server = require("node:net").createServer();
    server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => process.send(server.address().port));
`;
const fillerCount = 4;
/** Twice the time in which a connection has to be made. */
const limitMilliseconds = 800;

function openConnections(): ServerConnections {
    return createServerConnections({
        headers: testCodec,
        findConnectionLimit: () => 10,
        mayReceive: () => true,
        onLeaving: () => undefined,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        idleTimeout: 1_500,
    });
}

function sendTo(connections: ServerConnections, port: number): Promise<AttemptFault["kind"] | "answered"> {
    const server = {
        id: "i-1",
        startedAt: 1,
        service: "s",
        address: `127.0.0.1:${port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
    return new Promise(resolve => {
        connections.send({ server, attemptId: "x", method: "GET", target: "/", headers: [], body: undefined }, {
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => resolve("answered"),
            onFault: ({ kind }) => resolve(kind),
        });
    });
}

function waitLimit(): Promise<"nothing"> {
    return new Promise(resolve => setTimeout(() => resolve("nothing"), limitMilliseconds));
}

describe("connections to a server that accepts nothing", () => {
    let listener: ChildProcess | undefined;
    let fillers: readonly Socket[] = [];
    const connections = openConnections();

    afterEach(() => {
        connections.close();
        fillers.forEach(socket => socket.destroy());
        listener?.kill("SIGKILL");
    });

    // guards against a request that waits for a second for a connection to a silent server, in place of 0.4 s
    it("are given up in time, so that the request goes to another server", async () => {
        listener = spawn(process.execPath, ["-e", listenerCode], { stdio: ["ignore", "ignore", "ignore", "ipc"] });
        const [port] = await once(listener, "message") as [number];
        listener.kill("SIGSTOP");
        fillers = Array.from({ length: fillerCount }, () => connect({ port, host: "127.0.0.1" }));
        fillers.forEach(socket => socket.on("error", () => undefined));
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(await Promise.race([sendTo(connections, port), waitLimit()])).to.equal("notSent");
    });

    // guards against a pause of this process that counts as a server which can't be reached
    it("aren't given up when this process was paused while they were made", async () => {
        const server = createServer((request, response) => response.end());
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const sent = sendTo(openConnections(), (server.address() as AddressInfo).port);
        await Promise.resolve();
        const until = performance.now() + limitMilliseconds;
        while (performance.now() < until) {
            // nothing else runs
        }
        expect(await sent).not.to.equal("notSent");
        server.close();
        server.closeAllConnections();
    });
});
