import { expect } from "chai";
import { createCrashReporter } from "../crashReporter.js";
import { quarantineMessageSchema } from "../messages.js";
import { createQuarantineDecider, type QuarantineDecider } from "../quarantineDecider.js";
import { createQuarantineList, encodeQuarantine, type QuarantineList } from "../quarantineList.js";
import { type BrokenRequest, formatScopeKey, type RequestScope } from "../types.js";

interface TestDecider {
    readonly decider: QuarantineDecider;
    readonly list: QuarantineList;
    readonly setTime: (time: number) => void;
    readonly setStore: (isReachable: boolean) => void;
}

function createDecider(list = createQuarantineList(), followers: readonly QuarantineList[] = []): TestDecider {
    let now = 0;
    let isReachable = true;
    const decider = createQuarantineDecider({
        list,
        publish: async (key, value) => {
            followers.filter(() => isReachable).forEach(follower => follower.apply({ key, value }, now));
            return isReachable;
        },
        now: () => now,
    });
    return {
        decider,
        list,
        setTime: time => now = time,
        setStore: reachable => isReachable = reachable,
    };
}

const createRequest = (digest: string, account = "acme"): BrokenRequest => ({ digest, account, own: "", shared: [] });
const createScope = (digest: string, account = "acme"): RequestScope => ({ kind: "request", digest, account });
const decide = (list: QuarantineList, digest: string, now: number) =>
    list.decide({ ...createRequest(digest), prompt: undefined }, now).kind;

// servers that ended at these times
function endServers({ decider }: TestDecider, ends: readonly (readonly [number, ...string[]])[], now: number): void {
    const breaks = ends.map(([at, ...digests]) => ({
        run: `${at}`,
        service: "s",
        age: now - at,
        requests: digests.map(digest => ({ ...createRequest(digest), shared: [] })),
    }));
    decider.receiveReport({ kind: "report", breaks, alive: [], answers: [], sound: [] }, now);
}

// three servers that ended 50 ms after each other under a request
function endThreeServers({ decider }: TestDecider, request: BrokenRequest, now: number): void {
    decider.receiveReport({
        kind: "report",
        breaks: [0, 50, 100].map(age => ({
            run: `${request.digest}-${now - age}`,
            service: "s",
            age,
            requests: [{ ...request, shared: [] }],
        })),
        alive: [],
        answers: [],
        sound: [],
    }, now);
}

async function makeQuarantine(test: TestDecider, request: BrokenRequest, now: number): Promise<void> {
    endThreeServers(test, request, now);
    test.setTime(now + 1_200);
    await test.decider.update(now + 1_200);
}

