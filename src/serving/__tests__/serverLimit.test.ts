import { expect } from "chai";
import { startTestFleet, type TestFleet } from "./testFleet.js";

const stableWindowMilliseconds = 3_000;
const runMilliseconds = 9_000;
const windowMilliseconds = 4_000;
const requestIntervalMilliseconds = 20;
const requestsPerSecond = 1.2;

interface LimitRun {
    /** Most requests that the server got in any four seconds from the stable window on. */
    readonly most: number;
    readonly servedShare: number;
}

const allowed = 1.5 * requestsPerSecond * windowMilliseconds / 1_000 + 5;

// three instances send requests all the time; the first of four servers names a limit soon after the start
async function runWithLimit(disturb: (fleet: TestFleet) => void): Promise<LimitRun> {
    let isNamed = false;
    let namedAt = 0;
    let served = 0;
    let count = 0;
    const fleet = await startTestFleet({
        instances: 3,
        servers: 4,
        answerDuration: 30,
        readLimit: () => isNamed ? String(requestsPerSecond) : undefined,
    });
    const answers: Promise<void>[] = [];
    const timer = setInterval(() => {
        count++;
        const request = { id: `r${count}`, parts: ["first", `own-${count}`], key: "acme-key" };
        answers.push(fleet.send(count % 3, request).then(({ status }) => void (served += status === 200 ? 1 : 0)));
    }, requestIntervalMilliseconds);
    setTimeout(() => {
        isNamed = true;
        namedAt = performance.now();
    }, 500);
    disturb(fleet);
    await new Promise(resolve => setTimeout(resolve, runMilliseconds));
    clearInterval(timer);
    await Promise.all(answers);
    await fleet.stop();
    const times = fleet.arrivals
        .filter(({ at, server }) => server.startsWith("s-0-") && at > namedAt + stableWindowMilliseconds)
        .map(({ at }) => at);
    const counts = times.map(from => times.filter(at => at >= from && at < from + windowMilliseconds).length);
    return { most: Math.max(0, ...counts), servedShare: served / count };
}

describe("a server that names a limit", () => {
    let run: LimitRun;

    before(async () => {
        run = await runWithLimit(() => undefined);
    });

    // guards against a limit that each instance keeps alone, or none: it holds for the requests of all of them together
    it("gets at most one and a half times that and five more in any four seconds, from all instances together", () => {
        expect(run.most).to.be.at.most(allowed);
    });

    // guards against requests that are lost because one of the servers takes no more of them
    it("leaves the rest of the requests to the other servers", () => {
        expect(run.servedShare).to.be.at.least(0.98);
    });
});

describe("a server that names a limit, while its holder is replaced again and again", () => {
    let run: LimitRun;

    before(async () => {
        run = await runWithLimit(fleet => {
            [3_600, 4_400, 5_200, 6_000, 6_800, 7_600].forEach(at => setTimeout(fleet.moveShards, at));
        });
    });

    // guards against permits of two holders, each of which gives out the whole limit
    it("gets at most one and a half times that and five more in any four seconds, from all instances together", () => {
        expect(run.most).to.be.at.most(allowed);
    });

    // guards against requests that wait for the permit of a holder that is none any more
    it("leaves the rest of the requests to the other servers", () => {
        expect(run.servedShare).to.be.at.least(0.98);
    });
});
