import { expect } from "chai";
import { collectProcessEnds, createFaultPoint, type ProcessEnds } from "./testFaults.js";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";
import { pause } from "./testStore.js";

const requestsPerCall = 24;
const answerDuration = 60;
/** Longest time of a request: the timeout of its route, and half a second for its answer. */
const answerLimitMilliseconds = 4_500;
/** Time after the last exception until all goes on: the longest pause before a restart, and the next read. */
const recoveryMilliseconds = 2_500;
/** Time after which a client gives up, so that a request that is never answered is counted. */
const patienceMilliseconds = 6_000;
const noAnswer: TestAnswer = {
    status: undefined,
    isComplete: false,
    retryAfter: undefined,
    events: [],
    took: Number.POSITIVE_INFINITY,
};
/** Statuses that say of a request that it has not run and never will. */
const notRunStatuses = [408, 421, 429];
/** What requests call, and the share of the calls that fail. */
const callsOfRequests = [
    ["headers.decodeRequest", 0.4],
    ["headers.encodeForwardedHeaders", 0.4],
    ["headers.decodeResponseHead", 0.4],
    ["headers.encodeRefusalHeaders", 0.8],
    ["clock.sleep", 0.1],
    ["clock.now", 0.005],
] as const;
/** What only tasks of the instance call, whose failure no request notices. */
const callsOfTasks = [
    ["log.readFrom", 0.7],
    ["records.decodeServerEntry", 0.5],
    ["shards.join", 0.7],
    ["streams.append", 0.7],
] as const;
/** What is called at the start, and is tried again until it succeeds. */
const callsOfStart = [
    "log.readNewest",
    "log.append",
    "shards.join",
    "shards.listOwners",
    "records.decodeOperatorRecord",
];

async function sendMany(fleet: TestFleet, instance: number, name: string): Promise<readonly TestAnswer[]> {
    return Promise.all(
        Array.from({ length: requestsPerCall }, async (unused, index) => {
            await pause(index * 15);
            const path = index % 3 === 0 ? "/lookup/1" : "/x";
            const id = `${name}-${index}`;
            return Promise.race([
                fleet.send(instance, { id, parts: [`p${index}`], key: "acme-key", path }),
                pause(patienceMilliseconds).then(() => noAnswer),
            ]);
        }),
    );
}

async function sendRefused(fleet: TestFleet, name: string): Promise<readonly TestAnswer[]> {
    return Promise.all(
        Array.from({ length: 8 }, (unused, index) =>
            Promise.race([
                fleet.send(0, { id: `${name}-refused-${index}`, parts: [], key: "unknown" }),
                pause(patienceMilliseconds).then(() => noAnswer),
            ])),
    );
}

function isServed({ status, isComplete }: TestAnswer): boolean {
    return status === 200 && isComplete;
}

function describeAnswers(answers: readonly TestAnswer[]): string {
    const counts = new Map<string, number>();
    answers.forEach(({ status, isComplete }) => {
        const kind = `${status ?? "none"}${isComplete ? "" : " cut"}`;
        counts.set(kind, (counts.get(kind) ?? 0) + 1);
    });
    return JSON.stringify(Object.fromEntries(counts));
}

