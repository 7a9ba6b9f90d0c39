/**
 * All placement decisions of one instance: for its own requests, the engines that it owns and the pools that it plans.
 * It uses no sockets and no timers: the placement task passes in events and carries out the returned effects.
 *
 * @packageDocumentation
 */
import type { EngineReport, ListedBackendServer, ListedEngine, OrderError } from "../backends/index.js";
import type { SettingsView } from "../config/index.js";
import type { FairQueue } from "../fairness/index.js";
import type { EpochView, MembershipView, OwnershipView } from "../membership/index.js";
import {
    type BackendServerId,
    type FencingNumber,
    type InstanceId,
    type Milliseconds,
    rankByRendezvous,
    type RequestId,
    type Result,
} from "../shared/index.js";
import { createEngineOwner } from "./engineOwner.js";
import type { EngineOwner, EngineOwnerContext, OwnerEffect } from "./engineOwnerTypes.js";
import { createEngineTables } from "./engineTables.js";
import type { AdapterVersionKey, EngineTable, EngineTableChange, LoadName, PlacementMessage } from "./messages.js";
import { createParticipants } from "./participants.js";
import type { PlacementTimes } from "./placementTimes.js";
import { createPoolPlanner, type PoolPlanner } from "./poolPlanner.js";
import { createRequestScheduler, type RequestEffect, type WaitingRequest } from "./requestScheduler.js";
import { applyTableChange } from "./tableChanges.js";
import type { PlacementRequest } from "./types.js";
import { createUseLeases } from "./useLeases.js";

/** An action that the decisions require from the placement task. */
export type CoreEffect = Exclude<OwnerEffect, { kind: "send"; }> | Extract<RequestEffect, { requestId: RequestId; }> | {
    readonly kind: "send";
    readonly to: InstanceId;
    readonly message: PlacementMessage;
};

/** What the decisions depend on. */
export interface PlacementCoreContext {
    readonly self: InstanceId;
    readonly times: PlacementTimes;
    readonly settings: SettingsView;
    readonly membership: MembershipView;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    readonly queue: FairQueue<WaitingRequest>;
    readonly queuedTokensLimit: number;
    /** Creates a generation that makes the name of a new load unique. */
    readonly createGeneration: (fencingNumber: FencingNumber) => string;
    readonly readNow: () => Milliseconds;
    /** Called after each release of a pin. */
    readonly onRelease: () => void;
}

/** An engine that this instance owns. */
export interface OwnedEngine {
    readonly engine: ListedEngine;
    readonly fencingNumber: FencingNumber;
}

/** State of placement as the status page shows it. */
export interface PlacementStatus {
    readonly waiting: number;
    readonly running: number;
    readonly owned: readonly BackendServerId[];
    readonly planned: readonly string[];
    readonly tables: readonly EngineTable[];
    readonly blockedEvictions: readonly { readonly name: LoadName; readonly instances: readonly InstanceId[]; }[];
}

/** Placement decisions of one instance. */
export interface PlacementCore {
    readonly acquire: (request: PlacementRequest, now: Milliseconds) => readonly CoreEffect[];
    readonly abort: (requestId: RequestId) => void;
    /** Grants pins to waiting requests while there are free batch slots. */
    readonly advance: (now: Milliseconds) => readonly CoreEffect[];
    readonly handleMessage: (
        from: InstanceId,
        message: PlacementMessage,
        now: Milliseconds,
    ) => readonly CoreEffect[];
    readonly handleReport: (report: EngineReport, askedAt: Milliseconds, now: Milliseconds) => readonly CoreEffect[];
    readonly handleOrderResult: (
        order: Extract<CoreEffect, { kind: "load" | "unload"; }>,
        result: Result<void, OrderError>,
        now: Milliseconds,
    ) => readonly CoreEffect[];
    readonly handlePermit: (
        engine: BackendServerId,
        key: AdapterVersionKey,
        startBy: Milliseconds,
        now: Milliseconds,
    ) => readonly CoreEffect[];
    readonly tick: (now: Milliseconds) => readonly CoreEffect[];
    /**
     * Announces to the other instances that this one has ended its requests; called only when nothing runs or waits.
     */
    readonly leave: () => readonly CoreEffect[];
    readonly listOwned: () => readonly OwnedEngine[];
    readonly readStatus: (now: Milliseconds) => PlacementStatus;
}

/** Engines of one list of backend servers, computed once for each new list. */
interface EngineListing {
    readonly servers: readonly ListedBackendServer[];
    readonly engines: readonly ListedEngine[];
    /** Live engines by pool; only these accept new requests. */
    readonly pools: ReadonlyMap<string, readonly ListedEngine[]>;
}

/**
 * Demand is sent to the planner and to the instance that would succeed it, so that the successor already knows the
 * demand.
 */
const demandRecipientsPerPool = 2;

/**
 * Creates the decisions of an instance that has just started.
 *
 * @param context - what the decisions depend on
 * @returns the decisions, owned by the caller
 */
