import { expect } from "chai";
import { runPlacementSimulation } from "./placementSimulation.js";

const firstSeed = 10_000;

describe("placement simulation", () => {
    it("never runs a request on a wrong adapter and never evicts a load in use, in 1,000 runs with faults", function() {
        this.timeout(300_000);
        const sums = { completed: 0, evictions: 0, loads: 0 };
        for (let seed = firstSeed; seed < firstSeed + 1_000; seed++) {
            const run = runPlacementSimulation({
                seed,
                duration: 2_500,
                lateOrderRate: 0.1,
                lossRate: 0.05,
                meanFaultInterval: 200,
            });
            const violations = {
                evictedInUse: run.evictedInUse,
                lost: run.lost,
                wrong: run.wrong,
                mismatched: run.mismatched,
            };
            expect(violations, `seed ${seed}`).to.deep.equal({ evictedInUse: [], lost: [], wrong: [], mismatched: 0 });
            sums.completed += run.completed;
            sums.evictions += run.evictions;
            sums.loads += run.loads;
        }
        // the simulations must exercise what they check: requests complete, adapters are loaded and loads are evicted
        expect(sums.completed).to.be.above(20_000);
        expect(sums.evictions).to.be.above(3_000);
        expect(sums.loads).to.be.above(8_000);
    });

    it("never exceeds the weight store's load rate or its loads in flight while ownership moves", function() {
        this.timeout(120_000);
        for (let seed = firstSeed; seed < firstSeed + 200; seed++) {
            const run = runPlacementSimulation({
                seed,
                duration: 2_500,
                lateOrderRate: 0,
                lossRate: 0.05,
                meanFaultInterval: 150,
            });
            expect(run.peakLoadsPerSecond, `loads in a second, seed ${seed}`).to.be.at.most(run.allowedLoadsPerSecond);
            expect(run.peakLoadsInFlight, `loads in flight, seed ${seed}`).to.be.at.most(run.allowedLoadsInFlight);
        }
    });
});
