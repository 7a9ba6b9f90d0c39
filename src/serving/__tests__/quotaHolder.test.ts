import { expect } from "chai";
import { createQuotaHolder, type QuotaHolder } from "../quotaHolder.js";

const shard = 0;
const burst = 10_000;
const instances = Array.from({ length: 20 }, (unused, index) => `i-${index}`);

function createHolder(): QuotaHolder {
    const holder = createQuotaHolder({
        countInstances: () => instances.length,
        findShard: name => name === "acme" ? shard : 1,
    });
    const quota = { unit: "tokens", ratePerSecond: 5_000, burst, defaultTokens: 1 } as const;
    holder.update(["acme", "other"].map(name => ({ name, keys: [], priority: undefined, quota })), 0);
    return holder;
}

function takeUnits(holder: QuotaHolder, units: number, now: number): string {
    return holder.take("i-0", { account: "acme", units, admittedAlone: 0, allowance: 0 }, now).kind;
}

// all instances ask for 10 s, so that the bucket is full
function fillBucket(holder: QuotaHolder): void {
    for (let now = 0; now <= 10_000; now += 500) {
        instances.forEach(instance => holder.markPresent(instance, [shard], now));
        takeUnits(holder, 0, now);
    }
}

function sumTaken(holder: QuotaHolder, units: number, now: number): number {
    return Array.from({ length: 100 }, () => takeUnits(holder, units, now))
        .filter(kind => kind === "admitted").length * units;
}

describe("quotas of one holder", () => {
    it("are spent up to the burst while the instances that ask are known", () => {
        const holder = createHolder();
        fillBucket(holder);
        holder.pause(shard, 10_100);
        expect(sumTaken(holder, 500, 10_100)).to.be.within(0.9 * burst, 1.1 * burst);
    });

    // guards against a second whole burst: a holder that stood still, and whose shard has been another's since
    it("aren't spent by a previous holder for instances that haven't asked it for long", () => {
        const holder = createHolder();
        fillBucket(holder);
        holder.pause(shard, 20_000);
        expect(sumTaken(holder, 500, 20_000)).to.be.at.most(0.1 * burst);
        expect(takeUnits(holder, 2 * burst, 20_100)).to.equal("exceeded");
    });

    // guards against requests of any size at a bucket that has no share of the burst
    it("aren't given to a request of any size where no other instance has asked", () => {
        const holder = createHolder();
        takeUnits(holder, 0, 0);
        holder.pause(shard, 5_000);
        expect(takeUnits(holder, 2 * burst, 5_100)).to.equal("exceeded");
    });

    // guards against the same at an account whose instances asked for another one a moment before
    it("aren't given to a request of any size just after the shares were counted without its instance", () => {
        const holder = createHolder();
        fillBucket(holder);
        holder.take("i-20", { account: "other", units: 1, admittedAlone: 0, allowance: 0 }, 15_000);
        expect(takeUnits(holder, 2 * burst, 15_050)).to.equal("exceeded");
    });

    // guards against 429 within the quota: levels that are cut to the share which another previous holder handed over
    for (const shares of [[0.1, 0.9], [0.9, 0.1]]) {
        it(`are kept as two previous holders hand them over: shares of ${shares.join(" and ")}`, () => {
            const holder = createHolder();
            shares.forEach((share, index) =>
                holder.takeOver(shard, { share, levels: [["acme", burst * share]] }, 100 + index)
            );
            expect(sumTaken(holder, 500, 110)).to.be.within(0.8 * burst, 1.1 * burst);
        });
    }
});
