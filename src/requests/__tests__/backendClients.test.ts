import { expect } from "chai";
import { createEngineHttpClient, createServiceHttpClient, type GenerationRequest } from "../../backends/index.js";
import { createSystemClock } from "../../shared/index.js";
import { startFaultyBackend } from "../../standins/faultyBackend.js";
import { createServiceStandin } from "../../standins/serviceStandin.js";

const never = new AbortController().signal;

describe("clients of backend servers", () => {
    const closers: (() => Promise<void>)[] = [];
    afterEach(() => Promise.all(closers.splice(0).map(close => close())));

    it("accept a response of a plain service, keep the connection, and refuse the response to another request", async () => {
        const service = createServiceStandin({ id: "s1", clock: createSystemClock() });
        const address = await service.start();
        closers.push(service.stop);
        const client = createServiceHttpClient({ address });
        const call = (requestId: string) =>
            client.call({ requestId, method: "POST", path: "/orders", headers: {}, body: Buffer.from("{}") }, never);
        const kinds: string[] = [];
        for (const requestId of ["r1", "r2", "r3", "r4"]) {
            if (requestId === "r3") {
                service.faults.sendWrongRequestIds(1);
            }
            const result = await call(requestId);
            kinds.push(result.ok ? String(result.value.status) : result.error.kind);
        }
        client.close();
        expect(kinds).to.deep.equal(["201", "201", "mismatched", "201"]);
    });

    it("distinguish requests to an engine that were sent from those that were not", async () => {
        const engine = await startFaultyBackend();
        closers.push(engine.stop);
        const client = createEngineHttpClient({ address: engine.address });
        const request: GenerationRequest = {
            requestId: "r1",
            adapter: { adapter: "springs", version: "v1" },
            incarnation: "run-0",
            prompt: { kind: "text", text: "draft" },
            maximumOutputTokens: 4,
            priority: 0,
            resumeAfterTokens: 2,
        };
        const collect = async (incarnation = "run-0"): Promise<string> => {
            const kinds: string[] = [];
            for await (const event of client.generate({ ...request, incarnation }, never)) {
                kinds.push(event.ok ? event.value.kind : event.error.kind);
            }
            return kinds.join(" ");
        };
        expect(await collect()).to.equal("accepted token token end");
        engine.planBehaviors({ kind: "resetUnanswered", runs: true });
        expect(await collect()).to.equal("broken");
        expect(await collect("run-9")).to.equal("mismatched");
        await engine.stop();
        expect(await collect()).to.equal("notSent");
        const order = { adapter: request.adapter!, fencingNumber: 1, incarnation: "run-0" };
        const loaded = await client.load(order, never);
        expect(loaded.ok ? "done" : loaded.error.kind).to.equal("notSent");
        client.close();
    });
});
