import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import { Pool } from "undici";
import { createEngineControlClient } from "../engineControlClient.js";
import { sendHttpRequest } from "../httpRequest.js";
import { createPlatformStore } from "../store.js";

/** What is on its way in the buffers of both sides when a connection is closed. */
const bufferedBytes = 8 * 1_048_576;

interface Outcome {
    readonly isAnswered: boolean;
    /** Whether the server saw its connection closed. */
    readonly isClosed: boolean;
    readonly sentBytes: number;
}

/** Calls a server and closes the client that it has used. */
type Call = (address: string) => Promise<{ readonly ok: boolean; }>;

async function callOnce(address: string): Promise<{ readonly ok: boolean; }> {
    const pool = new Pool(`http://${address}`);
    const result = await sendHttpRequest(pool, { method: "GET", path: "/", timeout: 10_000 });
    await new Promise(resolve => setTimeout(resolve, 50));
    await pool.destroy();
    return result;
}

async function callStore(address: string): Promise<{ readonly ok: boolean; }> {
    const store = createPlatformStore(address, () => undefined);
    const result = await store.readNewest("servers");
    store.close();
    return result;
}

async function callEngine(address: string): Promise<{ readonly ok: boolean; }> {
    const client = createEngineControlClient(() => undefined);
    const result = await client.report({
        id: "e-1",
        startedAt: 1,
        service: "s",
        address,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    });
    client.close();
    return result;
}

// a server that sends `start` and then `unit` again and again as long as the connection stands
async function receiveWithoutEnd(start: string, call: Call = callOnce, unit = "x"): Promise<Outcome> {
    const filler = Buffer.from(unit.repeat(65_536 / unit.length));
    let isClosed = false;
    let sentBytes = 0;
    const server: Server = createServer((socket: Socket) => {
        const send = (): void => {
            while (!socket.destroyed) {
                sentBytes += filler.length;
                if (!socket.write(filler)) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        socket.on("error", () => undefined);
        socket.once("close", () => {
            isClosed = true;
        });
        socket.once("data", () => {
            socket.write(start);
            send();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { ok: isAnswered } = await call(`127.0.0.1:${(server.address() as { readonly port: number; }).port}`);
    await new Promise(resolve => setTimeout(resolve, 50));
    server.close();
    return { isAnswered, isClosed, sentBytes };
}

describe("calls to the store and to engines", () => {
    // guards against memory that fills with a body that never ends, until the time limit of the call
    it("give up a body without end and close its connection", async () => {
        const outcome = await receiveWithoutEnd("HTTP/1.1 200 OK\r\n\r\n");
        expect(outcome.isAnswered).to.equal(false);
        expect(outcome.isClosed).to.equal(true);
        expect(outcome.sentBytes).to.be.below(40_000_000);
    });

    // guards against memory that fills with a head that never ends
    it("give up a head without end and close its connection", async () => {
        const outcome = await receiveWithoutEnd("HTTP/1.1 200 OK\r\nX: ");
        expect(outcome.isAnswered).to.equal(false);
        expect(outcome.isClosed).to.equal(true);
        expect(outcome.sentBytes).to.be.below(10_000_000);
    });

    const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // guards against bodies that are read far beyond what may be taken, on each connection to an engine or the store
    it("read no more of a body than may be a page or a report", async () => {
        const page = await receiveWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", callStore);
        expect([page.isAnswered, page.isClosed]).to.deep.equal([false, true]);
        expect(page.sentBytes).to.be.below(2 * 1_048_576 + bufferedBytes);
        const report = await receiveWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", callEngine);
        expect([report.isAnswered, report.isClosed]).to.deep.equal([false, true]);
        expect(report.sentBytes).to.be.below(262_144 + bufferedBytes);
    });

    // guards against bytes that bring no answer and are read until the time limit of the call
    it("give up interim answers and an extension of a chunk without end", async () => {
        const interim = await receiveWithoutEnd("", callOnce, "HTTP/1.1 103 Early\r\nA:b\r\n\r\n");
        expect([interim.isAnswered, interim.isClosed]).to.deep.equal([false, true]);
        expect(interim.sentBytes).to.be.below(bufferedBytes);
        const extension = await receiveWithoutEnd(`${chunked}1;`, callStore);
        expect([extension.isAnswered, extension.isClosed]).to.deep.equal([false, true]);
        expect(extension.sentBytes).to.be.below(1_048_576 + bufferedBytes);
    });
});
