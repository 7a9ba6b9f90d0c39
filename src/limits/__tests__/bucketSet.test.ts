import { expect } from "chai";
import { type BucketSet, createBucketSet } from "../bucketSet.js";
import { defaultLimitTimes } from "../limitTimes.js";
import type { ResourceLimits } from "../localBucket.js";

const resource = "account/acme";
const limits = new Map<string, ResourceLimits>([[resource, { kind: "settled", rate: 80, burst: 800 }]]);

function startBucketSet(): BucketSet {
    const buckets = createBucketSet("a", { ...defaultLimitTimes, clockDrift: 0 });
    buckets.setLimits(limits, 0);
    buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 100_000, 0);
    buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 100_000, 100_000);
    return buckets;
}

describe("local buckets of an instance", () => {
    it("start empty and fill up to the instance's share", () => {
        const buckets = startBucketSet();
        expect(buckets.readBucket(resource, 100_000)).to.include({ level: 400, capacity: 400, rate: 40 });
    });

    it("accept a duplicate loan request or return only once", () => {
        const buckets = startBucketSet();
        buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 110_000, 100_000);
        expect(buckets.lend(resource, "b", { loan: 1, amount: 100, mayReturn: 100 }, 100_000)).to.include({
            amount: 100,
        });
        expect(buckets.lend(resource, "b", { loan: 1, amount: 100, mayReturn: 100 }, 100_000)).to.equal(undefined);
        buckets.takeBack(resource, "b", 1, 40, 100_000);
        buckets.takeBack(resource, "b", 1, 40, 100_000);
        expect(buckets.readBucket(resource, 100_000)).to.include({ level: 340, held: 60 });
    });

    it("limit loans to the lease and lend nothing without one", () => {
        const buckets = startBucketSet();
        buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 100_200, 100_000);
        expect(buckets.lend(resource, "b", { loan: 1, amount: 1, mayReturn: 0 }, 100_000)?.validFor).to.equal(200);
        expect(buckets.lend(resource, "b", { loan: 2, amount: 1, mayReturn: 0 }, 100_200)?.amount).to.equal(0);
        expect(buckets.spend(resource, 3, 1, 100_200)).to.equal(undefined);
    });

    it("apply a smaller share at once and a larger one only when no instance acts under the previous epoch", () => {
        const buckets = startBucketSet();
        buckets.updateMembership(
            { number: 1, members: ["a", "b", "c", "d"], gainsAllowedAt: 103_000 },
            104_000,
            100_000,
        );
        expect(buckets.readBucket(resource, 100_000)).to.include({ level: 200, capacity: 200, rate: 20 });
        buckets.updateMembership({ number: 2, members: ["a"], gainsAllowedAt: 106_000 }, 120_000, 101_000);
        expect(buckets.readBucket(resource, 101_000)?.capacity).to.equal(200);
        buckets.updateMembership({ number: 2, members: ["a"], gainsAllowedAt: 106_000 }, 120_000, 106_000);
        expect(buckets.readBucket(resource, 106_000)).to.include({ capacity: 800, rate: 80 });
        expect(buckets.readBucket(resource, 106_000)?.level).to.be.at.most(200);
    });

    it("accrue nothing without a lease and are emptied when epochs may have passed unread", () => {
        const buckets = startBucketSet();
        buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 130_000, 120_000);
        expect(buckets.spend(resource, 1, 200, 120_000)).to.equal(130_000);
        buckets.confirmUse(resource, 1, 0, 120_000);
        buckets.updateMembership({ number: 0, members: ["a", "b"], gainsAllowedAt: 0 }, 141_000, 140_000);
        expect(buckets.readBucket(resource, 140_000)?.level).to.equal(400);
        buckets.updateMembership({ number: 7, members: ["a", "b"], gainsAllowedAt: 149_000 }, 160_000, 150_000);
        expect(buckets.readBucket(resource, 150_000)?.level).to.equal(0);
    });
});
