import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { resetSocket, waitForEvents } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import type { LoopGate } from "../loopDelay.js";
import { type Attempt, createServerConnections, type ServerConnections } from "../serverConnections.js";
import { type BackendServer, formatServerRunId, type HeaderCodec } from "../types.js";

const codec: HeaderCodec = {
    decodeRequest: () => {
        throw new Error("not used here");
    },
    encodeForwardedHeaders: () => [],
    encodeRefusalHeaders: () => [],
    decodeResponseHead: (status, rawHeaders) => ({
        status,
        attemptId: rawHeaders.includes("Id") ? rawHeaders[rawHeaders.indexOf("Id") + 1] : undefined,
        isSigned: true,
        isNotRun: rawHeaders.includes("Not-Run"),
        load: undefined,
        requestLimit: undefined,
        retryAfter: undefined,
        isLeaving: rawHeaders.includes("Leaving"),
        isEventStream: false,
        contentLength: undefined,
        passedHeaders: rawHeaders,
    }),
};

/** A late loop counts as late for a second; what is sent meanwhile must not wait for that. */
const lateLimitMilliseconds = 1_000;
const onTime: LoopGate = { isLate: () => false, handleWaiting: () => Promise.resolve() };

interface ObservedAttempt {
    readonly end: string;
    readonly body: string;
    readonly received: string;
}

// sends one attempt to a server that calls `sendResponse` with its socket once the head of the request has arrived
async function runAttempt(sendResponse: (socket: Socket) => void, attemptId = "7"): Promise<ObservedAttempt> {
    let received = "";
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            if (received.includes("\r\n\r\n")) {
                sendResponse(socket);
            }
        });
    });
    const port = await listen(server);
    const connections = createServerConnections({
        headers: codec,
        findConnectionLimit: () => 1,
        mayReceive: () => true,
        loop: onTime,
        onLeaving: () => undefined,
        idleTimeout: 1_000,
    });
    const observed = await sendOnce(connections, port, attemptId);
    connections.close();
    server.close();
    return { ...observed, received };
}

interface WithdrawnAttempts {
    readonly ends: readonly string[];
    /** Requests that the server received. */
    readonly received: number;
}

// two attempts over one connection to a server that says in its first response that it leaves; the first is `attemptId`
async function runWhileLeaving(attemptId: string): Promise<WithdrawnAttempts> {
    let received = 0;
    let hasLeft = false;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            received++;
            setTimeout(() => socket.write(`${head}Leaving: 1\r\nContent-Length: 3\r\n\r\nabc`), 30);
        });
    });
    const port = await listen(server);
    const connections: ServerConnections = createServerConnections({
        headers: codec,
        findConnectionLimit: () => 1,
        mayReceive: () => !hasLeft,
        loop: onTime,
        onLeaving: leaving => {
            hasLeft = true;
            connections.remove(formatServerRunId(leaving));
        },
        idleTimeout: 1_000,
    });
    const attempts = await Promise.all([
        sendOnce(connections, port, attemptId),
        sendOnce(connections, port, "7"),
    ]);
    const later = await sendOnce(connections, port, "7");
    connections.close();
    server.close();
    return { ends: [...attempts, later].map(({ end }) => end), received };
}

function listen(server: Server): Promise<number> {
    return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port)));
}

