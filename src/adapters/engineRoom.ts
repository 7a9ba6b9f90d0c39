/**
 * Decides who gets the free places on the engines of this holder while there are too few. Requests that find none wait in
 * one queue for each service, or are refused at once with the time at which there will be room for them.
 *
 * @packageDocumentation
 */
import {
    computeUrgentReserve,
    estimateQueueWait,
    limitPriority,
    mergeRoomEstimates,
    priorityCount,
    type RoomEstimator,
    type SlotDemand,
    slotRoomEstimator,
    type SlotState,
} from "../fairness/index.js";
import { countRequests } from "../routing/index.js";
import { computeLoad } from "../serving/serverChoice.js";
import type { ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { EnginePlace } from "./enginePlaces.js";
import { formatAdapterKey } from "./messages.js";
import {
    createPool,
    describeDemand,
    describeEntry,
    describeShortage,
    type EngineState,
    findEmptiest,
    hasMemory,
    isPaceKnown,
    listGroups,
    measureQueueLoad,
    type Pool,
    type PoolState,
    recordDuration,
    type RoomDecision,
    type RoomResult,
    type RoomTurn,
    type RoomWait,
    type Waiting,
    type WeighedRequest,
} from "./roomPool.js";

/** Dependencies. */
export interface EngineRoomOptions {
    readonly clock: Clock;
    readonly records: ServerRecords;
    /** Engines of a service that accept requests and whose shards this instance holds. */
    readonly listEngines: (service: string) => readonly BackendServer[];
    /** Called with each decision. @default nothing is called */
    readonly onDecision?: ((decision: RoomDecision) => void) | undefined;
    /** @default estimates by slots */
    readonly estimator?: RoomEstimator<SlotState, SlotDemand>;
}

/** Room on the engines of a holder. */
export interface EngineRoom {
    /** Keeps a place for a request on an engine until `release`; returns `false` when others go before it or it is full. */
    readonly tryReserve: (request: WeighedRequest, server: BackendServer) => boolean;
    /** Keeps a place also on a full engine, for a request whose adapter was loaded there when it had room. */
    readonly reserve: (request: WeighedRequest, server: BackendServer) => void;
    /** Whether an engine is known to have no room for a request. */
    readonly isFull: (request: WeighedRequest, server: BackendServer) => boolean;
    /** Waits until there is room. */
    readonly wait: (wait: RoomWait) => Promise<RoomTurn>;
    /** Ends the place that was kept for a request: it was taken, or isn't needed. */
    readonly release: (id: string) => void;
    /** Counts a load that a request waits for, which takes a place when it has ended; returns the end of the count. */
    readonly countLoading: (service: string) => () => void;
    readonly markTaken: (place: EnginePlace) => void;
    readonly markFreed: (place: EnginePlace) => void;
    /** Requests that wait, per slot of the engines of a service. */
    readonly readQueueLoad: (service: string) => number;
    /** Records how long a request had its place. */
    readonly recordDuration: (service: string, duration: Milliseconds) => void;
    /** Gives free places to requests that wait. */
    readonly wake: () => void;
    /** Ends shortages that are over; must be called regularly. */
    readonly tick: () => void;
}

/** Interval at which requests that have become late are found, and a reserve that has shrunk is given out. */
const watchIntervalMilliseconds = 25;
/** Time without a request that waits after which a shortage is over, so that one surge is one shortage. */
const shortageEndMilliseconds = 1_000;
/**
 * Multiple of the mean duration after which a place counts as lost with its instance. A request that takes longer than
 * this is one more on its engine than slots, which the engine queues.
 */
const lostDurationFactor = 4;
const shortestLossMilliseconds = 2_000;
/** Usual time of a load. An adapter is loaded on one more engine only where its engines have no room for longer. */
const loadMilliseconds = 300;
/** Longest time that a refusal names; an estimate that is longer says little. */
const maximumWaitMilliseconds = 30_000;
const log = createLogger("adapters");

/**
 * Creates the state of all services without requests.
 *
 * @param options - engines and their requests
 * @returns the state, owned by the caller
 */
export function createEngineRoom(options: EngineRoomOptions): EngineRoom {
    const { clock, records } = options;
    const estimator = options.estimator ?? slotRoomEstimator;
    const reservations = new Map<string, ServerRunId>();
    const reservedCounts = new Map<ServerRunId, number>();
    /** In the order in which they were taken. */
    const takenPlaces = new Map<ServerRunId, Set<EnginePlace>>();
    const pools = new Map<string, Pool>();
    const getPool = (service: string): Pool => {
        const pool = pools.get(service) ?? createPool(service);
        pools.set(service, pool);
        return pool;
    };
    const reserve = (id: string, run: ServerRunId): void => {
        reservations.set(id, run);
        reservedCounts.set(run, (reservedCounts.get(run) ?? 0) + 1);
    };
    // places of instances that ended are free only at the deadlines of their requests
    const countLost = (pool: Pool, run: ServerRunId): number => {
        const latest = clock.now() - Math.max(shortestLossMilliseconds, pool.durations.mean * lostDurationFactor);
        let count = 0;
        for (const { takenAt = latest } of takenPlaces.get(run) ?? []) {
            if (takenAt >= latest) {
                break;
            }
            count++;
        }
        return count;
    };
    const describeEngine = (pool: Pool, server: BackendServer): SlotState => {
        const run = formatServerRunId(server);
        const slots = Math.max(1, server.slots);
        const record = records.getRecord(run);
        const requests = record.engine
            ? Math.floor(countRequests(record.engine.load, clock.now()))
            : computeLoad(server, record, clock.now()) * slots;
        const running = Math.max(0, requests - countLost(pool, run)) + (reservedCounts.get(run) ?? 0);
        return { slots, running, meanDuration: pool.durations.mean };
    };
    // an engine that is avoided is no room unless all are
    const listHealthy = (pool: Pool): readonly BackendServer[] => {
        const engines = options.listEngines(pool.service);
        const now = clock.now();
        const healthy = engines.filter(server => records.getRecord(formatServerRunId(server)).avoidedUntil <= now);
        return healthy.length > 0 ? healthy : engines;
    };
    // read once for each decision, as many requests are compared for it
    const readPool = (pool: Pool): PoolState => {
        const engines = listHealthy(pool).map(server => ({ server, state: describeEngine(pool, server) }));
        const free = engines.reduce((sum, { state }) => sum + Math.max(0, state.slots - state.running), 0);
        const slots = engines.reduce((sum, { state }) => sum + state.slots, 0);
        return { engines, free, slots, kept: new Map() };
    };
    const hasRoom = ({ server, state }: EngineState, request: WeighedRequest): boolean =>
        estimator.fitsNow(state, describeDemand(request), clock.now()) &&
        hasMemory(records.getRecord(formatServerRunId(server)), request, clock.now());
    // without a shortage no place is kept
    const isAboveReserve = (
        pool: Pool,
        state: PoolState,
        request: WeighedRequest,
        groups: readonly string[],
    ): boolean => {
        if (!pool.shortage || pool.ledger.isOwed(groups)) {
            return true;
        }
        const priority = limitPriority(request.priority);
        const kept = state.kept.get(priority) ?? computeUrgentReserve({
            slots: state.slots,
            meanDuration: pool.durations.mean,
            urgentRunning: pool.running.slice(0, priority).reduce((sum, count) => sum + count, 0),
            urgentPerSecond: pool.rates.readBelow(priority, clock.now()),
            urgentSlack: pool.rates.readSlackBelow(priority),
        });
        state.kept.set(priority, kept);
        return state.free > kept;
    };
    // kept for a moment, as each request that waits or is refused asks for it
    const measureInterval = (pool: Pool): Milliseconds => {
        const now = clock.now();
        if (now - pool.interval.readAt >= watchIntervalMilliseconds) {
            pool.interval = { value: computeInterval(pool), readAt: now };
        }
        return pool.interval.value;
    };
    const computeInterval = (pool: Pool): Milliseconds => {
        const estimates = listHealthy(pool).map(server => {
            const state = describeEngine(pool, server);
            return estimator.estimateRoom({ ...state, running: state.slots }, { firstEvent: 0 }, clock.now());
        });
        return mergeRoomEstimates(estimates);
    };
    const estimateWait = (pool: Pool, waiting: Waiting, isLate: boolean): Milliseconds => {
        const now = clock.now();
        const asked = isLate === waiting.isKnownLate ? waiting : { ...waiting, isKnownLate: isLate };
        const ahead = pool.queue.countAhead(waiting.entry, asked, now) + pool.loading;
        // all that arrive and can be on time go before a late one
        const urgent = isLate
            ? pool.rates.readBelow(priorityCount, now)
            : pool.ledger.isOwed(waiting.groups)
            ? 0
            : pool.rates.readBelow(waiting.request.priority, now);
        return estimateQueueWait(ahead, measureInterval(pool), urgent);
    };
    // time until there is room for a request if that is too late for it; undefined when it may wait
    const estimateRefusal = (pool: Pool, waiting: Waiting): Milliseconds | undefined => {
        const now = clock.now();
        // without engines nothing is known of the time until there is room
        if (!pool.shortage || listHealthy(pool).length === 0) {
            return undefined;
        }
        const wait = estimateWait(pool, waiting, false);
        if (waiting.onTimeUntil > now && now + wait <= Math.min(waiting.onTimeUntil, waiting.until)) {
            return undefined;
        }
        waiting.isKnownLate = true;
        const lateWait = pool.ledger.isOwed(waiting.groups) ? wait : estimateWait(pool, waiting, true);
        const latest = Math.min(
            waiting.until,
            waiting.entry.arrivedAt + waiting.request.deadline - pool.durations.mean,
        );
        return now + lateWait <= latest ? undefined : wait;
    };
    const computeReturn = (pool: Pool, { request, entry }: Waiting, wait: Milliseconds): Milliseconds => {
        const now = clock.now();
        const deadline = entry.arrivedAt + request.deadline - now;
        // more urgent requests take some of the places up to then
        const urgent = pool.rates.readBelow(request.priority, now);
        const interval = Math.min(estimateQueueWait(0, measureInterval(pool), urgent), maximumWaitMilliseconds);
        const limited = Math.min(wait, maximumWaitMilliseconds);
        const refused = { priority: request.priority, wait: limited, interval, deadline };
        return Math.min(pool.returns.assign(refused, now), maximumWaitMilliseconds);
    };
    // an adapter whose engines are full while others have room makes no shortage
    const checkShortage = (pool: Pool): void => {
        if (readPool(pool).free >= 1) {
            return;
        }
        pool.scarceAt = clock.now();
        if (!pool.shortage) {
            pool.shortage = { startedAt: pool.scarceAt, waited: 0, refused: 0 };
            log.info("shortage of places began", {
                service: pool.service,
                engines: options.listEngines(pool.service).length,
                interval: Math.round(measureInterval(pool)),
                meanDuration: Math.round(pool.durations.mean),
            });
        }
    };
    const chooseCandidate = (pool: Pool, { engines }: PoolState, waiting: Waiting): Waiting["candidate"] => {
        const demand = describeDemand(waiting.request);
        const usable = engines.filter(({ server }) => waiting.isUsable(server));
        const holding = usable.filter(({ server }) => waiting.isResident(server));
        const resident = findEmptiest(holding.filter(engine => hasRoom(engine, waiting.request)));
        if (resident) {
            return { server: resident, isResident: true };
        }
        const untilRoom = mergeRoomEstimates(
            holding.map(({ state }) => estimator.estimateRoom(state, demand, clock.now())),
        );
        if (untilRoom < loadMilliseconds || pool.loadingKeys.has(waiting.key)) {
            return undefined;
        }
        const target = findEmptiest(
            usable.filter(engine => waiting.isLoadable(engine.server) && hasRoom(engine, waiting.request)),
        );
        return target && { server: target, isResident: false };
    };
    const serveQueue = (pool: Pool): void => {
        while (pool.queue.countEntries() > 0) {
            const state = readPool(pool);
            if (state.free < 1) {
                return;
            }
            const waiting = pool.queue.take(clock.now(), (entry, item) => {
                const candidate = isAboveReserve(pool, state, item.request, item.groups)
                    ? chooseCandidate(pool, state, item)
                    : undefined;
                item.candidate = candidate;
                return candidate !== undefined;
            });
            if (!waiting?.candidate) {
                return;
            }
            reserve(waiting.request.id, formatServerRunId(waiting.candidate.server));
            pool.ledger.recordServed(waiting.groups, clock.now());
            waiting.finish(
                { kind: "granted", ...waiting.candidate },
                clock.now() > waiting.entry.arrivedAt ? "waited" : "given",
            );
        }
    };
    const refuseLate = (pool: Pool): void => {
        const now = clock.now();
        for (const waiting of pool.queue.listItems()) {
            if (!waiting.isKnownLate && waiting.onTimeUntil <= now) {
                pool.queue.remove(waiting.entry.requestId);
                const wait = estimateRefusal(pool, waiting);
                if (wait === undefined) {
                    pool.queue.push(waiting.entry, waiting, now);
                }
                else {
                    const turn: RoomTurn = { kind: "refused", wait: computeReturn(pool, waiting, wait) };
                    waiting.finish(turn, "refusedLate");
                }
            }
        }
    };
    const watchQueue = async (pool: Pool): Promise<void> => {
        if (pool.isWatched) {
            return;
        }
        pool.isWatched = true;
        try {
            while (pool.queue.countEntries() > 0) {
                await clock.sleep(watchIntervalMilliseconds);
                pool.queue.expire(clock.now()).forEach(waiting => waiting.finish({ kind: "left" }, "expired"));
                serveQueue(pool);
                if (pool.queue.countEntries() > 0) {
                    checkShortage(pool);
                    refuseLate(pool);
                }
            }
        }
        finally {
            pool.isWatched = false;
        }
    };
    const countDecision = (pool: Pool, { route, account }: WeighedRequest, result: RoomResult): void => {
        if (pool.shortage) {
            pool.shortage.waited += result === "waited" ? 1 : 0;
            pool.shortage.refused += result === "refused" || result === "refusedLate" ? 1 : 0;
        }
        options.onDecision?.({ route, account, result });
    };
    // time for which a request can wait and still be on time
    const measureSlack = (pool: Pool, request: WeighedRequest): Milliseconds => {
        const state = { slots: 1, running: 1, meanDuration: pool.durations.mean };
        return request.objective === undefined
            ? request.usefulFor
            : request.objective - estimator.estimateFirstEvent(state, describeDemand(request), clock.now());
    };
    const createWaiting = (wait: RoomWait, resolve: (turn: RoomTurn) => void): Waiting => {
        const { request, signal } = wait;
        const pool = getPool(request.service);
        const now = clock.now();
        const onTimeUntil = now + measureSlack(pool, request);
        const withdraw = (): void => {
            if (pool.queue.remove(request.id)) {
                waiting.finish({ kind: "left" }, "left");
            }
        };
        const waiting: Waiting = {
            ...wait,
            key: formatAdapterKey(request.model, request.adapter ?? ""),
            entry: { ...describeEntry(request, now), deadline: wait.until, dueAt: onTimeUntil },
            groups: listGroups(request),
            onTimeUntil,
            candidate: undefined,
            isKnownLate: false,
            finish: (turn, result) => {
                signal.removeEventListener("abort", withdraw);
                if (turn.kind === "granted" && !turn.isResident) {
                    pool.loadingKeys.set(waiting.key, request.id);
                }
                countDecision(pool, request, result);
                resolve(turn);
            },
        };
        signal.addEventListener("abort", withdraw, { once: true });
        return waiting;
    };
    const release = (id: string): void => {
        const run = reservations.get(id);
        if (run === undefined) {
            return;
        }
        reservations.delete(id);
        const count = reservedCounts.get(run)! - 1;
        if (count > 0) {
            reservedCounts.set(run, count);
        }
        else {
            reservedCounts.delete(run);
        }
        for (const pool of pools.values()) {
            [...pool.loadingKeys].filter(([, request]) => request === id).forEach(([key]) =>
                pool.loadingKeys.delete(key)
            );
        }
        wake();
    };
    const wake = (): void => pools.forEach(serveQueue);
    const isFull = (pool: Pool, request: WeighedRequest, server: BackendServer): boolean =>
        isPaceKnown(pool, clock.now()) &&
        !hasRoom({ server, state: describeEngine(pool, server) }, request);
    const serveAtOnce = (pool: Pool, request: WeighedRequest, server: BackendServer): void => {
        const groups = listGroups(request);
        const now = clock.now();
        reserve(request.id, formatServerRunId(server));
        pool.rates.record(request.priority, measureSlack(pool, request), now);
        pool.ledger.recordAsked(groups, now);
        pool.ledger.recordServed(groups, now);
        pool.queue.record(describeEntry(request, now), now);
        countDecision(pool, request, "given");
    };
    return {
        isFull: (request, server) => isFull(getPool(request.service), request, server),
        tryReserve: (request, server) => {
            const pool = getPool(request.service);
            const groups = listGroups(request);
            // requests that wait for this engine would have got the place already
            const isKept = (): boolean =>
                pool.shortage !== undefined && isPaceKnown(pool, clock.now()) &&
                !isAboveReserve(pool, readPool(pool), request, groups);
            if (isFull(pool, request, server) || isKept()) {
                return false;
            }
            serveAtOnce(pool, request, server);
            return true;
        },
        reserve: (request, server) => serveAtOnce(getPool(request.service), request, server),
        wait: wait =>
            new Promise(resolve => {
                const { request, signal } = wait;
                if (signal.aborted) {
                    resolve({ kind: "left" });
                    return;
                }
                const pool = getPool(request.service);
                const now = clock.now();
                const waiting = createWaiting(wait, resolve);
                pool.rates.record(request.priority, waiting.onTimeUntil - now, now);
                pool.ledger.recordAsked(waiting.groups, now);
                // others may wait for engines that this request can't use
                pool.queue.push(waiting.entry, waiting, now);
                serveQueue(pool);
                if (!pool.queue.remove(request.id)) {
                    return;
                }
                checkShortage(pool);
                if (!pool.shortage && wait.selected) {
                    // there is room, but not for this adapter: the engine's own queue is as short as one here
                    reserve(request.id, formatServerRunId(wait.selected));
                    pool.ledger.recordServed(waiting.groups, now);
                    waiting.finish({ kind: "granted", server: wait.selected, isResident: true }, "given");
                    return;
                }
                const refusal = estimateRefusal(pool, waiting);
                if (refusal !== undefined) {
                    waiting.finish({ kind: "refused", wait: computeReturn(pool, waiting, refusal) }, "refused");
                    return;
                }
                pool.queue.push(waiting.entry, waiting, now);
                startTask("requests that wait for room", () => watchQueue(pool));
            }),
        release,
        countLoading: service => {
            const pool = getPool(service);
            pool.loading++;
            return () => void pool.loading--;
        },
        markTaken: place => {
            const { run, service, priority } = place;
            takenPlaces.set(run, (takenPlaces.get(run) ?? new Set()).add(place));
            if (service !== undefined) {
                getPool(service).running[limitPriority(priority ?? 0)]!++;
            }
        },
        markFreed: place => {
            const { run, service, priority } = place;
            const taken = takenPlaces.get(run);
            taken?.delete(place);
            if (taken?.size === 0) {
                takenPlaces.delete(run);
            }
            if (service !== undefined) {
                getPool(service).running[limitPriority(priority ?? 0)]!--;
            }
        },
        readQueueLoad: service => measureQueueLoad(pools.get(service), options.listEngines(service)),
        recordDuration: (service, duration) => recordDuration(getPool(service), duration, clock.now()),
        wake,
        tick: () => {
            const now = clock.now();
            for (const pool of pools.values()) {
                if (
                    pool.shortage && pool.queue.countEntries() === 0 && now - pool.scarceAt >= shortageEndMilliseconds
                ) {
                    log.info("shortage of places ended", describeShortage(pool, pool.shortage));
                    pool.shortage = undefined;
                }
            }
        },
    };
}
