import { expect } from "chai";
import { claimQuotaGap, endQuotaGap, openQuotaGap, withdrawQuotaGap } from "../quotaGaps.js";

describe("time of a shard without a holder", () => {
    // guards against units that are made up for twice
    it("is reported once for each account", () => {
        const first = claimQuotaGap(openQuotaGap(openQuotaGap(undefined, 0), 500), "a", 1_500);
        expect(first.duration).to.equal(1_500);
        const ended = endQuotaGap(first.gap, 1_600);
        expect(claimQuotaGap(ended, "a", 1_700).duration).to.equal(0);
        expect(claimQuotaGap(ended, "b", 1_700).duration).to.equal(1_600);
    });

    it("is reported again where an instance received it that doesn't decide", () => {
        const { gap } = claimQuotaGap(openQuotaGap(undefined, 0), "a", 1_000);
        expect(claimQuotaGap(withdrawQuotaGap(gap, "a"), "a", 1_200).duration).to.equal(1_200);
    });

    // guards against units of a time in which the next holder decided for others
    it("isn't reported when it is long or over for long", () => {
        const gap = openQuotaGap(undefined, 0);
        expect(claimQuotaGap(gap, "a", 3_001)).to.deep.equal({ duration: 0, gap: undefined });
        expect(claimQuotaGap(endQuotaGap(gap, 1_000), "a", 3_001)).to.deep.equal({ duration: 0, gap: undefined });
    });
});
