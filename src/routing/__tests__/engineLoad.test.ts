import { expect } from "chai";
import { createSeededRandom, type SeededRandom } from "../../shared/index.js";
import {
    addPlaced,
    computeLastingLoad,
    computePlacementCost,
    computeSlowness,
    countRequests,
    countUnreadTokens,
    createEngineLoad,
    createUsualSpeed,
    type EngineDemand,
    type EngineLoadState,
    estimateFirstEvent,
    estimateRoom,
    fitsNow,
    markBegan,
    markUnknown,
    recordObservation,
    recordToldLoad,
    removePlaced,
    type UsualSpeed,
} from "../engineLoad.js";
import { createPromptCache } from "../promptCache.js";

const slots = 16;
const memoryTokens = 40_000;
const shortDemand: EngineDemand = { promptTokens: 100, outputTokens: 100, cachedTokens: 0 };
const longDemand: EngineDemand = { promptTokens: 6_870, outputTokens: 100, cachedTokens: 0 };

function createState(): EngineLoadState {
    return createEngineLoad(slots, memoryTokens, 0);
}

interface Observed {
    readonly states: readonly EngineLoadState[];
    readonly usual: UsualSpeed;
}

// each engine answers a request every 100 ms, in a time that its factor multiplies
function applyAnswers(
    observed: Observed,
    factors: readonly number[],
    from: number,
    to: number,
    random: SeededRandom,
): Observed {
    const states = [...observed.states];
    let { usual } = observed;
    for (let now = from; now < to; now += 100) {
        factors.forEach((factor, index) => {
            const { state, placed } = addPlaced(states[index]!, shortDemand, now);
            const noise = 0.7 + random.next() * 0.6;
            const observation = { firstEventAfter: 90 * factor * noise, eventGap: 60 * factor * noise };
            const recorded = recordObservation(state, usual, placed, observation, now + 90);
            usual = recorded.usual;
            states[index] = removePlaced(recorded.state, placed, true, now + 90);
        });
    }
    return { states, usual };
}

