import { expect } from "chai";
import { createSystemClock } from "../../shared/index.js";
import { createStandins, type StandinAddresses, type Standins, standinsConfigSchema } from "../index.js";

const config = standinsConfigSchema.parse({
    instanceList: { lagMilliseconds: 0 },
    weightStore: { loadsPerSecond: 100, loadBurst: 100, loadDurationMilliseconds: 5 },
    engines: [{
        id: "e1",
        baseModel: "base",
        pool: "p",
        adapterSlots: 1,
        batchLimit: 4,
        stepMilliseconds: 1,
        answerTokens: 4,
    }],
    services: [{ id: "s1", pool: "orders" }],
});

describe("local platform", () => {
    let standins: Standins;
    let addresses: StandinAddresses;

    beforeEach(async () => {
        standins = createStandins(config, createSystemClock());
        addresses = await standins.start();
    });
    afterEach(() => standins.stop());

    const sendToEngine = (path: string, body: object, headers: Record<string, string> = {}): Promise<Response> =>
        fetch(`http://${addresses.backendServers["e1"]}${path}`, {
            method: "POST",
            body: JSON.stringify(body),
            headers: { "x-engine-incarnation": "e1-0", "x-fencing-number": "5", "x-request-id": "r1", ...headers },
        });
    const sendOrder = (kind: "load" | "unload", name: string, headers = {}): Promise<Response> =>
        sendToEngine(`/v1/${kind}_lora_adapter`, { lora_name: name }, headers);
    const sendCompletion = (model: string, headers = {}): Promise<Response> =>
        sendToEngine("/v1/completions", { model, prompt: "draft a quote", max_tokens: 10 }, headers);
    const readRefusal = async (response: Response): Promise<readonly [number, string]> => {
        const body = await response.json() as { readonly error: { readonly type: string; }; };
        return [response.status, body.error.type];
    };

    it("loads an adapter and streams a complete answer", async () => {
        const refused = await sendCompletion("quotes@v1");
        expect(refused.headers.get("x-request-id")).to.equal("r1");
        expect(await readRefusal(refused)).to.deep.equal([404, "adapter_absent"]);
        expect((await sendOrder("load", "quotes@v1")).status).to.equal(200);
        const answer = await sendCompletion("quotes@v1");
        const text = await answer.text();
        expect(answer.headers.get("x-request-id")).to.equal("r1");
        expect(text.match(/"finish_reason":null/g)?.length).to.equal(4);
        expect(text).to.include('"finish_reason":"stop"');
        expect(text).to.include('"completion_tokens":4');
        expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
    });

    it("refuses orders with an old fencing number, without a free slot or for another incarnation", async () => {
        await sendOrder("load", "quotes@v1");
        expect(await readRefusal(await sendOrder("load", "other@v1"))).to.deep.equal([507, "no_free_slot"]);
        const late = await sendOrder("unload", "quotes@v1", { "x-fencing-number": "4" });
        expect(await readRefusal(late)).to.deep.equal([409, "fenced"]);
        standins.engines.get("e1")!.restart();
        expect(await readRefusal(await sendOrder("unload", "quotes@v1"))).to.deep.equal([409, "wrong_incarnation"]);
        expect(await readRefusal(await sendCompletion("base"))).to.deep.equal([409, "wrong_incarnation"]);
    });

    it("applies the faults that a test sets", async () => {
        const engine = standins.engines.get("e1")!;
        engine.faults.loseOrderAnswers(1);
        const lost = await sendOrder("load", "quotes@v1").then(() => "answered", () => "lost");
        expect(lost).to.equal("lost");
        engine.faults.breakStreams(1);
        const broken = await (await sendCompletion("base")).text().then(() => "whole", () => "broken");
        expect(broken).to.equal("broken");
        engine.faults.omitEndMarks(1);
        expect(await (await sendCompletion("base")).text()).to.not.include("[DONE]");
        engine.faults.sendWrongRequestIds(1);
        expect((await sendCompletion("base")).headers.get("x-request-id")).to.equal("not-r1");
    });

    it("counts how often a service ran an order", async () => {
        const service = standins.services.get("s1")!;
        const url = `http://${addresses.backendServers["s1"]}/orders`;
        const send = (): Promise<string> =>
            fetch(url, { method: "POST", body: JSON.stringify({ order: "o1" }) }).then(
                response => String(response.status),
                () => "lost",
            );
        service.faults.refuseCalls(1);
        const seen = [await send()];
        service.faults.loseAnswers(1);
        seen.push(await send(), await send());
        await fetch(url);
        expect(seen).to.deep.equal(["503", "lost", "201"]);
        expect([...service.runs]).to.deep.equal([["o1", 2]]);
        expect(service.received.length).to.equal(4);
    });

    it("adds its backend servers to the instance list", async () => {
        const listing = await standins.instanceList.list.list();
        expect(listing.ok && listing.value.backendServers.map(server => server.id)).to.deep.equal(["e1", "s1"]);
    });
});
