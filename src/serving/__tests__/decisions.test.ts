import { expect } from "chai";
import { createEventSplitter } from "../eventSplitter.js";
import { measureAge } from "../freshness.js";
import { decideNextStep, type RequestProgress } from "../outcomePolicy.js";
import { createRetryBudget } from "../retryBudget.js";
import { chooseService, createRouteTable } from "../routeTable.js";
import { createServerList } from "../serverList.js";
import type { BackendServer, ServerResponseHead, ServingConfig, ServingRoute } from "../types.js";

function createRoute(name: string, pathPrefix: string): ServingRoute {
    return {
        name,
        host: "shop.example",
        pathPrefix,
        kind: "idempotent",
        targets: [{ service: "s", weight: 1 }],
        timeout: 1_000,
        targetLatency: 100,
        targetEventGap: undefined,
        attemptLimit: 2,
        priority: 0,
        isPublic: false,
        canResume: false,
    };
}

function createServer(id: string, change: Partial<BackendServer> = {}): BackendServer {
    return {
        id,
        startedAt: 1,
        service: "s",
        address: "10.0.0.1:1",
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 4,
        models: [],
        ...change,
    };
}

describe("routes", () => {
    const config: ServingConfig = {
        version: 1,
        routes: [createRoute("wide", "/a/"), createRoute("narrow", "/a/b/"), createRoute("root", "/")],
        services: new Map(),
        accounts: undefined,
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    };
    const find = (target: string, host = "shop.example"): string | undefined =>
        createRouteTable(config).find(host, target)?.name;

    it("matches the host and the longest path prefix", () => {
        expect(find("/a/b/c")).to.equal("narrow");
        expect(find("/a/bc?x=/a/b/")).to.equal("wide");
        expect(find("/a")).to.equal("root");
        expect(find("/a/", "other.example")).to.equal(undefined);
    });

    it("chooses services by weight", () => {
        const targets = [{ service: "one", weight: 90 }, { service: "two", weight: 10 }];
        expect(chooseService(targets, 0)).to.equal("one");
        expect(chooseService(targets, 0.899)).to.equal("one");
        expect(chooseService(targets, 0.9)).to.equal("two");
        expect(chooseService(targets, 0.9999)).to.equal("two");
    });
});

describe("freshness", () => {
    it("uses the larger difference of the two clocks", () => {
        const since = { monotonic: 100, timeOfDay: 5_000 };
        expect(measureAge(since, { monotonic: 150, timeOfDay: 9_000 })).to.equal(4_000);
        expect(measureAge(since, { monotonic: 900, timeOfDay: 4_000 })).to.equal(800);
        expect(measureAge(undefined, since)).to.equal(Number.POSITIVE_INFINITY);
    });
});

describe("event splitter", () => {
    it("returns complete events only, with unchanged bytes, for any chunk size", () => {
        const stream = Buffer.from("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx: 1\nid: 13\ndata: c\n\nid: 14\nda");
        for (let size = 1; size <= stream.length; size++) {
            const splitter = createEventSplitter({ after: undefined, isNumbered: true });
            const passed: Buffer[] = [];
            let lastId: string | undefined;
            for (let start = 0; start < stream.length; start += size) {
                const events = splitter.push(stream.subarray(start, start + size));
                passed.push(events.bytes);
                lastId = events.lastId ?? lastId;
            }
            expect(Buffer.concat(passed).toString(), `chunks of ${size}`).to.equal(
                stream.subarray(0, stream.length - "id: 14\nda".length).toString(),
            );
            expect(lastId).to.equal("13");
            expect(splitter.readIncomplete().toString()).to.equal("id: 14\nda");
        }
    });
});

