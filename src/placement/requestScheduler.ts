/**
 * Scheduling of one instance's own requests: which request gets a batch slot next, on which engine and load.
 *
 * @packageDocumentation
 */
import type { ListedEngine } from "../backends/index.js";
import type { FairQueue } from "../fairness/index.js";
import { chooseEngine, type EngineCandidate } from "../routing/index.js";
import type { BackendServerId, Milliseconds, RequestId } from "../shared/index.js";
import { parseLoadName } from "./adapterSlots.js";
import { createDemandReporter } from "./demandReporter.js";
import type { EngineTables } from "./engineTables.js";
import type { AdapterVersionKey, EngineTable, LoadName, PlacementMessage } from "./messages.js";
import type { PlacementTimes } from "./placementTimes.js";
import type { Pin, PinOutcome, PlacementError, PlacementRequest } from "./types.js";
import type { MessageOf, UseLeases } from "./useLeases.js";

/** An action that the scheduling of requests requires from the placement task. */
export type RequestEffect =
    /** Grants a pin to a waiting request. */
    | { readonly kind: "settled"; readonly requestId: RequestId; readonly pin: Pin; }
    /** Ends a waiting request without a pin. */
    | { readonly kind: "refused"; readonly requestId: RequestId; readonly error: PlacementError; }
    /** Sends a message to the owner of the engine. */
    | { readonly kind: "toOwner"; readonly engine: BackendServerId; readonly message: PlacementMessage; }
    /** Sends a message to the planners of the pool. */
    | { readonly kind: "toPlanner"; readonly pool: string; readonly message: PlacementMessage; };

/** What the scheduling of requests depends on. */
export interface RequestSchedulerContext {
    readonly times: PlacementTimes;
    readonly tables: EngineTables;
    readonly leases: UseLeases;
    readonly queue: FairQueue<WaitingRequest>;
    /** Engines of a pool that accept new requests. */
    readonly listEngines: (pool: string) => readonly ListedEngine[];
    readonly readWeight: (account: string) => number;
    /** Current version of an adapter; `undefined` for an adapter that isn't configured. */
    readonly findVersion: (adapter: string) => string | undefined;
    /** Time until which this instance's membership is valid; no pin is granted or valid after it. */
    readonly readValidUntil: () => Milliseconds;
    /** Called after each release of a pin, at any time, so that the task can assign the batch slot again. */
    readonly onRelease: () => void;
    readonly readNow: () => Milliseconds;
    /**
     * Limit of the tokens that wait. Above it, requests of the account that exceeds its fair share the most are
     * refused.
     */
    readonly queuedTokensLimit: number;
}

/** A request that waits for a batch slot. */
export interface WaitingRequest {
    readonly request: PlacementRequest;
    readonly arrivedAt: Milliseconds;
    /** When an engine with its adapter was first found; `undefined` before that. */
    locatedAt: Milliseconds | undefined;
}

/** Scheduling of one instance's own requests. */
export interface RequestScheduler {
    readonly add: (request: PlacementRequest, now: Milliseconds) => readonly RequestEffect[];
    readonly remove: (requestId: RequestId) => void;
    /** Drops the lease requests that a new table of an engine has made obsolete. */
    readonly handleTable: (table: EngineTable) => void;
    /** Refuses the waiting requests for an adapter whose loads failed repeatedly. */
    readonly handleGivenUp: (message: MessageOf<"loadGivenUp">, now: Milliseconds) => readonly RequestEffect[];
    /** Grants pins to waiting requests while there are free batch slots. */
    readonly advance: (now: Milliseconds) => readonly RequestEffect[];
    /** Does the work of `advance`, renews use leases and reports the demand to the planners. */
    readonly tick: (now: Milliseconds) => readonly RequestEffect[];
    readonly countWaiting: () => number;
    readonly countRunning: () => number;
}

interface Candidate extends EngineCandidate {
    readonly listed: ListedEngine;
    readonly table: EngineTable;
    readonly name: LoadName | undefined;
}

