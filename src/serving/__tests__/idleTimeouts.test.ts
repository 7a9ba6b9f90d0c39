import { expect } from "chai";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { createIdleTimeouts, type IdleTimeouts } from "../idleTimeouts.js";

/** The HTTP server closes a connection this much later than its setting says. */
const serverMarginMilliseconds = 1_000;

interface Opened {
    readonly server: Server;
    readonly idleTimeouts: IdleTimeouts;
    readonly advance: (duration: number) => void;
    /** Socket of the server's side. */
    readonly socket: Socket;
    /** Sends a request, whose answer begins at once and ends after `during`. */
    readonly send: (during?: () => void) => Promise<string>;
    readonly write: (text: string) => Promise<void>;
}

async function open(keepAliveTimeout: number): Promise<Opened> {
    let now = 0;
    let resolveSent: () => void = () => undefined;
    let runBeforeEnd: (() => void) | undefined;
    const server = createServer((request, response) => {
        response.write("a");
        runBeforeEnd?.();
        response.end("b", () => setImmediate(resolveSent));
    });
    server.keepAliveTimeout = keepAliveTimeout;
    const idleTimeouts = createIdleTimeouts(server, () => now);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connected = new Promise<Socket>(resolve => server.once("connection", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const socket = await connected;
    return {
        server,
        idleTimeouts,
        socket,
        advance: duration => now += duration,
        send: async during => {
            runBeforeEnd = during;
            const sent = new Promise<void>(resolve => resolveSent = resolve);
            client.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            const answer = await readAnswer(client);
            await sent;
            return answer;
        },
        write: async text => {
            const received = new Promise<void>(resolve => socket.once("data", () => resolve()));
            client.write(text);
            await received;
        },
    };
}

function readAnswer(client: Socket): Promise<string> {
    return new Promise(resolve => {
        let text = "";
        const add = (chunk: Buffer): void => {
            text += chunk.toString();
            if (text.endsWith("0\r\n\r\n")) {
                client.off("data", add);
                resolve(text);
            }
        };
        client.on("data", add);
    });
}

function close({ server }: Opened): void {
    server.close();
    server.closeAllConnections();
}

describe("time-outs of idle connections of clients", () => {
    // guards against a connection that is closed by the old, shorter time-out while its client uses it by the new one
    it("grow with the configuration for connections that are idle already, counted from their last answer", async () => {
        const opened = await open(5_000);
        await opened.send();
        opened.advance(4_000);
        opened.idleTimeouts.update(15_000);
        expect(opened.socket.timeout).to.equal(15_000 + serverMarginMilliseconds - 4_000);
        opened.advance(1_000);
        opened.idleTimeouts.update(20_000);
        expect(opened.socket.timeout).to.equal(20_000 + serverMarginMilliseconds - 5_000);
        await opened.send();
        expect(opened.socket.timeout).to.equal(20_000 + serverMarginMilliseconds);
        close(opened);
    });

    // guards against a connection that is closed earlier than the last answer on it has told its client
    it("don't shrink for connections whose last answer has told a longer time", async () => {
        const opened = await open(15_000);
        await opened.send();
        opened.idleTimeouts.update(5_000);
        expect(opened.socket.timeout).to.equal(15_000 + serverMarginMilliseconds);
        opened.idleTimeouts.update(15_000);
        expect(await opened.send(() => opened.idleTimeouts.update(5_000))).to.match(/timeout=15\r\n/);
        expect(opened.socket.timeout).to.equal(15_000 + serverMarginMilliseconds);
        expect(await opened.send()).to.match(/timeout=5\r\n/);
        expect(opened.socket.timeout).to.equal(5_000 + serverMarginMilliseconds);
        close(opened);
    });

    // guards against a timer that begins, or begins anew, while a request arrives
    it("don't begin again on a connection on which a part of a request has come", async () => {
        const opened = await open(5_000);
        await opened.send();
        await opened.write("GET / HTTP/1.1\r\nHo");
        const before = opened.socket.timeout;
        opened.idleTimeouts.update(15_000);
        const after = opened.socket.timeout;
        close(opened);
        expect(after).to.equal(before);
    });
});
