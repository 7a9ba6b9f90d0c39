import { expect } from "chai";
import { createServerPermits, type ServerPermits } from "../serverPermits.js";

const windowMilliseconds = 4_000;

// takes whatever there is each 10 ms, and returns the most that was taken in some four seconds
function takeAll(permits: ServerPermits, limit: number, from: number, duration: number): number {
    const taken: number[] = [];
    for (let now = from; now < from + duration; now += 10) {
        if (permits.take("s", now)) {
            taken.push(now);
            permits.setLimit("s", limit, now);
        }
    }
    return Math.max(
        0,
        ...taken.map(start => taken.filter(at => at >= start && at < start + windowMilliseconds).length),
    );
}

describe("permits of a server that names a limit", () => {
    // guards against a share of the limit that is rounded down to nothing, or up to one for each instance
    it("follow limits below and above one a second, also when they rise and fall", () => {
        for (const limit of [0.05, 0.4, 1.2, 3, 40]) {
            const permits = createServerPermits();
            permits.setLimit("s", limit, 0);
            const most = takeAll(permits, limit, 0, 60_000);
            expect(most, `limit ${limit}`).to.be.at.most(1.5 * limit * windowMilliseconds / 1_000 + 5);
            expect(most, `limit ${limit}`).to.be.at.least(Math.max(1, limit * windowMilliseconds / 1_000 - 1));
        }
        const permits = createServerPermits();
        permits.setLimit("s", 20, 0);
        permits.take("s", 1_000);
        permits.setLimit("s", 0.5, 1_000);
        expect(takeAll(permits, 0.5, 1_000, 10_000)).to.be.at.most(3);
        permits.setLimit("s", 5, 11_000);
        expect(takeAll(permits, 5, 11_000, 4_000)).to.be.at.least(18);
    });

    // guards against a server that is never used again after it has taken no requests for a while
    it("let one request go every ten seconds where the limit is zero, and all once it is gone", () => {
        const permits = createServerPermits();
        permits.setLimit("s", 0, 0);
        const taken = Array.from({ length: 2_100 }, (unused, index) => index * 10).filter(now =>
            permits.take("s", now)
        );
        expect(taken).to.deep.equal([10_000, 20_000]);
        permits.setLimit("s", undefined, 21_000);
        expect([1, 2, 3].map(() => permits.take("s", 21_000))).to.deep.equal([true, true, true]);
    });
});
