import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { createStoreCapacity, type StoreCapacity } from "../storeCapacity.js";

const loadMilliseconds = 250;
const answerMilliseconds = 6;
const pollMilliseconds = 12;

// simulates loads that are polled from the estimated base duration on
function runLoads(capacity: StoreCapacity, fullSpeed: number, inFlight: number, count: number): void {
    const random = createSeededRandom(3);
    for (let load = 0; load < count; load++) {
        const duration = loadMilliseconds * Math.max(1, inFlight / fullSpeed) + random.next();
        let polledAt = capacity.readBaseDuration();
        while (polledAt < duration) {
            polledAt += pollMilliseconds;
        }
        capacity.recordLoad(polledAt + answerMilliseconds, inFlight);
    }
}

describe("capacity of the weight store", () => {
    it("estimates the base duration closely, although the end of a load is only observed at a poll", () => {
        const capacity = createStoreCapacity();
        runLoads(capacity, 8, 2, 300);
        expect(capacity.readBaseDuration()).to.be.within(loadMilliseconds * 0.97, loadMilliseconds * 1.04);
    });

    it("estimates how many loads the store serves at full speed", () => {
        const capacity = createStoreCapacity();
        for (let round = 0; round < 60; round++) {
            runLoads(capacity, 16, Math.floor(capacity.readLimit()), 2);
        }
        expect(capacity.readLimit()).to.be.within(13, 20);
    });

    it("isn't lowered by loads that were slow for a reason other than the store's load", () => {
        const capacity = createStoreCapacity();
        runLoads(capacity, 8, 2, 20);
        for (let load = 0; load < 40; load++) {
            capacity.recordLoad(400, 1);
        }
        expect(capacity.readLimit()).to.be.at.least(8);
    });
});
