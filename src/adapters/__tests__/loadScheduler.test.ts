import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { createLoadScheduler, type LoadScheduler, type ScheduledLoad } from "../loadScheduler.js";

interface SimulatedLoad {
    readonly arrivedAt: number;
    startedAt: number | undefined;
    endedAt: number | undefined;
    work: number;
    scheduled: ScheduledLoad | undefined;
}

const loadMilliseconds = 250;
const targetMilliseconds = 600;
const stepMilliseconds = 5;
const countDelayMilliseconds = 15;

// a store that shares the speed of a number of loads among all that are on their way, for several instances
function measureOnTimeFraction(fullSpeed: number, perSecond: number, seconds: number, instanceCount: number): number {
    const random = createSeededRandom(7);
    const schedulers: LoadScheduler[] = [];
    const announcements: { readonly at: number; readonly from: number; }[] = [];
    let currentTime = 0;
    for (let index = 0; index < instanceCount; index++) {
        schedulers.push(
            createLoadScheduler(() => announcements.push({ at: currentTime + countDelayMilliseconds, from: index })),
        );
    }
    const loads: SimulatedLoad[] = [];
    let dueLoads = 0;
    for (let now = 0; now < seconds * 1_000 + 2_000; now += stepMilliseconds) {
        currentTime = now;
        while (announcements[0] && announcements[0].at <= now) {
            const { from } = announcements.shift()!;
            const counts = schedulers[from]!.readCounts(now);
            schedulers.forEach((gate, index) => index !== from && gate.handleCounts(`i-${from}`, counts, now));
        }
        dueLoads += now < seconds * 1_000 ? perSecond * stepMilliseconds / 1_000 * 2 * random.next() : 0;
        for (; dueLoads >= 1; dueLoads--) {
            const load: SimulatedLoad = {
                arrivedAt: now,
                startedAt: undefined,
                endedAt: undefined,
                work: 0,
                scheduled: undefined,
            };
            loads.push(load);
            const waiting = { priority: 0, usefulUntil: now + targetMilliseconds, until: now + 1_500 };
            const gate = schedulers[Math.floor(random.next() * instanceCount)];
            load.scheduled = gate?.schedule(waiting, isTurn => load.startedAt = isTurn ? currentTime : undefined, now);
            load.startedAt ??= gate ? undefined : now;
        }
        advanceLoads(loads, fullSpeed, now);
    }
    const isOnTime = (load: SimulatedLoad): boolean =>
        load.endedAt !== undefined && load.endedAt - load.arrivedAt < targetMilliseconds;
    return loads.filter(isOnTime).length / loads.length;
}

function advanceLoads(loads: readonly SimulatedLoad[], fullSpeed: number, now: number): void {
    const running = loads.filter(load => load.startedAt !== undefined && load.endedAt === undefined);
    const speed = Math.min(1, fullSpeed / Math.max(1, running.length));
    for (const load of running) {
        load.work += stepMilliseconds * speed;
        if (load.work >= loadMilliseconds) {
            load.endedAt = now;
            load.scheduled?.finish(now - load.startedAt!, now);
        }
    }
}

// starts loads until the gate holds one back
function fillScheduler(gate: LoadScheduler): ScheduledLoad[] {
    const entries: ScheduledLoad[] = [];
    let started = 0;
    do {
        entries.push(gate.schedule({ priority: 0, usefulUntil: 1, until: 10_000 }, () => started++, 0));
    }
    while (started === entries.length);
    return entries;
}

describe("load gate, in a burst of requests for cold adapters", () => {
    it("lets more be on time than when the store is shared among all", () => {
        const shared = measureOnTimeFraction(8, 50, 6, 0);
        const gated = measureOnTimeFraction(8, 50, 6, 1);
        expect(gated, `${shared} are on time when shared among all`).to.be.greaterThan(shared * 1.2);
    });

    it("keeps the store's speed when the engines are dealt to many instances", () => {
        // 32 loads a second are all that the store has: 0.64 of 50
        expect(measureOnTimeFraction(8, 50, 10, 8), "overloaded").to.be.greaterThan(0.64 * 0.8);
        expect(measureOnTimeFraction(8, 26, 10, 8), "nearly full").to.be.greaterThan(0.95);
        expect(measureOnTimeFraction(40, 130, 10, 42), "nearly full, a larger store").to.be.greaterThan(0.9);
    });

    it("holds back little when the store has room", () => {
        expect(measureOnTimeFraction(8, 16, 6, 1)).to.be.greaterThan(0.95);
    });

    it("lets those go first that can still be on time, and of these the more urgent", () => {
        const gate = createLoadScheduler(() => undefined);
        const order: string[] = [];
        const addLoad = (name: string, priority: number, usefulUntil: number): void =>
            void gate.schedule({ priority, usefulUntil, until: 10_000 }, () => order.push(name), 0);
        const [first] = fillScheduler(gate);
        // would end after its time
        addLoad("late", 0, 200);
        addLoad("less urgent", 2, 1_000);
        addLoad("urgent", 1, 1_000);
        for (let ends = 0; ends < 4; ends++) {
            first!.finish(undefined, 50);
        }
        expect(order).to.deep.equal(["urgent", "less urgent", "late"]);
    });

    it("goes by the latest of the requests that wait for a load", () => {
        const gate = createLoadScheduler(() => undefined);
        const order: string[] = [];
        const [first] = fillScheduler(gate);
        gate.schedule({ priority: 0, usefulUntil: 1_000, until: 1_000 }, () => order.push("one request"), 0);
        const entry = gate.schedule({ priority: 0, usefulUntil: 100, until: 40 }, () => order.push("two requests"), 0);
        entry.extend({ priority: 0, usefulUntil: 900, until: 900 });
        for (let ends = 0; ends < 2; ends++) {
            first!.finish(undefined, 50);
        }
        expect(order).to.deep.equal(["two requests", "one request"]);
    });

    it("tells those whose time is over", () => {
        const gate = createLoadScheduler(() => undefined);
        const told: boolean[] = [];
        fillScheduler(gate);
        gate.schedule({ priority: 0, usefulUntil: 10, until: 100 }, isTurn => told.push(isTurn), 0);
        gate.expire(100);
        expect(told).to.deep.equal([false]);
    });

    it("tells its counts when another instance's counts let a load begin", () => {
        let told = 0;
        let started = 0;
        const gate = createLoadScheduler(() => told++);
        gate.handleCounts("other", { running: 40, waiting: 0 }, 0);
        for (let load = 0; load < 2; load++) {
            gate.schedule({ priority: 0, usefulUntil: 5_000, until: 5_000 }, () => started++, 0);
        }
        expect(started).to.equal(1);
        told = 0;
        gate.handleCounts("other", { running: 0, waiting: 0 }, 10);
        expect([started, told]).to.deep.equal([2, 1]);
    });
});