describe("next step after an attempt", () => {
    const createHead = (change: Partial<ServerResponseHead>): ServerResponseHead => ({
        status: 200,
        attemptId: "1",
        isSigned: true,
        isNotRun: false,
        load: undefined,
        requestLimit: undefined,
        retryAfter: undefined,
        isLeaving: false,
        isEventStream: false,
        contentLength: 1,
        passedHeaders: [],
        ...change,
    });
    const kinds = {
        idempotent: { kind: "idempotent", canResume: false, attemptLimit: 2 },
        once: { kind: "once", canResume: false, attemptLimit: 2 },
        plainStream: { kind: "stream", canResume: false, attemptLimit: 2 },
        resumable: { kind: "stream", canResume: true, attemptLimit: 2 },
    } as const;
    const createProgress = (kind: keyof typeof kinds, change: Partial<RequestProgress> = {}): RequestProgress => ({
        route: kinds[kind],
        triedServerCount: 1,
        hasResponseStarted: false,
        mayHaveRun: false,
        ...change,
    });
    const broken = { kind: "fault", fault: { kind: "broken", detail: "" } } as const;

    it("never repeats a non-idempotent request after its bytes were sent", () => {
        for (const kind of ["once", "plainStream"] as const) {
            for (const result of [broken, { kind: "fault", fault: { kind: "crossed", detail: "" } } as const]) {
                expect(decideNextStep(result, createProgress(kind)), kind).to.deep.equal({
                    kind: "fail",
                    isNotRun: false,
                });
            }
            const failed = decideNextStep({ kind: "head", head: createHead({ status: 500 }) }, createProgress(kind));
            expect(failed).to.deep.equal({ kind: "deliver" });
        }
    });

    it("repeats any request that has not run", () => {
        for (const kind of ["once", "plainStream", "idempotent", "resumable"] as const) {
            const notRun = { kind: "head", head: createHead({ status: 503, isNotRun: true }) } as const;
            expect(decideNextStep(notRun, createProgress(kind))).to.deep.equal({
                kind: "repeat",
                isBudgetExempt: false,
                mayHaveRun: false,
            });
            const notSent = { kind: "fault", fault: { kind: "notSent", detail: "" } } as const;
            expect(decideNextStep(notSent, createProgress(kind)).kind).to.equal("repeat");
        }
    });

    it("repeats failed idempotent requests and resumable streams, up to the limit of servers", () => {
        for (const kind of ["idempotent", "resumable"] as const) {
            expect(decideNextStep(broken, createProgress(kind)).kind).to.equal("repeat");
            expect(decideNextStep({ kind: "head", head: createHead({ status: 500 }) }, createProgress(kind)).kind).to
                .equal(
                    "repeat",
                );
            expect(decideNextStep(broken, createProgress(kind, { triedServerCount: 2 })).kind).to.equal("fail");
        }
    });

    it("doesn't deliver a successful response without a signature", () => {
        const unsigned = { kind: "head", head: createHead({ isSigned: false }) } as const;
        expect(decideNextStep(unsigned, createProgress("once"))).to.deep.equal({ kind: "fail", isNotRun: false });
    });

    it("keeps the information that an earlier attempt may have run", () => {
        const notRun = { kind: "head", head: createHead({ status: 503, isNotRun: true }) } as const;
        expect(decideNextStep(notRun, createProgress("resumable", { mayHaveRun: true }))).to.deep.include({
            mayHaveRun: true,
        });
    });
});

describe("retry budget", () => {
    it("limits the retries of all instances together to ratio and slack", () => {
        const instances = 4;
        const budgets = Array.from({ length: instances }, () => {
            const budget = createRetryBudget({ window: 10_000, ratio: 0.2, slack: 40 });
            budget.setInstanceCount(instances);
            return budget;
        });
        let repeats = 0;
        for (let now = 0; now < 10_000; now += 10) {
            const budget = budgets[(now / 10) % instances]!;
            budget.countRequest("s", now);
            repeats += budget.take("s", now) ? 1 : 0;
        }
        expect(repeats).to.be.at.most(0.2 * 1_000 + 40).and.at.least(100);
    });
});

describe("server list", () => {
    it("removes servers that drain and servers whose entry is deleted", () => {
        const list = createServerList();
        list.put(createServer("i-1"));
        list.put(createServer("i-2"));
        list.put(createServer("i-2", { isDraining: true }));
        expect(list.listUsable("s").map(server => server.id)).to.deep.equal(["i-1"]);
        expect(list.remove("i-1", 1_000).removed).to.have.length(1);
        expect(list.listUsable("s")).to.deep.equal([]);
    });

    it("keeps a server for two seconds when its entry disappears after a failed read of the store", () => {
        const list = createServerList();
        list.put(createServer("i-1"));
        list.markStoreFailure(1_000);
        list.remove("i-1", 1_500);
        expect(list.expire(3_400).removed).to.deep.equal([]);
        expect(list.listUsable("s")).to.have.length(1);
        expect(list.expire(3_500).removed).to.have.length(1);
        expect(list.listUsable("s")).to.deep.equal([]);
    });

    it("reports a restart under the same id as a removal and an addition", () => {
        const list = createServerList();
        list.put(createServer("i-1"));
        const change = list.put(createServer("i-1", { startedAt: 2 }));
        expect([change.added.length, change.removed.length]).to.deep.equal([1, 1]);
    });
});
