import { expect } from "chai";
import { computeEngineWaitLimits } from "../placeTimes.js";

const wait = { startedAt: 1_000, deadlineAt: 13_000, hasResponseStarted: false, targetLatency: 600 };

describe("time that a request waits for an engine", () => {
    it("counts from its start, with some time kept for the engine", () => {
        expect(computeEngineWaitLimits(wait, 1_200)).to.deep.equal({ until: 2_800, usefulUntil: 1_510 });
    });

    // after the crash of a quarter of the engines, streams that were cut stood behind requests that could still be on time
    it("counts anew for a stream that was broken off, which is not late before its client leaves", () => {
        expect(computeEngineWaitLimits({ ...wait, hasResponseStarted: true }, 5_000)).to.deep.equal({
            until: 6_800,
            usefulUntil: 6_800,
        });
    });

    it("ends with the request's own time", () => {
        expect(computeEngineWaitLimits({ ...wait, deadlineAt: 2_000 }, 1_200).until).to.equal(2_000);
    });
});
