import { expect } from "chai";
import { startTestFleet, type TestFleet } from "./testFleet.js";

const stableWindowMilliseconds = 3_000;
const runMilliseconds = 9_000;
const windowMilliseconds = 4_000;
const requestIntervalMilliseconds = 20;
const requestsPerSecond = 1.2;

describe("a server that names a limit", () => {
    let fleet: TestFleet;
    let namedAt = 0;
    let served = 0;
    let count = 0;

    before(async () => {
        let isNamed = false;
        fleet = await startTestFleet({
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
        await new Promise(resolve => setTimeout(resolve, runMilliseconds));
        clearInterval(timer);
        await Promise.all(answers);
    });

    after(() => fleet.stop());

    // guards against a limit that each instance keeps alone, or none: it holds for the requests of all of them together
    it("gets at most one and a half times that and five more in any four seconds, from all instances together", () => {
        const times = fleet.arrivals
            .filter(({ at, server }) => server.startsWith("s-0-") && at > namedAt + stableWindowMilliseconds)
            .map(({ at }) => at);
        const counts = times.map(from => times.filter(at => at >= from && at < from + windowMilliseconds).length);
        const allowed = 1.5 * requestsPerSecond * windowMilliseconds / 1_000 + 5;
        expect(Math.max(0, ...counts)).to.be.at.most(allowed);
    });

    // guards against requests that are lost because one of the servers takes no more of them
    it("leaves the rest of the requests to the other servers", () => {
        expect(served / count).to.be.at.least(0.98);
    });
});
