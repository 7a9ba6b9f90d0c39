/**
 * The planner of a pool decides which adapter is loaded next, on which engine, and which load is evicted for it. A
 * wrong decision costs only an unnecessary load: the engines' owners make sure that no load is evicted while it is in
 * use.
 *
 * @packageDocumentation
 */
import type { ListedEngine } from "../backends/index.js";
import {
    type AdapterId,
    type BackendServerId,
    type InstanceId,
    type Milliseconds,
    rankByRendezvous,
} from "../shared/index.js";
import { formatAdapterVersionKey, parseAdapterVersionKey, parseLoadName } from "./adapterSlots.js";
import type { EngineTables } from "./engineTables.js";
import { createLoadFailures, type LoadBackoff } from "./loadFailures.js";
import { type LoadCandidate, rankLoadCandidates } from "./loadPriority.js";
import type { AdapterVersionKey, EngineTable, LoadName, WaitingDemand } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";
import { createPopularity, type Popularity } from "./popularity.js";
import { computeReplicaTarget } from "./replicaTarget.js";
import type { MessageOf } from "./useLeases.js";

/** A message that the planner sends. */
export type PoolPlannerEffect = MessageOf<"loadWanted"> | MessageOf<"loadGivenUp">;

/** What the planner of a pool depends on. */
export interface PoolPlannerContext {
    readonly times: PlacementTimes;
    readonly tables: EngineTables;
    /** Engines of the pool that accept new requests. */
    readonly listEngines: () => readonly ListedEngine[];
    /** Current version of an adapter; `undefined` for an adapter that isn't configured. */
    readonly findVersion: (adapter: AdapterId) => string | undefined;
    readonly readLoadsPerSecond: () => number;
}

/** The planner of one pool. */
export interface PoolPlanner {
    readonly handleDemand: (from: InstanceId, message: MessageOf<"demand">, now: Milliseconds) => void;
    readonly handleTable: (table: EngineTable, now: Milliseconds) => void;
    readonly plan: (now: Milliseconds) => readonly PoolPlannerEffect[];
    readonly popularity: Popularity;
}

interface InstanceDemand {
    readonly sequence: number;
    readonly waiting: readonly WaitingDemand[];
    readonly at: Milliseconds;
}

/** A load that was requested from an owner and is not yet in the owner's table. */
interface Assignment {
    readonly engine: BackendServerId;
    readonly at: Milliseconds;
}

interface EngineState {
    readonly engine: ListedEngine;
    readonly table: EngineTable;
    /** Loads without running requests, with the expected requests per second of each, the lowest first. */
    readonly victims: readonly { readonly name: LoadName; readonly requestRate: number; }[];
    readonly freeSlots: number;
    /** Expected requests per second for all resident loads. */
    readonly expected: number;
}

const shortPopularityWindowMilliseconds = 60_000;
/** Prior odds that an adapter that was requested is no longer in use. */
const inactiveOdds = 0.03;
const longPopularityWindowMilliseconds = 600_000;
/** Weight of an overnight request in the popularity of an adapter, relative to an interactive one. */
const overnightPopularityWeight = 0.05;
const victimsPerRequest = 3;
/** Loads in progress are limited to what the weight store delivers in this time, plus one. */
const loadAheadSeconds = 0.6;
/** Expected rate of an engine, relative to the mean of the pool, above which other engines are preferred. */
const maximumRelativeLoad = 1.25;
/** Fraction of the batch limit in flight from which an engine gets no new adapter while other engines have room. */
const fullBatchFraction = 0.85;
const maximumPendingPerEngine = 2;
const interactivePriority = 0;
const overnightPriority = 10;
const prefetchPriority = 20;
/** Share of the weight store's load rate for overnight loads while interactive requests are causing loads. */
const busyOvernightShare = 0.02;
/** Share of the weight store's load rate for overnight loads at other times. */
const idleOvernightShare = 0.5;
/** Time after a load for interactive requests in which `busyOvernightShare` applies. */
const busyPeriodMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;
/** A prefetched adapter must have this many times the expected rate of the load that it replaces. */
const minimumPrefetchGain = 2;
const pruneIntervalMilliseconds = 60_000;
const backoffNoticeIntervalMilliseconds = 500;