function sendOnce(
    connections: ServerConnections,
    port: number,
    attemptId: string,
    { onSent = () => undefined, wasRefused = false }: {
        readonly onSent?: (attempt: Attempt) => void;
        readonly wasRefused?: boolean;
    } = {},
): Promise<Omit<ObservedAttempt, "received">> {
    const server: BackendServer = {
        id: "i-1",
        startedAt: 1,
        service: "s",
        // a port beyond the range of ports gives an address that is none for the network
        address: `127.0.0.1:${port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
    return new Promise(resolve => {
        let body = "";
        const attempt = connections.send(
            {
                server,
                attemptId,
                method: "POST",
                target: "/a?b",
                headers: ["X-A", "1"],
                body: Buffer.from("x\xff", "latin1"),
                wasRefused,
            },
            {
                onHead: ({ isNotRun }) => isNotRun && resolve({ end: "refused", body }),
                onData: chunk => body += chunk.toString("latin1"),
                onEnd: () => resolve({ end: "end", body }),
                onFault: fault => resolve({ end: fault.kind, body }),
            },
        );
        onSent(attempt);
    });
}

const head = "HTTP/1.1 200 OK\r\nId: 7\r\n";

describe("attempt", () => {
    it("sends method, path and body unchanged, and delivers the complete response", async () => {
        const observed = await runAttempt(socket => socket.write(`${head}Content-Length: 3\r\n\r\nabc`));
        expect(observed).to.deep.include({ end: "end", body: "abc" });
        expect(observed.received).to.match(/^POST \/a\?b HTTP\/1.1\r\n/).and.to.match(/X-A: 1\r\n/i);
        expect(observed.received.endsWith("\r\n\r\nx\xff")).to.equal(true);
    });

    // guards against an address that looks like one and is none for the network, at which the process ended (FAULT)
    it("reports that nothing was sent when no connection can be made to the address", async () => {
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: onTime,
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        const { end } = await sendOnce(connections, 99_999, "7");
        connections.close();
        expect(end).to.match(/^notSent/);
    });

    it("reports that nothing was sent when the connection is refused", async () => {
        const server = createServer();
        const port = await listen(server);
        await new Promise(resolve => server.close(resolve));
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: onTime,
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        expect((await sendOnce(connections, port, "7")).end).to.equal("notSent");
        connections.close();
    });

    const breaks: readonly (readonly [string, (socket: Socket) => void])[] = [
        ["by a close before the response", socket => socket.end()],
        ["by a reset before the response", socket => resetSocket(socket)],
        ["by an end within the head", socket => socket.end("HTTP/1.1 200 OK\r\nId")],
        ["by an end within a body with a content length", socket => socket.end(`${head}Content-Length: 9\r\n\r\nabc`)],
        [
            "by an end within a chunked body",
            socket => socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`),
        ],
        ["by bytes that are not HTTP", socket => socket.end("\x00\x01garbage\r\n\r\n")],
    ];
    for (const [name, sendResponse] of breaks) {
        it(`is broken ${name}`, async () => {
            expect((await runAttempt(sendResponse)).end).to.equal("broken");
        });
    }

    it("ends with the connection when the response has no length", async () => {
        const observed = await runAttempt(socket => socket.end(`${head}Connection: close\r\n\r\nabc`));
        expect(observed).to.deep.include({ end: "end", body: "abc" });
    });

    it("is broken when the connection of a response without a length is reset", async () => {
        const observed = await runAttempt(socket => {
            socket.write(`${head}Connection: close\r\n\r\nabc`);
            setTimeout(() => resetSocket(socket), 30);
        });
        expect(observed.end).to.equal("broken");
    });

    it("is broken when the reset arrives together with the last bytes", async () => {
        const observed = await runAttempt(socket =>
            socket.write(`${head}Connection: close\r\n\r\nabc`, () => resetSocket(socket))
        );
        expect(observed.end).to.equal("broken");
    });

    it("rejects a response with the attempt id of another request", async () => {
        const observed = await runAttempt(socket => socket.write(`${head}Content-Length: 3\r\n\r\nabc`), "8");
        expect(observed).to.deep.include({ end: "crossed", body: "" });
    });

    // guards against requests that were on their way to a connection when a response told that the server leaves
    it("isn't sent when the server says that it leaves while the request waits for a connection, or before", async () => {
        expect(await runWhileLeaving("7")).to.deep.equal({ ends: ["end", "withdrawn", "withdrawn"], received: 1 });
    });

    // guards against a notice that is lost with a late response to another request
    it("heeds what a response to another request says of the server", async () => {
        expect(await runWhileLeaving("8")).to.deep.equal({ ends: ["crossed", "withdrawn", "withdrawn"], received: 1 });
    });

    // guards against a request that reaches a server although its client has left while the loop was late (GONE)
    it("isn't written while the loop is late, when it is aborted meanwhile, and its new connection is kept", async () => {
        let received = "";
        let accepted = 0;
        const server = createServer(socket => {
            accepted++;
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                received += chunk.toString("latin1");
                socket.write(`${head}Content-Length: 3\r\n\r\nabc`);
            });
        });
        const port = await listen(server);
        let checks = 0;
        let first: Attempt | undefined;
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: {
                // late only when the connection of the first attempt is open
                isLate: () => {
                    checks++;
                    return checks === 2;
                },
                handleWaiting: async () => first!.abort(),
            },
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        startDetached(sendOnce(connections, port, "7", { onSent: attempt => first = attempt }));
        await new Promise(resolve => setTimeout(resolve, 50));
        const { end } = await sendOnce(connections, port, "7");
        connections.close();
        server.close();
        expect({ end, accepted, written: received.match(/POST/g)?.length }).to.deep.equal({
            end: "end",
            accepted: 1,
            written: 1,
        });
    });

    // guards against a request that is put off until its deadline while the loop counts as late (LOST)
    it("is written while the loop stays late, on new and on kept connections, though many wait for one", async () => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                const requests = chunk.toString("latin1").match(/POST/g)?.length ?? 0;
                socket.write(`${head}Content-Length: 3\r\n\r\nabc`.repeat(requests));
            });
        });
        const port = await listen(server);
        let waits = 0;
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: {
                isLate: () => true,
                handleWaiting: () => {
                    waits++;
                    return waitForEvents();
                },
            },
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        const ends: string[] = [];
        const limit = new Promise(resolve => setTimeout(resolve, lateLimitMilliseconds));
        for (let round = 0; round < 3; round++) {
            const sent = Array.from({ length: 4 }, () => sendOnce(connections, port, "7"));
            await Promise.race([
                limit,
                Promise.all(sent.map(async each => void ends.push((await each).end))),
            ]);
        }
        connections.close();
        server.close();
        expect(ends).to.deep.equal(Array.from({ length: 12 }, () => "end"));
        expect(waits, "waits of 12 requests").to.be.at.most(48);
    });

    // guards against a caller that is told "not run" of a request that a server runs (REFUSED, TWICE)
    it("isn't refused by an answer that names no request, or by a second copy of an earlier refusal", async () => {
        const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n";
        const named = await runAttempt(socket => socket.write(`${refusal}Id: 7\r\n\r\n`));
        const unnamed = await runAttempt(socket => socket.write(`${refusal}\r\n`));
        const foreign = await runAttempt(socket => socket.write(`${refusal}Id: 6\r\n\r\n`));
        expect([named, unnamed, foreign].map(({ end }) => end)).to.deep.equal(["refused", "crossed", "crossed"]);
    });

    // the copy names the same attempt, as a request is sent to a server again once its adapter is loaded there
    it("isn't refused by a second copy when it is sent to the server again that has refused it", async () => {
        const refusal = "HTTP/1.1 421 Elsewhere\r\nNot-Run: 1\r\nId: 7\r\nContent-Length: 0\r\n\r\n";
        const served = new Map<Socket, number>();
        let requests = 0;
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                requests++;
                const ofSocket = (served.get(socket) ?? 0) + 1;
                served.set(socket, ofSocket);
                // the earlier refusal is written once more where the answer to the second request is due
                socket.write(requests === 1 || ofSocket > 1 ? refusal : `${head}Content-Length: 3\r\n\r\nabc`);
            });
        });
        const port = await listen(server);
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: onTime,
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        const first = await sendOnce(connections, port, "7");
        const second = await sendOnce(connections, port, "7", { wasRefused: true });
        connections.close();
        server.close();
        expect([first.end, second]).to.deep.equal(["refused", { end: "end", body: "abc" }]);
    });

    // guards against requests that go to an address which another writer gave the entry of their server for a moment, until
    // the server's process ends (FAULT)
    it("goes to the address that the entry of its server has now", async () => {
        const answering = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(`${head}Content-Length: 3\r\n\r\nabc`));
        });
        const held: Socket[] = [];
        const former = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => held.push(socket));
        });
        const [port, formerPort] = [await listen(answering), await listen(former)];
        const connections = createServerConnections({
            headers: codec,
            findConnectionLimit: () => 1,
            mayReceive: () => true,
            loop: onTime,
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
        const running = sendOnce(connections, formerPort, "7");
        const waiting = sendOnce(connections, formerPort, "7");
        while (held.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const limit = new Promise<{ end: string; }>(resolve => setTimeout(resolve, 1_000, { end: "none" }));
        const next = await Promise.race([sendOnce(connections, port, "7"), limit]);
        // it would wait for the connection to the former address
        const moved = await Promise.race([waiting, limit]);
        held.forEach(socket => socket.write(`${head}Content-Length: 3\r\n\r\nold`));
        const ended = await running;
        connections.close();
        answering.close();
        former.close();
        expect([next.end, moved.end, ended]).to.deep.equal(["end", "rerouted", { end: "end", body: "old" }]);
    });
});
