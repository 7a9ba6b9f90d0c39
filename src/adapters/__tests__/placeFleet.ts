/**
 * Instances that hold shards of engines and take requests of clients, in virtual time. Engines run a request in half to
 * one and a half times a mean; those beyond their slots share the engine's pace.
 */
import type { PeerNetwork } from "../../peers/index.js";
import { type BackendServer, formatServerRunId } from "../../serving/types.js";
import { type Clock, createSeededRandom, type SeededRandom, wrapError, wrapValue } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { type AdapterCoordinator, createAdapterCoordinator } from "../adapterCoordinator.js";
import { type AdapterMessage, adapterMessageSchema } from "../messages.js";
import type { RoomDecision } from "../roomPool.js";
import type { ShardHolder } from "../shardHolders.js";
import type { ShardTask } from "../shardTask.js";
import { createRunningClock } from "./runningClock.js";
import { createTestServer, testLimits } from "./testEngine.js";

/** Requests of one kind and account that arrive at even intervals on average. */
export interface TestLoad {
    readonly route: string;
    readonly account: string;
    readonly priority: number;
    /** Latency objective, and time until the client gives up. */
    readonly objective: number;
    readonly deadline: number;
    readonly perSecond: number;
    readonly from: number;
    readonly to: number;
}

/** Results of the requests of one kind and account. */
export interface LoadResult {
    asked: number;
    onTime: number;
    late: number;
    /** Refused with a time, and those of them that came back at it. */
    refused: number;
    returned: number;
    /** Without a place in the time for which they wait. */
    unplaced: number;
}

/** Size of the fleet, and what happens to it. */
export interface PlaceFleetOptions {
    readonly engines: number;
    readonly loads: readonly TestLoad[];
    readonly lasts: number;
    /** @default 7 */
    readonly seed?: number;
    /** Adapters that are resident on no engine at the start. @default 4, which are resident on all */
    readonly coldAdapters?: number;
    /** Whether requests name their route; instances of the previous build don't. @default true */
    readonly isRouteNamed?: boolean;
    /** Time at which the holder of shard 1 ends. @default never */
    readonly killAt?: number;
    /** Whether the store answers after the start. @default true */
    readonly isStoreUp?: boolean;
    /** Changes messages on their way to a holder, as an older build reads them. @default they are kept */
    readonly translate?: (message: AdapterMessage) => AdapterMessage;
}

/** What became of the requests. */
export interface PlaceFleetResult {
    readonly find: (route: string, account?: string) => LoadResult;
    readonly decisions: readonly RoomDecision[];
    /** Times at which refused clients were asked to return. */
    readonly returnTimes: readonly number[];
    /** Longest time until a request had its place or refusal. */
    readonly longestWait: number;
}

/** Mean time for which an engine runs a request, and the part of it before the first event. */
const runMilliseconds = 800;
const firstEventRatio = 0.1;
const residentAdapterCount = 4;
const shardMoveMilliseconds = 1_500;
const names = ["a", "b", "c"] as const;
const honouredRatio = 1 / 3;

interface Fleet {
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly servers: readonly BackendServer[];
    readonly options: PlaceFleetOptions;
    readonly ended: Set<string>;
    readonly coordinators: Map<string, AdapterCoordinator>;
    readonly decisions: RoomDecision[];
    holders: readonly ShardHolder[];
}

function createNetwork(fleet: Fleet, self: string): PeerNetwork {
    const { clock, ended, coordinators, options } = fleet;
    const deliver = async (to: string, message: unknown): Promise<unknown> => {
        await clock.sleep(2);
        const read = adapterMessageSchema.parse(JSON.parse(JSON.stringify(message)));
        return ended.has(to) ? undefined : coordinators.get(to)!.handleMessage(self, options.translate?.(read) ?? read);
    };
    return {
        self,
        send: (to, topic, message) => startDetached(deliver(to, message)),
        request: async (to, topic, message, timeout) => {
            const cancel = new AbortController();
            const answer = await Promise.race([
                deliver(to, message),
                clock.sleep(timeout, cancel.signal).then(() => undefined),
            ]);
            cancel.abort();
            return answer === undefined || ended.has(to)
                ? wrapError({ kind: "timeout" })
                : wrapValue(JSON.parse(JSON.stringify(answer)) as never);
        },
        handle: () => undefined,
    };
}

