import { expect } from "chai";
import { createEngineHttpClient, createServiceHttpClient } from "../../backends/index.js";
import { type FaultyBackend, startFaultyBackend } from "../../standins/faultyBackend.js";
import { formatStatusLines, interimHead } from "../../testing/index.js";

const headers = "x-request-id: r1\r\n";
const lines: Readonly<Record<string, string>> = {
    ...formatStatusLines(headers),
    "000 after an interim answer": `${interimHead}HTTP/1.1 000 -\r\n${headers}content-length: 0\r\n\r\n`,
    "600 after an interim answer": `${interimHead}HTTP/1.1 600 -\r\n${headers}content-length: 0\r\n\r\n`,
};
const sound = `HTTP/1.1 201 Created\r\n${headers}content-length: 2\r\n\r\nok`;

async function callService(backend: FaultyBackend, bytes: string): Promise<string> {
    backend.planBehaviors({ kind: "raw", bytes });
    const client = createServiceHttpClient({ address: backend.address });
    const request = { requestId: "r1", method: "POST", path: "/orders", headers: {}, body: Buffer.from("{}") };
    const result = await client.call(request, AbortSignal.timeout(2_000));
    client.close();
    return result.ok ? String(result.value.status) : result.error.kind;
}

describe("answers of backend servers whose status line no answer has", () => {
    let backend: FaultyBackend;
    beforeEach(async () => backend = await startFaultyBackend());
    afterEach(() => backend.stop());

    for (const [name, bytes] of Object.entries(lines)) {
        // guards against a number that is no status and that a caller of a plain service gets as its answer
        it(`are broken at a plain service: ${name}`, async () => {
            expect(await callService(backend, bytes)).to.equal("broken");
        });

        // guards against an order to an engine that counts as refused though it may be carried out
        it(`leave an order to an engine unknown: ${name}`, async () => {
            backend.planBehaviors({ kind: "raw", bytes });
            const client = createEngineHttpClient({ address: backend.address });
            const order = { adapter: { adapter: "springs", version: "v1" }, fencingNumber: 1, incarnation: "run-0" };
            const result = await client.load(order, AbortSignal.timeout(2_000));
            client.close();
            expect(result.ok ? "done" : result.error.kind).to.equal("unknownOutcome");
        });
    }

    for (const status of ["102", "103", "199"]) {
        // guards against an answer of a plain service that is lost as an interim one came before it
        it(`aren't those after interim answers: ${status}`, async () => {
            const interim = `HTTP/1.1 ${status} -\r\n\r\n`;
            expect(await callService(backend, interim + sound)).to.equal("201");
            expect(await callService(backend, interim.repeat(3) + sound)).to.equal("201");
        });
    }

    // guards against interim answers that come without end and keep a call until its deadline
    it("are interim answers without end", async () => {
        expect(await callService(backend, interimHead.repeat(100) + sound)).to.equal("broken");
    });
});
