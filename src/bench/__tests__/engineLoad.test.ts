import { expect } from "chai";
import { type FleetRun, measureCapacity, runFleet } from "../engineLoad/engineFleet.js";

interface Shares {
    readonly byRequests: number;
    readonly byLoad: number;
}

// share of the answers that are on time at a part of the load that the engines bear, over two runs
function compare(load: number, settings: Omit<FleetRun, "seed" | "requestsPerSecond" | "isByLoad">): Shares {
    const seeds = [1, 2];
    const measure = (isByLoad: boolean): number =>
        seeds.reduce((sum, seed) => {
            const run = { ...settings, seed };
            const { requests } = runFleet({ ...run, isByLoad, requestsPerSecond: load * measureCapacity(run) });
            return sum + requests.filter(request => request.isOnTime).length / requests.length / seeds.length;
        }, 0);
    return { byRequests: measure(false), byLoad: measure(true) };
}

describe("choice of engines by their loads", () => {
    // guards against a load that counts only requests, by which slow engines get as many as fast ones
    it("has more answers on time when a third of the engines turns slow while others turn quick", () => {
        const readSlowness = (engine: number, now: number): number => now < 10_000 ? 1 : engine % 3 === 0 ? 2.5 : 0.8;
        const { byRequests, byLoad } = compare(0.8, { readSlowness });
        expect(byLoad).to.be.greaterThan(byRequests + 0.05);
    });

    it("has more answers on time when long prompts come at four times their share", () => {
        const { byRequests, byLoad } = compare(0.5, { longFraction: 0.48 });
        expect(byLoad).to.be.greaterThan(byRequests + 0.03);
    });

    // guards against a new holder that trusts its empty counts, or old ones, while all engines are busy
    it("has no fewer answers on time when the holder is replaced during a surge", () => {
        const { byRequests, byLoad } = compare(1, { isHolderReplaced: true });
        expect(byLoad).to.be.greaterThan(byRequests);
    });
});
