/**
 * Decisions of a pool's planner: which adapter is loaded next, on which engine, and what makes room for it. A wrong
 * decision costs a load, never a promise: the engines' owners guard those.
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
import type { EngineTables } from "./engineTables.js";
import { createLoadFailures, type GivenUpLoad } from "./loadFailures.js";
import { type LoadCandidate, rankLoads } from "./loadQueue.js";
import type { AdapterKey, EngineTable, LoadName, WaitingDemand } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";
import { createPopularity, type Popularity } from "./popularity.js";
import { computeReplicaTarget } from "./replicaTarget.js";
import { formatAdapterKey, parseLoadName, readLoadKey } from "./slotTable.js";
import type { MessageOf } from "./useLeases.js";

/** What the planner asks for. */
export type PlannerEffect = MessageOf<"loadWanted"> | MessageOf<"loadGivenUp">;

/** What the planner needs to know. */
export interface PlannerContext {
    readonly times: PlacementTimes;
    readonly tables: EngineTables;
    /** Engines of the pool that take new work. */
    readonly listEngines: () => readonly ListedEngine[];
    /** Version of an adapter in force. */
    readonly findVersion: (adapter: AdapterId) => string | undefined;
    readonly readLoadsPerSecond: () => number;
}

/** The planner of one pool. */
export interface Planner {
    readonly handleDemand: (from: InstanceId, message: MessageOf<"demand">, now: Milliseconds) => void;
    readonly handleTable: (table: EngineTable, now: Milliseconds) => void;
    readonly plan: (now: Milliseconds) => readonly PlannerEffect[];
    readonly popularity: Popularity;
}

interface InstanceDemand {
    readonly sequence: number;
    readonly waiting: readonly WaitingDemand[];
    readonly at: Milliseconds;
}

interface Assignment {
    readonly engine: BackendServerId;
    readonly at: Milliseconds;
}

interface EngineState {
    readonly engine: ListedEngine;
    readonly table: EngineTable;
    /** Loads that could make room, with what they are worth, the least first. */
    readonly victims: readonly { readonly name: LoadName; readonly worth: number; }[];
    readonly freeSlots: number;
    /** Expected requests a second for what is resident. */
    readonly expected: number;
}

const shortWindowMilliseconds = 60_000;
const idleOdds = 0.03;
const longWindowMilliseconds = 600_000;
const overnightWeight = 0.05;
const victimsNamed = 3;
const loadedAhead = 0.6;
const boundedLoad = 1.25;
/** Part of a batch beyond which an engine gets no further adapters while others have room. */
const fullPart = 0.85;
const pendingPerEngine = 2;
const interactivePriority = 0;
const overnightPriority = 10;
const prefetchPriority = 20;
/** Part of the store's rate that overnight loads may take while interactive ones are loaded, and otherwise. */
const overnightFloor = 0.02;
const overnightShare = 0.5;
const busyAfterMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;
const prefetchGain = 2;
const pruneIntervalMilliseconds = 60_000;
const givenUpRepeatMilliseconds = 500;

/**
 * Creates a planner.
 *
 * @param context - what it needs to know
 * @returns a planner that knows of no demand
 */
