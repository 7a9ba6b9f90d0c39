import { expect } from "chai";
import { runPlacementSimulation } from "./placementSimulation.js";

const firstSeed = 10_000;

describe("placement histories", () => {
    it("never run a request on another adapter and never evict one in use, in 1,000 histories with faults", function() {
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
            const harm = {
                evictedInUse: run.evictedInUse,
                lost: run.lost,
                wrong: run.wrong,
                mismatched: run.mismatched,
            };
            expect(harm, `seed ${seed}`).to.deep.equal({ evictedInUse: [], lost: [], wrong: [], mismatched: 0 });
            sums.completed += run.completed;
            sums.evictions += run.evictions;
            sums.loads += run.loads;
        }
        // the histories must be worth something: requests ended well, and evictions happened
        expect(sums.completed).to.be.above(20_000);
        expect(sums.evictions).to.be.above(3_000);
        expect(sums.loads).to.be.above(8_000);
    });

    it("never ask more of the weight store than its rate and its full speed, while ownership moves", function() {
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
            expect(run.peakLoadsInFlight, `in flight, seed ${seed}`).to.be.at.most(run.allowedLoadsInFlight);
        }
    });
});
