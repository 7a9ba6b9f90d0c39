import { expect } from "chai";
import { computeEngineWaitLimits } from "../engineWaitLimits.js";

const wait = { startedAt: 1_000, deadlineAt: 13_000, hasResponseStarted: false, targetLatency: 600 };

describe("limits on the wait for an engine", () => {
    it("are counted from the start of the request, with time reserved for the engine", () => {
        expect(computeEngineWaitLimits(wait, 1_200)).to.deep.equal({ until: 2_800, usefulUntil: 1_510 });
    });

    // guards against broken streams that wait behind requests which can still meet the latency objective, as happened
    // after a crash of a quarter of the engines
    it("are counted from now for a stream that broke, which stays useful until its client disconnects", () => {
        expect(computeEngineWaitLimits({ ...wait, hasResponseStarted: true }, 5_000)).to.deep.equal({
            until: 6_800,
            usefulUntil: 6_800,
        });
    });

    // guards against a client that came back and gets the place of one that can still be on time
    it("count the objective from the client's first attempt", () => {
        const returned = { ...wait, objectiveAt: 1_100 };
        expect(computeEngineWaitLimits(returned, 1_000)).to.deep.equal({ until: 2_800, usefulUntil: 1_010 });
    });

    it("end at the deadline of the request", () => {
        expect(computeEngineWaitLimits({ ...wait, deadlineAt: 2_000 }, 1_200).until).to.equal(2_000);
    });
});
