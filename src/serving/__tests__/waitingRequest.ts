/**
 * A request that waits for one thing in vain, in virtual time and without a network.
 */
import { createAdapterVersions } from "../../adapters/adapterVersions.js";
import { createEngineShards } from "../../adapters/engineShards.js";
import type { PlaceResponse } from "../../adapters/messages.js";
import { createPlaceClient, type PlaceClient } from "../../adapters/placeClient.js";
import { createShardHolders } from "../../adapters/shardHolders.js";
import { createRequestAges } from "../../routing/index.js";
import type { Clock } from "../../shared/index.js";
import { createHistory, type History, startDetached } from "../../testing/index.js";
import { createAnswerMemory } from "../answerMemory.js";
import { createAnswerTimes } from "../answerTimes.js";
import { createConfigurationState } from "../configurationState.js";
import { readClocks } from "../freshness.js";
import { createRegions } from "../homes.js";
import type { ClientResponse, RequestParts, RequestReport } from "../requestState.js";
import { createRetryBudget } from "../retryBudget.js";
import { runRequest } from "../runRequest.js";
import { createServerList, type ServerList } from "../serverList.js";
import { createServerRecords } from "../serverRecords.js";
import { createShutdown, type Shutdown } from "../shutdown.js";
import type { ClientRequest, HeaderCodec, ServingConfig, ServingRoute } from "../types.js";

/**
 * What a request waits for: what began its stream, its quota and the delay of it, its trial, a place whose holders are silent or
 * say that they work on it, a permit, and a server that is silent.
 */
export const requestWaits = [
    "origin",
    "quota",
    "delay",
    "trial",
    "silentHolder",
    "busyHolder",
    "permit",
    "response",
] as const;

/** One wait of a request. */
export type RequestWait = typeof requestWaits[number];

/** A request and what happens meanwhile; times are those since its beginning. */
export interface WaitingRequest {
    /** What it waits for; each one after the other, and the last of them in vain. */
    readonly waits: readonly RequestWait[];
    readonly timeout: number;
    /** @default never */
    readonly leavesAt?: number;
    /** Regions whose servers may receive it; all servers are in "eu". @default all */
    readonly allowedRegions?: readonly string[];
    /** Changes the list of servers at some time. @default nothing changes it */
    readonly update?: { readonly at: number; readonly run: (servers: ServerList) => void; };
    /** Time of the signal to stop. @default never */
    readonly stopsAt?: number;
}

/** How it ended. */
export interface WaitingResult extends Pick<RequestReport, "outcome" | "status" | "reason" | "by"> {
    readonly endedAt: number;
    /** Calls to what was waited for, by their number. */
    readonly calls: Readonly<Partial<Record<RequestWait, number>>>;
    /** Units of the quota that were taken and not given back. */
    readonly units: number;
}

/** Time after which a request has ended in any case, or never does. */
const longestMilliseconds = 60_000;
const grace = 3_000;
/** As those of the instance. */
const holderTimeoutMilliseconds = 350;
const firstResponseMilliseconds = 200;
const quotaDelayMilliseconds = 1_000;
const never = new Promise<never>(() => undefined);
const headers: HeaderCodec = {
    decodeRequest: () => {
        throw new Error("not used here");
    },
    encodeForwardedHeaders: () => [],
    decodeResponseHead: () => {
        throw new Error("not used here");
    },
    encodeRefusalHeaders: () => [],
};

/**
 * Runs the request to its end.
 *
 * @param waiting - the request and what happens meanwhile
 * @returns how it ended
 */
export async function runWaitingRequest(waiting: WaitingRequest): Promise<WaitingResult> {
    const history = createHistory({ seed: 1 });
    const { clock } = history;
    const calls: Partial<Record<RequestWait, number>> = {};
    const isLast = (wait: RequestWait): boolean => waiting.waits.at(-1) === wait;
    const countCall = (wait: RequestWait): void => void (calls[wait] = (calls[wait] ?? 0) + 1);
    let units = 0;
    const shutdown = createTestShutdown(history);
    const servers = createServers();
    const waitFor = <Value>(wait: RequestWait, value: Value): Promise<Value> => {
        countCall(wait);
        return isLast(wait) ? never : Promise.resolve(value);
    };
    const parts = {
        configuration: createConfiguration(waiting),
        limits: {
            take: async () => {
                await waitFor("quota", undefined);
                units++;
                const hasDelay = waiting.waits.includes("delay");
                return { kind: "admitted", delay: hasDelay ? quotaDelayMilliseconds : 0 } as const;
            },
            giveBack: () => units--,
        },
        retryBudget: createRetryBudget({ window: 10_000, ratio: 0.2, slack: 50 }),
        random: history.random,
        maximumConfigAge: 4_000,
        clock,
        failureDomain: "a",
        servers,
        regions: createRegions(new Map([["a", "eu"], ["b", "us"]])),
        records: createServerRecords(),
        connections: {
            send: () => {
                countCall("response");
                return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
            },
        },
        headers,
        adapters: await createPlaces(clock, wait => countCall(wait), isLast("busyHolder")),
        permits: { recordLimit: () => undefined, acquirePermit: () => waitFor("permit", true) },
        guard: {
            decide: () =>
                waiting.waits.includes("trial")
                    ? { kind: "due", scope: { kind: "part", part: "p", account: undefined } } as const
                    : { kind: "open" } as const,
            requestTrial: () => waitFor("trial", true),
        },
        origins: {
            markBegun: () => undefined,
            markComplete: () => undefined,
            find: () => waitFor("origin", { kind: "known", origin: { service: "s", version: "v1" } } as const),
        },
        onBroken: () => undefined,
        onResumed: () => undefined,
        answerMemory: createAnswerMemory(),
        answerTimes: createAnswerTimes(),
        requestAges: createRequestAges(),
        shutdown,
    } as unknown as RequestParts;
    const leaving = new AbortController();
    const result: { report?: RequestReport; endedAt?: number; } = {};
    const run = async (): Promise<void> => {
        result.report = await runRequest(parts, createRequest(waiting), undefined, createAnswer(), leaving.signal);
        result.endedAt = clock.now();
    };
    startDetached(run());
    const { update } = waiting;
    if (update) {
        history.schedule(update.at, () => update.run(servers));
    }
    if (waiting.leavesAt !== undefined) {
        history.schedule(waiting.leavesAt, () => leaving.abort());
    }
    if (waiting.stopsAt !== undefined) {
        history.schedule(waiting.stopsAt, () => shutdown.begin(0));
        history.schedule(waiting.stopsAt + grace, () => shutdown.end());
    }
    await history.runAsync(longestMilliseconds);
    if (!result.report) {
        throw new Error("the request hasn't ended");
    }
    const { outcome, status, reason, by } = result.report;
    return { outcome, status, reason, by, endedAt: result.endedAt!, calls, units };
}

