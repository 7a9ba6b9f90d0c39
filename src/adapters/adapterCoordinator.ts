/**
 * Routes requests to engines on which their adapter is resident, and coordinates adapter loads with the other
 * instances. Only the instance that holds an engine's shard sends orders to the engine. This instance manages the
 * engines of the shards that it holds, and sends ensure requests for other engines to their holders.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { ServerRecords } from "../serving/serverRecords.js";
import {
    type BackendServer,
    type EngineLimits,
    formatServerRunId,
    type ModelChoice,
    type ServerRunId,
} from "../serving/types.js";
import {
    type Clock,
    type FailureDomainId,
    hashForPlacement,
    type InstanceId,
    type Milliseconds,
} from "../shared/index.js";
import { createAdapterVersions } from "./adapterVersions.js";
import { type AcquiredEngine, type AcquireRequest, createEngineFinder } from "./engineFinder.js";
import { createEngineManager, type EngineManager } from "./engineManager.js";
import { createEnsureCoalescer } from "./ensureCoalescer.js";
import { createLoadScheduler, type LoadCounts, type LoadStatus } from "./loadScheduler.js";
import {
    type AdapterMessage,
    type AdapterUse,
    type EnsureRequest,
    type EnsureResult,
    formatAdapterKey,
} from "./messages.js";
import { createModelLoadLimiter } from "./modelLoadLimiter.js";
import { createResidencyIndex } from "./residencyIndex.js";
import type { ShardTask } from "./shardTask.js";
import type { EngineControl } from "./types.js";
import { createUseCounts } from "./useCounts.js";

/** Options of the adapter coordinator. */
export interface AdapterCoordinatorOptions {
    readonly self: InstanceId;
    /** Name of this instance, sent with each order. */
    readonly holder: string;
    readonly failureDomain: FailureDomainId;
    readonly shardCount: number;
    readonly control: EngineControl;
    readonly clock: Clock;
    readonly records: ServerRecords;
    readonly network: PeerNetwork;
    readonly listPeers: () => readonly InstanceId[];
    readonly listEngines: () => readonly BackendServer[];
    readonly findLimits: (service: string) => EngineLimits | undefined;
    /** Time from a version's announcement during which requests may still start on older ones. */
    readonly versionGracePeriod: Milliseconds;
}

/** Coordinator of adapters on engines. */
export interface AdapterCoordinator {
    /** Sets the task that provides the shards held by this instance; before this call the instance holds none. */
    readonly setShardTask: (shards: ShardTask) => void;
    /**
     * Waits for an engine on which the adapter is resident, loading it where needed; resolves with `undefined` when the
     * request's `until` has passed.
     */
    readonly acquire: (request: AcquireRequest) => Promise<AcquiredEngine | undefined>;
    /** Records that the engine has refused a request because it doesn't hold the adapter that the request names. */
    readonly markDenied: (server: BackendServer, choice: ModelChoice) => void;
    /** Counts the start of a request on an engine. */
    readonly markStarted: (server: BackendServer, choice: ModelChoice) => void;
    /** Counts the end of a request on an engine. */
    readonly markEnded: (server: BackendServer, choice: ModelChoice) => void;
    /** Records a version of an adapter; `announcedAt` is the earliest time of its announcement. */
    readonly recordVersion: (model: string, adapter: string, version: number, announcedAt: Milliseconds) => void;
    readonly handleServers: (added: readonly BackendServer[], removed: readonly BackendServer[]) => void;
    readonly handleShardGained: (shard: number) => void;
    readonly handleShardLost: (shard: number, generation: number) => void;
    readonly handleMembershipChange: () => void;
    /** Time of the last observed change of a shard's holder; `undefined` when none was observed. */
    readonly findHolderChangedAt: (shard: number) => Milliseconds | undefined;
    readonly handleMessage: (
        from: InstanceId,
        message: AdapterMessage,
    ) => AdapterMessage | undefined | Promise<AdapterMessage>;
    /** Load counts of this instance, and the estimated capacity of the weight store. */
    readonly readLoadStatus: () => LoadStatus;
    /** Sends the changes since the last call to the other instances; must be called regularly. */
    readonly publish: () => void;
    /** Sends the held shards, their engines' tables and the load counts to a newly discovered peer. */
    readonly sendState: (peer: InstanceId) => void;
}

