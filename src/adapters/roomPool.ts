/**
 * State of the places on a holder's engines of one service, and of the requests that wait for them.
 *
 * @packageDocumentation
 */
import {
    type ArrivalRates,
    createArrivalRates,
    createFairQueue,
    createReturnTimes,
    createShareLedger,
    type FairQueue,
    limitPriority,
    priorityCount,
    type QueueEntry,
    rankPlace,
    type ReturnTimes,
    type ShareLedger,
    type SlotDemand,
    type SlotState,
} from "../fairness/index.js";
import { fitsMemory } from "../routing/index.js";
import type { ServerRecord } from "../serving/serverRecords.js";
import type { BackendServer } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { AdapterKey, PlaceRequest } from "./messages.js";

/** A request that names its route, so that its sender knows refusals. */
export type WeighedRequest = PlaceRequest & { readonly route: string; };

/** A request that found no room, and the engines that it can use. */
export interface RoomWait {
    readonly request: WeighedRequest;
    /** Time at which the request stops waiting. */
    readonly until: Milliseconds;
    /** Engine that it gets beyond its slots while others have room; `undefined` where its adapter isn't resident there. */
    readonly selected: BackendServer | undefined;
    readonly isUsable: (server: BackendServer) => boolean;
    /** Whether its adapter, or its model alone, is resident there. */
    readonly isResident: (server: BackendServer) => boolean;
    /** Whether its adapter can be loaded there now. */
    readonly isLoadable: (server: BackendServer) => boolean;
    readonly signal: AbortSignal;
}

/** What became of a request that waited. */
export type RoomTurn =
    /** A place on the engine is kept for it until `release`. */
    | { readonly kind: "granted"; readonly server: BackendServer; readonly isResident: boolean; }
    /** There is no room in time; `wait` is the time until there is. */
    | { readonly kind: "refused"; readonly wait: Milliseconds; }
    /** Its time has passed, or it was ended. */
    | { readonly kind: "left"; };

/** Result of a request for a place: `given` at once, or after it `waited`, `refused` at once or as it became late, or ended while it waited. */
export type RoomResult = "given" | "waited" | "refused" | "refusedLate" | "expired" | "left";

/** A request for a place that was decided. */
export interface RoomDecision {
    readonly route: string;
    readonly account: string | undefined;
    readonly result: RoomResult;
}

/** A request in the queue. */
export interface Waiting extends RoomWait {
    readonly key: AdapterKey;
    readonly entry: QueueEntry<string>;
    readonly groups: readonly string[];
    readonly onTimeUntil: Milliseconds;
    /** Engine that it would get. */
    candidate: Omit<Extract<RoomTurn, { readonly kind: "granted"; }>, "kind"> | undefined;
    /** Whether it was seen that it can't be on time any more. */
    isKnownLate: boolean;
    finish: (turn: RoomTurn, result: RoomResult) => void;
}

/** An engine at one time. */
export interface EngineState {
    readonly server: BackendServer;
    readonly state: SlotState;
}

/** Engines of a pool at one time. */
export interface PoolState {
    readonly engines: readonly EngineState[];
    readonly free: number;
    readonly slots: number;
    /** Places that are kept for more urgent requests than those of a priority, as far as computed. */
    readonly kept: Map<number, number>;
}

/** A time in which there are too few places. */
export interface Shortage {
    readonly startedAt: Milliseconds;
    waited: number;
    refused: number;
}

/** Ended requests from which the mean duration of a request is known; before, requests are placed as without a queue. */
const minimumDurations = 8;
/** Age from which the mean duration counts as unknown again. */
const durationLifetimeMilliseconds = 30_000;
/** Weight of the newest request in the mean duration. */
const durationWeight = 0.05;
/** Cost of a request that names no tokens. */
const defaultTokens = 500;
const noAccount = "";

/** Places of one service; its owner changes it. */
export interface Pool {
    readonly service: string;
    readonly ledger: ShareLedger;
    readonly queue: FairQueue<Waiting, string>;
    readonly rates: ArrivalRates;
    readonly returns: ReturnTimes;
    /** Running requests of each priority. */
    readonly running: number[];
    /** Time for which requests have had their places. */
    readonly durations: { mean: Milliseconds; count: number; recordedAt: Milliseconds; };
    /** Mean time between two places that become free, as it was read last. */
    interval: { readonly value: Milliseconds; readonly readAt: Milliseconds; };
    /** Requests that wait for a load. */
    loading: number;
    /** Adapters that are loaded for a request which has a place kept, and that request. */
    readonly loadingKeys: Map<AdapterKey, string>;
    shortage: Shortage | undefined;
    /** Last time at which a request had to wait. */
    scarceAt: Milliseconds;
    isWatched: boolean;
}

/**
 * Creates the places of a service, of which nothing is known.
 *
 * @param service - its name
 * @returns the places
 */
