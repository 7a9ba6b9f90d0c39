import { expect } from "chai";
import type { EngineClient, GenerationRequest, ListedEngine, OrderError } from "../../backends/index.js";
import { createEngineFleet } from "../../bench/placement/engineFleet.js";
import type { ResolvedSettings } from "../../config/index.js";
import { type Result, wrapValue } from "../../shared/index.js";
import { createWeightStoreModel } from "../../standins/index.js";
import { createHistory, startDetached } from "../../testing/index.js";
import { createPlacementTask, type Pin, type PlacementError, type PlacementRequest } from "../index.js";

const createListedEngine = (id: string): ListedEngine => ({
    kind: "engine",
    id,
    address: id,
    failureDomain: "d1",
    region: "r1",
    state: "live",
    baseModel: "base",
    pool: "p",
    adapterSlots: 2,
    batchLimit: 2,
    fencing: "checked",
});

function createRequest(requestId: string, adapter: string | undefined, deadline = 60_000): PlacementRequest {
    return {
        requestId,
        account: "a",
        requestClass: "interactive",
        pool: "p",
        baseModel: "base",
        adapter: adapter === undefined ? undefined : { adapter, version: "1" },
        tokens: 10,
        prefixHash: "",
        excludedEngines: [],
        deadline,
    };
}

// one real placement task with simulated engines, in virtual time
function createTestPlacement(engineCount = 1) {
    const history = createHistory<never>({ seed: 1 });
    const store = createWeightStoreModel({ loadsPerSecond: 5, loadBurst: 1, loadsInFlight: 8, loadDuration: 250 });
    const ids = Array.from({ length: engineCount }, (unused, index) => `e${index + 1}`);
    const engines = createEngineFleet(
        history,
        store,
        ids.map(id => ({ id, adapterSlots: 2, batchLimit: 2, fencing: "checked", naturalTokens: 5 })),
    );
    const versions = new Map<string, string>();
    const createEngineClient = ({ id }: ListedEngine): EngineClient => ({
        generate: () => {
            throw new Error("not used");
        },
        load: order => new Promise<Result<void, OrderError>>(resolve => engines.load(id, order, resolve)),
        unload: order => Promise.resolve(engines.unload(id, order)),
        readReport: () => Promise.resolve(wrapValue(engines.readReport(id))),
    });
    const readSettings = (): ResolvedSettings => ({
        appliedOffset: 0,
        accounts: new Map(),
        keys: new Map(),
        routes: new Map(),
        adapters: new Map([...versions].map(([id, version]) => [id, { id, version, baseModel: "base" }])),
        weightStore: { loadsPerSecond: 5, loadBurst: 1, loadsInFlight: 8 },
    });
    // engines for which no instance holds the ownership lease
    const silent = new Set<string>();
    const findLease = (shard: string) =>
        silent.has(shard.slice("engine/".length))
            ? undefined
            : { shard, owner: "i1", fencingNumber: 1, validUntil: Number.POSITIVE_INFINITY };
    const subscribe = () => () => undefined;
    const task = createPlacementTask({
        self: "i1",
        settings: { read: readSettings, subscribe },
        membership: {
            read: () => ({
                revision: 1,
                instances: [{ kind: "instance", id: "i1", address: "", failureDomain: "", region: "", state: "live" }],
                backendServers: ids.map(createListedEngine),
            }),
            subscribe,
        },
        epochs: {
            read: () => ({ number: 0, members: ["i1"], gainsAllowedAt: 0 }),
            readValidUntil: () => Number.POSITIVE_INFINITY,
            subscribe,
        },
        ownership: { findOwner: () => "i1", findLease, subscribe },
        peers: {
            self: "i1",
            send: () => undefined,
            request: () => Promise.resolve({ ok: false, error: { kind: "timeout" } }),
            handle: () => undefined,
        },
        loadBudget: {
            acquire: () => Promise.resolve({ startBy: Number.POSITIVE_INFINITY, release: () => undefined }),
        },
        createEngineClient,
        clock: history.clock,
    });
    const stop = new AbortController();
    const running = task.run(stop.signal);
    const results: { at: number; result: Result<Pin, PlacementError>; }[] = [];
    const acquire = (request: PlacementRequest, signal = stop.signal): void => {
        startDetached(
            task.placement.acquire(request, signal).then(result => results.push({ at: history.now(), result })),
        );
    };
    const end = async (): Promise<void> => {
        stop.abort();
        await running;
    };
    return { silent, history, engines, versions, task, acquire, results, end };
}

function readPin(result: Result<Pin, PlacementError> | undefined): Pin {
    if (!result?.ok) {
        throw new Error(`no pin: ${JSON.stringify(result)}`);
    }
    return result.value;
}

function createGeneration(pin: Pin, requestId: string): GenerationRequest {
    return {
        requestId,
        adapter: pin.adapter,
        incarnation: pin.incarnation,
        prompt: { kind: "text", text: requestId },
        maximumOutputTokens: 5,
        priority: 0,
        resumeAfterTokens: 0,
    };
}