function createInstance(fleet: Fleet, self: string): AdapterCoordinator {
    const { clock, servers, options } = fleet;
    const loaded = new Set<string>();
    const coordinator = createAdapterCoordinator({
        self,
        runId: `${self}@1`,
        failureDomain: "a",
        shardCount: 2,
        control: {
            order: async (server, order) => {
                const key = `${server.id} ${order.adapter}`;
                const isDone = loaded.has(key);
                loaded.add(key);
                await clock.sleep(isDone ? 1 : 250);
                return { kind: isDone ? "done" : "accepted" };
            },
            report: server => {
                const load = { running: 0, queued: 0, usedTokens: 0, totalTokens: testLimits.kvCacheTokens };
                const report = { startedAt: 1, sequence: 0, models: server.models, pending: [] };
                // engines that have just started; what a later holder reads is the load that it takes over
                return Promise.resolve(wrapValue(clock.now() > 0 ? report : { ...report, load }));
            },
        },
        clock,
        random: createSeededRandom(1),
        network: createNetwork(fleet, self),
        readHolders: () => Promise.resolve(options.isStoreUp === false && clock.now() > 0 ? undefined : fleet.holders),
        listEngines: () => servers,
        listUsable: () => servers,
        mayReceive: () => true,
        isServing: () => true,
        isLeaving: () => false,
        onLeaving: () => undefined,
        findLimits: () => ({ ...testLimits, adapterSlots: residentAdapterCount }),
        onRoomDecision: decision => fleet.decisions.push(decision),
        versionGracePeriod: 5_000,
    });
    const findHeld = (shard: number): unknown =>
        fleet.holders.some(entry => entry[0] === shard && entry[1] === self)
            ? { fencingNumber: 1, activeAt: 0 }
            : undefined;
    const listHeld = (): readonly number[] => [0, 1].filter(findHeld);
    coordinator.setShardTask(
        {
            find: findHeld,
            list: listHeld,
            isConfirmed: () => true,
            readEraJoinedAt: () => Number.NEGATIVE_INFINITY,
        } as unknown as ShardTask,
    );
    return coordinator;
}

/**
 * Runs the loads.
 *
 * @param options - size, loads and faults
 * @returns what became of the requests
 */
