import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { type BlamedScope, type CrashEvidence, createCrashEvidence } from "../crashEvidence.js";
import type { BrokenRequest, SoundAnswer } from "../types.js";

const createRequest = (own: string, shared: readonly string[], account = "acme"): BrokenRequest => ({
    account,
    digest: `${account} ${own}`,
    own,
    shared,
});

const createAnswer = (shared: readonly string[], beganAt: number): SoundAnswer => ({
    account: "acme",
    digest: `answered ${shared.join()} ${beganAt}`,
    shared,
    beganAt,
});

// servers that end every 300 ms under a request each; other prompts are answered between
function addCrashes(evidence: CrashEvidence, requests: readonly BrokenRequest[]): void {
    requests.forEach((request, index) => {
        evidence.addBreak({ run: `s-${index}`, service: "llm", at: index * 300, requests: [request] });
        evidence.addAnswer(createAnswer(["first", "calm"], index * 300 + 50));
    });
}

interface Outcome {
    /** Parts blamed although they end no server. */
    readonly wrongly: number;
    readonly blamed: readonly BlamedScope[];
    /** Time from the fifth end under the crashing part to the blame, negative when it came before; `undefined` for never. */
    readonly delay: number | undefined;
}

const isPart = ({ scope }: BlamedScope, part: string | undefined): boolean =>
    scope.kind === "part" && scope.part === part;

// 13 servers, 60 requests a second of five accounts; servers end under a crashing part, and some are ended from outside
function runHistory(seed: number, crashingPart: string | undefined, outsideEndsPerSecond: number): Outcome {
    const random = createSeededRandom(seed);
    const evidence = createCrashEvidence();
    const running: { server: number; sentAt: number; beganAt: number; isSound: boolean; request: BrokenRequest; }[] =
        [];
    const backAt = Array.from({ length: 13 }, () => 0);
    const runs = Array.from({ length: 13 }, () => 0);
    const blamed: BlamedScope[] = [];
    const crashes: number[] = [];
    let blamedAt: number | undefined;
    const endServer = (server: number, now: number): void => {
        const lost = running.filter(each => each.server === server);
        const fresh = lost.filter(each => now - each.beganAt < 500).map(each => each.request);
        lost.forEach(each => running.splice(running.indexOf(each), 1));
        backAt[server] = now + 4_000;
        runs[server]!++;
        if (fresh.length > 0) {
            evidence.addBreak({ run: `${server}/${runs[server]}`, service: "llm", at: now, requests: fresh });
        }
    };
    const sendOne = (now: number): void => {
        const up = backAt.flatMap((at, server) => at <= now ? [server] : []);
        if (up.length === 0) {
            return;
        }
        // once blamed such requests are refused
        const isCrashing = crashingPart !== undefined && blamedAt === undefined && now > 2_000 && random.chance(0.07);
        const shared = [
            "first",
            isCrashing ? crashingPart : `topic-${random.between(0, 400)}`,
            `site-${random.between(0, 60)}`,
        ];
        const request = createRequest(`own-${now}-${random.next()}`, shared, `account-${random.between(0, 4)}`);
        running.push({
            server: random.choose(up),
            sentAt: now,
            beganAt: now + random.between(20, 400),
            isSound: false,
            request,
        });
    };
    for (let now = 0; now < 30_000; now += 20) {
        for (let count = 0; random.chance(0.55) && count < 3; count++) {
            sendOne(now);
        }
        for (const each of [...running]) {
            const endsServer = crashingPart !== undefined && each.request.shared.includes(crashingPart);
            if (endsServer && now >= each.beganAt + 100 && running.includes(each)) {
                crashes.push(now);
                endServer(each.server, now);
            }
            else if (!endsServer && now >= each.beganAt + 700 && !each.isSound && running.includes(each)) {
                each.isSound = true;
                evidence.addAnswer({ ...each.request, beganAt: each.beganAt });
            }
            else if (now >= each.beganAt + 2_000 && running.includes(each)) {
                running.splice(running.indexOf(each), 1);
            }
        }
        if (random.chance(outsideEndsPerSecond / 50)) {
            endServer(random.between(0, 12), now);
        }
        for (const found of now % 200 === 0 ? evidence.listBlamed(now) : []) {
            blamed.push(found);
            evidence.addExplanation(found.scope);
            blamedAt ??= isPart(found, crashingPart) ? now : undefined;
        }
    }
    return {
        blamed,
        wrongly: blamed.filter(found => !isPart(found, crashingPart)).length,
        delay: blamedAt === undefined ? undefined : blamedAt - (crashes[4] ?? blamedAt),
    };
}