describe("placement task", () => {
    it("grants a pin for the base model without a load", async () => {
        const setup = createTestPlacement();
        setup.acquire(createRequest("r1", undefined));
        await setup.history.runAsync(1_000);
        const pin = readPin(setup.results[0]?.result);
        expect(pin).to.include({ engine: "e1", adapter: undefined, loadStall: 0 });
        expect(setup.engines.submit("e1", createGeneration(pin, "r1"), () => undefined).ok).to.equal(true);
        await setup.end();
    });

    it("loads an adapter once for all requests that wait for it", async () => {
        const setup = createTestPlacement(3);
        setup.versions.set("a", "1");
        setup.acquire(createRequest("r1", "a"));
        setup.acquire(createRequest("r2", "a"));
        await setup.history.runAsync(1_500);
        const pins = setup.results.map(({ result }) => readPin(result));
        expect(pins.map(pin => pin.engine)).to.have.length(2);
        expect(pins[0]!.loadStall).to.be.within(250, 600);
        const loads = setup.engines.list().flatMap(engine => engine.record.loads);
        expect(loads).to.have.length(1);
        await setup.end();
    });

    it("evicts only loads that are not in use, and assigns released batch slots to waiting requests", async () => {
        const setup = createTestPlacement();
        ["a", "b", "c"].forEach(adapter => setup.versions.set(adapter, "1"));
        setup.acquire(createRequest("r1", "a"));
        setup.acquire(createRequest("r2", "b"));
        await setup.history.runAsync(2_000);
        const [first, second] = setup.results.map(({ result }) => readPin(result));
        setup.acquire(createRequest("r3", "c"));
        await setup.history.runAsync(6_000);
        expect(setup.results).to.have.length(2);
        expect([first!.isValid(6_000), second!.isValid(6_000)]).to.deep.equal([true, true]);
        first!.release("completed");
        await setup.history.runAsync(9_000);
        expect(readPin(setup.results[2]?.result).adapter).to.include({ adapter: "c" });
        const evicted = setup.engines.find("e1").record.evictions;
        expect(evicted.map(eviction => [eviction.name.slice(0, 3), eviction.uses])).to.deep.equal([["a@1", 0]]);
        await setup.end();
    });

    it("tries another engine after a failed load, then refuses immediately with the time until a retry", async () => {
        const setup = createTestPlacement(2);
        ["a", "b"].forEach(adapter => setup.versions.set(adapter, "1"));
        setup.engines.list().forEach(engine => engine.setFault({ kind: "failLoads", adapter: "a", times: 5 }));
        setup.acquire(createRequest("r1", "a"));
        setup.acquire(createRequest("r2", "b"));
        await setup.history.runAsync(5_000);
        const refused = setup.results.find(({ result }) => !result.ok)!;
        expect(refused.result.ok ? "" : refused.result.error).to.include({ kind: "loadFailed", retryAfter: 5_000 });
        expect(setup.results.filter(({ result }) => result.ok)).to.have.length(1);
        setup.acquire(createRequest("r3", "a"));
        await setup.history.runAsync(5_100);
        const again = setup.results[2]!;
        expect(again.at).to.be.below(5_050);
        expect(again.result.ok ? "" : again.result.error).to.include({ kind: "loadFailed" });
        await setup.end();
    });

    it("returns an error when there is no engine, when the deadline passes and when the caller aborts", async () => {
        const setup = createTestPlacement();
        setup.engines.find("e1").setFault({ kind: "failLoads", adapter: "a", times: 2 });
        setup.versions.set("a", "1");
        setup.acquire({ ...createRequest("r1", "a"), pool: "other" });
        setup.acquire(createRequest("r2", "a", 100));
        const caller = new AbortController();
        setup.acquire(createRequest("r3", "a"), caller.signal);
        await setup.history.runAsync(200);
        caller.abort();
        await setup.history.runAsync(300);
        const kinds = setup.results.map(({ result }) => result.ok ? "ok" : result.error.kind);
        expect(kinds).to.deep.equal(["noEngine", "deadlinePassed", "aborted"]);
        await setup.end();
    });

    it("loads an adapter on another engine when the owner of its engine sends no tables", async () => {
        const setup = createTestPlacement(2);
        setup.versions.set("a", "1");
        setup.acquire(createRequest("r1", "a"));
        await setup.history.runAsync(2_000);
        const first = readPin(setup.results[0]?.result);
        first.release("completed");
        setup.silent.add(first.engine);
        await setup.history.runAsync(10_000);
        setup.acquire(createRequest("r2", "a"));
        await setup.history.runAsync(12_000);
        expect(readPin(setup.results[1]?.result).engine).to.not.equal(first.engine);
        await setup.end();
    });

    it("loads a new version while the old one is in use, and invalidates pins when the engine restarts", async () => {
        const setup = createTestPlacement();
        setup.versions.set("a", "1");
        setup.acquire(createRequest("r1", "a"));
        await setup.history.runAsync(2_000);
        const old = readPin(setup.results[0]?.result);
        setup.versions.set("a", "2");
        setup.acquire(createRequest("r2", "a"));
        await setup.history.runAsync(4_000);
        expect(readPin(setup.results[1]?.result).adapter).to.include({ version: "2" });
        expect(old.isValid(4_000)).to.equal(true);
        setup.engines.restart("e1");
        await setup.history.runAsync(8_000);
        expect(old.isValid(8_000)).to.equal(false);
        setup.results.forEach(({ result }) => readPin(result).release("engineRestarted"));
        setup.acquire(createRequest("r3", "a"));
        await setup.history.runAsync(12_000);
        expect(readPin(setup.results[2]?.result)).to.include({ incarnation: "e1-1" });
        await setup.end();
    });
});
