import { expect } from "chai";
import { testService } from "./testCodec.js";
import { startTestFleet, type TestFleet } from "./testFleet.js";
import { pause } from "./testStore.js";

const coldMilliseconds = 60_000;
const allowed = 15.5;
const usualIntervalMilliseconds = 12;
const instances = 3;
/** Time in which what an instance has learned from a response reaches the holder, and what is under way arrives. */
const noticeMilliseconds = 400;

interface ColdRun {
    readonly fleet: TestFleet;
    /** Has servers state from now on that they are cold. */
    readonly setCold: (coldServers: number, statedBy: readonly string[]) => void;
}

interface ColdResult {
    /** Most requests that one of the cold servers got within one second. */
    readonly most: number;
    /** Requests that the cold servers got, by the instance that sent them. */
    readonly byInstance: readonly number[];
    readonly servedShare: number;
}

// three instances send requests all the time, while the first of the servers is cold from some time on
async function runFleet(
    servers: number,
    disturb: (run: ColdRun) => Promise<void>,
    requestInterval = usualIntervalMilliseconds,
): Promise<ColdResult> {
    let coldServers = 0;
    let statedBy: readonly string[] = [];
    let coldAt = Number.POSITIVE_INFINITY;
    let served = 0;
    let count = 0;
    const fleet = await startTestFleet({
        instances,
        servers,
        answerDuration: 20,
        services: new Map([[testService, {
            name: testService,
            connectionLimit: 200,
            engine: undefined,
            coldStart: coldMilliseconds,
            coldPerSecond: 7,
        }]]),
        readCold: (server, by) => server < coldServers && statedBy.includes(by) ? coldMilliseconds : undefined,
    });
    const answers: Promise<void>[] = [];
    const timer = setInterval(() => {
        count++;
        const instance = count % instances;
        const request = { id: `${instance}-${count}`, parts: ["first", `own-${count}`], key: "acme-key" };
        answers.push(fleet.send(instance, request).then(({ status }) => void (served += status === 200 ? 1 : 0)));
    }, requestInterval);
    await pause(300);
    await disturb({
        fleet,
        setCold: (cold, by) => {
            coldServers = cold;
            statedBy = by;
            coldAt = performance.now();
            fleet.servers.slice(0, cold).forEach(server => by.includes("entry") && server.writeEntry());
        },
    });
    clearInterval(timer);
    await Promise.all(answers);
    await fleet.stop();
    const counted = fleet.arrivals.filter(({ at, server }) =>
        at > coldAt + noticeMilliseconds && Number(server.split("-")[1]) < coldServers
    );
    const most = counted.map(({ at: from, server }) =>
        counted.filter(other => other.server === server && other.at >= from && other.at < from + 1_000).length
    );
    return {
        most: Math.max(0, ...most),
        byInstance: Array.from(
            { length: instances },
            (unused, instance) => counted.filter(({ id }) => id.startsWith(`${instance}-`)).length,
        ),
        servedShare: served / count,
    };
}

describe("a server that turns cold while requests for it are on their way", function() {
    this.timeout(30_000);

    // guards against instances that each send what the server tolerates from all, as a response or the entry tells
    for (const by of ["response", "entry"]) {
        it(`gets no more than its bound from all instances, and the others the rest, as the ${by} tells`, async () => {
            const { most, servedShare } = await runFleet(3, async ({ setCold }) => {
                setCold(1, [by]);
                await pause(4_500);
            });
            expect(most).to.be.at.most(allowed).and.at.least(3);
            expect(servedShare).to.be.at.least(0.98);
        });
    }

    // guards against permits of two holders, each of which grants the whole rate
    it("keeps its bound while its holder is replaced again and again", async () => {
        const { most, servedShare } = await runFleet(3, async ({ fleet, setCold }) => {
            setCold(1, ["response", "entry"]);
            for (let move = 0; move < 6; move++) {
                await pause(700);
                fleet.moveShards();
            }
        });
        expect(most).to.be.at.most(allowed);
        expect(servedShare).to.be.at.least(0.98);
    });

    // guards against a holder that reads an unreachable store as leave to grant more, and against requests that are lost
    it("keeps its bound while the store is unavailable", async () => {
        const { most, servedShare } = await runFleet(3, async ({ fleet, setCold }) => {
            setCold(1, ["response", "entry"]);
            await pause(500);
            [0, 1, 2].forEach(instance => fleet.setStoreCut(instance, "away"));
            // keys count as withdrawn when the configuration is older than 4.25 s
            await pause(2_200);
        });
        expect(most).to.be.at.most(allowed);
        expect(servedShare).to.be.at.least(0.98);
    });

    // guards against instances that fall back to sending without a permit when nobody grants one
    it("gets nothing from instances that are cut off from its holder", async () => {
        const { most, byInstance, servedShare } = await runFleet(3, async ({ fleet, setCold }) => {
            await fleet.setPeersCut([0], true);
            await fleet.setPeersCut([1], true);
            await pause(500);
            setCold(1, ["response", "entry"]);
            await pause(3_000);
        });
        expect(most).to.be.at.most(allowed);
        expect(byInstance.filter(sent => sent > 0).length).to.be.at.most(1);
        expect(servedShare).to.be.at.least(0.97);
    });

    // guards against requests that reach a cold server through another instance, when their permits are long void
    it("gets nothing from an instance that reaches no server itself, whose requests others carry elsewhere", async () => {
        const { most, byInstance, servedShare } = await runFleet(3, async ({ fleet, setCold }) => {
            await fleet.setCut(1, "refused");
            await pause(1_500);
            setCold(1, ["response", "entry"]);
            await pause(3_000);
        });
        expect(most).to.be.at.most(allowed).and.at.least(3);
        expect(byInstance[1]).to.equal(0);
        expect(servedShare).to.be.at.least(0.9);
    });

    // guards against permits that a killed holder gave, together with those of the one that follows it
    it("keeps its bound when an instance that may be its holder stops, and others take over", async () => {
        const results = await Promise.all([0, 1, 2].map(instance =>
            runFleet(3, async ({ fleet, setCold }) => {
                setCold(1, ["response", "entry"]);
                await pause(1_500);
                await Promise.all([fleet.stopInstance(instance), pause(600).then(fleet.moveShards)]);
                await pause(1_500);
            })
        ));
        for (const { most } of results) {
            expect(most).to.be.at.most(allowed);
        }
    });
});

describe("servers that are all cold", function() {
    this.timeout(30_000);

    // guards against requests that are refused though the servers would take them a moment later
    it("serve as many requests as they tolerate, which wait for a permit within their objective", async () => {
        const { most, servedShare } = await runFleet(2, async ({ setCold }) => {
            setCold(2, ["response", "entry"]);
            await pause(5_000);
        }, 250);
        expect(most).to.be.at.most(allowed);
        expect(servedShare).to.be.at.least(0.95);
    });
});

describe("servers that return cold together after they were out of reach", function() {
    this.timeout(30_000);

    // guards against the first requests of all instances at once, before any response tells that the servers are cold
    it("get no more than their bound each from the first request on", async () => {
        const { most } = await runFleet(2, async ({ fleet, setCold }) => {
            await Promise.all([0, 1, 2].map(instance => fleet.setCut(instance, "refused")));
            await pause(2_500);
            setCold(2, ["response"]);
            await pause(noticeMilliseconds);
            await Promise.all([0, 1, 2].map(instance => fleet.setCut(instance, "none")));
            await pause(3_000);
        });
        expect(most).to.be.at.most(allowed).and.at.least(3);
    });
});