/** This instance's use of one engine. */
interface EngineUsage {
    inFlight: number;
    /** The number of requests in flight that was last declared to the owner. */
    declaredInFlight: number;
    renewedAt: Milliseconds;
    /** Loads for which waiting requests need a use lease, and when the lease was last requested. */
    readonly requestedLeases: Map<LoadName, Milliseconds>;
    /** Whether there is a change that the owner should get before the next regular renewal. */
    hasUnsentChange: boolean;
    /** Loads that were last declared to the owner as in use. */
    declaredLoads: ReadonlySet<LoadName>;
    /** Time until which other engines are preferred, because a request failed on this engine. */
    suspectUntil: Milliseconds;
    /** When a pin was last granted on this engine for each prefix hash, the oldest first. */
    readonly prefixSentAt: Map<string, Milliseconds>;
}

const suspectPeriodMilliseconds = 1_000;
const prefixLifetimeMilliseconds = 60_000;
const maximumTrackedPrefixes = 512;
/** Shortest time between two renewals that are sent early because of a change. */
const minimumRenewIntervalMilliseconds = 10;
const overloadRetryMilliseconds = 1_000;

/**
 * Creates the scheduler of an instance that has no requests yet.
 *
 * @param context - what the scheduler depends on
 * @returns the scheduler, owned by the caller
 */
