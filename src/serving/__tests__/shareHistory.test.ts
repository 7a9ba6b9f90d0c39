import { expect } from "chai";
import { createShareHistory } from "../shareHistory.js";

describe("shares of an account's rate that a bucket has given", () => {
    // guards against what accrued during a start that is given out twice, or not at all (QUOTA)
    it("leave a part of the rate for the time in which they were smaller, and before there was a bucket", () => {
        const history = createShareHistory(0);
        history.record(0.5, 1_000);
        history.record(1, 2_000);
        history.record(0.75, 3_000);
        // none, a half, all, three quarters
        expect(history.measureSpare(0, 4_000, 1)).to.equal(1_000 + 500 + 0 + 250);
        expect(history.measureSpare(0, 4_000, 0.5)).to.equal(500 + 500 + 0 + 250);
        expect(history.measureSpare(500, 1_500, 0.25)).to.equal(250);
        expect(history.measureSpare(2_100, 2_900, 1)).to.equal(0);
        expect(history.measureSpare(5_000, 4_000, 1)).to.equal(0);
    });

    it("begin with that of the bucket that was handed over", () => {
        const history = createShareHistory(1);
        history.record(0.5, 1_000);
        expect(history.measureSpare(-10_000, 1_000, 1)).to.equal(0);
    });

    it("forget what is older than a start takes, but for the share that was given then", () => {
        const history = createShareHistory(0);
        for (let at = 0; at < 100_000; at += 1_000) {
            history.record(at % 2_000 === 0 ? 0.5 : 0.25, at);
        }
        expect(history.measureSpare(0, 1_000, 1)).to.be.within(500, 750);
        expect(history.measureSpare(99_000, 100_000, 1)).to.equal(750);
    });
});
