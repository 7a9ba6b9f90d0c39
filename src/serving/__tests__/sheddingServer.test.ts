import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";

const instanceCount = 2;
const requestIntervalMilliseconds = 10;
const sheddingSeconds = 2;
/** Time from the first answer that names a pause in which more requests may arrive, and how many may after it. */
const noticeMilliseconds = 500;
const allowedRequests = 2;

interface SentRequest {
    readonly id: string;
    readonly instance: number;
    readonly at: number;
    readonly answer: TestAnswer;
}

describe("servers that turn requests away for a time", () => {
    let fleet: TestFleet;
    let requests: readonly SentRequest[];
    let firstAt = 0;
    let allAt = 0;
    const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

    before(async () => {
        let shedding = 0;
        fleet = await startTestFleet({
            instances: instanceCount,
            servers: 3,
            answerDuration: 30,
            readShedding: server => server < shedding ? sheddingSeconds : undefined,
        });
        const sent: Promise<SentRequest>[] = [];
        const timer = setInterval(() => {
            const id = `r${sent.length}`;
            const instance = sent.length % instanceCount;
            const at = performance.now();
            sent.push(
                fleet.send(instance, { id, parts: ["first", id], key: "acme-key" })
                    .then(answer => ({ id, instance, at, answer })),
            );
        }, requestIntervalMilliseconds);
        await pause(400);
        shedding = 1;
        firstAt = performance.now();
        await pause(sheddingSeconds * 1_000 - 200);
        shedding = 3;
        allAt = performance.now();
        await pause(1_200);
        shedding = 0;
        clearInterval(timer);
        requests = await Promise.all(sent);
    });

    after(() => fleet.stop());

    // guards against requests that go on to a server that has asked this instance for a pause
    it("get at most two requests of an instance from half a second after its first such answer until the time is over", () => {
        const byId = new Map(requests.map(request => [request.id, request]));
        for (let instance = 0; instance < instanceCount; instance++) {
            const times = fleet.arrivals
                .filter(({ id, server, at }) =>
                    byId.get(id)!.instance === instance && server === "s-0-0" && at > firstAt
                )
                .map(({ at }) => at);
            const from = times[0]! + noticeMilliseconds;
            const late = times.filter(at => at > from && at < times[0]! + sheddingSeconds * 1_000);
            expect(late).to.have.length.at.most(allowedRequests);
        }
    });

    // guards against callers that fail because one of the servers asks for a pause
    it("cost callers nothing while others answer", () => {
        const meanwhile = requests.filter(({ at }) => at < allAt - 100);
        expect(meanwhile.filter(({ answer }) => answer.status !== 200)).to.deep.equal([]);
    });

    // guards against callers that wait, or come back too soon, while no server wants their requests
    it("leave callers with an answer at once that tells when to return when all of them do so", () => {
        const refused = requests.filter(({ at }) => at > allAt + 300 && at < allAt + 1_000);
        expect(refused.length).to.be.at.least(20);
        expect(refused.filter(({ answer }) => answer.status !== 503)).to.deep.equal([]);
        expect(Math.min(...refused.map(({ answer }) => Number(answer.retryAfter)))).to.be.at.least(0.2);
        expect(Math.max(...refused.map(({ answer }) => Number(answer.retryAfter)))).to.be.at.least(0.8);
        expect(Math.max(...refused.map(({ answer }) => answer.took))).to.be.below(500);
    });
});
