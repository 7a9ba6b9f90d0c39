import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { createStoreCapacity, type StoreCapacity } from "../storeCapacity.js";

const loadMilliseconds = 250;
const answerMilliseconds = 6;
const pollMilliseconds = 12;

// plays loads that are polled from the quickest time known on
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
    it("finds the quickest time closely, though loads are only seen to end when they are polled", () => {
        const capacity = createStoreCapacity();
        runLoads(capacity, 8, 2, 300);
        expect(capacity.readBaseDuration()).to.be.within(loadMilliseconds * 0.97, loadMilliseconds * 1.04);
    });

    it("finds how many loads go at full speed", () => {
        const capacity = createStoreCapacity();
        for (let round = 0; round < 60; round++) {
            runLoads(capacity, 16, Math.floor(capacity.readLimit()), 2);
        }
        expect(capacity.readLimit()).to.be.within(13, 20);
    });

    it("isn't lowered by loads that were slow for another reason than the store", () => {
        const capacity = createStoreCapacity();
        runLoads(capacity, 8, 2, 20);
        for (let load = 0; load < 40; load++) {
            capacity.recordLoad(400, 1);
        }
        expect(capacity.readLimit()).to.be.at.least(8);
    });
});
