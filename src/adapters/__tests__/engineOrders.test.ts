import { expect } from "chai";
import { wrapValue } from "../../shared/index.js";
import { type AdapterLoad, createEngineOrders, type EngineOrders } from "../engineOrders.js";
import type { EngineOrder } from "../types.js";
import { createTestServer, testLimits } from "./testEngine.js";

const load: AdapterLoad = { key: "base/a1", model: "base", adapter: "a1", version: undefined, wasDenied: false };

interface TestOrders {
    readonly isLeaving?: boolean;
    /** Whether the engine says nothing now. */
    readonly isSilent?: () => boolean;
}

// orders to an engine that accepts all that it answers
function createOrders(
    sent: EngineOrder[],
    { isLeaving = false, isSilent = () => false }: TestOrders = {},
): EngineOrders {
    let mayReceive = true;
    return createEngineOrders({
        server: createTestServer("i-1"),
        run: "i-1/1",
        findLimits: () => testLimits,
        control: {
            order: (server, order) => {
                sent.push(order);
                return Promise.resolve(isSilent() ? { kind: "unknown" } : { kind: "accepted", isLeaving });
            },
            report: () => {
                const models = [{ name: "base", version: 1, adapters: [] }];
                return Promise.resolve(wrapValue({ startedAt: 1, sequence: 0, models, pending: [] }));
            },
        },
        clock: { now: () => 0, sleep: () => Promise.resolve() },
        holder: "front-1",
        mayReceive: () => mayReceive,
        onLeaving: () => mayReceive = false,
        findFencingNumber: () => 7,
        onFenced: () => undefined,
        onChange: () => undefined,
        onTable: () => undefined,
        tryAcquireModelLoad: () => true,
    });
}

describe("orders to an engine", () => {
    // a poll repeats the load order: for an adapter that was evicted it would load one more than the engine has slots
    it("don't poll for an adapter that no longer has a slot", async () => {
        const sent: EngineOrder[] = [];
        const orders = createOrders(sent);
        expect(await orders.load(load)).to.equal("loading");
        expect(await orders.poll(load)).to.equal("loading");
        orders.slotTable.slots.delete(load.key);
        expect(await orders.poll(load)).to.equal("failed");
        expect(sent).to.have.length(2);
    });

    // guards against orders to an engine after its response has told that it leaves
    it("end with the response that tells that the engine leaves, also the polls of a load", async () => {
        const sent: EngineOrder[] = [];
        const orders = createOrders(sent, { isLeaving: true });
        expect(await orders.load(load)).to.equal("loading");
        expect(await orders.poll(load)).to.equal("unreachable");
        expect(await orders.load({ ...load, key: "base/a2", adapter: "a2" })).to.equal("unreachable");
        expect(sent).to.have.length(1);
    });

    // guards against an engine that gets no load any more once a few orders to it were lost in a silence
    it("go on after a silence in which more loads were ordered than an engine executes at a time", async () => {
        const sent: EngineOrder[] = [];
        let isSilent = false;
        const orders = createOrders(sent, { isSilent: () => isSilent });
        const loadAdapter = (adapter: string) => orders.load({ ...load, key: `base/${adapter}`, adapter });
        expect(await loadAdapter("a1")).to.equal("loading");
        isSilent = true;
        for (const adapter of ["a2", "a3", "a4", "a5", "a6", "a7"]) {
            expect(await loadAdapter(adapter)).to.equal("failed");
        }
        isSilent = false;
        expect(new Set(sent.slice(1).map(order => order.expectedSequence)).size).to.equal(1);
        expect(await loadAdapter("a8")).to.equal("loading");
        expect([...orders.slotTable.slots].map(([key, { state }]) => `${key} ${state}`)).to.deep.equal([
            "base/a1 loading",
            "base/a8 loading",
        ]);
    });

    it("carry the version that must be resident after the load", async () => {
        const sent: EngineOrder[] = [];
        const orders = createOrders(sent);
        await orders.load({ ...load, version: 4 });
        await orders.poll({ ...load, version: 4 });
        expect(sent.map(order => order.version)).to.deep.equal([4, 4]);
    });
});
