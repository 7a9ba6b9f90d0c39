import { expect } from "chai";
import {
    type ColdEvent,
    type ColdState,
    computeAllowedRate,
    computeColdLoad,
    computeColdRates,
    permitLifetimeMilliseconds,
    unknownColdState,
    updateColdState,
} from "../coldServer.js";

const coldStart = 10_000;

// state after events at the given times
function applyAll(...events: readonly (readonly [at: number, event: ColdEvent])[]): ColdState {
    return events.reduce((state, [at, event]) => updateColdState(state, event, coldStart, at), unknownColdState);
}

const list = (age: number): ColdEvent => ({ kind: "listed", age });
const createStatement = (by: "entry" | "header", remaining: number): ColdEvent => ({ kind: "stated", by, remaining });

describe("decision whether a run is cold", () => {
    // guards against a crash of a server that has just started and whose entry doesn't say yet that it is cold
    it("holds a new run for cold from its start, also when its clock is ahead or its entry states 0", () => {
        expect(applyAll([0, list(4_000)]).coldUntil).to.equal(6_000);
        expect(applyAll([0, list(-60_000)]).coldUntil).to.equal(10_000);
        expect(applyAll([0, list(0)], [100, createStatement("entry", 0)]).coldUntil).to.equal(10_000);
        expect(applyAll([0, list(0)], [100, createStatement("header", 0)]).coldUntil).to.equal(100);
        expect(applyAll([0, list(20_000)]).coldUntil).to.equal(Number.NEGATIVE_INFINITY);
    });

    // guards against a server that fell cold again and is taken for warm because of an entry written before
    it("prefers a header to an entry that arrives soon after it, and any later statement", () => {
        const cold = applyAll([0, list(20_000)], [1_000, createStatement("header", 8_000)], [
            1_500,
            createStatement("entry", 0),
        ]);
        expect(cold.coldUntil).to.equal(9_000);
        expect(updateColdState(cold, createStatement("entry", 0), coldStart, 5_000).coldUntil).to.equal(5_000);
        expect(updateColdState(cold, createStatement("entry", 3_000), coldStart, 5_000).coldUntil).to.equal(8_000);
    });

    // guards against the requests of all instances at once when a failure domain returns
    it("suspects a run that wasn't reached for a while or whose entry came back, until a statement", () => {
        const unreached = applyAll([0, list(20_000)], [100, { kind: "unreached" }], [1_200, { kind: "unreached" }]);
        expect(unreached.coldUntil).to.equal(11_200);
        expect(applyAll([0, list(20_000)], [5_000, { kind: "returned" }]).coldUntil).to.equal(15_000);
        const idle = applyAll([0, list(20_000)], [10_000, { kind: "asked" }]);
        expect(idle.coldUntil).to.equal(20_000);
        expect(updateColdState(idle, { kind: "asked" }, coldStart, 21_000).coldUntil).to.equal(20_000);
        expect(updateColdState(idle, createStatement("header", 0), coldStart, 11_000).coldUntil).to.be.below(0);
        expect(applyAll([0, list(20_000)], [5_000, { kind: "reached" }], [10_000, { kind: "asked" }]).coldUntil)
            .to.be.below(0);
    });

    // guards against an instance without a network that holds all servers for cold, which others reach
    it("suspects no run when only this instance is cut off, but goes on believing statements", () => {
        const unreached = applyAll([0, list(20_000)], [100, { kind: "unreached" }], [1_200, { kind: "unreached" }]);
        const excused = updateColdState(unreached, { kind: "cutOff" }, coldStart, 1_300);
        expect(excused.coldUntil).to.be.below(0);
        expect(updateColdState(excused, { kind: "asked" }, coldStart, 3_000).coldUntil).to.be.below(0);
        const stated = applyAll([0, list(20_000)], [100, createStatement("entry", 5_000)], [200, { kind: "cutOff" }]);
        expect(stated.coldUntil).to.equal(5_100);
    });
});

describe("rates of a cold server", () => {
    // guards against two holders that exceed the bound together when permits arrive with any delay up to their lifetime
    it("keep the bound with two holders and delayed permits, for any bound", () => {
        const window = (1_000 + permitLifetimeMilliseconds + 50) / 1_000;
        for (
            const [perSecond, over, slack] of [[7, 1.5, 5], [7, 1, 0], [1, 1, 0], [0.5, 1, 0], [40, 1.2, 2], [3, 2, 1]]
        ) {
            const { settled, contested } = computeColdRates({ perSecond: perSecond!, over: over!, slack: slack! });
            const most = Math.ceil(settled * window) + Math.ceil(contested * window);
            expect(most, `${perSecond} ${over} ${slack}`).to.be.at.most(perSecond! * over! + slack!);
        }
        expect(computeColdRates({ perSecond: 7, over: 1.5, slack: 5 }).settled).to.equal(7);
    });

    // guards against a burst in the first second after a server has become warm
    it("grow over the seconds after the end of coldness, and the server counts as fuller until then", () => {
        const rates = [-1, 0, 1_000, 2_000, 4_999, 5_000].map(after => computeAllowedRate(0, 7, after));
        expect(rates.map(rate => rate && Math.round(rate))).to.deep.equal([7, 7, 14, 28, 224, undefined]);
        expect([-1, 0, 2_500, 5_000].map(after => computeColdLoad(0, after))).to.deep.equal([0.75, 0.75, 0.375, 0]);
    });
});