describe("load of an engine", () => {
    // guards against four slow engines whose streams paused too long at the same number of requests as the others
    it("follows a third of the engines that turn slow while others turn quick, and forgets it without answers", () => {
        const random = createSeededRandom(1);
        const start = { states: Array.from({ length: 9 }, createState), usual: createUsualSpeed(0) };
        const even = applyAnswers(start, Array.from({ length: 9 }, () => 1), 0, 10_000, random);
        even.states.forEach(state => expect(computeSlowness(state, 10_000)).to.be.within(0.8, 1.25));
        const factors = Array.from({ length: 9 }, (unused, index) => index % 3 === 0 ? 2.5 : 0.7);
        const changed = applyAnswers(even, factors, 10_000, 25_000, random);
        const loads = changed.states.map(state => computeSlowness(state, 25_000));
        loads.forEach((slowness, index) => {
            const [lowest, highest] = index % 3 === 0 ? [1.5, 2.6] : [0.45, 0.9];
            expect(slowness).to.be.within(lowest!, highest!);
        });
        changed.states.forEach(state => expect(computeSlowness(state, 120_000)).to.be.within(0.95, 1.05));
    });

    // guards against the herd on the fastest engine that a choice by rank of speed would be
    it("shares the advantage of the fastest engine out by free capacity", () => {
        const speeds = [0.5, 0.8, 0.9, 1, 1, 1.1, 1.2, 1.5];
        let states = speeds.map(slowness => ({ ...createState(), slowness, toldAt: 0 }));
        const counts = speeds.map(() => 0);
        const requestCount = 64;
        for (let request = 0; request < requestCount; request++) {
            const costs = states.map(state => computePlacementCost(state, shortDemand, 0));
            const best = costs.indexOf(Math.min(...costs));
            counts[best]!++;
            states = states.map((state, index) =>
                index === best
                    ? { ...addPlaced(state, shortDemand, 0).state, slowness: speeds[index]!, toldAt: 0 }
                    : state
            );
        }
        const mean = requestCount / speeds.length;
        expect(Math.max(...counts)).to.be.lessThan(mean * 2.2).and.equal(counts[0]);
        expect(Math.min(...counts)).to.be.greaterThan(mean / 3);
        expect(counts[0]).to.be.at.most(slots);
    });

    // guards against moving load and adapters back and forth with the noise of the observations
    it("keeps the slowness that decisions use while the estimate only varies a little", () => {
        const random = createSeededRandom(2);
        let observed: Observed = { states: [createState(), createState()], usual: createUsualSpeed(0) };
        const values = new Set<number>();
        for (let now = 0; now < 30_000; now += 100) {
            observed = applyAnswers(observed, [1, 1], now, now + 100, random);
            values.add(observed.states[0]!.slowness);
        }
        expect(values.size).to.be.lessThan(15);
    });

    // guards against long prompts that meet on one engine, whose streams then pause while they are read
    it("spreads long prompts at four times their share over engines with as many requests", () => {
        const random = createSeededRandom(3);
        let states = Array.from({ length: 8 }, createState);
        const longCounts = states.map(() => 0);
        for (let request = 0; request < 40; request++) {
            const demand = random.chance(0.48) ? longDemand : shortDemand;
            const costs = states.map(state => computePlacementCost(state, demand, 0));
            const best = costs.indexOf(Math.min(...costs));
            longCounts[best]! += demand === longDemand ? 1 : 0;
            states = states.map((state, index) => index === best ? addPlaced(state, demand, 0).state : state);
        }
        expect(Math.max(...longCounts) - Math.min(...longCounts)).to.be.at.most(1);
        const unread = states.map(state => countUnreadTokens(state, 0));
        expect(Math.max(...unread) - Math.min(...unread)).to.be.at.most(longDemand.promptTokens);
    });

    it("counts prompt tokens until they are read, at the latest with the first event", () => {
        const { state, placed } = addPlaced(createState(), longDemand, 0);
        expect(countUnreadTokens(state, 0)).to.equal(6_870);
        expect(countUnreadTokens(state, 100)).to.be.within(5_000, 6_800);
        expect(countUnreadTokens(markBegan(state, placed, 100), 100)).to.equal(0);
        expect(countUnreadTokens(state, 10_000)).to.equal(0);
    });

    // guards against a request that has others preempted within their streams
    it("lets a request fit only with a free slot and memory, and says when it will", () => {
        let state = createState();
        for (let request = 0; request < 5; request++) {
            expect(fitsNow(state, longDemand, 0)).to.equal(true);
            expect(estimateRoom(state, longDemand, 0)).to.equal(0);
            state = addPlaced(state, longDemand, 0).state;
        }
        expect(fitsNow(state, longDemand, 0)).to.equal(false);
        expect(fitsNow(state, shortDemand, 0)).to.equal(true);
        expect(estimateRoom(state, longDemand, 0)).to.be.within(1, 2_000);
        expect(estimateFirstEvent(state, longDemand, 0)).to.be.greaterThan(estimateFirstEvent(state, shortDemand, 0));
        const tooLarge = { ...longDemand, promptTokens: memoryTokens + 1 };
        expect(estimateRoom(state, tooLarge, 0)).to.equal(Number.POSITIVE_INFINITY);
        for (let request = 0; request < 11; request++) {
            state = addPlaced(state, { ...shortDemand, outputTokens: 0 }, 0).state;
        }
        expect(fitsNow(state, shortDemand, 0)).to.equal(false);
        expect(estimateRoom(state, shortDemand, 0)).to.be.within(1, 2_000);
    });

    // guards against a new holder that sends too much to engines that run what an earlier one placed
    it("bounds what a new holder doesn't know, replaces it by what the engine states, and doesn't trust it when old", () => {
        const unknown = markUnknown(createState(), 0.5, 0);
        expect(countRequests(unknown, 0)).to.equal(8);
        const told = recordToldLoad(unknown, { running: 15, waiting: 3, age: 250, memoryTokens: 39_000 }, 300);
        expect(countRequests(told, 300)).to.be.within(16, 18);
        expect(fitsNow(told, shortDemand, 300)).to.equal(false);
        expect(countRequests(told, 2_000)).to.be.within(8, 12);
        expect(countRequests(told, 5_000)).to.equal(0);
        expect(fitsNow(told, shortDemand, 5_000)).to.equal(true);
        expect(recordToldLoad(unknown, { running: 15, waiting: 0, age: 1_500 }, 1_500)).to.equal(unknown);
        const absurd = recordToldLoad(createState(), { running: 1e9, waiting: 0, age: 0 }, 0);
        expect(countRequests(absurd, 0)).to.equal(2 * slots);
        const idle = recordToldLoad(unknown, { running: 0, waiting: 0, age: 0 }, 10);
        expect(countRequests(idle, 10)).to.equal(0);
    });

    // guards against counts that drift until an idle engine looks full
    it("is empty again when all requests have ended", () => {
        const random = createSeededRandom(4);
        let state = createState();
        const running: ReturnType<typeof addPlaced>["placed"][] = [];
        for (let now = 0; now < 20_000; now += 10) {
            if (random.chance(0.5) || running.length === 0) {
                const added = addPlaced(state, random.chance(0.2) ? longDemand : shortDemand, now);
                state = added.state;
                running.push(added.placed);
            }
            else {
                const [ended] = running.splice(random.between(0, running.length - 1), 1);
                state = removePlaced(state, ended!, true, now);
            }
        }
        running.forEach(placed => state = removePlaced(state, placed, true, 20_000));
        expect(state).to.include({ requests: 0, takenTokens: 0 });
        expect(countUnreadTokens(state, 20_000)).to.equal(0);
        expect(computeLastingLoad(state, 80_000)).to.be.lessThan(0.01);
    });

    it("averages the stated slowness of the machine, and returns to usual without a new one", () => {
        let state = createState();
        for (let now = 0; now < 2_000; now += 50) {
            state = recordToldLoad(state, { running: 0, waiting: 0, age: 0, slowness: now % 100 === 0 ? 3 : 2 }, now);
        }
        expect(computeSlowness(state, 2_000)).to.be.within(2, 3);
        expect(computeSlowness(state, 12_000)).to.be.within(0.99, 1.01);
        // guards against an engine that one absurd figure keeps from all requests
        const absurd = recordToldLoad(createState(), { running: 0, waiting: 0, age: 0, slowness: 1e9 }, 0);
        expect(computeSlowness(absurd, 5_000)).to.be.lessThan(1.2);
    });
});

describe("parts of prompts that an engine has read", () => {
    // guards against counting a part as cached that another adapter brought, or whose beginning is missing
    it("count only for the same adapter, and only with all parts before them", () => {
        const cache = createPromptCache(10_000);
        cache.add("base/a", [["s", 100], ["t", 200]]);
        expect(cache.countCached("base/a", [["s", 100], ["t", 200], ["u", 50]])).to.equal(300);
        expect(cache.countCached("base/a", [["x", 100], ["t", 200]])).to.equal(0);
        expect(cache.countCached("base/b", [["s", 100]])).to.equal(0);
        expect(cache.countCached("base/a", [["s", 150], ["t", 200]])).to.equal(100);
    });

    it("are forgotten, least recently read first, when they exceed the memory", () => {
        const cache = createPromptCache(10_000);
        cache.add("base/a", [["s", 3_000]]);
        cache.add("base/a", [["t", 3_000]]);
        expect(cache.countCached("base/a", [["s", 3_000]])).to.equal(0);
        expect(cache.countCached("base/a", [["t", 3_000]])).to.equal(3_000);
    });
});
