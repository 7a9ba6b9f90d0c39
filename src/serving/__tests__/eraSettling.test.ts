import { expect } from "chai";
import { createEraSettling, type EraSettling, rewriteMilliseconds } from "../eraSettling.js";
import { createStoreEras, type StoreEras } from "../storeEras.js";

interface TestSettling {
    readonly eras: StoreEras;
    readonly settling: EraSettling;
    readonly state: {
        now: number;
        seenAt: number | undefined;
        answeredAt: number | undefined;
        isAsking: boolean;
    };
}

const unixStart = 1_700_000_000_000;

function createSettling(isFirstStart: boolean): TestSettling {
    const state: TestSettling["state"] = { now: 10_000, seenAt: undefined, answeredAt: undefined, isAsking: false };
    const eras = createStoreEras(() => state.now);
    const settling = createEraSettling({
        eras,
        isFirstStart,
        findSeenAtInEntries: () => state.seenAt,
        findSeenAtInAnswers: () => state.answeredAt,
        isAsking: () => state.isAsking,
        readClocks: () => ({ monotonic: state.now, timeOfDay: unixStart + state.now }),
    });
    return { eras, settling, state };
}

describe("time from which the store has all again that was written", () => {
    it("is always where the store names no era, and in the first era of a system that starts for the first time", () => {
        const { settling } = createSettling(false);
        expect(settling.isSettled()).to.equal(true);
        const first = createSettling(true);
        first.eras.observe(4);
        expect(first.settling.isSettled()).to.equal(true);
        first.eras.observe(5);
        expect(first.settling.isSettled()).to.equal(false);
    });

    // guards against an instance that starts while the store still holds an older configuration, and takes it for the newest
    it("comes a while after a new era was first seen, by this instance or another one", () => {
        const { eras, settling, state } = createSettling(false);
        state.isAsking = true;
        eras.observe(4);
        expect(settling.readSettledAt()).to.equal(Number.POSITIVE_INFINITY);
        state.isAsking = false;
        expect(settling.readSettledAt()).to.equal(10_000 + rewriteMilliseconds);
        state.seenAt = unixStart + 9_000;
        expect(settling.readSettledAt()).to.equal(9_000 + rewriteMilliseconds);
        state.seenAt = unixStart - 60_000;
        expect(settling.isSettled()).to.equal(true);
    });

    // guards against a clock of another instance that is behind, by which the store would have all again at once
    it("goes by the answers of others where there are any, and not by the clocks of their entries", () => {
        const { eras, settling, state } = createSettling(false);
        state.seenAt = unixStart - 60_000;
        eras.observe(4);
        expect(settling.isSettled()).to.equal(true);
        state.answeredAt = 9_500;
        expect(settling.readSettledAt()).to.equal(9_500 + rewriteMilliseconds);
    });

    // guards against a clock of another instance that is ahead and prolongs the wait
    it("is no later for a time in the future that another instance names", () => {
        const { eras, settling, state } = createSettling(false);
        eras.observe(4);
        state.seenAt = unixStart + 60_000;
        expect(settling.readSettledAt()).to.equal(10_000 + rewriteMilliseconds);
    });

    // guards against a first return of the store that is taken for its first era, where eras are counted from 0 (CONFIG)
    it("comes a while after the store's first return also where its first era is 0", () => {
        const { eras, settling } = createSettling(true);
        eras.observe(0);
        expect(settling.isSettled()).to.equal(true);
        eras.observe(1);
        expect(settling.isSettled()).to.equal(false);
    });

    // guards against a clock that is stepped while the store lacks records: an older configuration would count as confirmed
    it("comes no earlier for a time of another clock where this instance has seen the era begin", () => {
        const { eras, settling, state } = createSettling(false);
        eras.observe(4);
        state.now += 60_000;
        eras.observe(5);
        state.seenAt = unixStart + state.now - 30_000;
        expect(settling.isSettled()).to.equal(false);
    });
});
