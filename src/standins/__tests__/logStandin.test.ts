import { expect } from "chai";
import { createLogHttpClient, type LogHttpClient } from "../../backends/index.js";
import { createSystemClock } from "../../shared/index.js";
import { createHistory } from "../../testing/index.js";
import { createLogModel, createLogStandin, createMemoryLogService, type LogStandin } from "../index.js";

const encodeText = (text: string): Uint8Array => new TextEncoder().encode(text);

describe("log stand-in over HTTP", () => {
    let standin: LogStandin;
    let client: LogHttpClient;

    beforeEach(async () => {
        standin = createLogStandin({ clock: createSystemClock(), appendsPerSecond: 10, readWallClock: Date.now });
        client = createLogHttpClient({ address: await standin.start() });
    });
    afterEach(async () => {
        await client.close();
        await standin.stop();
    });

    it("assigns consecutive offsets and reads the records back", async () => {
        expect(await client.append("configuration", encodeText("a"))).to.deep.equal({ ok: true, value: 0 });
        expect(await client.append("configuration", encodeText("b"))).to.deep.equal({ ok: true, value: 1 });
        const page = await client.read("configuration", { from: 1 });
        expect(page.ok && page.value.head).to.equal(2);
        expect(page.ok && page.value.records.map(record => Buffer.from(record.payload).toString())).to.deep.equal([
            "b",
        ]);
    });

    it("blocks a read until the next record is appended", async () => {
        const reading = client.read("outcomes-0", { from: 0, waitFor: 20_000 });
        await client.append("outcomes-0", encodeText("late"));
        const page = await reading;
        expect(page.ok && page.value.records.length).to.equal(1);
    });

    it("reports an unknown outcome when the response to a successful append is lost", async () => {
        standin.faults.loseAnswers(1);
        const answer = await client.append("configuration", encodeText("kept"));
        expect(answer.ok || answer.error.kind).to.equal("unknownOutcome");
        const page = await client.read("configuration", { from: 0 });
        expect(page.ok && page.value.records.length).to.equal(1);
    });

    it("reports the log as unavailable during an outage and after the server has stopped", async () => {
        standin.faults.startOutage(60_000);
        const during = await client.append("configuration", encodeText("x"));
        expect(during.ok || during.error.kind).to.equal("unavailable");
        await standin.stop();
        const after = await client.append("configuration", encodeText("x"));
        expect(after.ok || after.error.kind).to.equal("unavailable");
        const read = await client.read("configuration", { from: 0 });
        expect(read.ok || read.error.kind).to.equal("unavailable");
    });

    it("reports expired records and an exceeded append rate", async () => {
        for (let index = 0; index < 3; index++) {
            await client.append("configuration", encodeText(String(index)));
        }
        standin.faults.expireBefore("configuration", 2);
        const expired = await client.read("configuration", { from: 0 });
        expect(expired).to.deep.equal({ ok: false, error: { kind: "expired", earliest: 2 } });
        const answers = await Promise.all(
            Array.from({ length: 30 }, () => client.append("outcomes-1", encodeText("x"))),
        );
        expect(answers.some(answer => !answer.ok && answer.error.kind === "rateLimited")).to.equal(true);
    });
});

describe("log model in virtual time", () => {
    it("expires records by age and duplicates appends when that fault is set", async () => {
        const history = createHistory({ seed: 1 });
        const model = createLogModel({ clock: history.clock, retention: 100 });
        const service = createMemoryLogService(model);
        model.faults.duplicateAppends(1);
        await service.append("configuration", encodeText("old"));
        await history.runAsync(101);
        await service.append("configuration", encodeText("new"));
        expect(await service.read("configuration", { from: 0 })).to.deep.equal({
            ok: false,
            error: { kind: "expired", earliest: 2 },
        });
        const page = await service.read("configuration", { from: 2 });
        expect(page.ok && page.value.head).to.equal(3);
    });

    it("wakes a waiting read when an outage begins", async () => {
        const history = createHistory({ seed: 1 });
        const model = createLogModel({ clock: history.clock });
        const reading = createMemoryLogService(model).read("configuration", { from: 0, waitFor: 1_000 });
        history.schedule(10, () => model.faults.startOutage(50));
        await history.runAsync(20);
        const page = await reading;
        expect(page.ok || page.error.kind).to.equal("unavailable");
    });
});
