/**
 * Cost of the relay path: one instance's front door, request path and engine client under the mean load of a node at
 * the peak. Callers and stand-ins run in threads of their own, so that only the relay's processor time counts.
 *
 * @packageDocumentation
 */
import { Worker } from "node:worker_threads";
import type { ListedBackendServer } from "../backends/index.js";
import type { ResolvedSettings } from "../config/index.js";
import { createSystemClock, hashKey, millisecondsPerSecond } from "../shared/index.js";
import type { Bench, BenchLine, BenchRun } from "./harness.js";
import type { EngineAddress, LoadResult, WorkerOrder, WorkerReport } from "./relay/messages.js";
import { createRelayPath } from "./relay/relayPath.js";
import { readThreadTime } from "./relay/threadTime.js";

const warmUpMilliseconds = 7_000;
const measureMilliseconds = 10_000;
const microsecondsPerMillisecond = 1_000;
const wantedRequestsPerSecond = 40;
const wantedTokensPerSecond = 8_000;
const halfCore = 0.5;
const source = "users' letter 1: 100,000 requests and 20 million tokens a second over 2,500 nodes; half a core each";

/** The relay bench; wall clock only. */
export const relayBench: Bench = {
    name: "relay",
    run: async run => run.wallClock ? await measureRelay(run) : [],
};

interface RelayMeasurement {
    readonly load: LoadResult;
    readonly relayCpu: number;
    readonly threadCpu: number;
    readonly seconds: number;
    readonly memoryMegabytes: number;
}

async function measureRelay(run: BenchRun): Promise<readonly BenchLine[]> {
    return buildLines(await runLoad(run.seed));
}

async function runLoad(seed: number): Promise<RelayMeasurement> {
    const clock = createSystemClock();
    const engineWorker = startWorker("./relay/engineWorker.js");
    const loadWorker = startWorker("./relay/loadWorker.js");
    const { engines } = await engineWorker.receive("engines");
    const path = createRelayPath({ backendServers: engines.map(listEngine), settings: createSettings(), clock, seed });
    loadWorker.send({ kind: "begin", relay: await path.http.start(), engines });
    await clock.sleep(warmUpMilliseconds);

    const workers = [engineWorker, loadWorker];
    // the collector's helper threads serve all threads; they are counted as the relay's
    const readRelayCpu = async (): Promise<number> => {
        const others = await Promise.all(workers.map(worker => worker.request({ kind: "readCpu" }, "cpu")));
        const { user, system } = process.cpuUsage();
        const used = (user + system) / microsecondsPerMillisecond;
        return used - others.reduce((sum, { milliseconds }) => sum + milliseconds, 0);
    };
    loadWorker.send({ kind: "reset" });
    const startedAt = clock.now();
    const cpuBefore = await readRelayCpu();
    const threadBefore = readThreadTime();
    await clock.sleep(measureMilliseconds);
    const threadCpu = readThreadTime() - threadBefore;
    const relayCpu = await readRelayCpu() - cpuBefore;
    const seconds = (clock.now() - startedAt) / millisecondsPerSecond;
    const { result } = await loadWorker.request({ kind: "end" }, "load");
    await Promise.all(workers.map(worker => worker.stop()));
    await path.http.stop();
    const memoryMegabytes = process.memoryUsage().heapUsed / 2 ** 20;
    return { load: result, relayCpu, threadCpu, seconds, memoryMegabytes };
}