describe("exceptions at the boundaries of tasks", function() {
    this.timeout(60_000);

    let ends: ProcessEnds;
    beforeEach(() => {
        ends = collectProcessEnds();
    });
    afterEach(() => ends.stop());

    for (const [call, ratio] of callsOfRequests) {
        // guards against one exception that ends the process with all its requests (FAULT, LOST)
        it(`cost no more than the requests that call ${call}`, async () => {
            const faults = createFaultPoint(7);
            const fleet = await startTestFleet({ instances: 2, servers: 2, answerDuration, faults });
            try {
                faults.arm(call, ratio);
                const name = call.replace(".", "-");
                const [meeting, refused, beside] = await Promise.all([
                    sendMany(fleet, 0, `${name}-a`),
                    sendRefused(fleet, name),
                    sendMany(fleet, 1, `${name}-b`),
                ]);
                faults.disarm();
                await pause(recoveryMilliseconds);
                const afterwards = await sendMany(fleet, 0, `${name}-c`);
                const seen = [
                    `${faults.countThrown()} thrown`,
                    ...[meeting, refused, beside, afterwards].map(describeAnswers),
                    `${ends.list().length} ends`,
                    ...ends.list().slice(0, 2),
                ].join(", ");
                expect(ends.list().length, seen).to.equal(0);
                expect(faults.countThrown(), seen).to.be.above(0);
                const met = [...meeting, ...refused];
                expect(Math.max(...met.map(({ took }) => took)), seen).to.be.below(answerLimitMilliseconds);
                expect(met.filter(({ status }) => notRunStatuses.includes(status ?? 0)), seen).to.deep.equal([]);
                expect(beside.every(isServed), seen).to.equal(true);
                expect(afterwards.every(isServed), seen).to.equal(true);
            }
            finally {
                faults.disarm();
                await fleet.stop();
            }
        });
    }

    for (const [call, ratio] of callsOfTasks) {
        // guards against an exception that ends the process, or a loop that stops for good, while requests run beside it
        it(`cost no request where a task calls ${call}`, async () => {
            const faults = createFaultPoint(7);
            // what began a stream is written to the store only while servers of more than one version are listed
            const readVersion = (server: number): string => `v${server + 1}`;
            const fleet = await startTestFleet({ instances: 1, servers: 2, answerDuration, faults, readVersion });
            const writing = setInterval(() => fleet.servers.forEach(server => server.writeEntry()), 100);
            try {
                faults.arm(call, ratio);
                const beside = await sendMany(fleet, 0, "beside");
                await pause(1_000);
                faults.disarm();
                await pause(recoveryMilliseconds);
                // a server that left the list without its entry being followed would get requests still
                fleet.servers[0]!.deleteEntry();
                clearInterval(writing);
                await pause(1_000);
                const arrived = fleet.arrivals.length;
                const afterwards = await sendMany(fleet, 0, "afterwards");
                const servers = new Set(fleet.arrivals.slice(arrived).map(({ server }) => server));
                const seen =
                    `${faults.countThrown()} thrown, ${describeAnswers(beside)}, ${describeAnswers(afterwards)}, ` +
                    `at ${[...servers].join()}, ${ends.list().length} ends, ${ends.list().slice(0, 2).join()}`;
                expect(ends.list().length, seen).to.equal(0);
                expect(faults.countThrown(), seen).to.be.above(0);
                expect(beside.every(isServed), seen).to.equal(true);
                expect(afterwards.every(isServed), seen).to.equal(true);
                expect([...servers], seen).to.deep.equal(["s-1-0"]);
            }
            finally {
                clearInterval(writing);
                faults.disarm();
                await fleet.stop();
            }
        });
    }

    for (const call of callsOfStart) {
        // guards against a task that fails once at the start and is never tried again
        it(`only delay a start where ${call} fails`, async () => {
            const faults = createFaultPoint(7);
            faults.arm(call, 0.6);
            const fleet = await startTestFleet({ instances: 1, servers: 1, answerDuration, faults });
            try {
                faults.disarm();
                await pause(recoveryMilliseconds);
                const afterwards = await sendMany(fleet, 0, "afterwards");
                const seen =
                    `${faults.countThrown()} thrown, ${describeAnswers(afterwards)}, ${ends.list().length} ends, ` +
                    ends.list().slice(0, 2).join();
                expect(ends.list().length, seen).to.equal(0);
                expect(faults.countThrown(), seen).to.be.above(0);
                expect(afterwards.every(isServed), seen).to.equal(true);
            }
            finally {
                faults.disarm();
                await fleet.stop();
            }
        });
    }
});
