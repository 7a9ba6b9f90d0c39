import { expect } from "chai";
import { testLimits } from "../../adapters/__tests__/testEngine.js";
import type { AcquiredEngine, PlaceClient } from "../../adapters/placeClient.js";
import type { QuarantineDecision } from "../../quarantine/index.js";
import { createRequestAges } from "../../routing/index.js";
import { createSeededRandom, createSystemClock } from "../../shared/index.js";
import { type AnswerMemory, createAnswerMemory, type MemoryHolder } from "../answerMemory.js";
import { createAnswerTimes } from "../answerTimes.js";
import { createColdServers } from "../coldServers.js";
import { createConfigurationState } from "../configurationState.js";
import { readClocks } from "../freshness.js";
import { createRegions } from "../homes.js";
import type { QuotaDecision } from "../quotaMessages.js";
import type { ClientResponse, RequestReport, SelectedServer } from "../requestState.js";
import { createRetryBudget } from "../retryBudget.js";
import { runRequest } from "../runRequest.js";
import type { AttemptHandlers, AttemptRequest } from "../serverConnections.js";
import { createServerList, type ServerList } from "../serverList.js";
import { createServerRecords } from "../serverRecords.js";
import { createShutdown, type Shutdown } from "../shutdown.js";
import type {
    AnswerReport,
    BackendServer,
    ClientRequest,
    HeaderCodec,
    ServerResponseHead,
    ServingAccount,
    ServingRoute,
} from "../types.js";

type AttemptScript = (handlers: AttemptHandlers, request: AttemptRequest) => void;

interface RequestCase {
    readonly route?: Partial<ServingRoute>;
    readonly key?: string;
    readonly isStale?: boolean;
    /** Scripts of the attempts in their order; each calls the handlers of its attempt as a server connection would. */
    readonly attempts: readonly AttemptScript[];
    readonly disconnectAfter?: number;
    /** Obtains a place; the service then has engines. @default the service has plain servers */
    readonly acquire?: PlaceClient["acquire"];
    readonly seed?: number;
    /** Bytes that all answers may hold. @default as in an instance */
    readonly memoryLimit?: number;
    readonly answerMemory?: Pick<AnswerMemory, "open">;
    readonly slowClient?: Pick<ClientResponse, "write" | "onDrain">;
    /** Gets what is done with the reading of servers. */
    readonly reads?: string[];
    /** Stop of the instance. @default none */
    readonly shutdown?: Shutdown;
    /** What becomes of what was written. @default it gets to the client at once */
    readonly finished?: Promise<"sent" | "instance">;
    /** Called when the time of a whole answer is recorded. */
    readonly onAnswerTime?: () => void;
    /** Whether the request's prompt is quarantined. */
    readonly isQuarantined?: boolean;
    /** What is done with the place on an engine that the request gets. @default the service has no engines */
    readonly place?: Pick<AcquiredEngine, "begin" | "release">;
    /** What throws: the request for a permit, or the sending of its attempt. */
    readonly failsAt?: "permit" | "send";
    /** Changes the list of servers, which are three in the failure domain a. */
    readonly updateServers?: (servers: ServerList) => void;
    readonly account?: Partial<ServingAccount>;
    /** What is never decided: what began its stream, its quota, the delay of its quota, its trial or its permit. */
    readonly undecided?: "origin" | "quota" | "delay" | "trial" | "permit";
}

interface CaseResult {
    readonly report: RequestReport;
    readonly sent: readonly AttemptRequest[];
    readonly status: number | undefined;
    /** Seconds after which the client may return. */
    readonly retryAfter: number | undefined;
    readonly body: string;
    readonly end: "end" | "destroyed" | "open";
    readonly aborted: number;
    /** Failures that were marked against servers. */
    readonly failures: number;
    /** Times that the account's quota was asked for units. */
    readonly quotaUses: number;
    /** Units that were given back. */
    readonly returnedUnits: number;
}

const never = new Promise<never>(() => undefined);

function createTestShutdown(grace = 1_000): Shutdown {
    return createShutdown({
        clock: createSystemClock(),
        grace,
        exitReserve: 0,
        noticeTime: 0,
        answerTimes: { estimate: () => undefined },
    });
}

const headers: HeaderCodec = {
    decodeRequest: () => {
        throw new Error("not used here");
    },
    encodeForwardedHeaders: (
        request,
        forwarded,
    ) => [forwarded.server, forwarded.account ?? "", `${forwarded.lastEventId ?? ""}`],
    decodeResponseHead: () => {
        throw new Error("not used here");
    },
    encodeRefusalHeaders: (attemptId, retryAfter) => retryAfter === undefined ? [] : ["retry-after", `${retryAfter}`],
};

function createHead(change: Partial<ServerResponseHead> = {}): ServerResponseHead {
    return {
        status: 200,
        attemptId: "1",
        isSigned: true,
        isNotRun: false,
        load: undefined,
        requestLimit: undefined,
        retryAfter: undefined,
        isLeaving: false,
        isEventStream: false,
        contentLength: undefined,
        passedHeaders: [],
        ...change,
    };
}

const createServer = (id: string, failureDomain: string): BackendServer => ({
    id,
    startedAt: 1,
    service: "s",
    address: "10.0.0.1:1",
    failureDomain,
    isDraining: false,
    softwareVersion: "v1",
    slots: 4,
    models: [],
});