export function createPlanner(context: PlannerContext): Planner {
    const { times, tables } = context;
    const popularity = createPopularity({
        longWindow: longWindowMilliseconds,
        shortWindow: shortWindowMilliseconds,
        idleOdds,
    });
    const failures = createLoadFailures();
    const demands = new Map<InstanceId, InstanceDemand>();
    const assigned = new Map<AdapterKey, Assignment>();
    const failuresSeen = new Map<BackendServerId, { readonly fencingNumber: number; readonly number: number; }>();
    const givenUpSentAt = new Map<AdapterKey, Milliseconds>();
    let lastInteractiveAt = Number.NEGATIVE_INFINITY;
    let lastOvernightAt = Number.NEGATIVE_INFINITY;
    let lastPrefetchAt = Number.NEGATIVE_INFINITY;
    let prunedAt: Milliseconds = 0;

    const sumDemand = (now: Milliseconds): Map<AdapterKey, LoadCandidate> => {
        const sums = new Map<AdapterKey, LoadCandidate>();
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
    const readWorth = (name: LoadName, now: Milliseconds): number => {
        const reference = parseLoadName(name);
        if (context.findVersion(reference.adapter) !== reference.version) {
            return 0;
        }
        const replicas = tables.locate(readLoadKey(name)).length;
        return popularity.read(reference.adapter, now) / Math.max(1, replicas);
    };
    const describeEngine = (engine: ListedEngine, now: Milliseconds): EngineState | undefined => {
        const table = tables.find(engine.id);
        if (!table) {
            return undefined;
        }
        const running = new Set(table.running.map(entry => entry.name));
        const worths = table.resident.map(name => ({ name, worth: readWorth(name, now) }));
        const victims = worths.filter(entry => !running.has(entry.name)).sort((left, right) =>
            left.worth - right.worth
        );
        const taken = table.resident.length + table.retiring.length + table.loading.length;
        const expected = worths.reduce((sum, entry) => sum + entry.worth, 0);
        return { engine, table, victims, freeSlots: engine.adapterSlots - taken, expected };
    };
    const listLoading = (
        engines: readonly ListedEngine[],
        now: Milliseconds,
    ): Map<AdapterKey, BackendServerId[]> => {
        const loading = new Map<AdapterKey, BackendServerId[]>();
        const addLoading = (key: AdapterKey, engine: BackendServerId): void => {
            loading.set(key, [...new Set([...loading.get(key) ?? [], engine])]);
        };
        engines.forEach(({ id }) => tables.find(id)?.loading.forEach(key => addLoading(key, id)));
        for (const [key, assignment] of assigned) {
            if (now - assignment.at > times.repeatInterval * 2) {
                assigned.delete(key);
            }
            else {
                addLoading(key, assignment.engine);
            }
        }
        return loading;
    };
    const countPending = (loading: ReadonlyMap<AdapterKey, readonly BackendServerId[]>, engine: string): number =>
        [...loading.values()].filter(engines => engines.includes(engine)).length;

    const chooseLoadEngine = (
        key: AdapterKey,
        states: readonly EngineState[],
        loading: ReadonlyMap<AdapterKey, readonly BackendServerId[]>,
    ): EngineState | undefined => {
        const avoided = new Set([
            ...tables.locate(key).map(location => location.engine),
            ...loading.get(key) ?? [],
        ]);
        const possible = states.filter(state =>
            !avoided.has(state.engine.id) && (state.freeSlots > 0 || state.victims.length > 0)
            && countPending(loading, state.engine.id) < pendingPerEngine
        );
        const failed = failures.listEngines(key);
        const untried = possible.filter(state => !failed.includes(state.engine.id));
        const mean = states.reduce((sum, state) => sum + state.expected, 0) / Math.max(1, states.length);
        const allowed = untried.length > 0 ? untried : possible;
        const roomy = allowed.filter(state => state.table.inFlight < fullPart * state.engine.batchLimit);
        const placed = roomy.length > 0 ? roomy : allowed;
        const bounded = placed.filter(state => state.expected <= boundedLoad * mean);
        const choices = bounded.length > 0 ? bounded : placed;
        const computeCost = (state: EngineState): number => state.freeSlots > 0 ? -1 : state.victims[0]!.worth;
        const leastCost = Math.min(...choices.map(computeCost));
        const cheapest = choices.filter(state => computeCost(state) <= leastCost);
        const fullest = Math.max(...cheapest.map(state => state.table.inFlight));
        const names = cheapest.filter(state => state.table.inFlight === fullest).map(state => state.engine.id);
        const best = rankByRendezvous(key, names, 1)[0];
        return cheapest.find(state => state.engine.id === best);
    };
    const makeWish = (key: AdapterKey, state: EngineState, priority: number): MessageOf<"loadWanted"> => ({
        kind: "loadWanted",
        engine: state.engine.id,
        key,
        priority,
        victims: state.victims.slice(0, victimsNamed).map(victim => victim.name),
    });
    const isLoadWanted = (candidate: LoadCandidate, engines: readonly ListedEngine[], loading: number): boolean => {
        const replicas = tables.locate(candidate.key).length;
        const target = computeReplicaTarget({
            replicas,
            waiting: replicas === 0 ? candidate.interactive + candidate.overnight : candidate.queued,
            batchLimit: engines[0]?.batchLimit ?? 1,
            engines: engines.length,
        });
        return loading === 0 && target > replicas;
    };
    const findPrefetch = (
        loading: ReadonlyMap<AdapterKey, unknown>,
        floor: number,
        now: Milliseconds,
    ): AdapterKey | undefined => {
        let best: AdapterKey | undefined;
        let bestWorth = floor;
        for (const adapter of popularity.list()) {
            const worth = popularity.read(adapter, now);
            const version = worth > bestWorth ? context.findVersion(adapter) : undefined;
            if (version === undefined) {
                continue;
            }
            const key = formatAdapterKey({ adapter, version });
            if (tables.locate(key).length === 0 && !loading.has(key) && !failures.findGivenUp(key, now)) {
                best = key;
                bestWorth = worth;
            }
        }
        return best;
    };
    const refuseLoad = (key: AdapterKey, givenUp: GivenUpLoad, now: Milliseconds): readonly PlannerEffect[] => {
        if (now - (givenUpSentAt.get(key) ?? Number.NEGATIVE_INFINITY) < givenUpRepeatMilliseconds) {
            return [];
        }
        givenUpSentAt.set(key, now);
        return [{ kind: "loadGivenUp", key, ...givenUp }];
    };
    const pruneAll = (now: Milliseconds): void => {
        if (now - prunedAt >= pruneIntervalMilliseconds) {
            prunedAt = now;
            popularity.prune(now);
            failures.prune(now);
            givenUpSentAt.clear();
        }
    };

    const listWanted = (
        engines: readonly ListedEngine[],
        loading: ReadonlyMap<AdapterKey, readonly BackendServerId[]>,
        effects: PlannerEffect[],
        now: Milliseconds,
    ): readonly LoadCandidate[] => {
        const wanted: LoadCandidate[] = [];
        for (const candidate of sumDemand(now).values()) {
            const givenUp = failures.findGivenUp(candidate.key, now);
            if (givenUp && tables.locate(candidate.key).length === 0) {
                effects.push(...refuseLoad(candidate.key, givenUp, now));
            }
            else if (isLoadWanted(candidate, engines, loading.get(candidate.key)?.length ?? 0)) {
                wanted.push(candidate);
            }
        }
        return rankLoads(wanted);
    };
    const readOvernightGap = (now: Milliseconds): Milliseconds => {
        const isBusy = now - lastInteractiveAt < busyAfterMilliseconds;
        const share = isBusy ? overnightFloor : overnightShare;
        return millisecondsPerSecond / (context.readLoadsPerSecond() * share);
    };
    const schedule = (now: Milliseconds): readonly PlannerEffect[] => {
        pruneAll(now);
        const engines = context.listEngines();
        const loading = listLoading(engines, now);
        const effects: PlannerEffect[] = [];
        const wanted = listWanted(engines, loading, effects, now);
        const limit = Math.ceil(context.readLoadsPerSecond() * loadedAhead) + 1;
        let states: EngineState[] | undefined;
        const readStates = (): EngineState[] => states ??= engines.flatMap(engine => describeEngine(engine, now) ?? []);
        const scheduleLoad = (key: AdapterKey, priority: number): boolean => {
            const state = chooseLoadEngine(key, readStates(), loading);
            if (state) {
                effects.push(makeWish(key, state, priority));
                assigned.set(key, { engine: state.engine.id, at: now });
                loading.set(key, [...loading.get(key) ?? [], state.engine.id]);
            }
            return state !== undefined;
        };
        for (const candidate of wanted) {
            const isOvernight = candidate.interactive === 0;
            if (loading.size >= limit || (isOvernight && now - lastOvernightAt < readOvernightGap(now))) {
                break;
            }
            if (isOvernight) {
                lastOvernightAt = scheduleLoad(candidate.key, overnightPriority) ? now : lastOvernightAt;
            }
            else {
                lastInteractiveAt = scheduleLoad(candidate.key, interactivePriority) ? now : lastInteractiveAt;
            }
        }
        const isQuiet = wanted.length === 0 && loading.size === 0 && now - lastPrefetchAt >= times.renewInterval;
        if (isQuiet) {
            lastPrefetchAt = now;
            const key = findPrefetch(loading, computePrefetchFloor(readStates()), now);
            if (key !== undefined) {
                scheduleLoad(key, prefetchPriority);
            }
        }
        return effects;
    };
    const computePrefetchFloor = (states: readonly EngineState[]): number => {
        const costs = states.map(state =>
            state.freeSlots > 0 ? 0 : state.victims[0]?.worth ?? Number.POSITIVE_INFINITY
        );
        return Math.min(Number.POSITIVE_INFINITY, ...costs) * prefetchGain;
    };
    return {
        popularity,
        handleDemand: (from, message, now) => {
            if (message.sequence <= (demands.get(from)?.sequence ?? -1)) {
                return;
            }
            demands.set(from, { sequence: message.sequence, waiting: message.waiting, at: now });
            for (const { adapter, interactive, overnight } of message.arrivals) {
                popularity.add(adapter, interactive + overnight * overnightWeight, now);
            }
        },
        handleTable: (table, now) => {
            const seen = failuresSeen.get(table.engine);
            const lastNumber = seen?.fencingNumber === table.fencingNumber ? seen.number : 0;
            for (const failure of table.failed.filter(entry => entry.number > lastNumber)) {
                failures.add(failure.key, table.engine, failure.detail, now);
                assigned.delete(failure.key);
            }
            const number = Math.max(lastNumber, ...table.failed.map(entry => entry.number));
            failuresSeen.set(table.engine, { fencingNumber: table.fencingNumber, number });
            table.loading.forEach(key => assigned.get(key)?.engine === table.engine && assigned.delete(key));
            for (const key of failures.size() + assigned.size > 0 ? table.resident.map(readLoadKey) : []) {
                failures.remove(key);
                assigned.delete(key);
            }
        },
        plan: schedule,
    };
}
