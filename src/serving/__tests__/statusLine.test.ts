import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import { formatStatusLines, interimHead, wrongStatuses } from "../../testing/index.js";
import { type AttemptFault, createServerConnections } from "../serverConnections.js";
import type { BackendServer } from "../types.js";
import { testCodec } from "./testCodec.js";

/** What came of an attempt, and of the next one on the same connections. */
interface Seen {
    /** `undefined` where the attempt had an answer. */
    readonly fault: AttemptFault | undefined;
    readonly status: number | undefined;
    readonly next: string;
    /** Connections on which requests came. */
    readonly usedConnections: number;
}

const sound = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok";

async function sendTwice(bytes: string): Promise<Seen> {
    let arrived = 0;
    const used = new Set<unknown>();
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            used.add(socket);
            socket.write(Buffer.from(arrived++ === 0 ? bytes : sound, "latin1"));
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
        findConnectionLimit: () => 1,
        mayReceive: () => true,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        onLeaving: () => undefined,
        idleTimeout: 1_000,
    });
    const request = { server: backend, attemptId: "7", method: "POST", target: "/", headers: [], body: undefined };
    const send = (): Promise<Pick<Seen, "fault" | "status">> => {
        let status: number | undefined;
        return new Promise(resolve =>
            connections.send(request, {
                onHead: head => status = head.status,
                onData: () => undefined,
                onEnd: () => resolve({ fault: undefined, status }),
                onFault: fault => resolve({ fault, status }),
            })
        );
    };
    const first = await send();
    const { fault } = await send();
    connections.close();
    server.close();
    return { ...first, next: fault?.kind ?? "answered", usedConnections: used.size };
}

const noAnswer = { kind: "broken", isNoAnswer: true };

describe("a status line that no answer has", function() {
    this.timeout(5_000);

    for (const [name, bytes] of Object.entries(formatStatusLines("Id: 7\r\nSigned: 1\r\nNot-Run: 1\r\n"))) {
        // guards against a number that the parser lets through and that is passed on as an answer, or taken for a refusal (MIXED, TWICE),
        // and against requests that are quarantined for it (REFUSED)
        it(`is no answer, no fault of the request, and costs the connection: ${name}`, async () => {
            const { fault, status, next, usedConnections } = await sendTwice(bytes);
            expect(fault).to.include(noAnswer);
            expect([status, next, usedConnections]).to.deep.equal([undefined, "answered", 2]);
        });
    }

    for (const status of wrongStatuses) {
        // guards against a wrong status that is believed since an interim answer came before it (MIXED)
        it(`is no answer after an interim answer either: ${status === "" ? "none" : status}`, async () => {
            const { fault, status: taken } = await sendTwice(
                `${interimHead}HTTP/1.1 ${status} -\r\nId: 7\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok`,
            );
            expect([fault?.kind, taken]).to.deep.equal(["broken", undefined]);
        });
    }

    for (const status of ["102", "103", "104", "199"]) {
        // guards against an answer that is lost as an interim answer of a status that nobody knows came before it
        it(`isn't that of an interim answer: ${status}`, async () => {
            const { fault, status: taken, usedConnections } = await sendTwice(`HTTP/1.1 ${status} -\r\n\r\n${sound}`);
            expect([fault, taken, usedConnections]).to.deep.equal([undefined, 200, 1]);
        });
    }

    // guards against a reason phrase that ends an answer, as its bytes are no text
    it("isn't one with an odd reason phrase", async () => {
        for (const reason of [" \x07\x01", " \xe4\xff", " ", ""]) {
            const bytes = sound.replace(" OK", reason);
            expect(await sendTwice(bytes), JSON.stringify(reason)).to.include({ fault: undefined, status: 200 });
        }
    });
});