function createTestShutdown({ clock }: History<unknown>): Shutdown {
    return createShutdown({
        clock,
        grace,
        exitReserve: 0,
        noticeTime: 0,
        answerTimes: { estimate: () => undefined },
        readNow: () => ({ monotonic: clock.now(), timeOfDay: clock.now() }),
    });
}

function createConfiguration({ waits, timeout, allowedRegions }: WaitingRequest): RequestParts["configuration"] {
    const configuration = createConfigurationState();
    const route: ServingRoute = {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "stream",
        targets: [{ service: "s", weight: 1 }],
        timeout,
        targetLatency: 60_000,
        targetEventGap: undefined,
        attemptLimit: 2,
        priority: 0,
        isPublic: false,
        canResume: true,
        ...allowedRegions && { allowedRegions },
    };
    const quota = { unit: "requests", ratePerSecond: 1, burst: 1, defaultTokens: 1 } as const;
    const hasEngines = waits.includes("silentHolder") || waits.includes("busyHolder");
    const config = {
        version: 1,
        routes: [route],
        services: new Map([["s", { name: "s", connectionLimit: 1, engine: hasEngines ? {} : undefined }]]),
        accounts: [{ name: "acme", keys: ["k"], priority: undefined, quota }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    };
    configuration.apply(config as unknown as ServingConfig);
    configuration.markConfirmed(readClocks());
    return configuration;
}

function createServers(): RequestParts["servers"] {
    const servers = createServerList();
    for (let index = 0; index < 12; index++) {
        servers.put({
            id: `i-${index}`,
            startedAt: 1,
            service: "s",
            address: "10.0.0.1:1",
            failureDomain: "a",
            isDraining: false,
            softwareVersion: "v1",
            slots: 4,
            models: [],
        });
    }
    return servers;
}

// each shard has a holder of its own, none of which decides
async function createPlaces(
    clock: Clock,
    countCall: (wait: RequestWait) => void,
    isBusy: boolean,
): Promise<PlaceClient> {
    const list = [0, 1, 2, 3].map(shard => [shard, `h-${shard}`] as const);
    const holders = createShardHolders({
        self: "self",
        clock,
        random: createHistory({ seed: 1 }).random,
        askInstance: () => Promise.resolve(list),
        readStore: () => Promise.resolve(list),
        onMoved: () => undefined,
    });
    await holders.reload();
    const requestPlace = async (holder: string): Promise<PlaceResponse | undefined> => {
        countCall(isBusy ? "busyHolder" : "silentHolder");
        await clock.sleep(isBusy ? firstResponseMilliseconds : holderTimeoutMilliseconds);
        if (isBusy) {
            return { kind: "waiting" };
        }
        holders.markSilent(holder, "timeout");
        return undefined;
    };
    return createPlaceClient({
        runId: "self@1",
        clock,
        shards: createEngineShards(list.length),
        holders,
        versions: createAdapterVersions(() => 5_000),
        isLimited: () => false,
        isLeaving: () => false,
        reportLeaving: () => undefined,
        ask: requestPlace,
        begin: () => undefined,
        end: () => undefined,
    });
}

function createRequest({ waits }: WaitingRequest): ClientRequest {
    return {
        attemptId: "1",
        method: "POST",
        target: "/x",
        host: "h",
        key: "k",
        deadline: undefined,
        choice: { model: "base", adapter: "a1" },
        tokens: undefined,
        prompt: undefined,
        lastEventId: undefined,
        resumed: waits.includes("origin") ? { firstAttemptId: "0" } : undefined,
        passedHeaders: [],
    };
}

function createAnswer(): ClientResponse {
    return {
        writeHead: () => undefined,
        write: () => true,
        end: () => undefined,
        destroy: () => undefined,
        onDrain: () => undefined,
    };
}
