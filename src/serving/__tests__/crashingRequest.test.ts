import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet, type TestRequest } from "./testFleet.js";

const stableWindowMilliseconds = 3_000;
const runMilliseconds = 8_000;
const soundIntervalMilliseconds = 25;
const crashingIntervalMilliseconds = 250;
const crashingBody = "bad";

interface SentRequest {
    readonly at: number;
    readonly kind: "sound" | "crashing" | "other account";
    readonly answer: TestAnswer;
}

// one request that ends servers, again and again under new ids, the same of another account, and sound ones
async function sendRequests(
    fleet: TestFleet,
    create: (body: string) => Pick<TestRequest, "path" | "parts">,
): Promise<readonly SentRequest[]> {
    const sent: Promise<SentRequest>[] = [];
    let count = 0;
    const send = (kind: SentRequest["kind"], body: string, account: string): void => {
        count++;
        const at = performance.now();
        const request: TestRequest = { ...create(body), id: `r${count}`, key: `${account}-key`, body };
        sent.push(fleet.send(count % 3, request).then(answer => ({ at, kind, answer })));
    };
    const sound = setInterval(
        () => send("sound", `lookup ${count % 9}`, count % 2 === 0 ? "acme" : "bolt"),
        soundIntervalMilliseconds,
    );
    const crashing = setInterval(() => send("crashing", crashingBody, "acme"), crashingIntervalMilliseconds);
    const other = setInterval(() => send("other account", crashingBody, "bolt"), crashingIntervalMilliseconds);
    await new Promise(resolve => setTimeout(resolve, runMilliseconds));
    [sound, crashing, other].forEach(clearInterval);
    return Promise.all(sent);
}

const cases = [
    { name: "a lookup without a prompt", create: () => ({ path: "/lookup/a", parts: [] }) },
    { name: "a prompt with parts", create: (body: string) => ({ path: "/x", parts: ["first", `own-${body}`] }) },
] as const;

for (const { name, create } of cases) {
    describe(`${name} that ends each server that begins to run it`, () => {
        let fleet: TestFleet;
        let requests: readonly SentRequest[];

        before(async () => {
            fleet = await startTestFleet({
                instances: 3,
                servers: 9,
                crashingBody,
                restartDelay: 700,
                answerDuration: 60,
            });
            requests = await sendRequests(fleet, create);
        });

        after(() => fleet.stop());

        // guards against one request that ends one server after the other, as each instance and attempt forgets the others'
        it("reaches at most three more servers once three have ended and the window to tell all is over", () => {
            const from = fleet.crashes[2]! + stableWindowMilliseconds;
            expect(fleet.crashes.filter(at => at > from)).to.have.length.at.most(3);
        });

        // guards against a block that takes other requests with it
        it("leaves other requests of its path alone, also the same one of another account", () => {
            const from = fleet.crashes[2]! + 2 * stableWindowMilliseconds - 1_000;
            for (const kind of ["sound", "other account"] as const) {
                const others = requests.filter(request => request.at > from && request.kind === kind);
                const served = others.filter(({ answer }) => answer.status === 200 && answer.isComplete);
                expect(served.length / others.length).to.be.at.least(0.9);
            }
        });

        // guards against callers who wait for their deadline, or who are told to come back too soon
        it("is answered at once, not run, with the time after which to come back", () => {
            const from = fleet.crashes[2]! + stableWindowMilliseconds;
            const refused = requests.filter(({ at, kind }) => at > from && kind === "crashing").map(each =>
                each.answer
            );
            expect(refused.length).to.be.at.least(5);
            expect(refused.map(({ status }) => status).filter(status => status !== 503)).to.deep.equal([]);
            expect(Math.min(...refused.map(({ retryAfter }) => Number(retryAfter)))).to.be.above(5);
            expect(Math.max(...refused.map(({ took }) => took))).to.be.below(500);
        });
    });
}
