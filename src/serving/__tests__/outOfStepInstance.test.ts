import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet, type TestStoreCut } from "./testFleet.js";
import { pause } from "./testStore.js";

const instanceCount = 3;
const streamCount = 24;
const eventCount = 6;
/** Time in which the instances that are in step learn of new servers. */
const noticeMilliseconds = 1_200;
const cutMilliseconds = 1_500;
const settleMilliseconds = 5_000;

interface OutOfStep {
    /** Instances that are out of step; streams begin at the others and are taken up at the first of these. */
    readonly instances: readonly number[];
    readonly store: TestStoreCut;
    readonly arePeersCut: boolean;
    /** Time from the entries of the new servers to the streams. */
    readonly notice?: number;
}

interface Taken {
    readonly begun: TestAnswer;
    readonly returned: TestAnswer;
}

function startFleet(readVersion: () => string): Promise<TestFleet> {
    return startTestFleet({
        instances: instanceCount,
        servers: 4,
        answerDuration: 400,
        eventCount,
        restartDelay: 50,
        readVersion: server => server < 2 ? "v1" : readVersion(),
    });
}

function createRequest(id: string) {
    return { id, parts: ["first", id], key: "acme-key" };
}

function takeUp(fleet: TestFleet, instance: number, name: string, begun: TestAnswer): Promise<TestAnswer> {
    return fleet.send(instance, {
        ...createRequest(`${name}-1`),
        resumes: name,
        lastEventId: begun.events.at(-1)?.id ?? 0,
    });
}

// streams that begin at instances in step are taken up at one that isn't
async function takeUpAll(fleet: TestFleet, group: string, begins: readonly number[], at: number) {
    const runStream = async (index: number): Promise<Taken> => {
        await pause(index * 10);
        const name = `${group}${index}`;
        const begun = await fleet.send(begins[index % begins.length]!, { ...createRequest(name), leaveAfter: 2 });
        return { begun, returned: await takeUp(fleet, at, name, begun) };
    };
    return Promise.all(Array.from({ length: streamCount }, (unused, index) => runStream(index)));
}

function countMixed(streams: readonly Taken[]): number {
    return streams.filter(({ begun, returned }) =>
        new Set([...begun.events, ...returned.events].map(({ version }) => version)).size > 1
    ).length;
}

function isFinished({ returned }: Taken): boolean {
    return returned.events.at(-1)?.id === eventCount;
}

function measureFinishedShare(streams: readonly Taken[]): number {
    return streams.filter(isFinished).length / streams.length;
}

async function runRelease({ instances, store, arePeersCut, notice = noticeMilliseconds }: OutOfStep) {
    let version = "v1";
    const fleet = await startFleet(() => version);
    const begins = [0, 1, 2].filter(index => !instances.includes(index));
    await fleet.setPeersCut(instances, arePeersCut);
    instances.forEach(index => fleet.setStoreCut(index, store));
    await pause(300);
    version = "v2";
    fleet.servers[2]!.restart();
    fleet.servers[3]!.restart();
    await pause(notice);
    const streams = await takeUpAll(fleet, "s", begins, instances[0]!);
    instances.forEach(index => fleet.setStoreCut(index, "none"));
    const woken = await takeUpAll(fleet, "w", begins, instances[0]!);
    await fleet.setPeersCut(instances, false);
    await pause(settleMilliseconds);
    const later = await takeUpAll(fleet, "l", begins, instances[0]!);
    await fleet.stop();
    return {
        begunAtNew: streams.filter(({ begun }) => begun.events[0]?.version === "v2").length,
        mixed: countMixed(streams) + countMixed(woken) + countMixed(later),
        laterShare: measureFinishedShare(later),
    };
}

async function expectNoneMixed(release: OutOfStep): Promise<void> {
    const { begunAtNew, mixed, laterShare } = await runRelease(release);
    expect(begunAtNew, "streams that began at the new version").to.be.at.least(streamCount / 4);
    expect(mixed, "mixed streams").to.equal(0);
    expect(laterShare, "share that goes on afterwards").to.be.at.least(0.9);
}

describe("streams that are taken up at an instance that was out of step while a new version joined", () => {
    // guards against an instance that answers itself from a list it no longer follows (ORDER)
    it("aren't mixed when it is cut off from store and instances", () =>
        expectNoneMixed({ instances: [0], store: "away", arePeersCut: true }));

    // guards against two instances that agree on a list that neither follows (ORDER)
    it("aren't mixed when it agrees with another one that is cut off as well", () =>
        expectNoneMixed({ instances: [0, 1], store: "away", arePeersCut: true }));

    // guards against an instance that takes its list for the present one because it reads the store (ORDER)
    it("aren't mixed when it is cut off from the instances only, and asked at once", () =>
        expectNoneMixed({ instances: [0], store: "none", arePeersCut: true, notice: 600 }));

    // guards against a stale answer of the store to an instance that nobody else answers (ORDER)
    it("aren't mixed when it is cut off from the instances and reads a stale list", () =>
        expectNoneMixed({ instances: [0], store: "stale", arePeersCut: true }));

    // guards against an instance cut off from the store whose others know the stream (ORDER)
    it("aren't mixed when it is cut off from the store only", () =>
        expectNoneMixed({ instances: [0], store: "away", arePeersCut: false }));

    // guards against an instance that wakes with requests waiting before it follows the list again (ORDER)
    it("aren't mixed when it stood still, cut off from the instances or not", async () => {
        await expectNoneMixed({ instances: [0], store: "still", arePeersCut: true });
        await expectNoneMixed({ instances: [0], store: "still", arePeersCut: false });
    });
});

describe("streams of the only version that has ever served", () => {
    // guards against over-caution: a short cut must not end the streams of a service that has one version
    it("go on at an instance that is out of step as soon as it reaches store or instances", async () => {
        const fleet = await startFleet(() => "v1");
        const shares: Record<string, number> = {};
        const unfinished: object[] = [];
        const cases = [
            ["in step", "none", false],
            // nobody else could fill a time that it hasn't followed itself, so that this comes before the cuts of the list
            ["no instances", "none", true],
            // keys aren't taken for current for long where the configuration can't be read either
            ["no list", "listAway", false],
            ["still", "still", false],
        ] as const;
        for (const [name, store, arePeersCut] of cases) {
            await fleet.setPeersCut([0], arePeersCut);
            fleet.setStoreCut(0, store);
            await pause(cutMilliseconds);
            const streams = await takeUpAll(fleet, name.replace(" ", "-"), [1, 2], 0);
            shares[name] = measureFinishedShare(streams);
            unfinished.push(...streams.filter(stream => !isFinished(stream)).map(stream => ({ name, ...stream })));
            fleet.setStoreCut(0, "none");
            await pause(cutMilliseconds);
        }
        await fleet.stop();
        expect(Object.values(shares).every(share => share >= 0.9), JSON.stringify({ shares, unfinished })).to.equal(
            true,
        );
    });
});