export function createPool(service: string): Pool {
    const ledger = createShareLedger();
    return {
        service,
        ledger,
        queue: createFairQueue<Waiting, string>({
            self: service,
            rank: (entry, { request, onTimeUntil, groups, isKnownLate }, now) =>
                rankPlace({
                    priority: request.priority,
                    onTimeUntil: isKnownLate ? Number.NEGATIVE_INFINITY : onTimeUntil,
                    isOwed: ledger.isOwed(groups),
                }, now),
        }),
        rates: createArrivalRates(),
        returns: createReturnTimes(),
        running: new Array<number>(priorityCount).fill(0),
        durations: { mean: 0, count: 0, recordedAt: Number.NEGATIVE_INFINITY },
        interval: { value: 0, readAt: Number.NEGATIVE_INFINITY },
        loading: 0,
        loadingKeys: new Map(),
        shortage: undefined,
        scarceAt: Number.NEGATIVE_INFINITY,
        isWatched: false,
    };
}

/**
 * Records how long a request had its place.
 *
 * @param pool - places of its service, which are updated
 * @param duration - the time
 * @param now - current time
 */
export function recordDuration({ durations }: Pool, duration: Milliseconds, now: Milliseconds): void {
    durations.count = now - durations.recordedAt < durationLifetimeMilliseconds ? durations.count + 1 : 1;
    // a plain mean at first, which the weight of the newest one would distort
    durations.mean += (duration - durations.mean) * Math.max(durationWeight, 1 / durations.count);
    durations.recordedAt = now;
}

/**
 * Checks whether the mean duration of requests is known.
 *
 * @param pool - places of a service
 * @param now - current time
 * @returns whether enough requests have ended, and one of them not long ago
 */
export function isPaceKnown({ durations }: Pool, now: Milliseconds): boolean {
    return durations.count >= minimumDurations && now - durations.recordedAt < durationLifetimeMilliseconds;
}

/**
 * Describes a shortage that has ended, for the log.
 *
 * @param pool - places of its service
 * @param shortage - the shortage
 * @returns fields of the line
 */
export function describeShortage(
    { service, scarceAt }: Pool,
    { startedAt, waited, refused }: Shortage,
): Readonly<Record<string, unknown>> {
    return { service, took: Math.round(scarceAt - startedAt), waited, refused };
}

/**
 * Finds the engine with the fewest requests per slot.
 *
 * @param engines - the engines
 * @returns the engine; `undefined` without engines
 */
export function findEmptiest(engines: readonly EngineState[]): BackendServer | undefined {
    let best: EngineState | undefined;
    for (const engine of engines) {
        const { slots, running } = engine.state;
        best = !best || running / slots < best.state.running / best.state.slots ? engine : best;
    }
    return best?.server;
}

/**
 * Describes a request for the queue.
 *
 * @param request - the request
 * @param now - current time
 * @returns its entry
 */
export function describeEntry(request: WeighedRequest, now: Milliseconds): QueueEntry<string> {
    return {
        requestId: request.id,
        account: request.account ?? noAccount,
        requestClass: `priority ${limitPriority(request.priority)}`,
        weight: 1,
        tokens: request.tokens ? request.tokens.prompt + request.tokens.output : defaultTokens,
        arrivedAt: now,
        deadline: now + request.patience,
    };
}

/**
 * Lists the groups of which none falls below a quarter of what all get.
 *
 * @param request - the request
 * @returns kind, account, adapter, and session, which is the last part of the prompt
 */
export function listGroups(request: WeighedRequest): readonly string[] {
    const session = request.parts?.at(-1)?.[0];
    return [
        `route ${request.route}`,
        ...request.account === undefined ? [] : [`account ${request.account}`],
        ...request.adapter === undefined ? [] : [`adapter ${request.model}/${request.adapter}`],
        ...session === undefined ? [] : [`session ${session}`],
    ];
}

/**
 * Describes what a request needs of an engine.
 *
 * @param request - the request
 * @returns the part of the objective that the asking instance keeps for the engine
 */
export function describeDemand({ objective, usefulFor }: WeighedRequest): SlotDemand {
    return { firstEvent: objective === undefined ? 0 : Math.max(0, objective - usefulFor) };
}

/**
 * Decides whether the memory of an engine holds a request; one that is out of memory preempts running requests.
 *
 * @param record - what is known of the engine
 * @param request - the request
 * @param now - current time
 * @returns whether it fits, also where nothing is known of the engine's memory
 */
export function hasMemory({ engine }: ServerRecord, { tokens }: WeighedRequest, now: Milliseconds): boolean {
    const demand = { promptTokens: tokens?.prompt ?? 0, outputTokens: tokens?.output ?? 0, cachedTokens: 0 };
    return !engine || fitsMemory(engine.load, demand, now);
}

/**
 * Computes the requests that wait per slot.
 *
 * @param pool - places of the service; `undefined` where there was no request
 * @param engines - its engines
 * @returns 0 or more
 */
export function measureQueueLoad(pool: Pool | undefined, engines: readonly BackendServer[]): number {
    const slots = engines.reduce((sum, server) => sum + server.slots, 0);
    return (pool?.queue.countEntries() ?? 0) / Math.max(1, slots);
}
