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

// simulates a store that splits the bandwidth of a number of full-speed loads among all loads in flight, and instances
// that have a scheduler each; without instances all loads start at once; returns the fraction of loads on time
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
            schedulers.forEach((scheduler, index) =>
                index !== from && scheduler.handleCounts(`i-${from}`, counts, now)
            );
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
            const scheduler = schedulers[Math.floor(random.next() * instanceCount)];
            load.scheduled = scheduler?.schedule(
                waiting,
                isAdmitted => load.startedAt = isAdmitted ? currentTime : undefined,
                now,
            );
            load.startedAt ??= scheduler ? undefined : now;
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

// adds loads until the scheduler makes one wait
function fillScheduler(scheduler: LoadScheduler): ScheduledLoad[] {
    const entries: ScheduledLoad[] = [];
    let started = 0;
    do {
        entries.push(scheduler.schedule({ priority: 0, usefulUntil: 1, until: 10_000 }, () => started++, 0));
    }
    while (started === entries.length);
    return entries;
}

describe("load scheduler, in a burst of requests for adapters that aren't loaded", () => {
    it("completes more loads on time than a store that all loads share at once", () => {
        const sharedFraction = measureOnTimeFraction(8, 50, 6, 0);
        const scheduledFraction = measureOnTimeFraction(8, 50, 6, 1);
        expect(scheduledFraction, `${sharedFraction} without scheduler`).to.be.greaterThan(sharedFraction * 1.2);
    });

    it("keeps the store at full speed when the engines are distributed over many instances", () => {
        // the store serves at most 32 loads a second, which is 0.64 of 50
        expect(measureOnTimeFraction(8, 50, 10, 8), "overloaded").to.be.greaterThan(0.64 * 0.8);
        expect(measureOnTimeFraction(8, 26, 10, 8), "nearly full").to.be.greaterThan(0.95);
        expect(measureOnTimeFraction(40, 130, 10, 42), "nearly full, a larger store").to.be.greaterThan(0.9);
    });

    it("delays few loads when the store is below its capacity", () => {
        expect(measureOnTimeFraction(8, 16, 6, 1)).to.be.greaterThan(0.95);
    });

    it("starts loads that can still end on time first, and among these the more urgent ones", () => {
        const scheduler = createLoadScheduler(() => undefined);
        const order: string[] = [];
        const addLoad = (name: string, priority: number, usefulUntil: number): void =>
            void scheduler.schedule({ priority, usefulUntil, until: 10_000 }, () => order.push(name), 0);
        const [first] = fillScheduler(scheduler);
        // would end after its usefulUntil
        addLoad("late", 0, 200);
        addLoad("less urgent", 2, 1_000);
        addLoad("urgent", 1, 1_000);
        for (let ends = 0; ends < 4; ends++) {
            first!.finish(undefined, 50);
        }
        expect(order).to.deep.equal(["urgent", "less urgent", "late"]);
    });

    it("uses the latest times among the requests that wait for a load", () => {
        const scheduler = createLoadScheduler(() => undefined);
        const order: string[] = [];
        const [first] = fillScheduler(scheduler);
        scheduler.schedule({ priority: 0, usefulUntil: 1_000, until: 1_000 }, () => order.push("one request"), 0);
        const entry = scheduler.schedule(
            { priority: 0, usefulUntil: 100, until: 40 },
            () => order.push("two requests"),
            0,
        );
        entry.extend({ priority: 0, usefulUntil: 900, until: 900 });
        for (let ends = 0; ends < 2; ends++) {
            first!.finish(undefined, 50);
        }
        expect(order).to.deep.equal(["two requests", "one request"]);
    });

    it("drops waiting loads whose requests have stopped waiting", () => {
        const scheduler = createLoadScheduler(() => undefined);
        const decisions: boolean[] = [];
        fillScheduler(scheduler);
        scheduler.schedule({ priority: 0, usefulUntil: 10, until: 100 }, isAdmitted => decisions.push(isAdmitted), 0);
        scheduler.expire(100);
        expect(decisions).to.deep.equal([false]);
    });

    it("publishes its counts when the counts of another instance allow a load to start", () => {
        let publishedCount = 0;
        let started = 0;
        const scheduler = createLoadScheduler(() => publishedCount++);
        scheduler.handleCounts("other", { running: 40, waiting: 0 }, 0);
        for (let load = 0; load < 2; load++) {
            scheduler.schedule({ priority: 0, usefulUntil: 5_000, until: 5_000 }, () => started++, 0);
        }
        expect(started).to.equal(1);
        publishedCount = 0;
        scheduler.handleCounts("other", { running: 0, waiting: 0 }, 10);
        expect([started, publishedCount]).to.deep.equal([2, 1]);
    });
});
