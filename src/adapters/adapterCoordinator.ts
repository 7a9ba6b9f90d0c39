/**
 * Coordinates adapters on engines among the instances. The store distributes the shards of engines among instances. The
 * holder of a shard sends orders to its engines and gives places on them to the requests of all instances; the other
 * instances only know whom to ask.
 *
 * @packageDocumentation
 */
import { createColdServers } from "../serving/coldServers.js";
import { createServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRunId, parseServerId, type ServerRunId } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { createAdapterMover } from "./adapterMover.js";
import { createAdapterVersions } from "./adapterVersions.js";
import type { AdapterCoordinatorOptions, LeavingSource } from "./coordinatorOptions.js";
import { createEngineFinder } from "./engineFinder.js";
import { createEngineLoads, type EngineLoadStatus } from "./engineLoads.js";
import { createEngineManager, type EngineManager } from "./engineManager.js";
import { createEnginePlaces } from "./enginePlaces.js";
import { createEngineRoom } from "./engineRoom.js";
import { createEngineShards } from "./engineShards.js";
import { createEngineUpkeep } from "./engineUpkeep.js";
import { createHolderLoads } from "./holderLoads.js";
import { createHolderQuestion, decodeAnswer, holderTimeoutMilliseconds } from "./holderQuestions.js";
import { createInstancePermits } from "./instancePermits.js";
import { createLoadScheduler, type LoadStatus } from "./loadScheduler.js";
import { type AdapterMessage, formatAdapterKey, type PlaceRequest, type PlaceResponse } from "./messages.js";
import { createModelLoadLimiter } from "./modelLoadLimiter.js";
import type { PermitClient } from "./permitClient.js";
import { type AcquiredEngine, type AcquireRequest, createPlaceClient, type PlaceClientOptions } from "./placeClient.js";
import { createPlaceService } from "./placeService.js";
import { createResidencyIndex } from "./residencyIndex.js";
import { createServerPermits, type PacedPermitCounts } from "./serverPermits.js";
import { createShardHolders, type ShardHolders } from "./shardHolders.js";
import type { ReleasedShard, ShardTask } from "./shardTask.js";

export type { AdapterCoordinatorOptions, LeavingSource } from "./coordinatorOptions.js";

/** Coordinator of adapters on engines. */
export interface AdapterCoordinator {
    /** Sets the task that provides the shards held by this instance; before this call the instance holds none. */
    readonly setShardTask: (shards: ShardTask) => void;
    /** Holders of all shards, as far as they are known. */
    readonly holders: ShardHolders;
    /**
     * Waits for a place on an engine on which the adapter is resident, which is loaded where needed; resolves with
     * `undefined` when the request's `until` has passed.
     */
    readonly acquire: (request: AcquireRequest) => Promise<AcquiredEngine | undefined>;
    /** Limits that servers have named, and permits for servers without places. */
    readonly permits: Omit<PermitClient, "isLimited" | "isToldCold" | "remove">;
    /** Permits for cold servers that this instance has given. */
    readonly readPermitCounts: () => PacedPermitCounts;
    /** Records a version of an adapter; `announcedAt` is the earliest time of its announcement. */
    readonly recordVersion: (model: string, adapter: string, version: number, announcedAt: Milliseconds) => void;
    /**
     * Records that a server has announced that it is about to stop: requests that wait for a load there move on, and
     * the holder of the server's shard is told where `learnedFrom` is a response.
     */
    readonly handleLeaving: (run: ServerRunId, learnedFrom: LeavingSource) => void;
    /**
     * Records that evacuations have begun or ended: requests that wait for engines look for others, and engines whose
     * evacuation has ended are used again, with what their reports say.
     */
    readonly handleEvacuation: () => void;
    readonly handleServers: (added: readonly BackendServer[], removed: readonly BackendServer[]) => void;
    readonly handleShardGained: (shard: number) => void;
    readonly handleShardLost: (shard: number, released: ReleasedShard) => void;
    readonly handleMembershipChange: () => void;
    readonly handleMessage: (
        from: InstanceId,
        message: AdapterMessage,
    ) => AdapterMessage | undefined | Promise<AdapterMessage>;
    /** Load counts of this instance, and the estimated capacity of the weight store. */
    readonly readLoadStatus: () => LoadStatus;
    /** State of the engines whose shards this instance holds. */
    readonly readEngineStatus: () => EngineLoadStatus;
    /** Does what is due; must be called regularly. */
    readonly tick: () => void;
}