describe("decision on quarantines", () => {
    // guards against trials that end one more server each time, without end
    it("grants a request two trials and then none", async () => {
        const test = createDecider();
        await makeQuarantine(test, createRequest("bad"), 0);
        const scope = createScope("bad");
        const grants: boolean[] = [];
        for (let now = 2_000; now < 10_000_000; now += 20_000) {
            test.setTime(now);
            grants.push(await test.decider.grantTrial(scope, now));
        }
        expect(grants.filter(isGranted => isGranted)).to.have.length(2);
        expect(decide(test.list, "bad", 10_000_000)).to.equal("quarantined");
    });

    // guards against quarantines that are lost because the store can't be written just when servers end
    it("is written as soon as the store is back", async () => {
        const test = createDecider();
        test.setStore(false);
        await makeQuarantine(test, createRequest("bad"), 0);
        expect(decide(test.list, "bad", 1_300)).to.equal("open");
        test.setStore(true);
        await test.decider.update(5_000);
        expect(decide(test.list, "bad", 5_000)).to.equal("quarantined");
    });

    // guards against a decision that is lost with the instance that was about to write it
    it("is made by the next deciding instance from the reports that are sent again to it", async () => {
        const reporter = createCrashReporter(() => false);
        const first = createDecider();
        [0, 60, 120].forEach((at, index) =>
            reporter.markBroken({ run: `r-${index}`, service: "s" }, createRequest("bad"), at)
        );
        const report = reporter.createReport("first", 200)!;
        first.decider.receiveReport(report, 200);
        reporter.markReceived("first", report);
        expect(reporter.createReport("first", 300)).to.equal(undefined);
        const second = createDecider();
        second.decider.receiveReport(reporter.createReport("second", 2_000)!, 2_000);
        await second.decider.update(2_000);
        expect(decide(second.list, "bad", 2_000)).to.equal("quarantined");
    });

    // guards against a request of many that stays refused because it ran while three servers were killed
    it("is taken back when any instance answered the request shortly before", async () => {
        const test = createDecider();
        await makeQuarantine(test, createRequest("common"), 10_000);
        expect(decide(test.list, "common", 11_300)).to.equal("quarantined");
        const reporter = createCrashReporter(() => true);
        reporter.markAnswered({ ...createRequest("common"), beganAt: 4_000 });
        reporter.trackQuarantine(createScope("common"), 11_300);
        test.decider.receiveReport(reporter.createReport("decider", 11_300)!, 11_300);
        await test.decider.update(11_400);
        expect(decide(test.list, "common", 11_400)).to.equal("open");
    });

    // guards against a request whose quarantine another instance or an operator ended, and that is never refused again
    it("is made again for a request whose record was deleted elsewhere, when it ends servers again", async () => {
        const test = createDecider();
        await makeQuarantine(test, createRequest("bad"), 0);
        test.list.replaceAll([], 30_000);
        test.setTime(30_000);
        await test.decider.update(30_000);
        expect(decide(test.list, "bad", 30_000)).to.equal("open");
        await makeQuarantine(test, createRequest("bad"), 60_000);
        expect(decide(test.list, "bad", 61_300)).to.equal("quarantined");
    });

    // guards against blame for a request beside the one that the instance before found, of which the next one has no ends
    it("takes ends for explained by what another instance decided", async () => {
        const first = createDecider();
        await makeQuarantine(first, createRequest("bad"), 0);
        const second = createDecider(first.list);
        await second.decider.update(1_300);
        endServers(second, [[1_300, "bad", "beside"], [1_350, "bad", "beside"], [1_400, "bad", "beside"]], 1_400);
        await second.decider.update(2_700);
        expect(first.list.list().map(formatScopeKey)).to.deep.equal(["request bad"]);
    });

    const mixedEnds = [[0, "beside"], [300, "beside", "bad"], [600, "beside", "bad"], [900, "bad"], [
        1_200,
        "bad",
    ]] as const;

    // guards against a request that stays refused at all instances for what another one did that was found later
    for (const way of ["decided by the same instance", "decided by another one", "once the store is back"]) {
        it(`is lifted for all when a request found later explains the ends of servers, ${way}`, async () => {
            const lists = [createQuarantineList(), createQuarantineList(), createQuarantineList()] as const;
            const first = createDecider(lists[0], lists);
            endServers(first, mixedEnds, 1_200);
            await first.decider.update(1_650);
            expect(lists.map(list => decide(list, "beside", 1_650))).to.deep.equal(Array(3).fill("quarantined"));
            const next = way === "decided by another one" ? createDecider(lists[1], lists) : first;
            endServers(next, mixedEnds, 1_900);
            await next.decider.update(1_950);
            if (way === "once the store is back") {
                next.setStore(false);
                await next.decider.update(2_050);
                expect(decide(lists[0], "beside", 2_050)).to.equal("quarantined");
                next.setStore(true);
            }
            await next.decider.update(2_150);
            expect(lists.map(list => list.list().map(formatScopeKey))).to.deep.equal(Array(3).fill(["request bad"]));
        });
    }

    // guards against a crashing request that is let through as the next deciding instance knows few of its ends
    it("isn't lifted for others with fewer ends than it was decided with, nor where a record doesn't tell them", async () => {
        for (const crashes of [6, undefined]) {
            const test = createDecider();
            const scope = createScope("beside");
            const value = encodeQuarantine({ ...scope, trials: 0, crashes });
            test.list.apply({ key: formatScopeKey(scope), value }, 0);
            endServers(test, [...mixedEnds, [1_500, "bad"]], 1_500);
            for (let now = 1_600; now < 4_000; now += 100) {
                await test.decider.update(now);
            }
            expect(decide(test.list, "beside", 4_000)).to.equal("quarantined");
        }
    });

    // guards against an account that fills the list, so that nothing of the others can be quarantined
    it("keeps the newest fifty of an account, and those of the others", async () => {
        const test = createDecider();
        await makeQuarantine(test, createRequest("of bolt", "bolt"), 0);
        for (let index = 0; index < 60; index++) {
            await makeQuarantine(test, createRequest(`bad-${index}`), index * 2_000);
        }
        expect(test.list.list()).to.have.length(51);
        expect(test.list.find(createScope("bad-9"))).to.equal(undefined);
        expect(test.list.find(createScope("bad-10"))).to.not.equal(undefined);
        expect(test.list.find(createScope("of bolt", "bolt"))).to.not.equal(undefined);
    });

    // guards against records and reports of the version before that are thrown away during an update
    it("reads records and reports without kinds and digests as those of parts", () => {
        const list = createQuarantineList();
        const value = Buffer.from(JSON.stringify({ part: "ab", trials: 1 }));
        expect(list.apply({ key: "ab", value }, 0)).to.deep.include({ kind: "part", part: "ab", account: undefined });
        const message = quarantineMessageSchema.parse({
            kind: "report",
            breaks: [{ run: "r", age: 1, requests: [{ own: "o", shared: ["ab"] }] }],
            alive: [],
            answers: [{ age: 1, shared: ["ab"] }],
            sound: [{ scope: { part: "ab" }, age: 1 }],
        });
        expect(message).to.nested.include({ "sound[0].scope.kind": "part", "breaks[0].requests[0].digest": "" });
    });
});