describe("evidence of prompts that end servers", () => {
    // guards against a part that ends servers and isn't found, as innocent requests were lost with it
    it("blames the part that was in the requests of three ended servers and in no answer", () => {
        const evidence = createCrashEvidence();
        addCrashes(evidence, [
            createRequest("1", ["first", "bad", "x"]),
            createRequest("2", ["first", "bad", "y"], "bolt"),
            createRequest("3", ["first", "bad", "z"]),
        ]);
        expect(evidence.listBlamed(700)).to.deep.equal([]);
        expect(evidence.listBlamed(1_700)).to.deep.equal([
            { scope: { kind: "part", part: "bad", account: undefined }, crashes: 3, firstAt: 0 },
        ]);
    });

    // guards against blame for a shared first part of which answers were only not known yet
    it("blames no part that was answered after the servers had ended", () => {
        const evidence = createCrashEvidence();
        addCrashes(evidence, [
            createRequest("1", ["first"]),
            createRequest("2", ["first"]),
            createRequest("3", ["first"], "bolt"),
        ]);
        expect(evidence.listBlamed(5_000)).to.deep.equal([]);
    });

    // guards against blame by the repeats of one request, whose other parts then look alike
    it("blames no part for the repeats of one request, but the request itself", () => {
        const evidence = createCrashEvidence();
        addCrashes(evidence, [1, 2, 3, 4].map(() => createRequest("1", ["bad"])));
        expect(evidence.listBlamed(5_000)).to.deep.equal([
            { scope: { kind: "request", digest: "acme 1", account: "acme" }, crashes: 4, firstAt: 0 },
        ]);
    });

    // guards against a network that resets all connections at once, which ends no server
    // guards against a part that comes seldom: each request with it is blamed by itself before the next one comes
    it("blames the part that several requests have which were each blamed by themselves", () => {
        const evidence = createCrashEvidence();
        const blamed: { readonly at: number; readonly scope: BlamedScope["scope"]; }[] = [];
        for (let now = 0; now < 12_000; now += 20) {
            const arrival = Math.floor(now / 1_200);
            // each request ends three servers, one right after the other
            if ([0, 40, 80].includes(now % 1_200)) {
                const request = createRequest(`own-${arrival}`, ["first", "bad"], arrival % 2 === 0 ? "acme" : "bolt");
                evidence.addBreak({ run: `s-${now}`, service: "llm", at: now, requests: [request] });
            }
            evidence.addAnswer(createAnswer(["first", "calm"], now));
            for (const { scope } of evidence.listBlamed(now)) {
                evidence.addExplanation(scope);
                blamed.push({ at: now, scope });
            }
        }
        const part = blamed.find(({ scope }) => scope.kind === "part" && scope.part === "bad");
        const fifthEnd = 1_200 + 40;
        expect(part?.at).to.be.at.most(fifthEnd + 3_000);
        expect(blamed.some(({ scope }) => scope.kind === "part" && scope.part === "first")).to.equal(false);
    });

    // guards against a part that is blamed as it is in a request that ends servers by itself, and in others beside it
    it("blames no part for one request that ends servers again and again beside others with the same parts", () => {
        const evidence = createCrashEvidence();
        const blamed: BlamedScope[] = [];
        for (let now = 0; now < 12_000; now += 50) {
            if (now % 400 === 0) {
                const crashing = createRequest("own-0", ["first", "topic"]);
                const beside = createRequest(`own-${now}`, ["first", `topic-${now % 1_200}`]);
                evidence.addBreak({ run: `s-${now}`, service: "llm", at: now, requests: [crashing, beside] });
            }
            evidence.addAnswer(createAnswer(["first", `topic-${now % 1_200}`], now + 100));
            const found = evidence.listBlamed(now);
            found.forEach(({ scope }) => evidence.addExplanation(scope));
            blamed.push(...found);
        }
        expect(blamed.map(({ scope }) => scope.kind)).to.deep.equal(["request"]);
    });

    // guards against a request that is refused for ends of servers under another one, which was found after it
    it("counts an end under two requests for the one with more ends, whichever was blamed first", () => {
        const scopes = ["bad", "beside"].map(digest => ({ kind: "request" as const, digest, account: "acme" }));
        const [bad, beside] = scopes as [typeof scopes[0], typeof scopes[0]];
        const createEvidence = (ends: readonly (readonly string[])[]): CrashEvidence => {
            const evidence = createCrashEvidence();
            for (const [index, digests] of ends.entries()) {
                const requests = digests.map(digest => ({ account: "acme", digest, own: "", shared: [] }));
                evidence.addBreak({ run: `s-${index}`, service: "s", at: index * 300, requests });
            }
            return evidence;
        };
        const later = createEvidence([["beside"], ["beside", "bad"], ["beside", "bad"], ["bad"], ["bad"]]);
        expect(later.listBlamed(1_650)).to.deep.equal([{ scope: beside, crashes: 3, firstAt: 0 }]);
        later.addExplanation(beside, 3);
        expect(later.createWeighing(1_650)(beside)).to.equal(false);
        expect(later.listBlamed(1_950)).to.deep.equal([{ scope: bad, crashes: 4, firstAt: 300 }]);
        later.addExplanation(bad, 4);
        expect(scopes.map(scope => later.createWeighing(1_950)(scope))).to.deep.equal([false, true]);
        // three ends that are left are chance, as others came between them
        const scattered = createEvidence(
            [["beside"], ["bad", "beside"], ["bad"], ["bad", "beside"], ["beside"], ["bad"], ["bad"], ["beside"], [
                "bad",
            ]],
        );
        scattered.addExplanation(beside, 3);
        scattered.addExplanation(bad, 4);
        expect(scopes.map(scope => scattered.createWeighing(2_600)(scope))).to.deep.equal([false, true]);
        // of two with as many ends one is blamed, until the next end
        const even = createEvidence([["beside"], ["bad"], ["beside", "bad"], ["beside", "bad"], ["beside", "bad"]]);
        expect(even.listBlamed(1_950)).to.deep.equal([{ scope: beside, crashes: 4, firstAt: 0 }]);
        even.addExplanation(beside, 4);
        even.addBreak({ run: "next", service: "s", at: 1_960, requests: [{ ...bad, own: "", shared: [] }] });
        expect(even.listBlamed(2_000)).to.deep.equal([{ scope: bad, crashes: 5, firstAt: 300 }]);
        const first = createEvidence([["bad"], ["beside", "bad"], ["beside", "bad"], ["bad"], ["beside"]]);
        first.addExplanation(bad, 4);
        expect(first.listBlamed(3_000)).to.deep.equal([]);
        first.addExplanation(beside, 3);
        expect(scopes.map(scope => first.createWeighing(3_000)(scope))).to.deep.equal([false, true]);
    });

    it("blames nothing for servers that break off at one moment, or that go on answering", () => {
        const together = createCrashEvidence();
        for (let server = 0; server < 9; server++) {
            together.addBreak({
                run: `s-${server}`,
                service: "llm",
                at: server * 10,
                requests: [createRequest(`${server}`, ["rare"])],
            });
            together.addAnswer(createAnswer(["first"], 200 + server));
        }
        expect(together.listBlamed(5_000)).to.deep.equal([]);
        const alive = createCrashEvidence();
        addCrashes(alive, [1, 2, 3, 4].map(own => createRequest(`${own}`, ["rare"])));
        ["s-0", "s-1"].forEach(alive.removeRun);
        expect(alive.listBlamed(5_000)).to.deep.equal([]);
    });

    // guards against a client that has another one's prompts refused by naming their parts in requests that end servers
    it("blames a part only for the account whose requests ended servers", () => {
        const evidence = createCrashEvidence();
        addCrashes(evidence, [1, 2, 3].map(own => createRequest(`${own}`, ["victim"], "mallory")));
        evidence.addAnswer(createAnswer(["victim"], 650));
        expect(evidence.listBlamed(5_000).map(({ scope }) => scope)).to.deep.equal([
            { kind: "part", part: "victim", account: "mallory" },
        ]);
    });

    // guards against memory that grows with the number of parts that a client makes up
    it("keeps a bounded number of runs and answers", () => {
        const evidence = createCrashEvidence();
        for (let index = 0; index < 20_000; index++) {
            evidence.addBreak({
                run: `s-${index}`,
                service: "llm",
                at: index * 200,
                requests: [createRequest(`${index}`, [`p-${index}`])],
            });
            evidence.addAnswer(createAnswer([`q-${index}`], index * 200));
        }
        expect(evidence.listSuspects(4_000_000)).to.deep.equal([]);
        expect(evidence.findSoundAt({ kind: "part", part: "q-0", account: undefined })).to.equal(
            Number.NEGATIVE_INFINITY,
        );
    });

    // guards against wrong blame and late blame; the rates over the seeds are the evidence's rates of error
    it("finds the part within two seconds of the fifth end in 40 histories, and blames no other", () => {
        const outcomes = Array.from({ length: 40 }, (unused, seed) => runHistory(seed + 1, "bad", 0.2));
        expect(outcomes.map(({ wrongly }) => wrongly).filter(wrongly => wrongly > 0)).to.deep.equal([]);
        expect(Math.max(...outcomes.map(({ delay }) => delay ?? Number.POSITIVE_INFINITY))).to.be.at.most(2_000);
    });

    // guards against blame for servers that are killed, released or replaced while nothing is wrong with the prompts
    it("blames nothing in 40 histories in which servers end from outside, one after the other", () => {
        const outcomes = Array.from({ length: 40 }, (unused, seed) => runHistory(seed + 101, undefined, 0.5));
        expect(outcomes.map(({ wrongly }) => wrongly).filter(wrongly => wrongly > 0)).to.deep.equal([]);
    });

    // guards against a pass over all ends for each quarantine, which stops the instance that decides
    it("goes through the ends once for any number of quarantined requests", () => {
        const countReads = (size: number): number => {
            const evidence = createCrashEvidence();
            let reads = 0;
            const createCounted = (digest: string): BrokenRequest => ({
                ...createRequest("", []),
                get digest() {
                    reads++;
                    return digest;
                },
            });
            for (let run = 0; run < 64; run++) {
                const requests = Array.from({ length: 20 }, (unused, index) => createCounted(`${run} ${index}`));
                evidence.addBreak({ run: `${run}`, service: "llm", at: run * 100, requests });
            }
            const scopes = Array.from(
                { length: size },
                (unused, index) => ({ kind: "request", digest: `${index} 0`, account: "acme" } as const),
            );
            scopes.forEach(scope => evidence.addExplanation(scope, 3));
            reads = 0;
            scopes.forEach(evidence.createWeighing(7_000));
            return reads;
        };
        expect(countReads(50)).to.equal(countReads(1));
    });
});
