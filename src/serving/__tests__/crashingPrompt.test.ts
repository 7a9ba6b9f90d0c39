import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";

const stableWindowMilliseconds = 3_000;
const runMilliseconds = 9_000;
const soundIntervalMilliseconds = 25;
const crashingIntervalMilliseconds = 150;
/** Longer than it takes to blame a single request, which each of them is then by itself. */
const rareIntervalMilliseconds = 1_200;
const rareRunMilliseconds = 14_000;

interface SentRequest {
    readonly at: number;
    readonly isCrashing: boolean;
    readonly answer: TestAnswer;
}

// sound requests and such with the crashing part, which share their accounts and all other parts, at all instances
async function sendRequests(
    fleet: TestFleet,
    crashingInterval = crashingIntervalMilliseconds,
    duration = runMilliseconds,
): Promise<readonly SentRequest[]> {
    const sent: Promise<SentRequest>[] = [];
    const start = performance.now();
    let count = 0;
    const send = (isCrashing: boolean): void => {
        count++;
        const at = performance.now();
        const parts = ["first", ...isCrashing ? ["bad"] : [`topic-${count % 7}`], `topic-${count % 5}`, `own-${count}`];
        const key = `${count % 2 === 0 ? "acme" : "bolt"}-key`;
        const answer = fleet.send(count % 3, { id: `r${count}`, parts, key, body: `body-${count}` });
        sent.push(answer.then(received => ({ at, isCrashing, answer: received })));
    };
    const sound = setInterval(() => send(false), soundIntervalMilliseconds);
    const crashing = setInterval(() => send(true), crashingInterval);
    while (performance.now() - start < duration) {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    clearInterval(sound);
    clearInterval(crashing);
    return Promise.all(sent);
}

describe("requests that end the servers that answer them", () => {
    let fleet: TestFleet;
    let requests: readonly SentRequest[];

    before(async () => {
        fleet = await startTestFleet({
            instances: 3,
            servers: 9,
            crashingPart: "bad",
            restartDelay: 700,
            answerDuration: 150,
        });
        requests = await sendRequests(fleet);
    });

    after(() => fleet.stop());

    // guards against a part of a prompt that ends one server after the other, as no instance knows of the others' crashes
    it("reach at most three servers once five have ended and the window to tell all instances is over", () => {
        const from = fleet.crashes[4]! + stableWindowMilliseconds;
        expect(fleet.arrivals.filter(({ at, parts }) => at > from && parts.includes("bad"))).to.have.length.at.most(3);
    });

    // guards against a block that takes innocent requests with it, or servers that aren't used again
    it("leave the sound requests of their route alone", () => {
        const from = fleet.crashes[4]! + 2 * stableWindowMilliseconds;
        const sound = requests.filter(({ at, isCrashing }) => at > from && !isCrashing);
        expect(sound.length).to.be.at.least(20);
        const served = sound.filter(({ answer }) => answer.status === 200 && answer.isComplete);
        expect(served.length / sound.length).to.be.at.least(0.9);
    });

    // guards against callers who wait for their deadline, or who are told to come back too soon
    it("are answered at once with the time after which to come back", () => {
        const from = fleet.crashes[4]! + stableWindowMilliseconds;
        const refused = requests.filter(({ at, isCrashing }) => at > from && isCrashing).map(({ answer }) => answer);
        expect(refused.length).to.be.at.least(5);
        expect(refused.map(({ status }) => status)).to.satisfy((all: number[]) => all.every(status => status === 503));
        expect(Math.min(...refused.map(({ retryAfter }) => Number(retryAfter)))).to.be.above(5);
        expect(Math.max(...refused.map(({ took }) => took))).to.be.below(500);
    });
});

describe("requests that end the servers that answer them, and come seldom", () => {
    // guards against requests that are each quarantined by themselves, while what they share is never found
    it("reach at most three servers once five have ended and the window to tell all instances is over", async () => {
        const fleet = await startTestFleet({
            instances: 3,
            servers: 9,
            crashingPart: "bad",
            restartDelay: 700,
            answerDuration: 150,
        });
        const requests = await sendRequests(fleet, rareIntervalMilliseconds, rareRunMilliseconds);
        await fleet.stop();
        const from = fleet.crashes[4]! + stableWindowMilliseconds;
        expect(fleet.arrivals.filter(({ at, parts }) => at > from && parts.includes("bad"))).to.have.length.at.most(3);
        const sound = requests.filter(({ at, isCrashing }) => at > from + stableWindowMilliseconds && !isCrashing);
        const served = sound.filter(({ answer }) => answer.status === 200 && answer.isComplete);
        expect(sound.length).to.be.at.least(20);
        expect(served.length / sound.length).to.be.at.least(0.9);
    });
});