interface HeldEngines {
    readonly usable: readonly BackendServer[];
    readonly held: readonly BackendServer[];
}

/**
 * Time beyond the lifetime of a membership after which the previous holder of a shard gives permits for cold servers at
 * the lower rate, or none: then no window of a second and the delay of permits has the full rate of both.
 */
const takeoverMarginMilliseconds = 1_500;

/**
 * Creates the coordinator. The caller must pass on changes of servers, shards and versions, and messages of peers.
 *
 * @param options - engines, peers and settings
 * @returns the coordinator
 */
export function createAdapterCoordinator(options: AdapterCoordinatorOptions): AdapterCoordinator {
    const { clock, network, self } = options;
    const records = createServerRecords();
    const residency = createResidencyIndex();
    const managers = new Map<ServerRunId, EngineManager>();
    const cold = options.cold ?? createColdServers({
        clock,
        findService: () => undefined,
        readBounds: () => ({ over: 1, slack: 0 }),
    });
    const gainedAt = new Map<number, Milliseconds>();
    // the only holder is one that has held the shard for long and whose membership the store has just confirmed
    const isSettledHolder = (run: ServerRunId): boolean => {
        const heldSince = gainedAt.get(findShard(parseServerId(run)));
        const settlingTime = (options.shardTtl ?? 0) + takeoverMarginMilliseconds;
        return heldSince !== undefined && shards?.isConfirmed() === true &&
            clock.now() - Math.max(heldSince, shards.readEraJoinedAt()) >= settlingTime;
    };
    const serverPermits = createServerPermits({
        findColdRate: (run, isAskedCold) => cold.findRate(run, isSettledHolder(run), isAskedCold),
    });
    const versions = createAdapterVersions(() => options.versionGracePeriod);
    const engineShards = createEngineShards(options.shardCount);
    const { findShard } = engineShards;
    const releasedAt = new Map<number, { readonly fencingNumber: number; readonly lastOrderAt: Milliseconds; }>();
    let shards: ShardTask | undefined;

    const isOrderAllowed = (server: BackendServer): boolean => {
        const held = shards?.find(findShard(server.id));
        return held !== undefined && held.activeAt <= clock.now();
    };
    // kept until the list of servers or the managers change
    const heldEngines = new Map<string, HeldEngines>();
    const listHeldEngines = (service: string): readonly BackendServer[] => {
        const usable = options.listUsable(service);
        const known = heldEngines.get(service);
        if (known?.usable === usable) {
            return known.held;
        }
        const held = usable.filter(server => managers.has(formatServerRunId(server)));
        heldEngines.set(service, { usable, held });
        return held;
    };
    const loadScheduler = createLoadScheduler(() => holderLoads.publishSoon());
    const holderLoads = createHolderLoads({
        clock,
        loadScheduler,
        records,
        listServices: () => [...new Set(options.listEngines().map(server => server.service))],
        listHeldEngines,
        listOthers: () => holders.listOthers(),
        send: (to, load) =>
            network.send(to, "adapters", { kind: "loads", ...load, engines: load.engines.map(entry => [...entry]) }),
    });
    const listPermitted = (service: string): readonly BackendServer[] =>
        listHeldEngines(service).filter(server =>
            serverPermits.measureWait(formatServerRunId(server), clock.now()) === 0
        );
    const room = createEngineRoom({
        clock,
        records,
        listEngines: listPermitted,
        onDecision: options.onRoomDecision,
    });
    const finder = createEngineFinder({
        clock,
        failureDomain: options.failureDomain,
        records,
        residency,
        versions,
        listEngines: listPermitted,
        listHeld: listHeldEngines,
        room,
        isOrderAllowed,
        ensure: (run, request) => managers.get(run)?.ensure(request),
        ...options.filterByRegions && { filterByRegions: options.filterByRegions },
        readMeanLoad: service => holderLoads.readMeanLoad(service),
        measureColdLoad: cold.measureLoad,
    });
    const engineLoads = createEngineLoads(clock, records);
    const places = createEnginePlaces(records, engineLoads, {
        onTaken: place => {
            const { run, choice } = place;
            room.markTaken(place);
            if (choice.adapter !== undefined) {
                managers.get(run)?.markUseStarted(formatAdapterKey(choice.model, choice.adapter));
            }
        },
        onFreed: place => {
            const { run, choice } = place;
            room.markFreed(place);
            if (choice.adapter !== undefined) {
                managers.get(run)?.markUseEnded(formatAdapterKey(choice.model, choice.adapter));
            }
            finder.markFree(run);
        },
    });
    const placeService = createPlaceService({
        clock,
        finder,
        places,
        records,
        takePermit: run => {
            const now = clock.now();
            const isPaced = cold.canBeCold(run) ? serverPermits.isPaced(run, now) : undefined;
            return serverPermits.take(run, now) ? { isPaced } : undefined;
        },
        returnPermit: run => serverPermits.giveBack(run, clock.now()),
        recordReached: cold.recordReached,
        room,
    });
    const holders = createShardHolders({
        self,
        clock,
        random: options.random,
        askInstance: async instance => {
            const response = await network.request(
                instance,
                "adapters",
                { kind: "askHolders" },
                holderTimeoutMilliseconds,
            );
            const answer = response.ok ? decodeAnswer(response.value) : undefined;
            return answer?.kind === "holders" ? answer.holders : undefined;
        },
        readStore: options.readHolders,
        onMoved: (shard, holder) => sendRelease(shard, holder),
    });
    const modelLoadLimiter = createModelLoadLimiter(clock, () => holders.listOthers().length + 1);
    const requestHolder = createHolderQuestion(network, holders);
    // the next holder of a shard may send orders as soon as the lease of this instance's last order is over
    const sendRelease = (shard: number, holder: InstanceId): void => {
        const released = releasedAt.get(shard);
        if (!released || holder === self) {
            return;
        }
        releasedAt.delete(shard);
        const sinceLastOrder = Math.min(clock.now() - released.lastOrderAt, Number.MAX_SAFE_INTEGER);
        network.send(holder, "adapters", {
            kind: "released",
            shard,
            // a fencing number; the field keeps its name for instances of an earlier build
            generation: released.fencingNumber,
            sinceLastOrder,
        });
    };
    const openManager = (server: BackendServer, isAdded: boolean): void => {
        const shard = findShard(server.id);
        residency.seed(formatServerRunId(server), server.models);
        const manager = createEngineManager({
            server,
            findLimits: () => options.findLimits(server.service),
            onLoad: load => engineLoads.handleReport(formatServerRunId(server), load),
            control: options.control,
            clock,
            holder: self,
            mayReceive: () => options.mayReceive(formatServerRunId(server)),
            onLeaving: () => options.onLeaving(formatServerRunId(server), "engine"),
            findFencingNumber: () => isOrderAllowed(server) ? shards?.find(shard)?.fencingNumber : undefined,
            onFenced: () => shards?.markFenced(formatServerRunId(server)),
            shard,
            loadScheduler,
            tryAcquireModelLoad: modelLoadLimiter.tryAcquire,
            onChange: change => {
                residency.apply(change);
                if (change.version === undefined) {
                    finder.markFree(change.run);
                }
                else {
                    finder.markResident(formatAdapterKey(change.model, change.adapter));
                }
            },
            onTable: table => {
                residency.replace(table);
            },
        });
        const limits = options.findLimits(server.service);
        // an engine with adapters has had a holder, whose requests may still run there
        const isNew = isAdded && server.models.every(model => model.adapters.length === 0);
        engineLoads.open(server, limits?.kvCacheTokens ?? Number.POSITIVE_INFINITY, isNew);
        managers.set(manager.run, manager);
        heldEngines.clear();
        if (options.isEvacuated?.(server)) {
            upkeep.markWithdrawn(manager.run);
        }
        else {
            startTask("report of an engine", manager.refresh);
        }
    };
    const openManagers = (servers: readonly BackendServer[], areAdded: boolean): void =>
        servers
            .filter(server => options.findLimits(server.service) && shards?.find(findShard(server.id)))
            .filter(server => !managers.has(formatServerRunId(server)))
            .forEach(server => openManager(server, areAdded));
    const closeManager = (server: BackendServer): EngineManager | undefined => {
        const run = formatServerRunId(server);
        const manager = managers.get(run);
        manager?.stop();
        managers.delete(run);
        upkeep.remove(run);
        heldEngines.clear();
        places.removeEngine(run);
        residency.remove(run);
        engineLoads.remove(run);
        records.remove(run);
        return manager;
    };
    const requestPlace = async (
        holder: InstanceId,
        shard: number,
        request: PlaceRequest,
    ): Promise<PlaceResponse | undefined> => {
        if (holder === self) {
            return shards?.find(shard) ? placeService.handle(request) : { kind: "notHolder" };
        }
        const message = { kind: "place", shard, ...request } as unknown as AdapterMessage;
        const answer = await requestHolder(holder, message);
        return answer && isPlaceResponse(answer) ? answer : undefined;
    };
    const end: PlaceClientOptions["end"] = (holder, id, outcome, report) => {
        if (holder === self) {
            placeService.end(id, outcome, report);
            return;
        }
        network.send(holder, "adapters", { kind: "ended", id, outcome, ...report });
    };
    const begin: PlaceClientOptions["begin"] = (holder, id, report) => {
        if (holder === self) {
            places.begin(id, report);
            return;
        }
        network.send(holder, "adapters", { kind: "began", id, ...report });
    };
    const sendLeaving = (holder: InstanceId, run: ServerRunId): void =>
        network.send(holder, "adapters", { kind: "leaving", run });
    const permits = createInstancePermits({
        self,
        clock,
        network,
        holders,
        serverPermits,
        cold,
        requestHolder,
        findShard: server => findShard(server.id),
        isHeld: shard => shards?.find(shard) !== undefined,
    });
    const placeClient = createPlaceClient({
        runId: options.runId,
        clock,
        shards: engineShards,
        holders,
        versions,
        isLimited: run => permits.client.isLimited(run) || cold.needsPermit(run),
        isStatedCold: cold.isStatedCold,
        confirmColdness: (holder, server) => {
            const run = formatServerRunId(server);
            const isTold = holder === self || permits.client.isToldCold(holder, run);
            if (!isTold) {
                permits.client.recordCold(server, cold.measureRemaining(run));
            }
            return isTold;
        },
        isLeaving: options.isLeaving,
        reportLeaving: sendLeaving,
        ask: requestPlace,
        end,
        begin,
    });
    const adapterMover = createAdapterMover({
        self,
        shards: engineShards,
        finder,
        listUsable: options.listUsable,
        findHolder: holders.find,
        send: (holder, message) => network.send(holder, "adapters", message),
    });
    const upkeep = createEngineUpkeep({
        clock,
        managers,
        versions,
        isServing: options.isServing,
        moveAdapters: adapterMover.move,
    });
    const handleMessage: AdapterCoordinator["handleMessage"] = (from, message) => {
        holders.markResponsive(from);
        switch (message.kind) {
            case "place":
                return shards?.find(message.shard) ? placeService.handle(message) : { kind: "notHolder" };
            case "ended":
                placeService.end(message.id, message.outcome, message);
                return undefined;
            case "began":
                places.begin(message.id, message);
                return undefined;
            case "limit":
                permits.recordLimit(message.run, message);
                if (message.coldFor !== undefined) {
                    cold.recordTold(message.run, message.coldFor);
                }
                return undefined;
            case "leaving":
                options.onLeaving(message.run, "instance");
                return undefined;
            case "prepare":
                adapterMover.loadAhead(message);
                return undefined;
            case "askPermit":
                return {
                    kind: "permit",
                    wait: permits.decide(message.shard, message.run, message.requestsPerSecond, message.coldFor),
                    isReturnable: true,
                };
            case "returnPermit":
                permits.takeBack(message.shard, message.run);
                return undefined;
            case "askHolders":
                return { kind: "holders", holders: holders.list().map(entry => [...entry]) };
            case "loads":
                holderLoads.handle(from, message);
                return undefined;
            case "released":
                shards?.markReleased(message.shard, message.generation, clock.now() - message.sinceLastOrder);
                return undefined;
            case "permit":
            case "placed":
            case "waiting":
            case "busy":
            case "refused":
            case "unavailable":
            case "notHolder":
            case "holders":
                return undefined;
        }
    };
    return {
        setShardTask: task => {
            shards = task;
        },
        holders,
        acquire: placeClient.acquire,
        permits: permits.client,
        readPermitCounts: serverPermits.readCounts,
        recordVersion: (model, adapter, version, announcedAt) => {
            if (versions.record(formatAdapterKey(model, adapter), version, announcedAt)) {
                upkeep.replaceOutdated();
            }
        },
        handleLeaving: (run, learnedFrom) => {
            upkeep.withdraw([run]);
            const holder = holders.find(findShard(parseServerId(run)));
            if (learnedFrom === "response" && holder !== undefined && holder !== self) {
                sendLeaving(holder, run);
            }
        },
        handleEvacuation: () => {
            upkeep.check();
            finder.markEnginesChanged();
        },
        handleServers: (added, removed) => {
            removed.map(formatServerRunId).forEach(permits.remove);
            removed.forEach(closeManager);
            openManagers(added, true);
        },
        handleShardGained: shard => {
            gainedAt.set(shard, clock.now());
            serverPermits.resetPace(run => findShard(parseServerId(run)) === shard);
            openManagers(options.listEngines().filter(server => findShard(server.id) === shard), false);
        },
        handleShardLost: (shard, { fencingNumber, previousOrderAt }) => {
            holders.markReleased(shard);
            gainedAt.delete(shard);
            const closed = options.listEngines().filter(server => findShard(server.id) === shard).map(closeManager);
            const orderTimes = closed.map(manager => manager?.readLastOrderAt() ?? Number.NEGATIVE_INFINITY);
            releasedAt.set(shard, { fencingNumber, lastOrderAt: Math.max(previousOrderAt, ...orderTimes) });
        },
        handleMembershipChange: () => startTask("holders of shards", holders.reload),
        handleMessage,
        readEngineStatus: engineLoads.readStatus,
        readLoadStatus: () => loadScheduler.readStatus(clock.now()),
        tick: () => {
            upkeep.check();
            placeService.expire(clock.now());
            room.tick();
            upkeep.replaceOutdated();
            loadScheduler.expire(clock.now());
            holderLoads.tick();
            upkeep.refreshEmpty();
        },
    };
}

function isPlaceResponse(message: AdapterMessage): message is AdapterMessage & PlaceResponse {
    return ["placed", "waiting", "busy", "refused", "unavailable", "notHolder"].includes(message.kind);
}