/**
 * Creates a planner that knows of no demand.
 *
 * @param context - what the planner depends on
 * @returns the planner, owned by the caller
 */
export function createPoolPlanner(context: PoolPlannerContext): PoolPlanner {
    const { times, tables } = context;
    const popularity = createPopularity({
        longWindow: longPopularityWindowMilliseconds,
        shortWindow: shortPopularityWindowMilliseconds,
        inactiveOdds,
    });
    const failures = createLoadFailures();
    const demands = new Map<InstanceId, InstanceDemand>();
    const assigned = new Map<AdapterVersionKey, Assignment>();
    const lastFailures = new Map<BackendServerId, { readonly fencingNumber: number; readonly number: number; }>();
    const backoffNoticeSentAt = new Map<AdapterVersionKey, Milliseconds>();
    let lastInteractiveAt = Number.NEGATIVE_INFINITY;
    let lastOvernightAt = Number.NEGATIVE_INFINITY;
    let lastPrefetchAt = Number.NEGATIVE_INFINITY;
    let prunedAt: Milliseconds = 0;

    const sumDemand = (now: Milliseconds): Map<AdapterVersionKey, LoadCandidate> => {
        const sums = new Map<AdapterVersionKey, LoadCandidate>();
        for (const [instance, demand] of demands) {
            if (now - demand.at > times.demandTimeout) {
                demands.delete(instance);
                continue;
            }
            for (const entry of demand.waiting) {
                const sum = sums.get(entry.key) ??
                    { key: entry.key, interactive: 0, overnight: 0, queued: 0, oldestWait: 0 };
                sums.set(entry.key, {
                    key: entry.key,
                    interactive: sum.interactive + entry.interactive,
                    overnight: sum.overnight + entry.overnight,
                    queued: sum.queued + entry.queued,
                    oldestWait: Math.max(sum.oldestWait, entry.oldestWait + now - demand.at),
                });
            }
        }
        return sums;
    };
    const estimateLoadRate = (name: LoadName, now: Milliseconds): number => {
        const reference = parseLoadName(name);
        if (context.findVersion(reference.adapter) !== reference.version) {
            return 0;
        }
        const replicas = tables.listLocations(parseAdapterVersionKey(name)).length;
        return popularity.estimateRate(reference.adapter, now) / Math.max(1, replicas);
    };
    const buildEngineState = (engine: ListedEngine, now: Milliseconds): EngineState | undefined => {
        const table = tables.find(engine.id);
        if (!table) {
            return undefined;
        }
        const running = new Set(table.running.map(entry => entry.name));
        const loadRates = table.resident.map(name => ({ name, requestRate: estimateLoadRate(name, now) }));
        const victims = loadRates.filter(entry => !running.has(entry.name)).sort((left, right) =>
            left.requestRate - right.requestRate
        );
        const taken = table.resident.length + table.retiring.length + table.loading.length;
        const expected = loadRates.reduce((sum, entry) => sum + entry.requestRate, 0);
        return { engine, table, victims, freeSlots: engine.adapterSlots - taken, expected };
    };
    const listLoading = (
        engines: readonly ListedEngine[],
        now: Milliseconds,
    ): Map<AdapterVersionKey, BackendServerId[]> => {
        const loading = new Map<AdapterVersionKey, BackendServerId[]>();
        const addLoading = (key: AdapterVersionKey, engine: BackendServerId): void => {
            loading.set(key, [...new Set([...loading.get(key) ?? [], engine])]);
        };
        engines.forEach(({ id }) => tables.find(id)?.loading.forEach(key => addLoading(key, id)));
        for (const [key, assignment] of assigned) {
            if (now - assignment.at > times.retryInterval * 2) {
                assigned.delete(key);
            }
            else {
                addLoading(key, assignment.engine);
            }
        }
        return loading;
    };
    const countPending = (
        loading: ReadonlyMap<AdapterVersionKey, readonly BackendServerId[]>,
        engine: string,
    ): number => [...loading.values()].filter(engines => engines.includes(engine)).length;

    const chooseLoadEngine = (
        key: AdapterVersionKey,
        states: readonly EngineState[],
        loading: ReadonlyMap<AdapterVersionKey, readonly BackendServerId[]>,
    ): EngineState | undefined => {
        const avoided = new Set([
            ...tables.listLocations(key).map(location => location.engine),
            ...loading.get(key) ?? [],
        ]);
        const possible = states.filter(state =>
            !avoided.has(state.engine.id) && (state.freeSlots > 0 || state.victims.length > 0)
            && countPending(loading, state.engine.id) < maximumPendingPerEngine
        );
        // each preference applies only if some engine meets it
        const failed = failures.listFailedEngines(key);
        const untried = possible.filter(state => !failed.includes(state.engine.id));
        const mean = states.reduce((sum, state) => sum + state.expected, 0) / Math.max(1, states.length);
        const preferred = untried.length > 0 ? untried : possible;
        const withBatchRoom = preferred.filter(state =>
            state.table.inFlight < fullBatchFraction * state.engine.batchLimit
        );
        const eligible = withBatchRoom.length > 0 ? withBatchRoom : preferred;
        const withinLoadLimit = eligible.filter(state => state.expected <= maximumRelativeLoad * mean);
        const choices = withinLoadLimit.length > 0 ? withinLoadLimit : eligible;
        const computeEvictionCost = (state: EngineState): number =>
            state.freeSlots > 0 ? -1 : state.victims[0]!.requestRate;
        const leastCost = Math.min(...choices.map(computeEvictionCost));
        const cheapest = choices.filter(state => computeEvictionCost(state) <= leastCost);
        const highestInFlight = Math.max(...cheapest.map(state => state.table.inFlight));
        const names = cheapest.filter(state => state.table.inFlight === highestInFlight).map(state => state.engine.id);
        const best = rankByRendezvous(key, names, 1)[0];
        return cheapest.find(state => state.engine.id === best);
    };
    const createLoadRequest = (
        key: AdapterVersionKey,
        state: EngineState,
        priority: number,
    ): MessageOf<"loadWanted"> => ({
        kind: "loadWanted",
        engine: state.engine.id,
        key,
        priority,
        victims: state.victims.slice(0, victimsPerRequest).map(victim => victim.name),
    });
    const isLoadWanted = (candidate: LoadCandidate, engines: readonly ListedEngine[], loading: number): boolean => {
        const replicas = tables.listLocations(candidate.key).length;
        const target = computeReplicaTarget({
            replicas,
            waiting: replicas === 0 ? candidate.interactive + candidate.overnight : candidate.queued,
            batchLimit: engines[0]?.batchLimit ?? 1,
            engines: engines.length,
        });
        return loading === 0 && target > replicas;
    };
    const choosePrefetch = (
        loading: ReadonlyMap<AdapterVersionKey, unknown>,
        floor: number,
        now: Milliseconds,
    ): AdapterVersionKey | undefined => {
        let best: AdapterVersionKey | undefined;
        let bestRate = floor;
        for (const adapter of popularity.list()) {
            const rate = popularity.estimateRate(adapter, now);
            const version = rate > bestRate ? context.findVersion(adapter) : undefined;
            if (version === undefined) {
                continue;
            }
            const key = formatAdapterVersionKey({ adapter, version });
            if (tables.listLocations(key).length === 0 && !loading.has(key) && !failures.findBackoff(key, now)) {
                best = key;
                bestRate = rate;
            }
        }
        return best;
    };
    const createBackoffNotice = (
        key: AdapterVersionKey,
        backoff: LoadBackoff,
        now: Milliseconds,
    ): readonly PoolPlannerEffect[] => {
        if (now - (backoffNoticeSentAt.get(key) ?? Number.NEGATIVE_INFINITY) < backoffNoticeIntervalMilliseconds) {
            return [];
        }
        backoffNoticeSentAt.set(key, now);
        return [{ kind: "loadGivenUp", key, ...backoff }];
    };
    const pruneAll = (now: Milliseconds): void => {
        if (now - prunedAt >= pruneIntervalMilliseconds) {
            prunedAt = now;
            popularity.prune(now);
            failures.prune(now);
            backoffNoticeSentAt.clear();
        }
    };

    const listLoadCandidates = (
        engines: readonly ListedEngine[],
        loading: ReadonlyMap<AdapterVersionKey, readonly BackendServerId[]>,
        effects: PoolPlannerEffect[],
        now: Milliseconds,
    ): readonly LoadCandidate[] => {
        const wanted: LoadCandidate[] = [];
        for (const candidate of sumDemand(now).values()) {
            const backoff = failures.findBackoff(candidate.key, now);
            if (backoff && tables.listLocations(candidate.key).length === 0) {
                effects.push(...createBackoffNotice(candidate.key, backoff, now));
            }
            else if (isLoadWanted(candidate, engines, loading.get(candidate.key)?.length ?? 0)) {
                wanted.push(candidate);
            }
        }
        return rankLoadCandidates(wanted);
    };
    const computeOvernightInterval = (now: Milliseconds): Milliseconds => {
        const isBusy = now - lastInteractiveAt < busyPeriodMilliseconds;
        const share = isBusy ? busyOvernightShare : idleOvernightShare;
        return millisecondsPerSecond / (context.readLoadsPerSecond() * share);
    };
    const scheduleLoads = (now: Milliseconds): readonly PoolPlannerEffect[] => {
        pruneAll(now);
        const engines = context.listEngines();
        const loading = listLoading(engines, now);
        const effects: PoolPlannerEffect[] = [];
        const wanted = listLoadCandidates(engines, loading, effects, now);
        const limit = Math.ceil(context.readLoadsPerSecond() * loadAheadSeconds) + 1;
        let states: EngineState[] | undefined;
        const readStates = (): EngineState[] =>
            states ??= engines.flatMap(engine => buildEngineState(engine, now) ?? []);
        const scheduleLoad = (key: AdapterVersionKey, priority: number): boolean => {
            const state = chooseLoadEngine(key, readStates(), loading);
            if (state) {
                effects.push(createLoadRequest(key, state, priority));
                assigned.set(key, { engine: state.engine.id, at: now });
                loading.set(key, [...loading.get(key) ?? [], state.engine.id]);
            }
            return state !== undefined;
        };
        for (const candidate of wanted) {
            const isOvernight = candidate.interactive === 0;
            if (loading.size >= limit || (isOvernight && now - lastOvernightAt < computeOvernightInterval(now))) {
                break;
            }
            if (isOvernight) {
                lastOvernightAt = scheduleLoad(candidate.key, overnightPriority) ? now : lastOvernightAt;
            }
            else {
                lastInteractiveAt = scheduleLoad(candidate.key, interactivePriority) ? now : lastInteractiveAt;
            }
        }
        const mayPrefetch = wanted.length === 0 && loading.size === 0 && now - lastPrefetchAt >= times.renewInterval;
        if (mayPrefetch) {
            lastPrefetchAt = now;
            const key = choosePrefetch(loading, computePrefetchFloor(readStates()), now);
            if (key !== undefined) {
                scheduleLoad(key, prefetchPriority);
            }
        }
        return effects;
    };
    const computePrefetchFloor = (states: readonly EngineState[]): number => {
        const costs = states.map(state =>
            state.freeSlots > 0 ? 0 : state.victims[0]?.requestRate ?? Number.POSITIVE_INFINITY
        );
        return Math.min(Number.POSITIVE_INFINITY, ...costs) * minimumPrefetchGain;
    };
    return {
        popularity,
        handleDemand: (from, message, now) => {
            if (message.sequence <= (demands.get(from)?.sequence ?? -1)) {
                return;
            }
            demands.set(from, { sequence: message.sequence, waiting: message.waiting, at: now });
            for (const { adapter, interactive, overnight } of message.arrivals) {
                popularity.add(adapter, interactive + overnight * overnightPopularityWeight, now);
            }
        },
        handleTable: (table, now) => {
            const seen = lastFailures.get(table.engine);
            const lastNumber = seen?.fencingNumber === table.fencingNumber ? seen.number : 0;
            for (const failure of table.failed.filter(entry => entry.number > lastNumber)) {
                failures.add(failure.key, table.engine, failure.detail, now);
                assigned.delete(failure.key);
            }
            const number = Math.max(lastNumber, ...table.failed.map(entry => entry.number));
            lastFailures.set(table.engine, { fencingNumber: table.fencingNumber, number });
            table.loading.forEach(key => assigned.get(key)?.engine === table.engine && assigned.delete(key));
            for (const key of failures.size() + assigned.size > 0 ? table.resident.map(parseAdapterVersionKey) : []) {
                failures.remove(key);
                assigned.delete(key);
            }
        },
        plan: scheduleLoads,
    };
}