async function runCase(requestCase: RequestCase): Promise<CaseResult> {
    const route: ServingRoute = {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "idempotent",
        targets: [{ service: "s", weight: 1 }],
        timeout: 300,
        targetLatency: 100,
        targetEventGap: undefined,
        attemptLimit: 2,
        priority: 0,
        isPublic: false,
        canResume: false,
        ...requestCase.route,
    };
    const quota = { unit: "requests", ratePerSecond: 1, burst: 1, defaultTokens: 1 } as const;
    let quotaUses = 0;
    let returnedUnits = 0;
    const { undecided } = requestCase;
    const take = async (): Promise<QuotaDecision> => {
        quotaUses++;
        return undecided === "quota" ? never : { kind: "admitted", delay: undecided === "delay" ? 10_000 : 0 };
    };
    const decideGuarded = (): QuarantineDecision => {
        const scope = { kind: "part", part: "bad", account: undefined } as const;
        if (requestCase.isQuarantined) {
            return { kind: "quarantined", scope, remaining: 20_000 };
        }
        return undecided === "trial" ? { kind: "due", scope } : { kind: "open" };
    };
    const configuration = createConfigurationState();
    configuration.apply({
        version: 1,
        routes: [route],
        services: new Map([["s", {
            name: "s",
            connectionLimit: 1,
            engine: (requestCase.acquire ?? requestCase.place) && testLimits,
        }]]),
        accounts: [{ name: "acme", keys: ["k"], priority: undefined, quota, ...requestCase.account }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
    if (!requestCase.isStale) {
        configuration.markConfirmed(readClocks());
    }
    const servers = createServerList();
    for (const id of ["i-1", "i-2", "i-3"]) {
        const address = "10.0.0.1:1";
        servers.put({
            id,
            startedAt: 1,
            service: "s",
            address,
            failureDomain: "a",
            isDraining: false,
            softwareVersion: "v1",
            slots: 4,
            models: [],
        });
    }
    requestCase.updateServers?.(servers);
    const sent: AttemptRequest[] = [];
    let aborted = 0;
    const records = createServerRecords();
    let failures = 0;
    const written: string[] = [];
    let status: number | undefined;
    let retryAfter: number | undefined;
    let end: CaseResult["end"] = "open";
    const answer: ClientResponse = {
        writeHead: (code, names) => {
            status = code;
            retryAfter = names[0] === "retry-after" ? Number(names[1]) : undefined;
        },
        write: chunk => written.push(chunk.toString()) > 0,
        end: () => end = "end",
        destroy: () => end = "destroyed",
        onDrain: () => undefined,
        ...requestCase.slowClient,
        ...requestCase.finished ? { finished: requestCase.finished } : {},
    };
    const request: ClientRequest = {
        attemptId: "1",
        method: "POST",
        target: "/x",
        host: "h",
        key: requestCase.key ?? "k",
        deadline: 1_000,
        choice: (requestCase.acquire ?? requestCase.place) && { model: "base", adapter: "a1" },
        tokens: undefined,
        prompt: undefined,
        lastEventId: undefined,
        resumed: undecided === "origin" ? { firstAttemptId: "0" } : undefined,
        passedHeaders: [],
    };
    const acquirePlace: PlaceClient["acquire"] = () =>
        Promise.resolve(
            requestCase.place &&
                { server: servers.listAll()[0]!, requiredVersion: undefined, permit: undefined, ...requestCase.place },
        );
    const leaving = new AbortController();
    const running = runRequest(
        {
            configuration,
            limits: { take, giveBack: (account, units) => returnedUnits += units },
            retryBudget: createRetryBudget({ window: 10_000, ratio: 0.2, slack: 50 }),
            random: createSeededRandom(requestCase.seed ?? 1),
            maximumConfigAge: 4_000,
            clock: {
                now: () => performance.now(),
                sleep: (duration, signal) =>
                    new Promise(resolve => {
                        const timer = setTimeout(resolve, duration);
                        signal?.addEventListener("abort", () => {
                            clearTimeout(timer);
                            resolve();
                        });
                    }),
            },
            failureDomain: "a",
            servers,
            regions: createRegions(new Map([["a", "eu"], ["b", "us"]])),
            records: {
                ...records,
                markFailure: (...failure) => {
                    failures++;
                    records.markFailure(...failure);
                },
            },
            connections: {
                send: (attempt, handlers) => {
                    const runScript = requestCase.attempts[sent.length];
                    if (requestCase.failsAt === "send") {
                        throw new TypeError("injected");
                    }
                    sent.push(attempt);
                    setImmediate(() => runScript?.(handlers, attempt));
                    return {
                        abort: () => aborted++,
                        pause: () => requestCase.reads?.push("pause"),
                        resume: () => requestCase.reads?.push("resume"),
                    };
                },
                remove: () => undefined,
                close: () => undefined,
            },
            headers,
            adapters: { acquire: requestCase.acquire ?? acquirePlace },
            permits: {
                recordLimit: () => undefined,
                acquirePermit: () => {
                    if (requestCase.failsAt === "permit") {
                        throw new TypeError("injected");
                    }
                    return undecided === "permit" ? never : Promise.resolve({ decidedAt: 0, until: undefined });
                },
                recordCold: () => undefined,
                returnPermit: () => undefined,
                measureWait: () => 0,
            },
            cold: createColdServers({
                clock: { now: () => 0 },
                findService: () => undefined,
                readBounds: () => ({ over: 1, slack: 0 }),
            }),
            guard: {
                decide: decideGuarded,
                requestTrial: () => undecided === "trial" ? never : Promise.resolve(false),
                markBroken: () => undefined,
                markServerAnswered: () => undefined,
                markAnswered: () => undefined,
                handleMessage: () => undefined,
                replaceAll: () => undefined,
                applyRecord: () => undefined,
                markLost: () => undefined,
                tick: () => undefined,
            },
            origins: {
                markBegun: () => undefined,
                markComplete: () => undefined,
                find: () => undecided === "origin" ? never : Promise.resolve({ kind: "unknown", reason: "test" }),
                handleRoutes: () => undefined,
                handleServers: () => undefined,
                observeServers: () => undefined,
                confirmServers: () => undefined,
                handleMessage: () => undefined,
                tick: () => undefined,
            },
            onBroken: () => undefined,
            onResumed: () => undefined,
            answerMemory: requestCase.answerMemory ?? createAnswerMemory(requestCase.memoryLimit),
            requestAges: createRequestAges(),
            answerTimes: {
                ...createAnswerTimes(),
                record: () => requestCase.onAnswerTime?.(),
            },
            shutdown: requestCase.shutdown ?? createTestShutdown(),
        },
        request,
        Buffer.from("body"),
        answer,
        leaving.signal,
    );
    if (requestCase.disconnectAfter !== undefined) {
        setTimeout(() => leaving.abort(), requestCase.disconnectAfter);
    }
    const report = await running;
    return {
        report,
        sent,
        status,
        retryAfter,
        body: written.join(""),
        end,
        aborted,
        failures,
        quotaUses,
        returnedUnits,
    };
}

const sendComplete = (body: string): AttemptScript => handlers => {
    handlers.onHead(createHead());
    handlers.onData(Buffer.from(body));
    handlers.onEnd();
};
const failConnection: AttemptScript = handlers => handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
const refuseNotRun: AttemptScript = handlers => {
    handlers.onHead(createHead({ status: 503, isNotRun: true, isSigned: false }));
    handlers.onEnd();
};
const once = { kind: "once" } as const;
const resumable = { kind: "stream", canResume: true } as const;

describe("request", () => {
    it("delivers the server's response, and sends the account name to the server", async () => {
        const outcome = await runCase({ attempts: [sendComplete("whole")] });
        expect(outcome).to.deep.include({ status: 200, body: "whole", end: "end" });
        expect(outcome.sent[0]!.headers[1]).to.equal("acme");
        expect(outcome.sent[0]!.body!.toString()).to.equal("body");
    });

    // guards against refused clients that all come back at another time than the one kept for each, and against streams
    // that have begun and are refused
    it("is refused with the time that a holder without room gave it, unless its stream has begun", async () => {
        const refused = await runCase({
            attempts: [],
            acquire: request => {
                request.onRefused!(1_230);
                return Promise.resolve(undefined);
            },
        });
        expect(refused.status).to.equal(503);
        expect(refused.retryAfter).to.be.within(1.1, 1.23);
        expect(refused.report).to.deep.include({ outcome: "refused", reason: "no room" });
        const routes: (string | undefined)[] = [];
        const failStream: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
            handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        await runCase({
            attempts: [failStream],
            route: resumable,
            acquire: request => {
                routes.push(request.route);
                const [server] = request.listServers();
                const engine = {
                    server: server!,
                    requiredVersion: undefined,
                    permit: undefined,
                    release: () => undefined,
                };
                return Promise.resolve(routes.length === 1 ? engine : undefined);
            },
        });
        expect(routes).to.deep.equal(["r", undefined]);
    });

    // guards against a holder that can't tell slow engines from fast ones, as it sees no answers
    it("tells the holder of its place when the first event came, how fast events came, and the engine's load", async () => {
        const load = { running: 3, waiting: 1, slots: 8, slowness: 1.5 };
        const sendEvents: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true, load }));
            handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
            handlers.onData(Buffer.from("id: 2\ndata: b\n\n"));
            handlers.onEnd();
        };
        const begun: AnswerReport[] = [];
        const ended: (AnswerReport | undefined)[] = [];
        const release: SelectedServer["release"] = (outcome, report) => void ended.push(report);
        await runCase({ route: resumable, attempts: [sendEvents], place: { release } });
        expect(ended[0]).to.have.keys("firstEventAfter", "eventGap", "load");
        expect(ended[0]!.firstEventAfter).to.be.at.least(0);
        expect(ended[0]!.eventGap).to.be.at.least(0);
        expect(ended[0]!.load).to.deep.include({ running: 3, waiting: 1 });
        const begin = (report: AnswerReport): void => void begun.push(report);
        await runCase({ route: resumable, attempts: [sendEvents], place: { release, begin } });
        expect(begun).to.have.length(1);
        expect(begun[0]!.firstEventAfter).to.be.at.least(0);
        expect(ended[1]).to.have.keys("eventGap", "load");
        await runCase({ attempts: [failConnection, failConnection], place: { release } });
        expect(ended[2]).to.deep.equal({});
    });

    // guards against sound answers that are lost for want of memory, and against an event that takes all of it
    it("is delivered as it arrives, or goes on elsewhere, when answers hold too much", async () => {
        const sendInPieces: AttemptScript = handlers => {
            handlers.onHead(createHead());
            handlers.onData(Buffer.from("first "));
            handlers.onData(Buffer.from("second"));
            handlers.onEnd();
        };
        const whole = await runCase({ attempts: [sendInPieces], memoryLimit: 10 });
        expect(whole).to.deep.include({ status: 200, body: "first second", end: "end", failures: 0 });
        const openEvent: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
            handlers.onData(Buffer.from(`id: 2\ndata: ${"x".repeat(100)}`));
        };
        const sendNext: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(Buffer.from("id: 2\ndata: b\n\n"));
            handlers.onEnd();
        };
        const outcome = await runCase({ attempts: [openEvent, sendNext], route: resumable, memoryLimit: 50 });
        expect(outcome).to.deep.include({ body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", end: "end", failures: 1 });
        expect([outcome.sent.length, outcome.aborted]).to.deep.equal([2, 1]);
    });

    // guards against an answer that is read on while there is no memory for it, as its client has taken what it had
    it("is read on only when neither its client nor the memory of all answers holds it back", async () => {
        const steps = ["drain", "room"] as const;
        for (const order of [steps, steps.toReversed()]) {
            const reads: string[] = [];
            const seen: (readonly string[])[] = [];
            let holder: MemoryHolder | undefined;
            let drain = (): void => undefined;
            const pauseTwice: AttemptScript = handlers => {
                handlers.onHead(createHead({ isEventStream: true }));
                handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
                holder!.pause!();
                for (const step of order) {
                    step === "drain" ? drain() : holder!.resume!();
                    seen.push([...reads]);
                }
                handlers.onEnd();
            };
            await runCase({
                attempts: [pauseTwice],
                route: resumable,
                reads,
                slowClient: { write: () => false, onDrain: resume => drain = resume },
                answerMemory: {
                    open: opened => {
                        holder = opened;
                        return { set: () => undefined, close: () => undefined };
                    },
                },
            });
            expect(seen).to.deep.equal([["pause", "pause"], ["pause", "pause", "resume"]]);
        }
    });

    // guards against a listener for each chunk that an instance in between hands over at once, of which Node.js warns
    it("waits once for a client that doesn't read, however many chunks come at once", async () => {
        let waits = 0;
        const sendChunks: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            for (let id = 1; id <= 12; id++) {
                handlers.onData(Buffer.from(`id: ${id}\ndata: a\n\n`));
            }
            handlers.onEnd();
        };
        const slowClient = { write: () => false, onDrain: () => void waits++ };
        await runCase({ attempts: [sendChunks], route: resumable, slowClient });
        expect(waits).to.equal(1);
    });

    // guards against a request that can't be sent and is tried at one server after the other, which all get a mark
    it("is answered 400 after one attempt when its head can't be written", async () => {
        const refuse: AttemptScript = handlers => handlers.onFault({ kind: "unsendable", detail: "two hosts" });
        const outcome = await runCase({ attempts: [refuse] });
        expect([outcome.status, outcome.sent.length, outcome.failures]).to.deep.equal([400, 1, 0]);
        expect(outcome.report).to.deep.include({ outcome: "refused", reason: "two hosts", servers: [] });
        const unreached = await runCase({
            attempts: [handlers => handlers.onFault({ kind: "notSent", detail: "" }), sendComplete("x")],
        });
        expect([unreached.status, unreached.failures]).to.deep.equal([200, 1]);
    });

    it("is refused with an unknown key, and with any key while the configuration is too old", async () => {
        const unknown = await runCase({ key: "other", attempts: [] });
        expect([unknown.status, unknown.sent.length]).to.deep.equal([401, 0]);
        const stale = await runCase({ isStale: true, attempts: [] });
        expect([stale.status, stale.sent.length]).to.deep.equal([503, 0]);
        const open = await runCase({ isStale: true, route: { isPublic: true }, attempts: [sendComplete("x")] });
        expect([open.status, open.sent.length]).to.deep.equal([200, 1]);
    });

    // guards against requests that reach no server and still use up what the account's sound requests need
    it("is refused at once and uses nothing of its account's quota while its prompt is quarantined", async () => {
        const outcome = await runCase({ isQuarantined: true, attempts: [sendComplete("x")] });
        expect([outcome.status, outcome.sent.length, outcome.quotaUses]).to.deep.equal([503, 0, 0]);
        expect(outcome.report).to.deep.include({ outcome: "refused", reason: "quarantined prompt" });
    });

    // guards against work, and use of a quota, for a client that left while another instance was asked for something
    it("ends with its client in each wait, is sent nowhere, and gives its quota back", async () => {
        const cases = ["origin", "quota", "delay", "trial", "permit"] as const;
        for (const undecided of cases) {
            const outcome = await runCase({
                undecided,
                route: resumable,
                disconnectAfter: 20,
                attempts: [sendComplete("x")],
            });
            const { report, sent, status, returnedUnits } = outcome;
            expect([report.outcome, sent.length, status], undecided).to.deep.equal(["clientLeft", 0, undefined]);
            expect(report.endDelay, undecided).to.be.below(100);
            const hasTaken = undecided !== "origin" && undecided !== "quota";
            expect(returnedUnits, undecided).to.equal(hasTaken ? 1 : 0);
        }
    });

    it("is sent once and fails with 502 when it is not idempotent and its connection breaks", async () => {
        const outcome = await runCase({ route: once, attempts: [failConnection, sendComplete("again")] });
        expect([outcome.status, outcome.sent.length]).to.deep.equal([502, 1]);
    });

    // guards against requests that are refused beside a silence of all servers, which take connections again a second later
    it("is sent again to servers that weren't reached, where no other one is left", async () => {
        const failUnreached: AttemptScript = handlers => handlers.onFault({ kind: "notSent", detail: "" });
        const outcome = await runCase({
            attempts: [failUnreached, failUnreached, failUnreached, sendComplete("x")],
            route: once,
        });
        expect([outcome.body, new Set(outcome.sent.map(({ server }) => server.id)).size]).to.deep.equal(["x", 3]);
        const failBroken: AttemptScript = handlers => handlers.onFault({ kind: "broken", detail: "" });
        const safe = await runCase({ attempts: [failUnreached, failUnreached, failBroken, sendComplete("y")] });
        expect(safe.sent[3]!.server.id).not.to.equal(safe.sent[2]!.server.id);
    });

    it("goes to any of equally idle servers, so that instances with few requests don't all choose the same", async () => {
        const servers = new Set<string>();
        for (let seed = 1; seed <= 30; seed++) {
            const outcome = await runCase({ seed: seed * 100_000_007, attempts: [sendComplete("x")] });
            servers.add(outcome.sent[0]!.server.id);
        }
        expect(servers.size).to.equal(3);
    });

    // guards against attempts, repeats and bodies outside the homes of a route or an account
    it("is sent, and repeated, in its homes only, of which attempts tell", async () => {
        const eu = { allowedRegions: ["eu"] };
        const us = { allowedRegions: ["us"] };
        const attempts = [refuseNotRun, refuseNotRun, refuseNotRun, sendComplete("x")];
        const listIds = ({ sent }: CaseResult): readonly string[] => sent.map(({ server }) => server.id);
        const updateServers = (servers: ServerList): void =>
            ["b", "x"].forEach((domain, index) => servers.put(createServer(`i-${index + 2}`, domain)));
        const ofRoute = await runCase({ route: { attemptLimit: 4, ...eu }, attempts, updateServers });
        expect([new Set(listIds(ofRoute)), ofRoute.status]).to.deep.equal([new Set(["i-1"]), 503]);
        expect(ofRoute.sent[0]!.homes).to.deep.equal(["eu"]);
        const ofAccount = await runCase({ route: { attemptLimit: 4 }, account: us, attempts, updateServers });
        expect([new Set(listIds(ofAccount)), ofAccount.status]).to.deep.equal([new Set(["i-2"]), 503]);
        const disjoint = await runCase({ route: eu, account: us, attempts, updateServers });
        expect([listIds(disjoint), disjoint.status, disjoint.report.reason]).to.deep.equal([
            [],
            503,
            "no server in the allowed regions",
        ]);
        expect(disjoint.report.by).to.equal("noServer");
    });

    // guards against a repeat at a server whose failure domain was evacuated meanwhile, and against one that waits for it
    it("is repeated outside a failure domain that was evacuated meanwhile, and refused where no other is left", async () => {
        let list: ServerList | undefined;
        const withdrawAttempt: AttemptScript = handlers => {
            list!.setEvacuated(new Set(["a"]));
            handlers.onFault({ kind: "withdrawn", detail: "" });
        };
        const moved = await runCase({
            attempts: [withdrawAttempt, sendComplete("x")],
            updateServers: servers => {
                list = servers;
                servers.put(createServer("i-2", "b"));
                servers.setEvacuated(new Set(["b"]));
            },
        });
        expect(moved).to.deep.include({ status: 200, body: "x" });
        expect(moved.sent[1]!.server.id).to.equal("i-2");
        const none = await runCase({
            attempts: [],
            updateServers: servers => servers.setEvacuated(new Set(["a"])),
        });
        expect([none.status, none.sent.length, none.report.reason]).to.deep.equal([
            503,
            0,
            "no server outside evacuated domains",
        ]);
    });

    it("is refused with 503 when no server has run it", async () => {
        const outcome = await runCase({ route: { ...once, attemptLimit: 1 }, attempts: [refuseNotRun] });
        expect(outcome.status).to.equal(503);
    });

    it("is sent to another server after one that has not run it", async () => {
        const outcome = await runCase({ route: once, attempts: [refuseNotRun, sendComplete("second")] });
        expect(outcome).to.deep.include({ status: 200, body: "second" });
        expect(outcome.sent[0]!.server.id).not.to.equal(outcome.sent[1]!.server.id);
    });

    it("is repeated when its response breaks, and only the complete response is delivered", async () => {
        const failWithinBody: AttemptScript = handlers => {
            handlers.onHead(createHead());
            handlers.onData(Buffer.from("half"));
            handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        const repeated = await runCase({ attempts: [failWithinBody, sendComplete("whole")] });
        expect(repeated).to.deep.include({ status: 200, body: "whole", end: "end" });
        const single = await runCase({ route: once, attempts: [failWithinBody] });
        expect(single).to.deep.include({ status: 502, body: "" });
    });

    // guards against an event that comes twice, as a stream is asked for after an event before the last one (ORDER)
    it("resumes a stream after its last complete event where ids are beyond 2^53", async () => {
        const createScript = (text: string, end: "end" | "break"): AttemptScript => handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(Buffer.from(text));
            return end === "end" ? handlers.onEnd() : handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        const [first, second] = [1, 2].map(last => `id: 179647260050800000${last}\ndata: a\n\n`);
        const attempts = [createScript(first!, "break"), createScript(second!, "end")];
        const outcome = await runCase({ route: resumable, attempts });
        expect(outcome.sent[1]!.headers[2]).to.equal("1796472600508000001");
        expect(outcome).to.deep.include({ body: `${first}${second}`, end: "end" });
    });

    it("resumes a stream on another server after the last complete event", async () => {
        const head = createHead({ isEventStream: true });
        const sendFirst: AttemptScript = handlers => {
            handlers.onHead(head);
            handlers.onData(Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
            handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        const sendSecond: AttemptScript = handlers => {
            handlers.onHead(head);
            handlers.onData(Buffer.from("id: 3\ndata: c\n\n"));
            handlers.onEnd();
        };
        const outcome = await runCase({ route: resumable, attempts: [sendFirst, sendSecond] });
        expect(outcome.sent[1]!.headers[2]).to.equal("2");
        expect(outcome).to.deep.include({
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
            end: "end",
        });
        const single = await runCase({ route: { kind: "stream" }, attempts: [sendFirst, sendSecond] });
        expect([single.sent.length, single.end]).to.deep.equal([1, "destroyed"]);
    });

    // guards against a stream behind the first bytes of an answer that is none: pieces of two runs (ORDER)
    it("is cut off when an answer breaks that is no stream, on a route whose streams can be resumed", async () => {
        const failAfterPart: AttemptScript = handlers => {
            handlers.onHead(createHead());
            handlers.onData(Buffer.alloc(70_000, "x"));
            handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        const sendEvents: AttemptScript = handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
            handlers.onEnd();
        };
        const outcome = await runCase({ route: resumable, attempts: [failAfterPart, sendEvents] });
        expect([outcome.sent.length, outcome.body.length, outcome.end]).to.deep.equal([1, 70_000, "destroyed"]);
    });

    // guards against an error's text, a second answer's head or events twice in the middle of a client's stream
    it("goes on with a stream at another server when one writes anything but its next events", async () => {
        const head = createHead({ isEventStream: true });
        const createScript = (text: string, end: "end" | "break"): AttemptScript => handlers => {
            handlers.onHead(head);
            handlers.onData(Buffer.from(text));
            return end === "end" ? handlers.onEnd() : handlers.onFault({ kind: "broken", detail: "ECONNRESET" });
        };
        const writeFirst = createScript("id: 1\ndata: a\n\n", "break");
        const writeLast = createScript("id: 2\ndata: b\n\n", "end");
        const texts = ["internal error\n\n", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "id: 1\ndata: a\n\n"];
        for (const text of texts) {
            const outcome = await runCase({
                route: { ...resumable, attemptLimit: 3 },
                attempts: [writeFirst, createScript(text, "end"), writeLast],
            });
            expect(outcome, text).to.deep.include({ body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", end: "end" });
            const cut = await runCase({ route: resumable, attempts: [writeFirst, createScript(text, "end")] });
            expect(cut, text).to.deep.include({ body: "id: 1\ndata: a\n\n", end: "destroyed" });
        }
    });

    // guards against memory that fills with an event that never ends, or with bytes that are no events
    it("gives a stream up that sends bytes without end, and resumes it on another server", async () => {
        const chunk = Buffer.alloc(65_536, "x");
        for (const filler of [chunk, Buffer.concat([chunk, Buffer.from("\n\n")])]) {
            const sendWithoutEnd: AttemptScript = handlers => {
                handlers.onHead(createHead({ isEventStream: true }));
                handlers.onData(Buffer.from("id: 1\ndata: a\n\n"));
                Array.from({ length: 20 }, () => handlers.onData(filler));
            };
            const sendRest: AttemptScript = handlers => {
                handlers.onHead(createHead({ isEventStream: true }));
                handlers.onData(Buffer.from("id: 2\ndata: b\n\n"));
                handlers.onEnd();
            };
            const outcome = await runCase({ route: resumable, attempts: [sendWithoutEnd, sendRest] });
            expect([outcome.sent.length, outcome.aborted, outcome.end]).to.deep.equal([2, 1, "end"]);
            expect(outcome.sent[1]!.headers[2]).to.equal("1");
        }
    });

    it("is aborted at its deadline and answered 504 when a server has received it", async () => {
        const outcome = await runCase({ route: { ...once, timeout: 30 }, attempts: [() => undefined] });
        expect([outcome.status, outcome.aborted]).to.deep.equal([504, 1]);
    });

    // guards against an exception in a callback of a connection that ends the process, or leaves the request without an
    // answer and its server at work (FAULT)
    it("is answered 500 and ends its attempt when it fails inside", async () => {
        const attempts: readonly AttemptScript[] = [handlers => handlers.onHead(undefined!)];
        const { status, end, report, aborted, returnedUnits } = await runCase({ attempts });
        expect([status, end, report.outcome, aborted, returnedUnits]).to.deep.equal([500, "end", "failed", 1, 0]);
    });

    it("is cut off when it fails inside after its head was sent", async () => {
        const attempts: readonly AttemptScript[] = [handlers => {
            handlers.onHead(createHead({ isEventStream: true }));
            handlers.onData(undefined!);
        }];
        const { end, report, aborted } = await runCase({ attempts });
        expect([end, report.outcome, aborted]).to.deep.equal(["destroyed", "cut", 1]);
    });

    it("is answered 500 when its attempt can't be sent", async () => {
        const { status, end, report } = await runCase({ attempts: [], failsAt: "send" });
        expect([status, end, report.outcome]).to.deep.equal([500, "end", "failed"]);
    });

    // guards against units of a quota that are lost with a request that fails inside
    it("gives its units back and answers 500 when it fails before any server", async () => {
        const { status, end, report, returnedUnits, sent } = await runCase({ attempts: [], failsAt: "permit" });
        expect([status, end, report.outcome, sent.length]).to.deep.equal([500, "end", "failed", 0]);
        expect(returnedUnits).to.be.above(0);
    });

    it("aborts its attempt when the client disconnects", async () => {
        const outcome = await runCase({ disconnectAfter: 20, attempts: [() => undefined] });
        expect([outcome.report.outcome, outcome.aborted]).to.deep.equal(["clientLeft", 1]);
    });

    const longTimeout = 5_000;
    const unsafeRoute = { kind: "once", canResume: false, timeout: longTimeout } as const;

    // guards against a request that waits while its instance stops, and is sent when its answer can't come any more (LOST)
    it("is refused at once, and gives its units back, when its instance stops while it waits", async () => {
        const shutdown = createTestShutdown(300);
        setTimeout(() => shutdown.begin(0), 20);
        const startedAt = performance.now();
        const waiting = await runCase({ attempts: [], undecided: "permit", route: unsafeRoute, shutdown });
        expect(performance.now() - startedAt).to.be.below(500);
        expect(waiting.report).to.include({ outcome: "refused", status: 503, reason: "this instance stops" });
        expect([waiting.sent.length, waiting.returnedUnits]).to.deep.equal([0, waiting.quotaUses]);
    });

    // guards against a request that waits for its quota, or for what began its stream, at the end of a stop, and whose connection
    // is closed without an answer (LOST)
    for (const undecided of ["quota", "delay", "origin"] as const) {
        it(`is refused when its instance stops while it waits for its ${undecided}`, async () => {
            const shutdown = createTestShutdown(300);
            setTimeout(() => shutdown.begin(0), 20);
            const route = undecided === "origin" ? { ...resumable, timeout: longTimeout } : unsafeRoute;
            // the connection is closed once the stop is over
            const { report, end } = await runCase({ attempts: [], undecided, route, shutdown, disconnectAfter: 600 });
            expect(report).to.include({ outcome: "refused", status: 503, reason: "this instance stops", by: "stop" });
            expect(end).to.equal("end");
        });
    }

    // guards against a second attempt, or one that waited for a connection, that is sent while its instance stops (LOST)
    it("isn't sent again, nor written to a connection, when its instance has stopped meanwhile", async () => {
        const shutdown = createTestShutdown(300);
        const seen: (boolean | undefined)[] = [];
        const stopAndFail: AttemptScript = (handlers, attempt) => {
            seen.push(attempt.mayBegin?.());
            shutdown.begin(0);
            seen.push(attempt.mayBegin?.());
            failConnection(handlers, attempt);
        };
        const repeated = await runCase({
            attempts: [stopAndFail, sendComplete("late")],
            route: { timeout: longTimeout },
            shutdown,
        });
        expect(seen).to.deep.equal([true, false]);
        expect([repeated.sent.length, repeated.status, repeated.end]).to.deep.equal([1, 502, "end"]);
    });

    // guards against answers in progress whose connection is closed at the end of the grace without a word (LOST)
    it("is answered 502 when its instance ends, or cut off after the head of its answer", async () => {
        const results = [];
        const scripts: readonly AttemptScript[] = [
            () => undefined,
            handlers => handlers.onHead(createHead({ isEventStream: true })),
        ];
        for (const runScript of scripts) {
            const shutdown = createTestShutdown(300);
            const sendAndStop: AttemptScript = (...parameters) => {
                runScript(...parameters);
                setImmediate(shutdown.end);
            };
            const { report, status, end, aborted } = await runCase({
                attempts: [sendAndStop],
                route: unsafeRoute,
                shutdown,
            });
            results.push([report.outcome, status, end, aborted]);
        }
        expect(results).to.deep.equal([["failed", 502, "end", 1], ["cut", 200, "destroyed", 1]]);
    });

    const startStream: AttemptScript = handlers => handlers.onHead(createHead({ isEventStream: true }));
    const failStream = (detail: string, isBetweenInstances = false): AttemptScript => (handlers, attempt) => {
        startStream(handlers, attempt);
        handlers.onFault({ kind: "broken", detail, isBetweenInstances });
    };
    const ends: readonly (readonly [string, string, RequestCase])[] = [
        ["server", "answered", { attempts: [sendComplete("x")] }],
        ["server", "cut", { attempts: [failStream("UND_ERR_SOCKET")], route: unsafeRoute }],
        ["pool", "cut", { attempts: [failStream("UND_ERR_DESTROYED")], route: unsafeRoute }],
        ["instance", "cut", { attempts: [failStream("front-2 timeout", true)], route: unsafeRoute }],
        ["inside", "cut", { attempts: [failStream("failed here: TypeError")], route: unsafeRoute }],
        ["inside", "failed", { attempts: [handlers => handlers.onHead(undefined!)] }],
        ["deadline", "failed", { attempts: [() => undefined], route: { timeout: 30 } }],
        ["client", "clientLeft", { attempts: [startStream], disconnectAfter: 20, route: unsafeRoute }],
        ["client", "clientLeft", { attempts: [], undecided: "quota", disconnectAfter: 20 }],
        ["configuration", "refused", { attempts: [], key: "unknown" }],
        ["limit", "refused", { attempts: [], isQuarantined: true }],
        ["noServer", "refused", {
            attempts: Array.from({ length: 5 }, () => handlers => handlers.onFault({ kind: "notSent", detail: "" })),
        }],
    ];

    // guards against records in which an answer that this instance ended can't be told from one that its client or server
    // ended (LOST)
    for (const [by, outcome, requestCase] of ends) {
        it(`that is ${outcome} by ${by} says so`, async () => {
            const { report } = await runCase(requestCase);
            expect(report).to.include({ by, outcome, sinceStop: undefined });
        });
    }

    // guards against a stop that closes the client's and the server's connection at once, of which the record names one
    it("that a stop ends names the stop, the time since its signal and the silence of the server", async () => {
        const shutdown = createTestShutdown(300);
        const stop: AttemptScript = (handlers, attempt) => {
            startStream(handlers, attempt);
            shutdown.begin(0);
            setTimeout(() => shutdown.end(), 10);
        };
        const { report } = await runCase({ attempts: [stop], route: { timeout: 200 }, shutdown, disconnectAfter: 100 });
        expect(report).to.include({ by: "stop", outcome: "cut" });
        expect(report.sinceStop).to.be.at.least(9);
        expect(report.silence).to.be.at.least(9);
    });

    // guards against an answer that is reported as answered while a client that reads slowly lacks its end (LOST)
    it("that is handed over is answered once its client has it, and else names who closed the connection", async () => {
        let isDelivered = false;
        const deliverLate = (resolve: (finished: "sent") => void): void => {
            setTimeout(() => {
                isDelivered = true;
                resolve("sent");
            }, 20);
        };
        const attempts = [sendComplete("x")];
        const read = await runCase({ attempts, finished: new Promise(deliverLate) });
        expect(isDelivered).to.equal(true);
        expect(read.report).to.include({ by: "server", outcome: "answered", leftWhile: undefined });
        const left = await runCase({ attempts, finished: never, disconnectAfter: 20 });
        expect(left.report).to.include({ by: "client", outcome: "clientLeft", leftWhile: "delivery", heldBack: true });
        const shutdown = createTestShutdown(300);
        const sendAndStop: AttemptScript = (...parameters) => {
            attempts[0]!(...parameters);
            setImmediate(shutdown.end);
        };
        const cut = await runCase({
            attempts: [sendAndStop],
            finished: never,
            disconnectAfter: 20,
            shutdown,
        });
        expect(cut.report).to.include({ by: "stop", outcome: "cut", leftWhile: "delivery" });
        const closed = await runCase({ attempts, finished: Promise.resolve("instance") });
        expect(closed.report).to.include({ by: "stop", outcome: "cut", leftWhile: "delivery", heldBack: true });
        expect([read, left, cut, closed].map(({ end, aborted }) => [end, aborted])).to.deep.equal(
            Array.from({ length: 4 }, () => ["end", 0]),
        );
    });

    // guards against a whole answer that is cut off while its client reads it (LOST)
    it("that is handed over isn't ended by its deadline", async () => {
        const finished = new Promise<"sent">(resolve => setTimeout(() => resolve("sent"), 60));
        const { report, end } = await runCase({ attempts: [sendComplete("x")], finished, route: { timeout: 30 } });
        expect([report.outcome, end]).to.deep.equal(["answered", "end"]);
    });

    // guards against requests that are refused at a stop because clients have read the answers to others slowly
    it("that is handed over has taken until then, however long its client reads", async () => {
        let isRead = false;
        const finished = new Promise<"sent">(resolve => {
            setTimeout(() => {
                isRead = true;
                resolve("sent");
            }, 50);
        });
        const seen: boolean[] = [];
        await runCase({ attempts: [sendComplete("x")], finished, onAnswerTime: () => seen.push(isRead) });
        expect(seen).to.deep.equal([false]);
    });

    // guards against one fault that the record names twice, as if two attempts had ended by it
    it("that is broken off once has its fault once as its reason", async () => {
        const { report } = await runCase({ attempts: [failStream("ECONNRESET")], route: unsafeRoute });
        expect(report.reason).to.equal("broken ECONNRESET");
    });
});
