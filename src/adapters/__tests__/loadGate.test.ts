import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { createLoadGate, type GateEntry, type LoadGate } from "../loadGate.js";

interface PlayedLoad {
    readonly arrivedAt: number;
    startedAt: number | undefined;
    endedAt: number | undefined;
    work: number;
    entry: GateEntry | undefined;
}

const loadMilliseconds = 250;
const targetMilliseconds = 600;
const stepMilliseconds = 5;
const toldAfterMilliseconds = 15;

// a store that shares the speed of a number of loads among all that are on their way, for several instances
function runStore(fullSpeed: number, perSecond: number, seconds: number, instanceCount: number): number {
    const random = createSeededRandom(7);
    const gates: LoadGate[] = [];
    const told: { readonly at: number; readonly from: number; }[] = [];
    let present = 0;
    for (let index = 0; index < instanceCount; index++) {
        gates.push(createLoadGate(() => told.push({ at: present + toldAfterMilliseconds, from: index })));
    }
    const loads: PlayedLoad[] = [];
    let owed = 0;
    for (let now = 0; now < seconds * 1_000 + 2_000; now += stepMilliseconds) {
        present = now;
        while (told[0] && told[0].at <= now) {
            const { from } = told.shift()!;
            const counts = gates[from]!.readCounts(now);
            gates.forEach((gate, index) => index !== from && gate.handleCounts(`i-${from}`, counts, now));
        }
        owed += now < seconds * 1_000 ? perSecond * stepMilliseconds / 1_000 * 2 * random.next() : 0;
        for (; owed >= 1; owed--) {
            const load: PlayedLoad = {
                arrivedAt: now,
                startedAt: undefined,
                endedAt: undefined,
                work: 0,
                entry: undefined,
            };
            loads.push(load);
            const waiting = { priority: 0, usefulUntil: now + targetMilliseconds, until: now + 1_500 };
            const gate = gates[Math.floor(random.next() * instanceCount)];
            load.entry = gate?.enter(waiting, isTurn => load.startedAt = isTurn ? present : undefined, now);
            load.startedAt ??= gate ? undefined : now;
        }
        advanceLoads(loads, fullSpeed, now);
    }
    const isOnTime = (load: PlayedLoad): boolean =>
        load.endedAt !== undefined && load.endedAt - load.arrivedAt < targetMilliseconds;
    return loads.filter(isOnTime).length / loads.length;
}

function advanceLoads(loads: readonly PlayedLoad[], fullSpeed: number, now: number): void {
    const running = loads.filter(load => load.startedAt !== undefined && load.endedAt === undefined);
    const speed = Math.min(1, fullSpeed / Math.max(1, running.length));
    for (const load of running) {
        load.work += stepMilliseconds * speed;
        if (load.work >= loadMilliseconds) {
            load.endedAt = now;
            load.entry?.leave(now - load.startedAt!, now);
        }
    }
}

// starts loads until the gate holds one back
function fillGate(gate: LoadGate): GateEntry[] {
    const entries: GateEntry[] = [];
    let started = 0;
    do {
        entries.push(gate.enter({ priority: 0, usefulUntil: 1, until: 10_000 }, () => started++, 0));
    }
    while (started === entries.length);
    return entries;
}

describe("load gate, in a burst of requests for cold adapters", () => {
    it("lets more be on time than when the store is shared among all", () => {
        const shared = runStore(8, 50, 6, 0);
        const gated = runStore(8, 50, 6, 1);
        expect(gated, `${shared} are on time when shared among all`).to.be.greaterThan(shared * 1.2);
    });

    it("keeps the store's speed when the engines are dealt to many instances", () => {
        // 32 loads a second are all that the store has: 0.64 of 50
        expect(runStore(8, 50, 10, 8), "overloaded").to.be.greaterThan(0.64 * 0.8);
        expect(runStore(8, 26, 10, 8), "nearly full").to.be.greaterThan(0.95);
        expect(runStore(40, 130, 10, 42), "nearly full, a larger store").to.be.greaterThan(0.9);
    });

    it("holds back little when the store has room", () => {
        expect(runStore(8, 16, 6, 1)).to.be.greaterThan(0.95);
    });

    it("lets those go first that can still be on time, and of these the more urgent", () => {
        const gate = createLoadGate(() => undefined);
        const order: string[] = [];
        const addLoad = (name: string, priority: number, usefulUntil: number): void =>
            void gate.enter({ priority, usefulUntil, until: 10_000 }, () => order.push(name), 0);
        const [first] = fillGate(gate);
        // would end after its time
        addLoad("late", 0, 200);
        addLoad("less urgent", 2, 1_000);
        addLoad("urgent", 1, 1_000);
        for (let ends = 0; ends < 4; ends++) {
            first!.leave(undefined, 50);
        }
        expect(order).to.deep.equal(["urgent", "less urgent", "late"]);
    });

    it("goes by the latest of the requests that wait for a load", () => {
        const gate = createLoadGate(() => undefined);
        const order: string[] = [];
        const [first] = fillGate(gate);
        gate.enter({ priority: 0, usefulUntil: 1_000, until: 1_000 }, () => order.push("one request"), 0);
        const entry = gate.enter({ priority: 0, usefulUntil: 100, until: 40 }, () => order.push("two requests"), 0);
        entry.extend({ priority: 0, usefulUntil: 900, until: 900 });
        for (let ends = 0; ends < 2; ends++) {
            first!.leave(undefined, 50);
        }
        expect(order).to.deep.equal(["two requests", "one request"]);
    });

    it("tells those whose time is over", () => {
        const gate = createLoadGate(() => undefined);
        const told: boolean[] = [];
        fillGate(gate);
        gate.enter({ priority: 0, usefulUntil: 10, until: 100 }, isTurn => told.push(isTurn), 0);
        gate.expire(100);
        expect(told).to.deep.equal([false]);
    });

    it("tells its counts when another instance's counts let a load begin", () => {
        let told = 0;
        let started = 0;
        const gate = createLoadGate(() => told++);
        gate.handleCounts("other", { running: 40, waiting: 0 }, 0);
        for (let load = 0; load < 2; load++) {
            gate.enter({ priority: 0, usefulUntil: 5_000, until: 5_000 }, () => started++, 0);
        }
        expect(started).to.equal(1);
        told = 0;
        gate.handleCounts("other", { running: 0, waiting: 0 }, 10);
        expect([started, told]).to.deep.equal([2, 1]);
    });
});