export function createPlacementCore(context: PlacementCoreContext): PlacementCore {
    const { self, times, membership, epochs, ownership } = context;
    const tables = createEngineTables();
    const leases = createUseLeases(times);
    const participants = createParticipants(self, times.leaseDuration + times.maximumRequestDuration);
    const owners = new Map<BackendServerId, EngineOwner>();
    const planners = new Map<string, PoolPlanner>();
    let prunedAt: Milliseconds = 0;

    let listing: EngineListing = { servers: [], engines: [], pools: new Map() };
    const readListing = (): EngineListing => {
        const servers = membership.read().backendServers;
        if (listing.servers !== servers) {
            listing = listEnginesByPool(servers);
        }
        return listing;
    };
    const listAllEngines = (): readonly ListedEngine[] => readListing().engines;
    const listEngines = (pool: string): readonly ListedEngine[] => readListing().pools.get(pool) ?? [];
    const listLiveInstances = (): readonly InstanceId[] => membership.read().instances.map(instance => instance.id);
    const listPeers = (): readonly InstanceId[] => listLiveInstances().filter(instance => instance !== self);
    const findVersion = (adapter: string): string | undefined =>
        context.settings.read()?.adapters.get(adapter)?.version;
    const rankPlanners = (pool: string): readonly InstanceId[] =>
        rankByRendezvous(`planner/${pool}`, listLiveInstances(), demandRecipientsPerPool);
    const scheduler = createRequestScheduler({
        times,
        tables,
        leases,
        queue: context.queue,
        queuedTokensLimit: context.queuedTokensLimit,
        listEngines,
        findVersion,
        readWeight: account => context.settings.read()?.accounts.get(account)?.weight ?? 1,
        readValidUntil: epochs.readValidUntil,
        onRelease: context.onRelease,
        readNow: context.readNow,
    });
    const getPlanner = (pool: string): PoolPlanner => {
        const planner = planners.get(pool) ?? createPoolPlanner({
            times,
            tables,
            findVersion,
            listEngines: () => listEngines(pool),
            readLoadsPerSecond: () => context.settings.read()?.weightStore.loadsPerSecond ?? 1,
        });
        planners.set(pool, planner);
        return planner;
    };

    // resolves recipients; messages of the instance to itself are handled immediately, in the order of their creation
    const resolveEffects = (
        effects: readonly (CoreEffect | OwnerEffect | RequestEffect)[],
        now: Milliseconds,
    ): readonly CoreEffect[] => {
        const done: CoreEffect[] = [];
        const left: (CoreEffect | OwnerEffect | RequestEffect)[] = [...effects];
        for (let effect = left.shift(); effect; effect = left.shift()) {
            if (effect.kind === "toOwner") {
                const to = ownership.findOwner(`engine/${effect.engine}`);
                left.unshift(...to === undefined ? [] : [{ kind: "send" as const, to, message: effect.message }]);
            }
            else if (effect.kind === "toPlanner") {
                const { message } = effect;
                left.unshift(...rankPlanners(effect.pool).map(to => ({ kind: "send" as const, to, message })));
            }
            else if (effect.kind === "send" && effect.to === self) {
                left.push(...receiveMessage(self, effect.message, now));
            }
            else {
                done.push(effect);
            }
        }
        return done;
    };
    const respond = (to: InstanceId, message: PlacementMessage | undefined): readonly CoreEffect[] =>
        message ? [{ kind: "send", to, message }] : [];
    const receiveTable = (
        table: EngineTable,
        now: Milliseconds,
    ): readonly (CoreEffect | OwnerEffect | RequestEffect)[] => {
        if (!leases.handleTable(table, now) || !tables.add(table, now)) {
            return [];
        }
        scheduler.handleTable(table);
        planners.forEach(planner => planner.handleTable(table, now));
        return scheduler.advance(now);
    };
    const receiveTableChange = (
        from: InstanceId,
        change: EngineTableChange,
        now: Milliseconds,
    ): readonly (CoreEffect | OwnerEffect | RequestEffect)[] => {
        const applied = applyTableChange(tables.find(change.engine), change);
        switch (applied.kind) {
            case "applied":
                return receiveTable(applied.table, now);
            case "old":
                return [];
            case "baseMissing":
                return respond(from, { kind: "tableWanted", engine: change.engine });
        }
    };
    const receiveMessage = (
        from: InstanceId,
        message: PlacementMessage,
        now: Milliseconds,
    ): readonly (CoreEffect | OwnerEffect | RequestEffect)[] => {
        switch (message.kind) {
            case "useRenew":
            case "retired":
            case "collected":
            case "loadWanted":
            case "tableWanted":
                return owners.get(message.engine)?.handleMessage(from, message, now) ?? [];
            case "left":
                participants.remove(from);
                return [...owners.values()].flatMap(owner => owner.handleMessage(from, message, now));
            case "useGrant":
                leases.handleGrant(message, now);
                return scheduler.advance(now);
            case "retire":
                return respond(from, leases.handleRetire(message, now));
            case "collect":
                return respond(from, leases.handleCollect(message, participants.list(now), now));
            case "table":
                return receiveTable(message.table, now);
            case "tableChange":
                return receiveTableChange(from, message.change, now);
            case "demand":
                getPlanner(message.pool).handleDemand(from, message, now);
                return runPlanner(message.pool, now);
            case "loadGivenUp":
                return scheduler.handleGivenUp(message, now);
        }
    };
    const runPlanner = (pool: string, now: Milliseconds): readonly (CoreEffect | RequestEffect)[] => {
        if (rankPlanners(pool)[0] !== self) {
            return [];
        }
        return getPlanner(pool).plan(now).flatMap((message): readonly (CoreEffect | RequestEffect)[] =>
            message.kind === "loadWanted"
                ? [{ kind: "toOwner", engine: message.engine, message }]
                : listLiveInstances().map(to => ({ kind: "send", to, message }))
        );
    };
    const createOwnerContext = (fencingNumber: FencingNumber): EngineOwnerContext => ({
        self,
        fencingNumber,
        times,
        listMembers: () => epochs.read().members,
        listLiveInstances,
        listParticipants: participants.list,
        createGeneration: () => context.createGeneration(fencingNumber),
    });
    const updateOwners = (now: Milliseconds): readonly OwnerEffect[] => {
        const effects: OwnerEffect[] = [];
        const listed = new Map(listAllEngines().map(engine => [engine.id, engine]));
        for (const [id, owner] of owners) {
            const lease = listed.has(id) ? ownership.findLease(`engine/${id}`, now) : undefined;
            if (lease?.fencingNumber !== owner.fencingNumber) {
                effects.push(...owner.close());
                owners.delete(id);
            }
        }
        for (const engine of listed.values()) {
            const lease = owners.has(engine.id) ? undefined : ownership.findLease(`engine/${engine.id}`, now);
            if (lease) {
                owners.set(engine.id, createEngineOwner(engine, createOwnerContext(lease.fencingNumber)));
            }
        }
        return effects;
    };
    const advanceOwners = (now: Milliseconds): readonly OwnerEffect[] => [
        ...updateOwners(now),
        ...[...owners.values()].flatMap(owner => owner.tick(now)),
    ];
    return {
        acquire: (request, now) => resolveEffects(scheduler.add(request, now), now),
        abort: scheduler.remove,
        advance: now => resolveEffects(scheduler.advance(now), now),
        handleMessage: (from, message, now) => resolveEffects(receiveMessage(from, message, now), now),
        handleReport: (report, askedAt, now) =>
            resolveEffects(owners.get(report.engine)?.handleReport(report, askedAt, now) ?? [], now),
        handleOrderResult: (order, result, now) => {
            const owner = owners.get(order.engine.id);
            if (owner?.fencingNumber === order.fencingNumber) {
                return resolveEffects(owner.handleOrderResult(order.kind, order.name, result, now), now);
            }
            return order.kind === "load" ? [{ kind: "releasePermit", name: order.name }] : [];
        },
        handlePermit: (engine, key, startBy, now) => {
            const refusal: CoreEffect = { kind: "withdrawPermit", engine, key };
            return resolveEffects(owners.get(engine)?.handlePermit(key, startBy, now) ?? [refusal], now);
        },
        tick: now => {
            participants.add([...epochs.read().members, ...listLiveInstances()], now);
            if (now - prunedAt >= times.renewInterval) {
                prunedAt = now;
                leases.prune(now);
                tables.expire(now - times.tableTimeout);
            }
            const effects = [...advanceOwners(now), ...scheduler.tick(now)];
            const plans = [...planners.keys()].flatMap(pool => runPlanner(pool, now));
            return resolveEffects([...effects, ...plans], now);
        },
        leave: () => listPeers().map(to => ({ kind: "send", to, message: { kind: "left" } })),
        listOwned: () =>
            listAllEngines().flatMap(engine => {
                const owner = owners.get(engine.id);
                return owner ? [{ engine, fencingNumber: owner.fencingNumber }] : [];
            }),
        readStatus: now => ({
            waiting: scheduler.countWaiting(),
            running: scheduler.countRunning(),
            owned: [...owners.keys()],
            planned: [...planners.keys()].filter(pool => rankPlanners(pool)[0] === self),
            tables: [...tables.list()],
            blockedEvictions: [...owners.values()].flatMap(owner => owner.listBlockedEvictions(now)),
        }),
    };
}

function listEnginesByPool(servers: readonly ListedBackendServer[]): EngineListing {
    const engines = servers.filter(server => server.kind === "engine");
    const pools = new Map<string, ListedEngine[]>();
    for (const engine of engines.filter(listed => listed.state === "live")) {
        pools.set(engine.pool, [...pools.get(engine.pool) ?? [], engine]);
    }
    return { servers, engines, pools };
}
