import { expect } from "chai";
import { type AccountLimits, createAccountLimits } from "../accountLimits.js";
import type { ServingAccount } from "../types.js";

const ratePerSecond = 1_000;
const burst = 1_000;
const account: ServingAccount = {
    name: "acme",
    keys: [],
    priority: undefined,
    quota: { unit: "tokens", ratePerSecond, burst, defaultTokens: 1 },
};
const bounds = { window: 8_000, excessRatio: 0.1, excessUnits: 0 };
const tickMilliseconds = 10;
const reportPeriodMilliseconds = 100;

interface InstanceGroup {
    readonly limits: AccountLimits[];
}

// sends 32 times the rate (2 requests of 20 tokens every 10 ms to each of 8 instances), where instances reach only
// those of their own group; returns the most tokens admitted in a window of 8 s
function runDemand(
    groups: readonly InstanceGroup[],
    computeShare: (group: InstanceGroup) => number,
    seconds: number,
): number {
    const admittedAt: number[] = [];
    const all = groups.flatMap(group => group.limits);
    for (let now = 0; now < seconds * 1_000; now += tickMilliseconds) {
        for (const limits of all) {
            for (let request = 0; request < 2; request++) {
                if (limits.take(account, 20, now).kind === "admitted") {
                    admittedAt.push(now);
                }
            }
        }
        if (now % reportPeriodMilliseconds === 0) {
            groups.forEach(group => sendUsage(group, now));
            groups.forEach(group => group.limits.forEach(limits => limits.setReachableShare(computeShare(group), now)));
        }
    }
    return findMaximumInWindow(admittedAt, 8_000) * 20;
}

function sendUsage(group: InstanceGroup, now: number): void {
    group.limits.forEach((limits, index) => {
        const admitted = limits.drainAdmitted();
        group.limits.forEach((other, otherIndex) => {
            if (otherIndex !== index) {
                other.handleUsage(`i-${index}`, { kind: "usage", isWhole: now === 0, admitted, inFlight: [] }, now);
            }
        });
    });
}

function findMaximumInWindow(times: readonly number[], window: number): number {
    let maximum = 0;
    let start = 0;
    times.forEach((time, index) => {
        while (times[start]! <= time - window) {
            start++;
        }
        maximum = Math.max(maximum, index - start + 1);
    });
    return maximum;
}

function createGroup(size: number): InstanceGroup {
    const limits = Array.from({ length: size }, () => createAccountLimits(bounds));
    limits.forEach(accountLimits => accountLimits.update([account], 0));
    return { limits };
}

const bound = (ratePerSecond * 8 + burst) * 1.1;

describe("limits of an account over all instances", () => {
    it("are kept while all instances can reach each other", () => {
        const most = runDemand([createGroup(8)], () => 1, 30);
        expect(most).to.be.at.most(bound).and.at.least(ratePerSecond * 8 * 0.95);
    });

    it("are kept when a network partition separates two groups of instances", () => {
        const groups = [createGroup(3), createGroup(5)];
        const most = runDemand(groups, group => group.limits.length / 8, 30);
        expect(most).to.be.at.most(bound).and.at.least(ratePerSecond * 8 * 0.9);
    });

    it("are kept when no instance can reach another", () => {
        const groups = Array.from({ length: 8 }, () => createGroup(1));
        expect(runDemand(groups, () => 1 / 8, 30)).to.be.at.most(bound);
    });

    it("are kept during a rolling restart", () => {
        const group = createGroup(8);
        const startedAt = group.limits.map(() => 0);
        const admittedAt: number[] = [];
        for (let now = 0; now < 30_000; now += tickMilliseconds) {
            const restarted = now / 1_000 - 10;
            if (Number.isInteger(restarted) && restarted >= 0 && restarted < 8) {
                group.limits[restarted] = createAccountLimits(bounds);
                startedAt[restarted] = now + 1_000;
            }
            group.limits.forEach((limits, index) => {
                if (now === startedAt[index]) {
                    limits.update([account], now);
                    limits.grantStartAllowance(600, 8);
                }
                for (let request = 0; request < 2 && now >= startedAt[index]!; request++) {
                    limits.take(account, 20, now).kind === "admitted" && admittedAt.push(now);
                }
            });
            if (now % reportPeriodMilliseconds === 0) {
                sendUsage(group, now);
            }
        }
        expect(findMaximumInWindow(admittedAt, 8_000) * 20).to.be.at.most(bound);
    });

    // guards against refusals after a crash of all instances, when clients that could not connect for a second retry
    // and twice the rate is requested
    it("admit the retries of clients after all instances have restarted", () => {
        const group = createGroup(8);
        let admitted = 0;
        let asked = 0;
        group.limits.forEach(limits => {
            // no instance has received a message from another yet
            limits.setReachableShare(1 / 8 + 7 / 16, 0);
            limits.grantStartAllowance(600, 8);
        });
        for (let now = 0; now < 500; now += tickMilliseconds) {
            group.limits.forEach((limits, index) => {
                const isAsked = (now / tickMilliseconds + index) % 4 === 0;
                asked += isAsked ? 1 : 0;
                admitted += isAsked && limits.take(account, 10, now).kind === "admitted" ? 1 : 0;
            });
            if (now % reportPeriodMilliseconds === 0) {
                sendUsage(group, now);
            }
        }
        expect(asked * 10).to.equal(ratePerSecond);
        expect(admitted / asked).to.be.greaterThan(0.95);
    });

    // guards against charging old usage: an instance that has just started may receive changes from another one before
    // the full report of that instance
    it("don't charge usage that another instance admitted long ago", () => {
        const limits = createAccountLimits(bounds);
        const message = { kind: "usage", isWhole: false, inFlight: [] } as const;
        limits.update([account], 0);
        limits.handleUsage("i-1", { ...message, admitted: [["other", 5_000]] }, 100);
        limits.handleUsage("i-1", { ...message, admitted: [["acme", 800_000]] }, 200);
        expect(limits.take(account, 500, 1_000).kind).to.equal("admitted");
        limits.handleUsage("i-1", { ...message, isWhole: true, admitted: [["acme", 800_000]] }, 1_000);
        limits.handleUsage("i-1", { ...message, admitted: [["acme", 800_600]] }, 1_100);
        expect(limits.take(account, 500, 1_200).kind).to.equal("exceeded");
    });

    it("apply a lower rate at once", () => {
        const limits = createAccountLimits(bounds);
        limits.update([account], 0);
        expect(limits.take(account, 900, 2_000).kind).to.equal("admitted");
        const lower: ServingAccount = { ...account, quota: { ...account.quota!, ratePerSecond: 10, burst: 10 } };
        limits.update([lower], 2_000);
        limits.take(lower, 10, 2_000);
        const decision = limits.take(lower, 10, 2_000);
        expect(decision).to.deep.equal({ kind: "exceeded", wait: 1_000 });
    });

    it("admit a request larger than the burst and refuse others until the rate has made up for it", () => {
        const limits = createAccountLimits(bounds);
        limits.update([account], 0);
        expect(limits.take(account, 3_000, 1_000).kind).to.equal("admitted");
        expect(limits.take(account, 100, 2_000)).to.deep.equal({ kind: "exceeded", wait: 1_100 });
    });
});
