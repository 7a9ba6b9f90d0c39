import { expect } from "chai";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createServerConnections } from "../serverConnections.js";
import type { BackendServer } from "../types.js";
import { testCodec } from "./testCodec.js";
import { pause } from "./testStore.js";

const refusal = "HTTP/1.1 503 Busy\r\nId: 7\r\n";
const forms: Readonly<Record<string, string>> = {
    "with a length and none of its body": `${refusal}Content-Length: 5\r\n\r\n`,
    "with a part of its body": `${refusal}Content-Length: 5\r\n\r\nab`,
    "in chunks": `${refusal}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n`,
    "without a length": `${refusal}\r\nab`,
};
const connectionLimit = 2;
const requestCount = 4;

// sends requests to a server that refuses each with these bytes; nobody wants the rest of an answer
async function countArrived(
    respond: (socket: Socket) => void,
    duration: number,
    { timeLeft = 60_000, isPaused = false } = {},
): Promise<{ readonly arrived: number; readonly opened: number; }> {
    let arrived = 0;
    let opened = 0;
    const server = createServer(socket => {
        opened++;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            arrived++;
            respond(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const backend: BackendServer = {
        id: "s",
        startedAt: 1,
        service: "llm",
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
    const connections = createServerConnections({
        headers: testCodec,
        findConnectionLimit: () => connectionLimit,
        mayReceive: () => true,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        onLeaving: () => undefined,
        idleTimeout: 1_000,
    });
    const request = { server: backend, attemptId: "7", method: "POST", target: "/", headers: [], body: undefined };
    for (let sent = 0; sent < requestCount; sent++) {
        const attempt = connections.send(request, {
            onHead: () => {
                if (isPaused) {
                    attempt.pause();
                }
                attempt.drain?.(timeLeft);
            },
            onData: () => undefined,
            onEnd: () => undefined,
            onFault: () => undefined,
        });
    }
    await pause(duration);
    connections.close();
    server.close();
    return { arrived, opened };
}

describe("rest of an answer that nobody wants", () => {
    for (const [name, bytes] of Object.entries(forms)) {
        // guards against servers that take no more requests, as silent rests of refusals hold their connections
        it(`is ended when it is silent ${name}`, async () => {
            const { arrived } = await countArrived(socket => socket.write(bytes), 2_500);
            expect(arrived).to.equal(requestCount);
        });

        // guards against requests that wait for a connection whose request has no time left
        it(`is ended at the deadline of its request when it is silent ${name}`, async () => {
            const { arrived } = await countArrived(socket => socket.write(bytes), 700, { timeLeft: 100 });
            expect(arrived).to.equal(requestCount);
        });
    }

    for (const isPaused of [false, true]) {
        // guards against a new connection for each refused request, and against the end of a later request on a kept one
        it(`doesn't cost the connection when it comes late and whole, ${isPaused ? "" : "not "}held back`, async () => {
            const respond = (socket: Socket): void => {
                socket.write(`${refusal}Content-Length: 5\r\n\r\nab`);
                setTimeout(() => socket.write("cde"), 50);
            };
            const { arrived, opened } = await countArrived(respond, 1_500, { isPaused });
            expect([arrived, opened]).to.deep.equal([requestCount, connectionLimit]);
        });
    }
});
