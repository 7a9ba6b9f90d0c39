import { expect } from "chai";
import fc from "fast-check";
import type { RequestClass } from "../../config/index.js";
import { expectSnapshot } from "../../testing/index.js";
import { createFairQueue, type FairQueue, isBatchSlotAllowed, type QueueEntry } from "../index.js";

let created = 0;

function buildEntry(account: string, fields: Partial<QueueEntry> = {}): QueueEntry {
    return {
        requestId: `r${created++}`,
        account,
        requestClass: "interactive",
        weight: 1,
        tokens: 100,
        arrivedAt: 0,
        deadline: 1_000,
        ...fields,
    };
}

function pushMany(queue: FairQueue<string>, account: string, count: number, fields: Partial<QueueEntry> = {}): void {
    for (let index = 0; index < count; index++) {
        queue.push(buildEntry(account, fields), account, 0);
    }
}

function takeMany(queue: FairQueue<string>, count: number): string[] {
    const taken: string[] = [];
    for (let index = 0; index < count; index++) {
        const item = queue.take(0, () => true);
        if (item !== undefined) {
            taken.push(item);
        }
    }
    return taken;
}

function countItem(items: readonly string[], item: string): number {
    return items.filter(candidate => candidate === item).length;
}

describe("fair queue", () => {
    it("serves accounts by weight and never starves overnight work", function() {
        const queue = createFairQueue<string>({ self: "i1" });
        pushMany(queue, "heavy", 40, { weight: 2 });
        pushMany(queue, "light", 40);
        pushMany(queue, "summary", 40, { requestClass: "overnight" });
        const taken = takeMany(queue, 40);
        // the minimum share of overnight requests is a tenth of the tokens by default
        expect(countItem(taken, "summary")).to.equal(4);
        expect(countItem(taken, "heavy") / countItem(taken, "light")).to.be.closeTo(2, 0.2);
        expectSnapshot(this.test, taken.join(" "));
    });

    it("keeps the served tokens of two accounts with queued requests within the cost of one request", () => {
        const amounts = fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 20, maxLength: 60 });
        fc.assert(
            fc.property(amounts, amounts, (left, right) => {
                const queue = createFairQueue<readonly [string, number]>({ self: "i1" });
                left.forEach(tokens => queue.push(buildEntry("a", { tokens }), ["a", tokens], 0));
                right.forEach(tokens => queue.push(buildEntry("b", { tokens }), ["b", tokens], 0));
                const served = { a: 0, b: 0 };
                let waiting = { a: left.length, b: right.length };
                while (waiting.a > 0 && waiting.b > 0) {
                    const [account, tokens] = queue.take(0, () => true) as ["a" | "b", number];
                    served[account] += tokens;
                    waiting = { ...waiting, [account]: waiting[account] - 1 };
                    expect(Math.abs(served.a - served.b)).to.be.at.most(500);
                }
            }),
            { seed: 7, numRuns: 200 },
        );
    });

    it("counts another instance's served tokens only once when its message arrives twice", () => {
        const here = createFairQueue<string>({ self: "here" });
        const there = createFairQueue<string>({ self: "there" });
        pushMany(there, "spread", 10);
        takeMany(there, 10);
        const counters = there.readCounters();
        pushMany(here, "spread", 20);
        pushMany(here, "single", 20);
        here.mergeCounters(counters, 0);
        here.mergeCounters(counters, 0);
        expect(countItem(takeMany(here, 12), "single")).to.equal(11);
        expect(there.readCounters().served.size).to.equal(0);
    });

    it("skips entries that can't run, expires late entries and removes cancelled ones", () => {
        const queue = createFairQueue<string>({ self: "i1" });
        const gone = buildEntry("a");
        queue.push(gone, "gone", 0);
        queue.push(buildEntry("a", { deadline: 10 }), "late", 0);
        queue.push(buildEntry("a", { tokens: 7 }), "loading", 0);
        queue.push(buildEntry("a"), "ready", 0);
        expect(queue.remove(gone.requestId)).to.equal(true);
        expect(queue.remove(gone.requestId)).to.equal(false);
        expect(queue.expire(10)).to.deep.equal(["late"]);
        expect(queue.take(11, entry => entry.tokens !== 7)).to.equal("ready");
        expect(queue.countEntries()).to.equal(1);
        expect(queue.sumQueuedTokens()).to.equal(7);
    });

    it("sheds requests of the account with the most queued tokens, overnight before interactive", () => {
        const queue = createFairQueue<string>({ self: "i1" });
        const classes: readonly RequestClass[] = ["interactive", "overnight"];
        classes.forEach(requestClass => {
            for (let index = 0; index < 5; index++) {
                queue.push(buildEntry("greedy", { requestClass }), `greedy ${requestClass}`, 0);
            }
        });
        pushMany(queue, "modest", 3);
        const shed = queue.shed(600);
        expect(shed.slice(0, 5)).to.deep.equal(Array.from({ length: 5 }, () => "greedy overnight"));
        expect(shed).to.have.length(7);
        expect(shed).to.not.include("modest");
    });

    it("reserves the last batch slots for accounts within their share", () => {
        const use = { batchSlots: 100, weight: 1, totalWeight: 4, running: 60, freeBatchSlots: 20 };
        expect(isBatchSlotAllowed(use)).to.equal(false);
        expect(isBatchSlotAllowed({ ...use, running: 10 })).to.equal(true);
        expect(isBatchSlotAllowed({ ...use, freeBatchSlots: 30 })).to.equal(true);
        expect(isBatchSlotAllowed({ ...use, totalWeight: 1 })).to.equal(true);
        expect(isBatchSlotAllowed({ ...use, freeBatchSlots: 0, running: 0 })).to.equal(false);
    });
});
