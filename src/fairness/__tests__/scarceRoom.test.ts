import { expect } from "chai";
import {
    computeUrgentReserve,
    createArrivalRates,
    createFairQueue,
    createReturnTimes,
    createShareLedger,
    estimateQueueWait,
    mergeRoomEstimates,
    type QueueEntry,
    rankPlace,
    slotRoomEstimator,
    type WaitingPlace,
} from "../index.js";

const place: WaitingPlace = { priority: 1, onTimeUntil: 1_000, isOwed: false };

describe("order of requests that wait for room", () => {
    // guards against late requests, or those that can wait, which take the places of urgent ones that can be on time
    it("is by shares owed, being on time, priority, and the end of the objective", () => {
        const places = [
            { ...place, onTimeUntil: 0 },
            { ...place, priority: 2, onTimeUntil: 50 },
            place,
            { ...place, onTimeUntil: 100 },
            { ...place, priority: 0, onTimeUntil: 9_000 },
            { ...place, priority: 9, isOwed: true },
            { ...place, priority: 0, onTimeUntil: -5 },
        ];
        const sorted = [...places].sort((left, right) => rankPlace(left, 1) - rankPlace(right, 1));
        expect(sorted.map(entry => places.indexOf(entry))).to.deep.equal([5, 4, 3, 2, 1, 6, 0]);
    });

    // guards against an account whose surge takes all places from others that are as urgent
    it("gives equal requests to accounts in proportion to what they were given, also without the queue", () => {
        const queue = createFairQueue<string, "place">({ self: "h", rank: () => 0 });
        const build = (account: string, index: number): QueueEntry<"place"> => ({
            requestId: `${account} ${index}`,
            account,
            requestClass: "place",
            weight: 1,
            tokens: 10,
            arrivedAt: 0,
            deadline: 1_000,
            dueAt: 100 - index,
        });
        for (let index = 0; index < 3; index++) {
            queue.record(build("busy", index), 0);
        }
        for (let index = 0; index < 6; index++) {
            queue.push(build("busy", index), `busy ${index}`, 0);
        }
        expect(queue.countAhead(build("calm", 0), "", 0)).to.equal(1);
        expect(queue.countAhead(build("busy", 9), "", 0)).to.equal(6);
        for (let index = 0; index < 3; index++) {
            queue.push(build("calm", index), `calm ${index}`, 0);
        }
        const taken = Array.from({ length: 4 }, () => queue.take(0, () => true));
        expect(taken).to.deep.equal(["calm 2", "calm 1", "calm 0", "busy 5"]);
    });
});

describe("reserve for more urgent requests", () => {
    // guards against places that are kept idle once no urgent request arrives, and against none kept while they do
    it("follows their recent rate, less the places that they have", () => {
        const rates = createArrivalRates();
        for (let now = 0; now < 5_000; now += 100) {
            rates.record(0, 400, now);
        }
        const reserve = (now: number, urgentRunning: number, urgentSlack = 0): number =>
            computeUrgentReserve({
                slots: 40,
                meanDuration: 1_000,
                urgentSlack,
                urgentRunning,
                urgentPerSecond: rates.readBelow(2, now),
            });
        expect(rates.readBelow(0, 4_900)).to.equal(0);
        expect(reserve(4_900, 0)).to.be.within(8, 11);
        expect(reserve(4_900, 10)).to.equal(0);
        expect(reserve(4_900, 5)).to.be.within(3, 6);
        // four places become free in half of 200 ms
        expect(reserve(4_900, 0) - reserve(4_900, 0, 200)).to.equal(4);
        expect(reserve(10_000, 0)).to.equal(0);
        expect([rates.readSlackBelow(1), rates.readSlackBelow(0)]).to.deep.equal([400, Number.POSITIVE_INFINITY]);
    });
});

describe("share of kinds, accounts, adapters and sessions", () => {
    // guards against a group that gets nothing for as long as more urgent ones ask
    it("is owed below a quarter of what all get, but not to a group's first request", () => {
        const ledger = createShareLedger();
        let served = 0;
        for (let now = 0; now < 10_000; now += 10) {
            ledger.recordAsked(["urgent"], now);
            ledger.recordServed(["urgent"], now);
            ledger.recordAsked(["patient"], now);
            ledger.recordAsked([`session ${now}`], now);
            expect(ledger.isOwed([`session ${now}`])).to.equal(false);
            if (ledger.isOwed(["session 0", "patient"])) {
                ledger.recordServed(["patient"], now);
                served++;
            }
        }
        // a third of all is served
        expect(served).to.be.within(70, 100);
    });
});

describe("time until there is room", () => {
    it("follows from slots, the mean duration, the queue and what arrives before", () => {
        const full = { slots: 4, running: 4, meanDuration: 1_000 };
        expect(slotRoomEstimator.fitsNow({ ...full, running: 3 }, { firstEvent: 0 }, 0)).to.equal(true);
        expect(slotRoomEstimator.estimateRoom(full, { firstEvent: 0 }, 0)).to.equal(250);
        expect(mergeRoomEstimates([250, 250])).to.equal(125);
        expect(estimateQueueWait(3, 100, 0)).to.equal(400);
        expect(estimateQueueWait(3, 100, 5)).to.equal(800);
        expect(estimateQueueWait(3, 100, 50)).to.be.closeTo(8_000, 1);
    });

    // guards against refused clients that all return at once, and against times that count for clients who are gone by then
    it("is told to each refused client as a time of its own, less urgent ones behind more urgent ones", () => {
        const times = createReturnTimes();
        const refuse = (priority: number, deadline = 6_000): number =>
            times.assign({ priority, wait: 100, interval: 50, deadline }, 1_000);
        expect([refuse(1), refuse(1), refuse(2), refuse(0), refuse(1)]).to.deep.equal([100, 150, 200, 100, 200]);
        expect([refuse(1, 100), refuse(1, 100), refuse(1)]).to.deep.equal([250, 260, 250]);
    });
});