interface ShardHolder {
    readonly instance: InstanceId;
    readonly generation: number;
}

/** Time after which an ensure request to another instance counts as unanswered. */
const ensureTimeoutMilliseconds = 2_500;
/** Lowest priority, so that outdated versions are replaced only after the loads that client requests wait for. */
const replacementLoadParameters = { priority: 10, usefulFor: 0, patience: 1_000 };
/** Interval between report fetches from engines that have no base model loaded. */
const missingModelCheckIntervalMilliseconds = 500;
/** Minimum interval between two load count messages, per peer that receives them. */
const countPublishIntervalMillisecondsPerPeer = 2;
const minimumCountPublishIntervalMilliseconds = 10;

/**
 * Creates the coordinator. The caller must pass on changes of servers, shards and versions, and messages of peers.
 *
 * @param options - engines, peers and settings
 * @returns the coordinator
 */
export function createAdapterCoordinator(options: AdapterCoordinatorOptions): AdapterCoordinator {
    const { clock } = options;
    const residency = createResidencyIndex();
    const modelLoadLimiter = createModelLoadLimiter(clock, () => options.listPeers().length + 1);
    const managers = new Map<ServerRunId, EngineManager>();
    const loadScheduler = createLoadScheduler(() => void publishLoadCounts());
    const holders = new Map<number, ShardHolder>();
    const holderChangedAt = new Map<number, Milliseconds>();
    const versions = createAdapterVersions(options.versionGracePeriod);
    const uses = createUseCounts();
    let changes: Extract<AdapterMessage, { readonly kind: "changes"; }>["changes"][number][] = [];
    let shards: ShardTask | undefined;
    let missingModelsCheckedAt = Number.NEGATIVE_INFINITY;
    let isPublishingLoadCounts = false;
    let publishedLoadCounts: LoadCounts = { running: 0, waiting: 0 };

    const findShard = (server: BackendServer): number =>
        Number(hashForPlacement(server.id) % BigInt(options.shardCount));
    const sendToAll = (message: AdapterMessage): void =>
        options.listPeers().forEach(peer => options.network.send(peer, "adapters", message));
    const hasHolder = (server: BackendServer): boolean => {
        const shard = findShard(server);
        const held = shards?.find(shard);
        if (held) {
            return held.activeAt <= clock.now();
        }
        const holder = holders.get(shard);
        return holder !== undefined && options.listPeers().includes(holder.instance);
    };
    const openManager = (server: BackendServer): EngineManager => {
        const shard = findShard(server);
        const manager = createEngineManager({
            server,
            findLimits: () => options.findLimits(server.service),
            control: options.control,
            clock,
            holder: options.holder,
            findFencingNumber: () => {
                const held = shards?.find(shard);
                return held && held.activeAt <= clock.now() ? held.fencingNumber : undefined;
            },
            onFenced: () => shards?.markFenced(),
            loadScheduler,
            tryAcquireModelLoad: modelLoadLimiter.tryAcquire,
            onChange: change => {
                residency.apply(change);
                changes.push(change);
            },
            onTable: table => {
                residency.replace(table);
                sendToAll({ kind: "tables", tables: [table] });
            },
        });
        managers.set(manager.run, manager);
        void manager.refresh();
        return manager;
    };
    const closeManager = (run: ServerRunId): EngineManager | undefined => {
        const manager = managers.get(run);
        manager?.stop();
        managers.delete(run);
        return manager;
    };
    const sendEnsure = async (server: BackendServer, request: EnsureRequest): Promise<EnsureResult> => {
        const run = formatServerRunId(server);
        const manager = managers.get(run);
        if (manager) {
            return manager.ensure(request);
        }
        const holder = holders.get(findShard(server));
        if (!holder) {
            return { outcome: "notHolder", version: undefined };
        }
        const message: AdapterMessage = { kind: "ensure", run, ...request };
        const answer = await options.network.request(holder.instance, "adapters", message, ensureTimeoutMilliseconds);
        if (answer.ok && answer.value.kind === "ensured") {
            return answer.value;
        }
        return { outcome: "notHolder", version: undefined };
    };
    const ensureCoalescer = createEnsureCoalescer(sendEnsure);
    const engineFinder = createEngineFinder({
        clock,
        failureDomain: options.failureDomain,
        records: options.records,
        residency,
        versions,
        ensureCoalescer,
        hasHolder,
    });
    const publishUses = (): void => {
        const usesByHolder = new Map<InstanceId, AdapterUse[]>();
        for (const server of options.listEngines()) {
            const run = formatServerRunId(server);
            const drained = uses.drain(run);
            const manager = managers.get(run);
            const holder = holders.get(findShard(server))?.instance;
            if (manager) {
                drained.forEach(use => manager.recordUse(options.self, use));
            }
            else if (holder !== undefined && drained.length > 0) {
                usesByHolder.set(holder, [...(usesByHolder.get(holder) ?? []), ...drained]);
            }
        }
        usesByHolder.forEach((list, holder) => options.network.send(holder, "adapters", { kind: "uses", uses: list }));
    };
    const publishLoadCounts = async (): Promise<void> => {
        if (isPublishingLoadCounts) {
            return;
        }
        isPublishingLoadCounts = true;
        await clock.sleep(
            Math.max(
                minimumCountPublishIntervalMilliseconds,
                options.listPeers().length * countPublishIntervalMillisecondsPerPeer,
            ),
        );
        isPublishingLoadCounts = false;
        const counts = loadScheduler.readCounts(clock.now());
        if (counts.running !== publishedLoadCounts.running || counts.waiting !== publishedLoadCounts.waiting) {
            publishedLoadCounts = counts;
            sendToAll({ kind: "loads", ...counts });
        }
    };
    const replaceOutdatedAdapters = (): void => {
        const newest = versions.listNewest();
        for (const manager of managers.values()) {
            for (const key of manager.listOutdated(newest)) {
                const slash = key.indexOf("/");
                const choice = { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
                const version = newest.get(key);
                void manager.ensure({ ...choice, version, wasDenied: false, ...replacementLoadParameters });
            }
        }
    };
    /** Fetches reports of engines without a model, to see whether they have one now. */
    const refreshEnginesWithoutModel = (): void => {
        if (clock.now() - missingModelsCheckedAt < missingModelCheckIntervalMilliseconds) {
            return;
        }
        missingModelsCheckedAt = clock.now();
        for (const manager of managers.values()) {
            if (!manager.hasModel()) {
                void manager.refresh();
            }
        }
    };
    const describeTables = (): AdapterMessage => ({
        kind: "tables",
        tables: [...managers.values()].map(manager => manager.describe()),
    });
    const describeHolding = (): AdapterMessage | undefined => {
        const list = shards?.list() ?? [];
        const first = list[0] === undefined ? undefined : shards?.find(list[0]);
        return first && { kind: "holding", shards: list, generation: first.fencingNumber };
    };
    const setHolder = (shard: number, instance: InstanceId, generation: number): void => {
        const known = holders.get(shard);
        if ((known?.generation ?? 0) > generation) {
            return;
        }
        holders.set(shard, { instance, generation });
        if (known?.instance !== instance) {
            known && holderChangedAt.set(shard, clock.now());
            options.listEngines().filter(server => findShard(server) === shard)
                .forEach(server => uses.markChanged(formatServerRunId(server)));
        }
    };
    const handleMessage: AdapterCoordinator["handleMessage"] = (from, message) => {
        switch (message.kind) {
            case "ensure": {
                const manager = managers.get(message.run);
                if (!manager) {
                    return { kind: "ensured", outcome: "notHolder", version: undefined };
                }
                return manager.ensure(message).then(result => ({ kind: "ensured", ...result }));
            }
            case "tables":
                // this instance's state of its own engines is newer than that of a previous holder
                message.tables.filter(table => !managers.has(table.run)).forEach(residency.replace);
                return undefined;
            case "changes":
                message.changes.filter(change => !managers.has(change.run)).forEach(residency.apply);
                return undefined;
            case "uses":
                message.uses.forEach(use => managers.get(use.run)?.recordUse(from, use));
                return undefined;
            case "loads":
                loadScheduler.handleCounts(from, message, clock.now());
                return undefined;
            case "holding":
                message.shards.forEach(shard => setHolder(shard, from, message.generation));
                return undefined;
            case "released":
                shards?.markReleased(message.shard, message.generation, clock.now() - message.sinceLastOrder);
                return undefined;
            case "ensured":
                return undefined;
        }
    };
    return {
        setShardTask: task => {
            shards = task;
        },
        acquire: engineFinder.acquire,
        markDenied: (server, choice) => {
            if (choice.adapter === undefined) {
                return;
            }
            const run = formatServerRunId(server);
            ensureCoalescer.markDenied(server, choice);
            residency.apply({ run, model: choice.model, adapter: choice.adapter, version: undefined });
        },
        markStarted: (server, choice) => uses.markStarted(formatServerRunId(server), choice),
        markEnded: (server, choice) => uses.markEnded(formatServerRunId(server), choice),
        recordVersion: (model, adapter, version, announcedAt) => {
            const key = formatAdapterKey(model, adapter);
            if (versions.record(key, version, announcedAt)) {
                replaceOutdatedAdapters();
            }
        },
        handleServers: (added, removed) => {
            for (const server of removed) {
                const run = formatServerRunId(server);
                closeManager(run);
                residency.remove(run);
                uses.remove(run);
            }
            for (const server of added) {
                if (options.findLimits(server.service)) {
                    residency.seed(formatServerRunId(server), server.models);
                }
                const isHeld = options.findLimits(server.service) && shards?.find(findShard(server));
                if (isHeld && !managers.has(formatServerRunId(server))) {
                    openManager(server);
                }
            }
        },
        handleShardGained: shard => {
            for (const server of options.listEngines()) {
                if (findShard(server) === shard && !managers.has(formatServerRunId(server))) {
                    openManager(server);
                }
            }
        },
        findHolderChangedAt: shard => holderChangedAt.get(shard),
        handleShardLost: (shard, generation) => {
            holderChangedAt.set(shard, clock.now());
            let lastOrderAt = Number.NEGATIVE_INFINITY;
            for (const server of options.listEngines()) {
                if (findShard(server) === shard) {
                    const manager = closeManager(formatServerRunId(server));
                    lastOrderAt = Math.max(lastOrderAt, manager?.readLastOrderAt() ?? Number.NEGATIVE_INFINITY);
                }
            }
            const sinceLastOrder = Math.min(clock.now() - lastOrderAt, Number.MAX_SAFE_INTEGER);
            sendToAll({ kind: "released", shard, generation, sinceLastOrder });
        },
        handleMembershipChange: () => {
            const holding = describeHolding();
            if (holding) {
                sendToAll(holding);
            }
        },
        handleMessage,
        readLoadStatus: () => loadScheduler.readStatus(clock.now()),
        publish: () => {
            if (changes.length > 0) {
                sendToAll({ kind: "changes", changes });
                changes = [];
            }
            publishUses();
            replaceOutdatedAdapters();
            loadScheduler.pruneCounts(options.listPeers(), clock.now());
            loadScheduler.expire(clock.now());
            // waiting loads become late as time passes, without an event that would publish the counts
            void publishLoadCounts();
            refreshEnginesWithoutModel();
        },
        sendState: peer => {
            const holding = describeHolding();
            if (holding) {
                options.network.send(peer, "adapters", holding);
                options.network.send(peer, "adapters", describeTables());
            }
            options.network.send(peer, "adapters", { kind: "loads", ...publishedLoadCounts });
        },
    };
}
