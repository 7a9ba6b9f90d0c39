import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import type { BackendServer } from "../../serving/types.js";
import { formatStatusLines, interimHead } from "../../testing/index.js";
import { createEngineControlClient } from "../engineControlClient.js";
import { createPlatformStore } from "../store.js";

/** What came of a call that got these bytes. */
interface Seen<Answer> {
    readonly answer: Answer;
    /** Whether the connection was closed while the client was open. */
    readonly isClosed: boolean;
}

/** Time in which a connection that isn't used again is closed, in milliseconds. */
const closeMilliseconds = 50;
const order = {
    action: "load",
    model: "m",
    adapter: "a",
    version: undefined,
    expectedSequence: 1,
    holder: "front-1",
    fencingNumber: 1,
} as const;
const lines: Readonly<Record<string, string>> = {
    ...formatStatusLines(""),
    "000 after an interim answer": `${interimHead}HTTP/1.1 000 -\r\nContent-Length: 0\r\n\r\n`,
    "600 after an interim answer": `${interimHead}HTTP/1.1 600 -\r\nContent-Length: 0\r\n\r\n`,
};

async function callOnce<Answer>(
    bytes: string,
    open: (address: string) => { readonly call: () => Promise<Answer>; readonly close: () => void; },
): Promise<Seen<Answer>> {
    let isClosed = false;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("close", () => {
            isClosed = true;
        });
        socket.once("data", () => socket.write(Buffer.from(bytes, "latin1")));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = open(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const answer = await client.call();
    await new Promise(resolve => setTimeout(resolve, closeMilliseconds));
    const seen = { answer, isClosed };
    client.close();
    server.close();
    return seen;
}

function createEngine(address: string): BackendServer {
    return {
        id: "e-1",
        startedAt: 1,
        service: "s",
        address,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
}

describe("calls to engines and the store that get a status line that no answer has", () => {
    for (const [name, bytes] of Object.entries(lines)) {
        // guards against an order that counts as refused, and so as without effect, though the engine may carry it out (LIMIT)
        it(`leave an order unknown, and close its connection: ${name}`, async () => {
            const { answer, isClosed } = await callOnce(bytes, address => {
                const client = createEngineControlClient(() => undefined);
                return { call: () => client.order(createEngine(address), order), close: client.close };
            });
            expect(answer).to.deep.equal({ kind: "unknown" });
            expect(isClosed).to.equal(true);
        });

        // guards against a connection to an engine that is used again after bytes that are no answer
        it(`bring no report: ${name}`, async () => {
            const { answer, isClosed } = await callOnce(bytes, address => {
                const client = createEngineControlClient(() => undefined);
                return { call: () => client.report(createEngine(address)), close: client.close };
            });
            expect([answer.ok, isClosed]).to.deep.equal([false, true]);
        });

        // guards against a write that counts as refused by the store though it may be in its log
        it(`are no answer of the store: ${name}`, async () => {
            const { answer, isClosed } = await callOnce(bytes, address => {
                const store = createPlatformStore(address, () => undefined);
                return { call: () => store.append("instances", "k", Buffer.from("v")), close: store.close };
            });
            expect(answer.ok ? "answered" : answer.error.kind).to.equal("unreachable");
            expect(isClosed).to.equal(true);
        });
    }

    for (const status of ["102", "199"]) {
        // guards against an answer that is lost as an interim one came before it
        it(`take the answer after an interim one: ${status}`, async () => {
            const interim = `HTTP/1.1 ${status} -\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n`;
            const { answer, isClosed } = await callOnce(interim, address => {
                const client = createEngineControlClient(() => undefined);
                return { call: () => client.order(createEngine(address), order), close: client.close };
            });
            expect([answer.kind, isClosed]).to.deep.equal(["accepted", false]);
        });
    }
});
