import { expect } from "chai";
import { wrapValue } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { createEngineManager, type EngineManager } from "../engineManager.js";
import { createLoadScheduler, type LoadScheduler } from "../loadScheduler.js";
import type { EnsureRequest } from "../messages.js";
import type { EngineControl, EngineOrder, OrderOutcome } from "../types.js";
import { createTestServer, testLimits } from "./testEngine.js";

// an engine that loads at once, delays the unload of an adapter in use, and omits such an adapter from its reports
function createEngine() {
    const adapters = new Set<string>();
    const leaving = new Set<string>();
    const inUse = new Set<string>();
    const late: (() => void)[] = [];
    let sequence = 0;
    let maximumAdapterCount = 0;
    let responseMode: "given" | "lostOnce" | "late" = "given";
    const applyOrder = (order: EngineOrder): OrderOutcome => {
        const adapter = order.adapter!;
        const isDone = order.action === "load" ? adapters.has(adapter) : !adapters.has(adapter);
        if (isDone) {
            return { kind: "done" };
        }
        if (leaving.has(adapter) && order.action === "unload") {
            return { kind: "accepted" };
        }
        if (order.expectedSequence !== sequence) {
            return { kind: "conflict", detail: "" };
        }
        sequence++;
        if (order.action === "load") {
            adapters.add(adapter);
            maximumAdapterCount = Math.max(maximumAdapterCount, adapters.size);
            return { kind: "accepted" };
        }
        if (inUse.has(adapter)) {
            leaving.add(adapter);
            return { kind: "accepted" };
        }
        adapters.delete(adapter);
        return { kind: "done" };
    };
    const control: EngineControl = {
        order: (engineServer, order) => {
            if (responseMode === "late") {
                late.push(() => applyOrder(order));
                return Promise.resolve({ kind: "unknown" });
            }
            const outcome = applyOrder(order);
            const isLost = responseMode === "lostOnce";
            responseMode = "given";
            return Promise.resolve(isLost ? { kind: "unknown" } : outcome);
        },
        report: () =>
            Promise.resolve(wrapValue({
                startedAt: 1,
                sequence,
                // adapters whose unload waits for running requests are not listed, but keep their slots
                models: [{
                    name: "base",
                    version: 1,
                    adapters: [...adapters].filter(name => !leaving.has(name)).map(name => ({ name, version: 1 })),
                }],
                pending: [],
            })),
    };
    return {
        control,
        adapters,
        inUse,
        readMaximumAdapterCount: () => maximumAdapterCount,
        setResponseMode: (mode: typeof responseMode) => {
            responseMode = mode;
        },
        applyLateOrders: () => late.splice(0).forEach(run => run()),
        release: (name: string) => {
            inUse.delete(name);
            if (leaving.delete(name)) {
                adapters.delete(name);
            }
        },
    };
}

function createManager(
    control: EngineControl,
    findFencingNumber: () => number | undefined = () => 7,
    loadScheduler: LoadScheduler = createLoadScheduler(() => undefined),
): { readonly manager: EngineManager; readonly advance: (time: number) => void; } {
    let now = 0;
    const manager = createEngineManager({
        server: createTestServer("i-1"),
        findLimits: () => testLimits,
        control,
        clock: {
            now: () => now,
            sleep: duration => {
                now += duration;
                return new Promise(resolve => setImmediate(resolve));
            },
        },
        holder: "front-1",
        mayReceive: () => true,
        onLeaving: () => undefined,
        findFencingNumber,
        onFenced: () => undefined,
        onChange: () => undefined,
        onTable: () => undefined,
        tryAcquireModelLoad: () => true,
        loadScheduler,
    });
    return { manager, advance: time => now += time };
}

const createRequest = (adapter: string): EnsureRequest => ({
    model: "base",
    adapter,
    version: undefined,
    wasDenied: false,
    priority: 0,
    usefulFor: 1_000,
    patience: 2_000,
});