export function createRequestScheduler(context: RequestSchedulerContext): RequestScheduler {
    const { times, tables, leases, queue } = context;
    const engines = new Map<BackendServerId, EngineUsage>();
    const waiting = new Map<RequestId, WaitingRequest>();
    const loadRefusals = new Map<AdapterVersionKey, { readonly until: Milliseconds; readonly detail: string; }>();
    const demand = createDemandReporter();
    let running = 0;

    const getUsage = (engine: BackendServerId): EngineUsage => {
        const known = engines.get(engine) ?? {
            inFlight: 0,
            declaredInFlight: 0,
            renewedAt: Number.NEGATIVE_INFINITY,
            requestedLeases: new Map<LoadName, Milliseconds>(),
            hasUnsentChange: false,
            declaredLoads: new Set<LoadName>(),
            suspectUntil: 0,
            prefixSentAt: new Map<string, Milliseconds>(),
        };
        engines.set(engine, known);
        return known;
    };
    const readVersionKey = ({ adapter: reference }: PlacementRequest): AdapterVersionKey | undefined => {
        if (!reference) {
            return undefined;
        }
        const version = context.findVersion(reference.adapter) ?? reference.version;
        return `${reference.adapter}@${version}`;
    };
    const createCandidate = (
        listed: ListedEngine,
        name: LoadName | undefined,
        request: PlacementRequest,
        now: Milliseconds,
    ): Candidate | undefined => {
        const table = tables.find(listed.id);
        if (!table) {
            return undefined;
        }
        const usage = getUsage(listed.id);
        const sentAt = usage.prefixSentAt.get(request.prefixHash) ?? Number.NEGATIVE_INFINITY;
        return {
            engine: listed.id,
            batchLimit: listed.batchLimit,
            ownInFlight: usage.inFlight,
            othersInFlight: Math.max(0, table.inFlight - usage.declaredInFlight),
            hasRecentPrefix: now - sentAt < prefixLifetimeMilliseconds,
            hasRecentFailure: usage.suspectUntil > now,
            listed,
            table,
            name,
        };
    };
    const requestLease = (engine: BackendServerId, name: LoadName, now: Milliseconds): void => {
        const usage = getUsage(engine);
        if (now - (usage.requestedLeases.get(name) ?? Number.NEGATIVE_INFINITY) >= times.retryInterval) {
            usage.requestedLeases.set(name, now);
            usage.hasUnsentChange = true;
        }
    };
    const isPossible = (listed: ListedEngine, request: PlacementRequest): boolean =>
        listed.baseModel === request.baseModel && !request.excludedEngines.includes(listed.id);
    const listCandidates = (entry: WaitingRequest, now: Milliseconds): readonly Candidate[] => {
        const { request } = entry;
        const key = readVersionKey(request);
        const located = key === undefined ? [] : tables.listLocations(key);
        if (key !== undefined && located.length === 0) {
            return [];
        }
        const possible = context.listEngines(request.pool).filter(listed => isPossible(listed, request));
        if (key === undefined) {
            return possible.flatMap(listed => createCandidate(listed, undefined, request, now) ?? []);
        }
        const found: Candidate[] = [];
        for (const { engine, name } of located) {
            const listed = possible.find(candidate => candidate.id === engine);
            if (!listed || leases.isRetired(engine, name)) {
                continue;
            }
            entry.locatedAt ??= now;
            if (leases.isUsable(engine, name, now)) {
                found.push(createCandidate(listed, name, request, now)!);
            }
            else {
                requestLease(engine, name, now);
            }
        }
        return found;
    };
    const chooseCandidate = (entry: WaitingRequest, now: Milliseconds): Candidate | undefined =>
        chooseEngine(listCandidates(entry, now), entry.request.requestClass);

    const createPin = (entry: WaitingRequest, candidate: Candidate, now: Milliseconds): Pin => {
        const { engine, name, table } = candidate;
        const usage = getUsage(engine);
        const { prefixHash } = entry.request;
        usage.inFlight++;
        running++;
        usage.prefixSentAt.delete(prefixHash);
        usage.prefixSentAt.set(prefixHash, now);
        if (usage.prefixSentAt.size > maximumTrackedPrefixes) {
            usage.prefixSentAt.delete(usage.prefixSentAt.keys().next().value!);
        }
        if (name !== undefined) {
            leases.pin(engine, name, now);
            usage.hasUnsentChange ||= !usage.declaredLoads.has(name);
        }
        let isReleased = false;
        const locatedAt = entry.locatedAt ?? entry.arrivedAt;
        return {
            engine,
            address: candidate.listed.address,
            incarnation: table.incarnation,
            adapter: name === undefined ? undefined : parseLoadName(name),
            loadStall: locatedAt - entry.arrivedAt,
            queueWait: now - locatedAt,
            isValid: at =>
                !isReleased && at < context.readValidUntil() && isSameIncarnation(engine, table)
                && (name === undefined || leases.isValid(engine, name, at)),
            release: outcome => {
                if (!isReleased) {
                    isReleased = true;
                    releaseBatchSlot(engine, name, table, outcome);
                }
            },
        };
    };
    const isSameIncarnation = (engine: BackendServerId, table: EngineTable): boolean =>
        tables.find(engine)?.incarnation === table.incarnation;
    const releaseBatchSlot = (
        engine: BackendServerId,
        name: LoadName | undefined,
        table: EngineTable,
        outcome: PinOutcome,
    ): void => {
        const now = context.readNow();
        const usage = getUsage(engine);
        usage.inFlight--;
        running--;
        if (name !== undefined) {
            leases.release(engine, name, now);
        }
        if (outcome === "engineFailed") {
            usage.suspectUntil = now + suspectPeriodMilliseconds;
        }
        if (outcome === "engineRestarted") {
            tables.end(engine, table.incarnation);
        }
        context.onRelease();
    };
    const refuseRequest = (entry: WaitingRequest, error: PlacementError): RequestEffect => {
        queue.remove(entry.request.requestId);
        waiting.delete(entry.request.requestId);
        return { kind: "refused", requestId: entry.request.requestId, error };
    };
    const findRefusal = (entry: WaitingRequest, now: Milliseconds): PlacementError | undefined => {
        const key = readVersionKey(entry.request);
        const refusal = key === undefined ? undefined : loadRefusals.get(key);
        if (refusal && refusal.until > now && tables.listLocations(key!).length === 0) {
            return { kind: "loadFailed", detail: refusal.detail, retryAfter: refusal.until - now };
        }
        return undefined;
    };
    const checkRequest = (entry: WaitingRequest, now: Milliseconds): PlacementError | undefined => {
        const { request } = entry;
        if (!context.listEngines(request.pool).some(listed => isPossible(listed, request))) {
            return {
                kind: "noEngine",
                detail:
                    `pool ${request.pool} has no live engine for ${request.baseModel} that hasn't failed this request`,
            };
        }
        return findRefusal(entry, now);
    };
    const advance = (now: Milliseconds): readonly RequestEffect[] => {
        if (waiting.size === 0) {
            return renewChanged(now);
        }
        const effects: RequestEffect[] = [];
        for (const entry of queue.expire(now)) {
            waiting.delete(entry.request.requestId);
            effects.push({ kind: "refused", requestId: entry.request.requestId, error: { kind: "deadlinePassed" } });
        }
        if (now >= context.readValidUntil()) {
            return effects;
        }
        let candidate: Candidate | undefined;
        const isEligible = (entry: unknown, item: WaitingRequest): boolean => {
            candidate = chooseCandidate(item, now);
            return candidate !== undefined;
        };
        for (let item = queue.take(now, isEligible); item && candidate; item = queue.take(now, isEligible)) {
            waiting.delete(item.request.requestId);
            const pin = createPin(item, candidate, now);
            effects.push({ kind: "settled", requestId: item.request.requestId, pin });
            candidate = undefined;
        }
        return [...effects, ...renewChanged(now)];
    };
    const renewLeases = (engine: BackendServerId, usage: EngineUsage, now: Milliseconds): RequestEffect => {
        const names = [...new Set([...leases.listRenewable(engine, now), ...usage.requestedLeases.keys()])];
        usage.renewedAt = now;
        usage.hasUnsentChange = false;
        usage.declaredInFlight = usage.inFlight;
        const running = leases.listRunning(engine);
        usage.declaredLoads = new Set(running.map(entry => entry.name));
        const message: PlacementMessage = {
            kind: "useRenew",
            engine,
            sentAt: now,
            names,
            running,
            inFlight: usage.inFlight,
        };
        return { kind: "toOwner", engine, message };
    };
    const renewChanged = (now: Milliseconds): readonly RequestEffect[] =>
        [...engines].flatMap(([engine, usage]) =>
            usage.hasUnsentChange && now - usage.renewedAt >= minimumRenewIntervalMilliseconds
                ? [renewLeases(engine, usage, now)]
                : []
        );
    const renewDue = (now: Milliseconds): readonly RequestEffect[] =>
        [...engines].flatMap(([engine, usage]) => {
            const isUsed = usage.inFlight > 0 || usage.declaredInFlight > 0 ||
                leases.listRenewable(engine, now).length > 0;
            return isUsed && now - usage.renewedAt >= times.renewInterval ? [renewLeases(engine, usage, now)] : [];
        });
    const sendDemand = (now: Milliseconds): readonly RequestEffect[] =>
        demand.takeMessages(waiting.values(), readVersionKey, times.demandInterval, now)
            .map(({ pool, message }) => ({ kind: "toPlanner", pool, message }));

    return {
        add: (request, now) => {
            const entry: WaitingRequest = { request, arrivedAt: now, locatedAt: undefined };
            const key = readVersionKey(request);
            if (key !== undefined) {
                demand.addArrival(request, now, tables.listLocations(key).length === 0);
            }
            else {
                entry.locatedAt = now;
            }
            const error = checkRequest(entry, now);
            if (error) {
                return [{ kind: "refused", requestId: request.requestId, error }];
            }
            waiting.set(request.requestId, entry);
            queue.push({ ...request, weight: context.readWeight(request.account), arrivedAt: now }, entry, now);
            const shed = queue.shed(context.queuedTokensLimit).map(item =>
                refuseRequest(item, { kind: "overloaded", retryAfter: overloadRetryMilliseconds })
            );
            return [...shed, ...advance(now), ...sendDemand(now)];
        },
        remove: requestId => {
            if (waiting.delete(requestId)) {
                queue.remove(requestId);
            }
        },
        handleTable: table => {
            const usage = getUsage(table.engine);
            for (const name of usage.requestedLeases.keys()) {
                if (!table.resident.includes(name) || leases.isUsable(table.engine, name, context.readNow())) {
                    usage.requestedLeases.delete(name);
                }
            }
        },
        handleGivenUp: (message, now) => {
            loadRefusals.set(message.key, { until: now + message.retryAfter, detail: message.detail });
            return [...waiting.values()].flatMap(entry => {
                const error = readVersionKey(entry.request) === message.key ? findRefusal(entry, now) : undefined;
                return error ? [refuseRequest(entry, error)] : [];
            });
        },
        advance,
        tick: now => {
            for (const [key, refusal] of loadRefusals) {
                if (refusal.until <= now) {
                    loadRefusals.delete(key);
                }
            }
            return [...advance(now), ...renewDue(now), ...sendDemand(now)];
        },
        countWaiting: () => waiting.size,
        countRunning: () => running,
    };
}
