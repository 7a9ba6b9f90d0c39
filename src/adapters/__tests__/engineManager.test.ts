import { expect } from "chai";
import { wrapValue } from "../../shared/index.js";
import { createEngineManager, type EngineManager } from "../engineManager.js";
import { createLoadScheduler, type LoadScheduler } from "../loadScheduler.js";
import type { EnsureRequest } from "../messages.js";
import type { EngineControl, EngineOrder, OrderOutcome } from "../types.js";
import { createTestServer, testLimits } from "./testEngine.js";

// an engine that loads at once, waits with unloads while an adapter is in use, and reports as of some time ago
function createEngine() {
    const adapters = new Set<string>();
    const leaving = new Set<string>();
    const inUse = new Set<string>();
    const late: (() => void)[] = [];
    let sequence = 0;
    let maximumAdapterCount = 0;
    let answers: "given" | "lostOnce" | "late" = "given";
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
            if (answers === "late") {
                late.push(() => applyOrder(order));
                return Promise.resolve({ kind: "unknown" });
            }
            const outcome = applyOrder(order);
            const isLost = answers === "lostOnce";
            answers = "given";
            return Promise.resolve(isLost ? { kind: "unknown" } : outcome);
        },
        report: () =>
            Promise.resolve(wrapValue({
                startedAt: 1,
                sequence,
                // adapters that wait for their last runs are not listed, but keep their places
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
        setAnswers: (mode: typeof answers) => {
            answers = mode;
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
): { readonly keeper: EngineManager; readonly advance: (time: number) => void; } {
    let now = 0;
    const keeper = createEngineManager({
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
        findFencingNumber,
        onFenced: () => undefined,
        onChange: () => undefined,
        onTable: () => undefined,
        tryAcquireModelLoad: () => true,
        loadScheduler: loadScheduler,
    });
    return { keeper, advance: time => now += time };
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

describe("keeper of an engine", () => {
    it("loads what is wished, and evicts what is used least when places are taken", async () => {
        const engine = createEngine();
        const { keeper, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3", "a4"]) {
            expect((await keeper.ensure(createRequest(adapter))).outcome).to.equal("resident");
            advance(1_000);
        }
        expect([...engine.adapters]).to.deep.equal(["a2", "a3", "a4"]);
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("never orders more than the engine has places for while an adapter waits for its last runs", async () => {
        const engine = createEngine();
        const { keeper, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3"]) {
            await keeper.ensure(createRequest(adapter));
            engine.inUse.add(adapter);
            advance(1_000);
        }
        await keeper.ensure(createRequest("a4"));
        await keeper.refresh();
        await keeper.ensure(createRequest("a5"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
        ["a1", "a2", "a3"].forEach(engine.release);
        await new Promise(resolve => setTimeout(resolve, 20));
        advance(1_000);
        expect((await keeper.ensure(createRequest("a6"))).outcome).to.equal("resident");
        expect(engine.readMaximumAdapterCount()).to.equal(3);
        keeper.stop();
    });

    it("finds out that an order was carried out whose answer was lost", async () => {
        const engine = createEngine();
        const { keeper } = createManager(engine.control);
        await keeper.refresh();
        engine.setAnswers("lostOnce");
        expect((await keeper.ensure(createRequest("a1"))).outcome).to.equal("resident");
        expect([...engine.adapters]).to.deep.equal(["a1"]);
    });

    it("evicts at once when the answer of the first order to unload is lost", async () => {
        const engine = createEngine();
        const { keeper, advance } = createManager(engine.control);
        for (const adapter of ["a1", "a2", "a3"]) {
            await keeper.ensure(createRequest(adapter));
            advance(1_000);
        }
        engine.setAnswers("lostOnce");
        expect((await keeper.ensure(createRequest("a4"))).outcome).to.equal("resident");
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("keeps the place of an order that may still be carried out", async () => {
        const engine = createEngine();
        const { keeper, advance } = createManager(engine.control);
        await keeper.ensure(createRequest("a1"));
        advance(1_000);
        await keeper.ensure(createRequest("a2"));
        advance(1_000);
        engine.setAnswers("late");
        expect((await keeper.ensure(createRequest("a3"))).outcome).to.equal("failed");
        engine.setAnswers("given");
        engine.applyLateOrders();
        advance(1_000);
        await keeper.ensure(createRequest("a4"));
        await keeper.ensure(createRequest("a5"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    it("keeps count of an adapter whose repeated load could not be ordered", async () => {
        const engine = createEngine();
        ["a1", "a2", "a3"].forEach(adapter => engine.adapters.add(adapter));
        let fencingNumber: number | undefined = undefined;
        const { keeper, advance } = createManager(engine.control, () => fencingNumber);
        await keeper.refresh();
        await keeper.ensure({ ...createRequest("a1"), wasDenied: true });
        fencingNumber = 8;
        advance(1_000);
        await keeper.ensure(createRequest("a4"));
        expect(engine.readMaximumAdapterCount()).to.equal(3);
    });

    // the gate would take the store for slow, hold loads back, and so poll later still
    it("tells the gate no duration of a load whose polls were not answered", async () => {
        const engine = createEngine();
        const took: (number | undefined)[] = [];
        const gate = createLoadScheduler(() => undefined);
        const measuredGate: LoadScheduler = {
            ...gate,
            schedule: (...request) => ({ ...gate.schedule(...request), finish: duration => took.push(duration) }),
        };
        let silentPolls = 0;
        const control: EngineControl = {
            ...engine.control,
            order: (engineServer, order) =>
                engine.adapters.has(order.adapter!) && silentPolls-- > 0
                    ? Promise.resolve({ kind: "unknown" })
                    : engine.control.order(engineServer, order),
        };
        const { keeper } = createManager(control, () => 7, measuredGate);
        await keeper.ensure(createRequest("a1"));
        silentPolls = 3;
        await keeper.ensure(createRequest("a2"));
        expect(took).to.have.length(2);
        expect(took[0]).to.be.a("number");
        expect(took[1]).to.equal(undefined);
    });

    it("gives no order after it was stopped", async () => {
        const engine = createEngine();
        const { keeper } = createManager(engine.control);
        await keeper.refresh();
        keeper.stop();
        expect((await keeper.ensure(createRequest("a1"))).outcome).to.equal("notHolder");
        expect(engine.adapters.size).to.equal(0);
    });
});
