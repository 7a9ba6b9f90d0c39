import { expect } from "chai";
import { startTestFleet, type TestAnswer, type TestFleet, type TestFleetOptions } from "./testFleet.js";

const instanceCount = 3;
const streamCount = 30;
const eventCount = 6;
const streamMilliseconds = 600;
const promptAnswerMilliseconds = 400;
/** A client that isn't overloaded gets on with its stream as often as new streams begin. */
const leastShare = 0.9;

interface StreamTries {
    readonly tries: readonly TestAnswer[];
    /** Software versions of all its events. */
    readonly versions: readonly string[];
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function describeTries(...tries: readonly TestAnswer[]): StreamTries {
    return { tries, versions: [...new Set(tries.flatMap(({ events }) => events.map(({ version }) => version)))] };
}

// two servers of each of two versions
function startMixedFleet(options: Partial<TestFleetOptions> = {}): Promise<TestFleet> {
    return startTestFleet({
        instances: instanceCount,
        servers: 4,
        answerDuration: streamMilliseconds,
        eventCount,
        readVersion: server => server < 2 ? "v1" : "v1.1",
        ...options,
    });
}

function createRequest(id: string) {
    return { id, parts: ["first", id], key: "acme-key" };
}

// begins a stream at one instance, and takes it up at the next one after a few events
async function takeUpElsewhere(fleet: TestFleet, index: number, returns = 1): Promise<StreamTries> {
    const id = `s${index}`;
    const tries = [await fleet.send(index % instanceCount, { ...createRequest(id), leaveAfter: 2 })];
    for (let count = 1; count <= returns; count++) {
        tries.push(
            await fleet.send((index + count) % instanceCount, {
                ...createRequest(`${id}-${count}`),
                resumes: id,
                lastEventId: tries.at(-1)!.events.at(-1)?.id ?? 0,
                ...count < returns ? { leaveAfter: 1 } : {},
            }),
        );
    }
    return describeTries(...tries);
}

function runStreams<Item>(run: (index: number) => Promise<Item>, count = streamCount): Promise<readonly Item[]> {
    return Promise.all(Array.from({ length: count }, (unused, index) => pause(index * 15).then(() => run(index))));
}

function countMixed(streams: readonly StreamTries[]): number {
    return streams.filter(({ versions }) => versions.length > 1).length;
}

// a client that leaves late has all events before it returns, and gets none then
function measureFinishedShare(streams: readonly StreamTries[]): number {
    const finished = streams.filter(({ tries }) =>
        tries.at(-1)!.status === 200 && tries.flatMap(({ events }) => events).at(-1)?.id === eventCount
    );
    return finished.length / streams.length;
}

describe("streams while servers of two software versions serve", () => {
    let fleet: TestFleet;

    before(async () => {
        fleet = await startMixedFleet();
    });

    after(() => fleet.stop());

    // guards against a client's return that goes on at a server of another version than the one that began the stream
    it("go on at the version that began them when their clients return at another instance", async () => {
        const streams = await runStreams(index => takeUpElsewhere(fleet, index));
        expect(countMixed(streams)).to.equal(0);
        expect(measureFinishedShare(streams)).to.be.at.least(leastShare);
    });

    // guards against a version that is forgotten after the first return: each one names the first attempt
    it("go on at that version over a chain of returns", async () => {
        const streams = await runStreams(index => takeUpElsewhere(fleet, 100 + index, 3));
        expect(countMixed(streams)).to.equal(0);
        expect(measureFinishedShare(streams)).to.be.at.least(leastShare);
    });

    // guards against our own repeat within an answer that goes on at a server of another version
    it("go on at that version when their server breaks them off", async () => {
        const sending = runStreams(async index =>
            describeTries(await fleet.send(index % 3, createRequest(`b${index}`)))
        );
        for (let round = 0; round < 3; round++) {
            await pause(250);
            fleet.servers[round % 4]!.resetConnections();
        }
        const streams = await sending;
        expect(countMixed(streams)).to.equal(0);
        expect(measureFinishedShare(streams)).to.be.at.least(leastShare);
    });

    // guards against a stream that is mixed because its version can't be learned: it is refused at once instead
    it("are refused at once when the attempt that a client names is unknown, missing or another account's", async () => {
        const begun = await fleet.send(0, { ...createRequest("t1"), leaveAfter: 2 });
        const resumed = { ...createRequest("t2"), lastEventId: begun.events.at(-1)!.id };
        const answers = await Promise.all([
            fleet.send(1, { ...resumed, resumes: "never-sent" }),
            fleet.send(1, resumed),
            fleet.send(1, { ...resumed, resumes: "t1", key: "bolt-key" }),
        ]);
        expect(answers.map(({ status }) => status)).to.deep.equal([503, 503, 503]);
        expect(answers.every(({ retryAfter }) => Number(retryAfter) > 0)).to.equal(true);
        expect(answers.every(({ took }) => took < promptAnswerMilliseconds)).to.equal(true);
    });
});

describe("streams whose instance has stopped", () => {
    // guards against a version that only the instance knows which began the stream
    it("go on at their version at another instance", async () => {
        const fleet = await startMixedFleet();
        const begun = await runStreams(index => fleet.send(0, { ...createRequest(`k${index}`), leaveAfter: 2 }));
        await fleet.stopInstance(0);
        const streams = await runStreams(async index =>
            describeTries(
                begun[index]!,
                await fleet.send(1 + index % 2, {
                    ...createRequest(`k${index}-1`),
                    resumes: `k${index}`,
                    lastEventId: begun[index]!.events.at(-1)!.id,
                }),
            )
        );
        await fleet.stop();
        expect(countMixed(streams)).to.equal(0);
        expect(measureFinishedShare(streams)).to.be.at.least(leastShare);
    });
});

describe("streams that began while one version served", () => {
    let fleet: TestFleet;
    let newVersion = "v1";
    let begun: readonly TestAnswer[];

    before(async () => {
        newVersion = "v1";
        fleet = await startMixedFleet({ readVersion: server => server < 2 ? "v1" : newVersion, restartDelay: 100 });
        begun = await runStreams(index => fleet.send(index % 3, { ...createRequest(`o${index}`), leaveAfter: 2 }));
    });

    after(() => fleet.stop());

    function takeUp(index: number): Promise<TestAnswer> {
        return fleet.send((index + 1) % 3, {
            ...createRequest(`o${index}-1`),
            resumes: `o${index}`,
            lastEventId: begun[index]!.events.at(-1)!.id,
        });
    }

    // guards against over-caution: while one version has served all the time nothing needs to be known of a stream
    it("go on while no other version serves", async () => {
        const answer = await fleet.send(1, { ...createRequest("p1"), resumes: "never-sent", lastEventId: 2 });
        expect(answer.events.map(({ id }) => id)).to.deep.equal([3, 4, 5, 6]);
    });

    // guards against streams that are older than the second version and of which nobody was told
    it("go on at that version after another one has come", async () => {
        newVersion = "v2";
        fleet.servers[2]!.restart();
        fleet.servers[3]!.restart();
        await pause(1_500);
        const streams = await runStreams(async index => describeTries(begun[index]!, await takeUp(index)));
        expect(countMixed(streams)).to.equal(0);
        expect(measureFinishedShare(streams)).to.be.at.least(leastShare);
    });

    // guards against clients that wait for a version of which no server is left
    it("are refused at once when no server of that version is left", async () => {
        newVersion = "v2";
        fleet.servers[0]!.deleteEntry();
        fleet.servers[1]!.deleteEntry();
        await pause(700);
        const answers = await Promise.all(begun.map((unused, index) => takeUp(index)));
        expect(answers.filter(({ status }) => status === 503).length).to.equal(streamCount);
        expect(answers.every(({ took }) => took < promptAnswerMilliseconds)).to.equal(true);
    });
});
