import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type ClientServer, createClientServer, type ReceivedRequest } from "../clientServer.js";

// what is left after a collection
function measureKeptBytes(): number {
    setFlagsFromString("--expose-gc");
    runInNewContext("gc")();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

interface OpenedServer {
    readonly server: ClientServer;
    readonly port: number;
    readonly received: ReceivedRequest[];
    readonly drain: () => void;
}

async function openServer(
    handle: (received: ReceivedRequest) => void,
    bodyBytes = 50,
): Promise<OpenedServer> {
    let isDraining = false;
    const received: ReceivedRequest[] = [];
    const server = createClientServer({
        host: "127.0.0.1",
        port: 0,
        findLimits: () => ({ headerBytes: 1_000, bodyBytes, headerTimeout: 3_000, idleTimeout: 15_000 }),
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        isDraining: () => isDraining,
        onUnread: () => undefined,
        describeRefusal: () => ({ status: 503, headers: ["Retry-After", "0.1"] }),
        handle: request => {
            received.push(request);
            handle(request);
            return Promise.resolve();
        },
    });
    const port = await server.listen();
    return {
        server,
        port,
        received,
        drain: () => {
            isDraining = true;
        },
    };
}

function collectResponse(socket: Socket): Promise<string> {
    let text = "";
    socket.on("data", (chunk: Buffer) => text += chunk.toString("latin1"));
    return new Promise(resolve => socket.once("close", () => resolve(text)));
}

describe("client server", () => {
    it("passes body and target on unchanged, with a chunked body or a content length", async () => {
        const { server, port, received } = await openServer(({ answer }) => {
            answer.writeHead(200, ["X-A", "b"], 2);
            answer.write(Buffer.from("ok"));
            answer.end();
        });
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        socket.write("POST /a/%2F?b=c&d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\x00a\r\n\xff", "latin1");
        socket.write(
            "POST /e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhe\r\n1\r\ny\r\n0\r\n\r\n",
        );
        expect(await answer).to.match(/^HTTP\/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n[^]*\r\n\r\nokHTTP/);
        expect(received.map(request => [request.target, request.body?.toString("latin1")])).to.deep.equal([
            ["/a/%2F?b=c&d", "\x00a\r\n\xff"],
            ["/e", "hey"],
        ]);
        server.close();
        server.drain();
    });

    // guards against a process that runs out of memory on a body within its limit that comes in tiny chunks
    it("keeps a body in chunks of one byte in memory of its length", async () => {
        const size = 400_000;
        const { server, port, received } = await openServer(({ answer }) => {
            answer.writeHead(200, [], 0);
            answer.end();
        }, size);
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        const before = measureKeptBytes();
        socket.write("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
        const sent = new Promise(resolve => socket.write("1\r\na\r\n".repeat(size), resolve));
        await sent;
        await new Promise(resolve => setTimeout(resolve, 500));
        const kept = measureKeptBytes() - before;
        socket.write("0\r\n\r\n");
        expect(await answer).to.match(/^HTTP\/1.1 200 /);
        expect(received[0]!.body?.length).to.equal(size);
        expect(kept).to.be.below(4 * size);
        server.drain();
    });

    it("refuses a body above the limit with 413", async () => {
        const { server, port, received } = await openServer(() => undefined);
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n${"x".repeat(60)}`);
        expect(await answer).to.match(/^HTTP\/1.1 413 /);
        expect(received).to.deep.equal([]);
        server.drain();
    });

    it("closes a connection after a response that started before the drain", async () => {
        let finish: () => void = () => undefined;
        const { server, port, drain } = await openServer(({ answer }) => {
            answer.writeHead(200, [], undefined);
            answer.write(Buffer.from("first"));
            finish = () => answer.end();
        });
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await new Promise(resolve => socket.once("data", resolve));
        drain();
        server.drain();
        finish();
        expect(await answer).to.match(/first\r\n0\r\n\r\n$/);
    });

    // guards against a drain that cuts off an answer which is complete here and which its client reads slowly (LOST)
    it("sends the rest of a complete answer to a client that reads slowly while it drains", async () => {
        const size = 8_000_000;
        const { server, port, drain } = await openServer(({ answer }) => {
            answer.writeHead(200, [], size);
            answer.write(Buffer.alloc(size, "x"));
            answer.end();
        });
        const socket = connect(port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await new Promise(resolve => socket.once("readable", resolve));
        drain();
        server.drain();
        expect(server.countOpen()).to.equal(1);
        await new Promise(resolve => setTimeout(resolve, 50));
        const answer = await collectResponse(socket);
        expect(answer.length - answer.indexOf("\r\n\r\n") - 4).to.equal(size);
        expect(server.countOpen()).to.equal(0);
    });

    // guards against a connection that is closed after its answer though one more request on it was passed on (LOST)
    it("answers each request that it has read on a connection before it closes it while it drains", async () => {
        const waiting: (() => void)[] = [];
        const { server, port, received, drain } = await openServer(({ answer, target }) => {
            waiting.push(() => {
                answer.writeHead(200, [], target.length);
                answer.write(Buffer.from(target));
                answer.end();
            });
        });
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        socket.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        while (received.length < 2) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        drain();
        server.drain();
        waiting[0]!();
        await new Promise(resolve => setTimeout(resolve, 50));
        waiting[1]!();
        const text = await answer;
        expect(text.match(/HTTP\/1.1 200 OK/g)).to.have.length(2);
        expect(text).to.match(/\/1HTTP[^]*Connection: close[^]*\/2$/);
    });

    it("closes the connection without the last chunk when a response is destroyed", async () => {
        const { server, port } = await openServer(({ answer }) => {
            answer.writeHead(200, [], undefined);
            answer.write(Buffer.from("first"));
            setTimeout(answer.destroy, 20);
        });
        const socket = connect(port, "127.0.0.1");
        const answer = collectResponse(socket);
        socket.on("error", () => undefined);
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        expect(await answer).not.to.match(/0\r\n\r\n$/);
        server.drain();
    });

    // guards against an answer that is cut off and looks complete, as its client knows neither chunks nor a length (ORDER)
    it("resets the connection when a response is destroyed that ends with its connection", async () => {
        const { server, port } = await openServer(({ answer }) => {
            answer.writeHead(200, [], undefined);
            answer.write(Buffer.from("first"));
            setTimeout(answer.destroy, 20);
        });
        const socket = connect(port, "127.0.0.1");
        const ended = new Promise<string | undefined>(resolve => {
            socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code));
            socket.once("end", () => resolve("end"));
        });
        socket.resume();
        socket.write("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
        expect(await ended).to.equal("ECONNRESET");
        server.drain();
    });

    // guards against an answer that counts as delivered, or whose client is said to have left, though a stop has cut it off
    it("tells when an answer is on its way, and whether the client or the instance has closed its connection", async () => {
        const finishes: Promise<string>[] = [];
        const { server, port, received } = await openServer(({ answer, target }) => {
            answer.writeHead(200, [], undefined);
            answer.write(Buffer.alloc(target === "/short" ? 10 : 8_000_000));
            finishes.push(answer.finished!);
            answer.end();
        });
        const clients = [];
        for (const target of ["/short", "/left", "/cut"]) {
            const client = connect(port, "127.0.0.1");
            client.on("error", () => undefined);
            client.write(`GET ${target} HTTP/1.1\r\nHost: h\r\n\r\n`);
            clients.push(client);
            await new Promise(resolve => client.once("readable", resolve));
        }
        expect(await finishes[0]).to.equal("sent");
        clients[1]!.destroy();
        expect(await finishes[1]).to.equal("client");
        expect(received[1]!.signal.reason).to.equal("client");
        server.drain();
        server.close();
        expect(await finishes[2]).to.equal("instance");
        expect(received[2]!.signal.reason).to.equal("instance");
    });

    // guards against a stop that waits to the end of its grace for the requests of a client that has left
    it("counts no request of a closed connection, also one that waits for an earlier one", async () => {
        const { server, port, received } = await openServer(() => undefined);
        const socket = connect(port, "127.0.0.1");
        socket.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        while (received.length < 2) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(server.countOpen()).to.equal(2);
        socket.destroy();
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(server.countOpen()).to.equal(0);
        server.close();
    });

    it("aborts the signal when the client disconnects", async () => {
        const { server, port, received } = await openServer(() => undefined);
        const socket = connect(port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        while (received.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const left = new Promise(resolve => received[0]!.signal.addEventListener("abort", resolve));
        socket.destroy();
        await left;
        server.drain();
    });
});
