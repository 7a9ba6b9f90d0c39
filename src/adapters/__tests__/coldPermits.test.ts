import { expect } from "chai";
import { computeAllowedRate, computeColdRates, permitLifetimeMilliseconds } from "../../routing/index.js";
import { createSeededRandom } from "../../shared/index.js";
import { createServerPermits, type ServerPermits } from "../serverPermits.js";

const bound = { perSecond: 7, over: 1.5, slack: 5 };
const allowed = 15.5;
const rates = computeColdRates(bound);
const transitMilliseconds = 50;

// takes what there is every 5 ms from each holder; each permit arrives after a random part of its lifetime
function collectArrivals(holders: readonly ServerPermits[], from: number, until: number, seed: number): number[] {
    const random = createSeededRandom(seed);
    const arrivals: number[] = [];
    for (let now = from; now < until; now += 5) {
        for (const holder of holders) {
            while (holder.take("s", now)) {
                // a part of the permits is used at once and a part at the last moment, which is the worst case
                const delay = random.next() < 0.5 ? 0 : permitLifetimeMilliseconds + transitMilliseconds;
                arrivals.push(now + delay * (random.next() < 0.8 ? 1 : random.next()));
            }
        }
    }
    return arrivals;
}

function countMost(arrivals: readonly number[]): number {
    return Math.max(0, ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + 1_000).length));
}

describe("permits of a cold server", () => {
    // guards against more requests than the server survives in a second, though each holder keeps its own rate
    it("keep the bound of one second with two holders and with permits that are delayed on their way", () => {
        for (let seed = 1; seed <= 20; seed++) {
            const holders = [rates.settled, rates.contested].map(rate =>
                createServerPermits({ findColdRate: () => rate })
            );
            const arrivals = collectArrivals(holders, 0, 30_000, seed);
            expect(countMost(arrivals), `seed ${seed}`).to.be.at.most(allowed);
            expect(arrivals.length / 30, `seed ${seed}`).to.be.at.least(9.5);
        }
    });

    // guards against a holder that starts with permits of its own just after the previous one has used its
    it("start empty, also for a shard that the instance gains again, and never collect", () => {
        const permits = createServerPermits({ findColdRate: () => 7 });
        expect(permits.take("s", 0)).to.equal(false);
        expect([permits.take("s", 10_000), permits.take("s", 10_000)]).to.deep.equal([true, false]);
        permits.isPaced("s", 20_000);
        permits.resetPace(() => true);
        expect(permits.take("s", 20_000)).to.equal(false);
    });

    // guards against capacity lost to answers that don't count, and against returned permits that collect
    it("are granted again when the server has not taken the request", () => {
        const permits = createServerPermits({ findColdRate: () => 7 });
        permits.isPaced("s", 0);
        expect(permits.take("s", 150)).to.equal(true);
        permits.giveBack("s", 150);
        permits.giveBack("s", 150);
        expect([permits.take("s", 150), permits.take("s", 150)]).to.deep.equal([true, false]);
    });

    // guards against a server that crashes in the first second of being warm, or one that turns cold while warm
    it("grow without a burst when the server turns warm, and start empty when it turns cold", () => {
        let coldUntil = 5_000;
        let now = 0;
        const permits = createServerPermits({ findColdRate: () => computeAllowedRate(coldUntil, rates.settled, now) });
        const take = (from: number, until: number): number => {
            let count = 0;
            for (now = from; now < until; now += 1) {
                count += permits.take("s", now) ? 1 : 0;
            }
            return count;
        };
        take(0, 5_000);
        expect(take(5_000, 6_000)).to.be.at.most(allowed);
        expect(take(6_000, 7_000)).to.be.within(14, 29);
        take(7_000, 12_000);
        coldUntil = 20_000;
        expect(take(12_000, 13_000)).to.be.at.most(rates.settled);
    });

    // guards against as many questions as there are instances each time that one permit is due
    it("are asked for in turn by those that were refused one", () => {
        const permits = createServerPermits({ findColdRate: () => 10 });
        expect([1, 2, 3].map(() => permits.assignTurn("s", 0))).to.deep.equal([100, 200, 300]);
        expect(permits.assignTurn("s", 5_000)).to.be.at.most(2_000);
    });
});
