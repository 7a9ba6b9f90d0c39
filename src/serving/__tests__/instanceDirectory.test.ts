import { expect } from "chai";
import { createAccountLimits } from "../accountLimits.js";
import { createInstanceDirectory, encodeInstanceEntry, type InstanceDirectory } from "../instanceDirectory.js";
import type { ServingAccount } from "../types.js";

function createDirectory(others: number, now: number): InstanceDirectory {
    const directory = createInstanceDirectory({ name: "front-0", id: "front-0@1", address: "10.0.0.0:1" });
    for (let index = 1; index <= others; index++) {
        const entry = { name: `front-${index}`, id: `front-${index}@1`, address: `10.0.0.${index}:1` };
        directory.applyRecord({ key: entry.name, value: encodeInstanceEntry(entry), offset: index }, now);
    }
    return directory;
}

describe("instance directory", () => {
    it("counts reachable instances, and instances that have just registered as half", () => {
        const directory = createDirectory(7, 0);
        expect(directory.computeReachableShare(100)).to.equal((1 + 7 / 2) / 8);
        directory.markReachable("front-1@1", 800);
        expect(directory.computeReachableShare(900)).to.equal(2 / 8);
        expect(directory.computeReachableShare(2_100)).to.equal(1 / 8);
    });

    it("ignores unreadable entries and its own", () => {
        const directory = createDirectory(1, 0);
        directory.applyRecord({ key: "front-9", value: Buffer.from("{"), offset: 9 }, 0);
        directory.applyRecord({ key: "front-0", value: Buffer.from("{}"), offset: 10 }, 0);
        expect(directory.listOthers()).to.deep.equal(["front-1@1"]);
    });

    // guards against refusals after a crash of all instances: they restart together while clients use half of the rate
    it("lets accounts use their rate after all instances have restarted", () => {
        const quota = { unit: "tokens", ratePerSecond: 24_000, burst: 24_000, defaultTokens: 1 } as const;
        const account: ServingAccount = { name: "acme", keys: [], priority: undefined, quota };
        const limits = createAccountLimits({ window: 8_000, excessRatio: 0.1, excessUnits: 0 });
        const directory = createDirectory(5, 300);
        limits.update([account], 0);
        let admitted = 0;
        for (let now = 300; now < 1_000; now += 100) {
            limits.setReachableShare(directory.computeReachableShare(now), now);
            // at half the rate, each of six instances receives a request of 1,300 tokens every 0.65 s; this one
            // receives more than three times as many
            admitted += now % 200 === 100 && limits.take(account, 1_300, now).kind === "admitted" ? 1 : 0;
        }
        expect(admitted).to.equal(4);
    });
});
