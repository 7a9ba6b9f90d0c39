import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";
import { pause } from "./testStore.js";

const instanceCount = 3;
const streamCount = 30;
const eventCount = 6;
/** New streams all begin here; of those that are taken up at least half of their share must go on. */
const leastShare = 0.5;
const promptAnswerMilliseconds = 500;

interface TakenUp {
    readonly begun: TestAnswer;
    readonly rest: TestAnswer;
}

function startMixedFleet(): Promise<TestFleet> {
    return startTestFleet({
        instances: instanceCount,
        servers: 4,
        answerDuration: 600,
        eventCount,
        restartDelay: 60_000,
        readVersion: server => server < 2 ? "v1" : "v1.1",
    });
}

function listVersions({ begun, rest }: TakenUp): ReadonlySet<string> {
    return new Set([...begun.events, ...rest.events].map(({ version }) => version));
}

function isFinished({ rest }: TakenUp): boolean {
    return rest.events.at(-1)?.id === eventCount;
}

// begins streams at all instances, whose clients lose them, then `prepare`, and takes them up after all were restarted
async function takeUpAfterRestart(fleet: TestFleet, prepare: () => Promise<void>): Promise<readonly TakenUp[]> {
    const ids = Array.from({ length: streamCount }, (unused, index) => `s${index}`);
    const begun = await Promise.all(
        ids.map((id, index) =>
            fleet.send(index % instanceCount, { id, parts: ["first", id], key: "acme-key", leaveAfter: 2 })
        ),
    );
    await prepare();
    await fleet.restartInstances();
    return Promise.all(ids.map(async (id, index) => ({
        begun: begun[index]!,
        rest: await fleet.send((index + 1) % instanceCount, {
            id: `${id}-1`,
            parts: ["first", id],
            key: "acme-key",
            resumes: id,
            lastEventId: begun[index]!.events.at(-1)!.id,
        }),
    })));
}

describe("streams of two software versions after all instances have started again", () => {
    let fleet: TestFleet;

    beforeEach(async () => {
        fleet = await startMixedFleet();
    });

    afterEach(() => fleet.stop());

    // guards against streams that are joined from two versions, or all refused, once nobody remembers what began them
    it("go on at the version that began them", async () => {
        const streams = await takeUpAfterRestart(fleet, () => pause(700));
        expect(streams.filter(stream => listVersions(stream).size > 1).length).to.equal(0);
        expect(streams.filter(isFinished).length / streamCount).to.be.at.least(leastShare);
    });

    // guards against streams of a version whose servers have left that go on at the one that is there
    it("are refused at once where the servers of their version have left just before", async () => {
        const streams = await takeUpAfterRestart(fleet, async () => {
            await pause(700);
            fleet.servers.slice(0, 2).forEach(server => server.restart());
            await pause(100);
        });
        expect(streams.filter(stream => listVersions(stream).size > 1).length).to.equal(0);
        const old = streams.filter(({ begun }) => begun.events[0]!.version === "v1");
        expect(old.every(({ rest }) => rest.status === 503 && rest.took < promptAnswerMilliseconds)).to.equal(true);
        const kept = streams.filter(({ begun }) => begun.events[0]!.version === "v1.1");
        expect(kept.filter(isFinished).length / kept.length).to.be.at.least(leastShare);
    });

    // guards against a version that is guessed while the store is away
    it("are refused at once while what began them can't be read", async () => {
        const streams = await takeUpAfterRestart(fleet, async () => fleet.setStoreAway(true));
        expect(streams.filter(({ rest }) => rest.events.length > 0).length).to.equal(0);
        expect(streams.every(({ rest }) => rest.status === 503 && rest.took < promptAnswerMilliseconds)).to.equal(true);
    });
});
