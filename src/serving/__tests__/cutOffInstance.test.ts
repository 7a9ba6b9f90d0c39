import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestCut, type TestFleet } from "./testFleet.js";

const instanceCount = 4;
const requestIntervalMilliseconds = 15;
/** Time after the cut from which on callers of the instance must be served like others. */
const noticeMilliseconds = 1_500;
const cutMilliseconds = 4_000;
/** Share of the others' share from which on callers aren't far worse off. */
const leastRatio = 2 / 3;

interface SentRequest {
    readonly instance: number;
    readonly at: number;
    readonly answer: TestAnswer;
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// requests at all instances in turn: streams and, every other round, idempotent ones
function sendRequests(fleet: TestFleet): { readonly stop: () => Promise<readonly SentRequest[]>; } {
    const sent: Promise<SentRequest>[] = [];
    const timer = setInterval(() => {
        const count = sent.length;
        const instance = count % instanceCount;
        const at = performance.now();
        const path = Math.floor(count / instanceCount) % 2 === 0 ? "/x" : "/lookup/x";
        const request = { id: `r${count}`, parts: ["first", `own-${count}`], key: "acme-key", path };
        sent.push(fleet.send(instance, request).then(answer => ({ instance, at, answer })));
    }, requestIntervalMilliseconds);
    return {
        stop: () => {
            clearInterval(timer);
            return Promise.all(sent);
        },
    };
}

function measureServedShare(requests: readonly SentRequest[]): number {
    const served = requests.filter(({ answer }) => answer.status === 200 && answer.isComplete);
    return served.length / requests.length;
}

async function runWithCut(cut: TestCut, cutInstances: readonly number[]) {
    const fleet = await startTestFleet({ instances: instanceCount, servers: 3, answerDuration: 60 });
    const sending = sendRequests(fleet);
    await pause(600);
    const cutAt = performance.now();
    await Promise.all(cutInstances.map(instance => fleet.setCut(instance, cut)));
    await pause(cutMilliseconds);
    const endedAt = performance.now();
    await Promise.all(cutInstances.map(instance => fleet.setCut(instance, "none")));
    await pause(2_000);
    const requests = await sending.stop();
    await fleet.stop();
    const during = requests.filter(({ at }) => at > cutAt + noticeMilliseconds && at < endedAt - 300);
    const after = requests.filter(({ at }) => at > endedAt + 1_000);
    const ofCut = during.filter(({ instance }) => cutInstances.includes(instance));
    return {
        cutShare: measureServedShare(ofCut),
        otherShare: measureServedShare(during.filter(({ instance }) => !cutInstances.includes(instance))),
        afterShare: measureServedShare(after),
        longest: Math.max(...ofCut.map(({ answer }) => answer.took)),
        sentIds: requests.length,
        arrivals: fleet.arrivals.length,
    };
}

describe("callers of an instance that reaches no server", () => {
    // guards against callers that are refused by an instance without a way to servers while other instances reach them
    it("are served through another instance when its connections to servers are refused", async () => {
        const result = await runWithCut("refused", [0]);
        expect(result.otherShare).to.be.at.least(0.95);
        expect(result.cutShare).to.be.at.least(result.otherShare * leastRatio);
    });

    // guards against a cut that goes unnoticed because old connections live on while new ones are refused
    it("are served when its old connections live on", async () => {
        const result = await runWithCut("newRefused", [0]);
        expect(result.cutShare).to.be.at.least(result.otherShare * leastRatio);
    });

    // guards against a cut of most instances, whose callers the few others must serve
    it("are served when most instances are cut off, whose connections hang", async () => {
        const result = await runWithCut("frozen", [0, 1, 2]);
        expect(result.cutShare).to.be.at.least(result.otherShare * leastRatio);
    });

    // guards against requests that go on to other instances when the cut is over
    it("are served as before when the cut is over", async () => {
        const result = await runWithCut("refused", [1]);
        expect(result.afterShare).to.be.at.least(0.95);
    });
});
