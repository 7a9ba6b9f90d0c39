import { expect } from "chai";
import fc from "fast-check";
import type { GenerationRequest } from "../../backends/index.js";
import { createEngineModel, makeTokenText } from "../engineModel.js";
import type { EngineModelOptions } from "../engineModelTypes.js";
import { createWeightStoreModel } from "../weightStoreModel.js";

const storeOptions = { loadsPerSecond: 5, loadBurst: 1, loadsInFlight: 8, loadDuration: 250 };
const adapter = { adapter: "a", version: "1", generation: "1-1" };
const other = { adapter: "b", version: "1", generation: "1-2" };

function createEngine(options: Partial<EngineModelOptions> = {}) {
    const store = createWeightStoreModel({ ...storeOptions, loadBurst: 4 });
    const engine = createEngineModel({
        id: "e1",
        adapterSlots: 1,
        batchLimit: 2,
        fencing: "checked",
        store,
        naturalTokens: 5,
        ...options,
    });
    return { engine, store };
}

function createRequest(requestId: string, options: Partial<GenerationRequest> = {}): GenerationRequest {
    return {
        requestId,
        adapter,
        incarnation: "e1-0",
        prompt: { kind: "text", text: `prompt of ${requestId}` },
        maximumOutputTokens: 5,
        priority: 0,
        resumeAfterTokens: 0,
        ...options,
    };
}

const order = (reference = adapter, fencingNumber = 1) => ({
    adapter: reference,
    fencingNumber,
    incarnation: "e1-0",
});

describe("weight store model", () => {
    it("limits the rate of load starts and slows down in proportion to the loads above the full-speed limit", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 40 }), gaps => {
                const store = createWeightStoreModel({ ...storeOptions, loadsInFlight: 1 });
                let now = 0;
                for (const gap of gaps) {
                    now += gap;
                    store.start("x", now);
                }
                store.advance(now + 100_000);
                const { loads } = store.read();
                expect(loads.every(load => load.endedAt! - load.startedAt! >= 250 - 1e-3)).to.equal(true);
                const starts = loads.map(load => load.startedAt!);
                const tooClose = starts.some((start, index) => index > 0 && start - starts[index - 1]! < 200 - 1e-3);
                expect(tooClose).to.equal(false);
            }),
            { seed: 1, numRuns: 100 },
        );
        const store = createWeightStoreModel({ ...storeOptions, loadBurst: 4, loadsInFlight: 2 });
        const loads = [1, 2, 3, 4].map(() => store.start("x", 0));
        store.advance(1_000);
        expect(loads.map(load => Math.round(load.endedAt!))).to.deep.equal([500, 500, 500, 500]);
        expect(store.read().peakInFlight).to.equal(4);
    });
});

describe("engine model", () => {
    it("refuses requests for an absent adapter, loads it, and answers with its text", () => {
        const { engine } = createEngine();
        const refused = engine.submit(createRequest("r1"), 0);
        expect(refused.ok ? "" : refused.error.kind === "refused" && refused.error.reason).to.equal("adapterAbsent");
        expect(engine.load(order(), 0)).to.deep.equal({ ok: true, value: false });
        expect(engine.load(order(other), 0).ok).to.equal(false);
        expect(engine.advance(250).map(event => event.kind)).to.deep.equal(["loadEnded"]);
        expect(engine.submit(createRequest("r1"), 250).ok).to.equal(true);
        const events = engine.advance(2_000);
        expect(events.map(event => event.kind)).to.deep.equal(["token", "token", "token", "token", "token", "end"]);
        expect(events[0]).to.have.property("text", makeTokenText("prompt of r1", "a@1", 0));
        expect(engine.record.wrongTokens).to.deep.equal([]);
    });

    it("batches up to its limit, starts lower priority numbers first, and resumes after given tokens", () => {
        const { engine } = createEngine();
        engine.load(order(), 0);
        engine.advance(250);
        for (const [id, priority] of [["r1", 5], ["r2", 5], ["r3", 5], ["r4", 1]] as const) {
            engine.submit(createRequest(id, { priority, resumeAfterTokens: 3 }), 250);
        }
        const ends = engine.advance(5_000).filter(event => event.kind === "end").map(event => event.requestId);
        expect(ends).to.deep.equal(["r1", "r4", "r2", "r3"]);
        expect(Math.max(...engine.record.stepsByBatch.keys())).to.equal(2);
    });

    it("checks fencing numbers and adapter use, or ignores both and records the evictions and wrong tokens", () => {
        const checked = createEngine().engine;
        checked.load(order(adapter, 7), 0);
        checked.advance(250);
        expect(checked.unload(order(adapter, 6), 250)).to.deep.equal({
            ok: false,
            error: { kind: "fenced", newest: 7 },
        });
        checked.submit(createRequest("r1"), 250);
        expect(checked.unload(order(adapter, 8), 260)).to.deep.equal({ ok: false, error: { kind: "inUse" } });

        const ignored = createEngine({ fencing: "ignored" }).engine;
        ignored.load(order(adapter, 7), 0);
        ignored.advance(250);
        ignored.submit(createRequest("r1"), 250);
        expect(ignored.unload(order(adapter, 6), 260).ok).to.equal(true);
        ignored.load(order(other, 6), 260);
        ignored.advance(5_000);
        expect(ignored.record.evictions.map(eviction => eviction.uses)).to.deep.equal([1]);
        expect(ignored.record.wrongTokens).to.have.length(5);
    });

    it("fails loads and requests when a fault is set, restarts without adapters and reports with a lag", () => {
        const { engine } = createEngine({ reportLag: 100 });
        engine.setFault({ kind: "failLoads", adapter: "a", times: 1 });
        engine.load(order(), 0);
        const failed = engine.advance(250)[0]!;
        expect(failed.kind === "loadEnded" && !failed.result.ok && failed.result.error.kind).to.equal("loadFailed");
        engine.load(order(), 300);
        engine.advance(600);
        expect(engine.readReport(600).resident).to.deep.equal([adapter]);
        engine.setFault({ kind: "failRequests", times: 1 });
        engine.submit(createRequest("r1"), 600);
        expect(engine.advance(700).map(event => event.kind)).to.deep.equal(["failed"]);
        engine.restart(700);
        expect(engine.readReport(700)).to.include({ incarnation: "e1-1", sequence: 1 });
        expect(engine.readReport(700).resident).to.deep.equal([]);
        const refused = engine.submit(createRequest("r2"), 700);
        expect(refused.ok ? "" : refused.error.kind === "refused" && refused.error.reason).to.equal("wrongIncarnation");
    });
});