function buildLines({ load, relayCpu, threadCpu, seconds, memoryMegabytes }: RelayMeasurement): readonly BenchLine[] {
    const { relayed, direct } = load;
    const compare = (what: string, baseline: number, ours: number): BenchLine => ({
        what,
        unit: "ms",
        measure: "wallClock",
        baseline,
        ours,
    });
    return [
        {
            what: "requests relayed",
            unit: "1/s",
            measure: "wallClock",
            ours: relayed.requests / seconds,
            bound: { kind: "atLeast", value: wantedRequestsPerSecond, source },
        },
        {
            what: "tokens relayed",
            unit: "1/s",
            measure: "wallClock",
            ours: relayed.tokens / seconds,
            bound: { kind: "atLeast", value: wantedTokensPerSecond, source },
        },
        {
            what: "answers without their end mark",
            unit: "answers",
            measure: "wallClock",
            ours: relayed.incomplete,
            bound: { kind: "atMost", value: 0, source: "brief: a caller gets the whole answer" },
        },
        {
            what: "processor time of the relay",
            unit: "cores",
            measure: "wallClock",
            ours: relayCpu / millisecondsPerSecond / seconds,
            bound: { kind: "atMost", value: halfCore, source },
        },
        {
            what: "of that on the relay's own thread",
            unit: "cores",
            measure: "wallClock",
            ours: threadCpu / millisecondsPerSecond / seconds,
        },
        {
            what: "processor time a token",
            unit: "us",
            measure: "wallClock",
            ours: relayCpu * microsecondsPerMillisecond / relayed.tokens,
        },
        compare("first token, median, direct and relayed", direct.firstTokenMedian, relayed.firstTokenMedian),
        compare("first token, 95 in 100, direct and relayed", direct.firstTokenHigh, relayed.firstTokenHigh),
        compare("token on its way, median, direct and relayed", direct.transitMedian, relayed.transitMedian),
        compare("token on its way, 95 in 100, direct and relayed", direct.transitHigh, relayed.transitHigh),
        { what: "heap of the relay's thread at the end", unit: "MB", measure: "wallClock", ours: memoryMegabytes },
    ];
}

interface BenchWorker {
    readonly send: (order: WorkerOrder) => void;
    readonly receive: <Kind extends WorkerReport["kind"]>(kind: Kind) => Promise<ReportOf<Kind>>;
    readonly request: <Kind extends WorkerReport["kind"]>(order: WorkerOrder, kind: Kind) => Promise<ReportOf<Kind>>;
    readonly stop: () => Promise<unknown>;
}

type ReportOf<Kind extends WorkerReport["kind"]> = Extract<WorkerReport, { readonly kind: Kind; }>;

function startWorker(file: string): BenchWorker {
    const worker = new Worker(new URL(file, import.meta.url));
    const receive = <Kind extends WorkerReport["kind"]>(kind: Kind): Promise<ReportOf<Kind>> =>
        new Promise((resolve, reject) => {
            const listen = (report: WorkerReport): void => {
                if (report.kind === kind) {
                    worker.off("message", listen);
                    worker.off("error", reject);
                    resolve(report as ReportOf<Kind>);
                }
            };
            worker.on("message", listen);
            worker.once("error", reject);
        });
    return {
        send: order => worker.postMessage(order),
        receive,
        request: (order, kind) => {
            worker.postMessage(order);
            return receive(kind);
        },
        stop: () => worker.terminate(),
    };
}

function listEngine({ id, address }: EngineAddress): ListedBackendServer {
    return {
        kind: "engine",
        id,
        address,
        failureDomain: "a",
        region: "local",
        state: "live",
        baseModel: "base",
        pool: "quoting",
        adapterSlots: 1,
        batchLimit: 200,
        fencing: "checked",
    };
}

function createSettings(): ResolvedSettings {
    const hash = hashKey("relay-bench-key");
    return {
        appliedOffset: 0,
        accounts: new Map([["springs", { id: "springs", limits: { rate: 1e9, burst: 1e9 }, weight: 1 }]]),
        keys: new Map([[hash, { id: "k", hash, account: "springs" }]]),
        routes: new Map([["draft", {
            kind: "model",
            id: "draft",
            access: "keyed",
            accounts: undefined,
            openAccount: undefined,
            pool: "quoting",
            requestClass: "interactive",
            deadline: 60_000,
            retryBudget: 0.1,
            baseModel: "base",
            adapter: undefined,
            maximumOutputTokens: 400,
        }]]),
        adapters: new Map(),
        weightStore: { loadsPerSecond: 1, loadBurst: 1, loadsInFlight: 1 },
    };
}
