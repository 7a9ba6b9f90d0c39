import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";

const instanceCount = 2;
const requestIntervalMilliseconds = 10;
/** Time that the head of a response needs from the server to the instance. */
const deliveryMilliseconds = 40;

interface SentRequest {
    readonly id: string;
    readonly instance: number;
    readonly at: number;
    readonly answer: TestAnswer;
}

// requests at all instances in turn, until `stop` is called
function sendRequests(fleet: TestFleet): { readonly stop: () => Promise<readonly SentRequest[]>; } {
    const sent: Promise<SentRequest>[] = [];
    const timer = setInterval(() => {
        const count = sent.length;
        const request = { id: `r${count}`, parts: ["first", `own-${count}`], key: "acme-key" };
        const instance = count % instanceCount;
        const at = performance.now();
        sent.push(
            fleet.send(instance, request).then(answer => ({ id: request.id, instance, at, answer })),
        );
    }, requestIntervalMilliseconds);
    return {
        stop: () => {
            clearInterval(timer);
            return Promise.all(sent);
        },
    };
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// requests that reached a run of a server although their instance had been told before that the run leaves
function listLate(fleet: TestFleet, requests: readonly SentRequest[], run: string, leavingAt: number): string[] {
    const arrivals = fleet.arrivals.filter(({ server, at }) => server === run && at > leavingAt);
    const byId = new Map(requests.map(request => [request.id, request]));
    const late: string[] = [];
    for (let instance = 0; instance < instanceCount; instance++) {
        const own = arrivals.filter(({ id }) => byId.get(id)!.instance === instance);
        const toldAt = (own[0]?.at ?? 0) + deliveryMilliseconds;
        late.push(...own.map(({ id }) => id).filter(id => byId.get(id)!.at > toldAt));
    }
    return late;
}

describe("a server that says in its responses that it leaves", () => {
    let fleet: TestFleet;
    let requests: readonly SentRequest[];
    let leavingAt = 0;
    let restartedAt = 0;

    before(async () => {
        let isLeaving = false;
        fleet = await startTestFleet({
            instances: instanceCount,
            servers: 3,
            answerDuration: 30,
            restartDelay: 200,
            isLeaving: server => isLeaving && server === 0,
        });
        const sending = sendRequests(fleet);
        await pause(500);
        isLeaving = true;
        leavingAt = performance.now();
        await pause(500);
        // what the store says later doesn't matter: the entry is written again, and is away for a while
        fleet.servers[0]!.writeEntry();
        await pause(500);
        fleet.servers[0]!.deleteEntry();
        await pause(600);
        fleet.servers[0]!.writeEntry();
        await pause(1_500);
        isLeaving = false;
        restartedAt = performance.now();
        fleet.servers[0]!.restart();
        await pause(2_000);
        requests = await sending.stop();
    });

    after(() => fleet.stop());

    // guards against requests that reach a server after its response told their instance that it leaves
    it("gets no further request from the instance that was told, whatever its entry says", () => {
        const late = listLate(fleet, requests, "s-0-0", leavingAt);
        expect(late.length).to.equal(0);
    });

    // guards against a mark that outlives the run that said it leaves
    it("gets requests again as a new run", () => {
        const arrivals = fleet.arrivals.filter(({ server, at }) => server === "s-0-1" && at > restartedAt);
        expect(arrivals.length).to.be.at.least(10);
    });

    // guards against requests that are lost because one of the servers leaves
    it("costs its callers nothing while other servers answer", () => {
        const served = requests.filter(({ at, answer }) => at < restartedAt - 100 && answer.status === 200);
        expect(served.length).to.equal(requests.filter(({ at }) => at < restartedAt - 100).length);
    });
});

describe("all servers of a route that say at once that they leave", () => {
    let fleet: TestFleet;
    let requests: readonly SentRequest[];
    let leavingAt = 0;
    let restartedAt = 0;

    before(async () => {
        let isLeaving = false;
        fleet = await startTestFleet({
            instances: instanceCount,
            servers: 3,
            answerDuration: 30,
            restartDelay: 200,
            isLeaving: () => isLeaving,
        });
        const sending = sendRequests(fleet);
        await pause(400);
        isLeaving = true;
        leavingAt = performance.now();
        await pause(1_000);
        isLeaving = false;
        restartedAt = performance.now();
        fleet.servers.forEach(server => server.restart());
        await pause(2_500);
        requests = await sending.stop();
    });

    after(() => fleet.stop());

    // guards against callers who wait for their deadline while no server takes requests
    it("leave callers with an answer at once that tells when to return", () => {
        const waiting = requests.filter(({ at }) => at > leavingAt + 300 && at < restartedAt - 100);
        expect(waiting.length).to.be.at.least(20);
        expect(waiting.map(({ answer }) => answer.status)).to.satisfy((all: number[]) =>
            all.every(each => each === 503)
        );
        expect(waiting.every(({ answer }) => Number(answer.retryAfter) > 0)).to.equal(true);
        expect(Math.max(...waiting.map(({ answer }) => answer.took))).to.be.below(500);
    });

    // guards against servers that come and get nothing, since the ones before them had left
    it("are replaced by those that come, soon after these are listed", () => {
        const later = requests.filter(({ at }) => at > restartedAt + 1_500);
        expect(later.length).to.be.at.least(50);
        expect(later.filter(({ answer }) => answer.status === 200).length).to.equal(later.length);
    });
});