export async function runPlaceFleet(options: PlaceFleetOptions): Promise<PlaceFleetResult> {
    const clock = createRunningClock();
    const random = createSeededRandom(options.seed ?? 7);
    // all adapters are resident everywhere, so that nothing but room decides
    const isCold = options.coldAdapters !== undefined;
    const adapterCount = options.coldAdapters ?? residentAdapterCount;
    const adapters = Array.from(
        { length: isCold ? 0 : adapterCount },
        (unused, index) => ({ name: `x${index}`, version: 1 }),
    );
    const servers = Array.from({ length: options.engines }, (unused, index) => ({
        ...createTestServer(`i-${index}`),
        models: [{ name: "base", version: 1, adapters }],
    }));
    const fleet: Fleet = {
        clock,
        random,
        servers,
        options,
        ended: new Set(),
        coordinators: new Map(),
        decisions: [],
        holders: [[0, "a"], [1, "b"]],
    };
    for (const name of names) {
        const coordinator = createInstance(fleet, name);
        fleet.coordinators.set(name, coordinator);
        coordinator.handleServers(servers, []);
        await coordinator.holders.reload();
    }
    const results = new Map<string, LoadResult>();
    const returnTimes: number[] = [];
    const running = new Map<string, number>();
    let longestWait = 0;
    let attempts = 0;
    const sendAttempt = async (load: TestLoad, result: LoadResult, firstAt: number): Promise<void> => {
        const startedAt = clock.now();
        const objectiveAt = firstAt + load.objective;
        const deadlineAt = firstAt + load.deadline;
        attempts++;
        // the instance that ends takes no clients, so that only its places are lost
        const instance = fleet.coordinators.get(names[attempts % 2 === 0 ? 0 : 2])!;
        let refusal: number | undefined;
        const engine = await instance.acquire({
            service: "llm",
            choice: { model: "base", adapter: `x${Math.floor(random.next() * adapterCount)}` },
            softwareVersion: undefined,
            listServers: () => servers,
            excluded: new Set(),
            allowed: undefined,
            until: Math.min(deadlineAt, startedAt + Math.max(1_500, load.objective * 3)),
            deadlineAt,
            priority: load.priority,
            usefulUntil: objectiveAt - load.objective * 0.15,
            objectiveAt,
            ...options.isRouteNamed === false ? {} : { route: load.route, account: load.account },
            onRefused: wait => {
                refusal = wait;
            },
            signal: new AbortController().signal,
        });
        longestWait = Math.max(longestWait, clock.now() - startedAt);
        if (engine) {
            const run = formatServerRunId(engine.server);
            running.set(run, (running.get(run) ?? 0) + 1);
            const runs = runMilliseconds * (0.5 + random.next());
            const slowdown = Math.max(1, running.get(run)! / engine.server.slots);
            const firstEventAt = clock.now() + runs * (firstEventRatio + slowdown - 1);
            await clock.sleep(runs * slowdown);
            running.set(run, running.get(run)! - 1);
            engine.release("answered");
            result[firstEventAt <= objectiveAt ? "onTime" : "late"]++;
            return;
        }
        if (refusal === undefined) {
            result.unplaced++;
            return;
        }
        result.refused++;
        returnTimes.push(Math.round((clock.now() + refusal) * 100) / 100);
        if (refusal <= (deadlineAt - clock.now()) * honouredRatio && firstAt === startedAt) {
            await clock.sleep(refusal);
            result.returned++;
            await sendAttempt(load, result, firstAt);
        }
    };
    const sendLoad = async (load: TestLoad): Promise<void> => {
        const key = `${load.route} ${load.account}`;
        const result = results.get(key) ??
            { asked: 0, onTime: 0, late: 0, refused: 0, returned: 0, unplaced: 0 };
        results.set(key, result);
        await clock.sleep(load.from);
        while (clock.now() < load.to) {
            result.asked++;
            startDetached(sendAttempt(load, result, clock.now()));
            await clock.sleep(2_000 / load.perSecond * random.next());
        }
    };
    const moveShard = async (): Promise<void> => {
        await clock.sleep(options.killAt!);
        fleet.ended.add("b");
        await clock.sleep(shardMoveMilliseconds);
        fleet.holders = [[0, "a"], [1, "c"]];
        fleet.coordinators.get("c")!.handleShardGained(1);
        fleet.coordinators.forEach(coordinator => coordinator.handleMembershipChange());
    };
    options.loads.forEach(load => startDetached(sendLoad(load)));
    if (options.killAt !== undefined) {
        startDetached(moveShard());
    }
    while (clock.now() < options.lasts) {
        fleet.coordinators.forEach((coordinator, name) => !fleet.ended.has(name) && coordinator.tick());
        await clock.sleep(50);
    }
    return {
        find: (route, account) => {
            const keys = [...results.keys()].filter(key =>
                account === undefined ? key.startsWith(`${route} `) : key === `${route} ${account}`
            );
            return keys.map(key => results.get(key)!).reduce((sum, result) => ({
                asked: sum.asked + result.asked,
                onTime: sum.onTime + result.onTime,
                late: sum.late + result.late,
                refused: sum.refused + result.refused,
                returned: sum.returned + result.returned,
                unplaced: sum.unplaced + result.unplaced,
            }));
        },
        decisions: fleet.decisions,
        returnTimes,
        longestWait,
    };
}