describe("manager of an engine", () => {
    it("loads the requested adapters, and evicts the least used one when all slots are occupied", async () => {
        const engine = createEngine();
        const { manager, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3", "a4"]) {
            expect((await manager.ensure(createRequest(adapter))).outcome).to.equal("resident");
            advance(1_000);
        }
        expect([...engine.adapters]).to.deep.equal(["a2", "a3", "a4"]);
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("never orders more loads than the engine has slots for while an unload waits for running requests", async () => {
        const engine = createEngine();
        const { manager, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3"]) {
            await manager.ensure(createRequest(adapter));
            engine.inUse.add(adapter);
            advance(1_000);
        }
        await manager.ensure(createRequest("a4"));
        await manager.refresh();
        await manager.ensure(createRequest("a5"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
        ["a1", "a2", "a3"].forEach(engine.release);
        await new Promise(resolve => setTimeout(resolve, 20));
        advance(1_000);
        expect((await manager.ensure(createRequest("a6"))).outcome).to.equal("resident");
        expect(engine.readMaximumAdapterCount()).to.equal(3);
        manager.stop();
    });

    it("detects that an order whose response was lost has been executed", async () => {
        const engine = createEngine();
        const { manager } = createManager(engine.control);
        await manager.refresh();
        engine.setResponseMode("lostOnce");
        expect((await manager.ensure(createRequest("a1"))).outcome).to.equal("resident");
        expect([...engine.adapters]).to.deep.equal(["a1"]);
    });

    it("evicts at once when the response to the first unload order is lost", async () => {
        const engine = createEngine();
        const { manager, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3"]) {
            await manager.ensure(createRequest(adapter));
            advance(1_000);
        }
        engine.setResponseMode("lostOnce");
        expect((await manager.ensure(createRequest("a4"))).outcome).to.equal("resident");
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("keeps the slot of an order that may still be executed", async () => {
        const engine = createEngine();
        const { manager, advance } = createManager(engine.control);
        await manager.ensure(createRequest("a1"));
        advance(1_000);
        await manager.ensure(createRequest("a2"));
        advance(1_000);
        engine.setResponseMode("late");
        expect((await manager.ensure(createRequest("a3"))).outcome).to.equal("failed");
        engine.setResponseMode("given");
        engine.applyLateOrders();
        advance(1_000);
        await manager.ensure(createRequest("a4"));
        await manager.ensure(createRequest("a5"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("keeps the slot of a resident adapter whose reload could not be ordered", async () => {
        const engine = createEngine();
        ["a1", "a2", "a3"].forEach(adapter => engine.adapters.add(adapter));
        let fencingNumber: number | undefined = undefined;
        const { manager, advance } = createManager(engine.control, () => fencingNumber);
        await manager.refresh();
        await manager.ensure({ ...createRequest("a1"), wasDenied: true });
        fencingNumber = 8;
        advance(1_000);
        await manager.ensure(createRequest("a4"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    // guards against loads for clients that have left
    it("drops a load that waits for the weight store when all who asked for it have left, and only then", async () => {
        const engine = createEngine();
        const loadScheduler = createLoadScheduler(() => undefined);
        // loads of other engines take all places at the weight store
        const started: boolean[] = [];
        for (let count = 0; count === started.length; count++) {
            loadScheduler.schedule({ priority: 9, usefulUntil: 0, until: 100 }, () => started.push(true), 0);
        }
        const { manager } = createManager(engine.control, undefined, loadScheduler);
        const [first, second] = [new AbortController(), new AbortController()];
        const asked = [first, second].map(({ signal }) => manager.ensure({ ...createRequest("a1"), signal }));
        let hasEnded = false;
        startDetached(Promise.any(asked).then(() => hasEnded = true));
        first.abort();
        await new Promise(resolve => setImmediate(resolve));
        expect(hasEnded).to.equal(false);
        second.abort();
        expect((await Promise.all(asked)).map(({ outcome }) => outcome)).to.deep.equal(["expired", "expired"]);
        expect([...engine.adapters]).to.deep.equal([]);
    });

    // the duration would include the time without responses: the scheduler would estimate a lower capacity of the
    // store, start fewer loads and poll even later
    it("reports no duration to the load scheduler for a load whose polls got no response", async () => {
        const engine = createEngine();
        const took: (number | undefined)[] = [];
        const loadScheduler = createLoadScheduler(() => undefined);
        const recordingScheduler: LoadScheduler = {
            ...loadScheduler,
            schedule: (...request) => ({
                ...loadScheduler.schedule(...request),
                finish: duration => took.push(duration),
            }),
        };
        let silentPolls = 0;
        const control: EngineControl = {
            ...engine.control,
            order: (engineServer, order) =>
                engine.adapters.has(order.adapter!) && silentPolls-- > 0
                    ? Promise.resolve({ kind: "unknown" })
                    : engine.control.order(engineServer, order),
        };
        const { manager } = createManager(control, () => 7, recordingScheduler);
        await manager.ensure(createRequest("a1"));
        silentPolls = 3;
        await manager.ensure(createRequest("a2"));
        expect(took).to.have.length(2);
        expect(took[0]).to.be.a("number");
        expect(took[1]).to.equal(undefined);
    });

    it("sends no order after it was stopped", async () => {
        const engine = createEngine();
        const { manager } = createManager(engine.control);
        await manager.refresh();
        manager.stop();
        expect((await manager.ensure(createRequest("a1"))).outcome).to.equal("notHolder");
        expect(engine.adapters.size).to.equal(0);
    });
});
