/**
 * Brings requests to engines that hold their adapter. Orders go through the instance that holds the engine's shard; this
 * part is holder of some engines and asks the holders of the others.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { ServerRecords } from "../serving/serverRecords.js";
import {
    type BackendServer,
    type EngineLimits,
    formatServerRun,
    type ModelChoice,
    type ServerRun,
} from "../serving/types.js";
import {
    type Clock,
    type FailureDomainId,
    hashForPlacement,
    type InstanceId,
    type Milliseconds,
} from "../shared/index.js";
import { createAdapterVersions } from "./adapterVersions.js";
import { createAdapterWishes } from "./adapterWishes.js";
import { createEngineKeeper, type EngineKeeper } from "./engineKeeper.js";
import { createLoadGate, type LoadCounts, type LoadReading } from "./loadGate.js";
import {
    type AdapterMessage,
    type AdapterUse,
    type EnsureResult,
    type EnsureWish,
    formatAdapterKey,
} from "./messages.js";
import { createModelLoadLimit } from "./modelLoadLimit.js";
import { createPlaceFinder, type Place, type PlaceRequest } from "./placeFinder.js";
import { createResidency } from "./residency.js";
import type { ShardTask } from "./shardTask.js";
import type { EngineControl } from "./types.js";
import { createUseCounts } from "./useCounts.js";

/** Settings of the desk. */
export interface AdapterDeskOptions {
    readonly self: InstanceId;
    /** Name under which orders are given. */
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
    /** Time from the announcement of a version until older ones may not be begun. */
    readonly versionBound: Milliseconds;
}

/** The desk. */
export interface AdapterDesk {
    readonly attachShards: (shards: ShardTask) => void;
    /** Finds an engine that holds the adapter, after a load where needed. */
    readonly acquire: (request: PlaceRequest) => Promise<Place | undefined>;
    /** The engine has said that it doesn't hold what a request names. */
    readonly markDenied: (server: BackendServer, choice: ModelChoice) => void;
    readonly markStarted: (server: BackendServer, choice: ModelChoice) => void;
    readonly markEnded: (server: BackendServer, choice: ModelChoice) => void;
    /** A version was named, at the given time or later. */
    readonly markVersion: (model: string, adapter: string, version: number, namedAt: Milliseconds) => void;
    readonly handleServers: (added: readonly BackendServer[], removed: readonly BackendServer[]) => void;
    readonly handleGained: (shard: number) => void;
    readonly handleLost: (shard: number, generation: number) => void;
    readonly handleGeneration: () => void;
    /** Time at which a shard was last seen to change its holder. */
    readonly findHolderChange: (shard: number) => Milliseconds | undefined;
    readonly handleMessage: (
        from: InstanceId,
        message: AdapterMessage,
    ) => AdapterMessage | undefined | Promise<AdapterMessage>;
    /** Loads of the engines held, and the weight store's capacity. */
    readonly readLoads: () => LoadReading;
    /** Tells the others what changed since the last call. */
    readonly publish: () => void;
    /** Tells a peer that has just been seen all that this instance holds. */
    readonly greet: (peer: InstanceId) => void;
}

interface ShardHolder {
    readonly instance: InstanceId;
    readonly generation: number;
}

const ensureTimeoutMilliseconds = 2_500;
/** A replacement goes after loads that requests wait for. */
const replacementUrgency = { priority: 10, usefulFor: 0, patience: 1_000 };
const emptyPeriodMilliseconds = 500;
/** Counts of loads are told at most once in this time for each instance that is told. */
const loadTellMillisecondsEach = 2;
const leastLoadTellMilliseconds = 10;

/**
 * Creates the desk.
 *
 * @param options - engines, peers and settings
 * @returns the desk
 */
export function createAdapterDesk(options: AdapterDeskOptions): AdapterDesk {
    const { clock } = options;
    const residency = createResidency();
    const modelLoads = createModelLoadLimit(clock, () => options.listPeers().length + 1);
    const keepers = new Map<ServerRun, EngineKeeper>();
    const gate = createLoadGate(() => void publishLoads());
    const holders = new Map<number, ShardHolder>();
    const holderChangedAt = new Map<number, Milliseconds>();
    const versions = createAdapterVersions(options.versionBound);
    const uses = createUseCounts();
    let changes: Extract<AdapterMessage, { readonly kind: "changes"; }>["changes"][number][] = [];
    let shards: ShardTask | undefined;
    let emptyAskedAt = Number.NEGATIVE_INFINITY;
    let isPublishingLoads = false;
    let toldLoads: LoadCounts = { running: 0, waiting: 0 };

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
    const openKeeper = (server: BackendServer): EngineKeeper => {
        const shard = findShard(server);
        const keeper = createEngineKeeper({
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
            gate,
            takeModelLoad: modelLoads.take,
            onChange: change => {
                residency.apply(change);
                changes.push(change);
            },
            onTable: table => {
                residency.replace(table);
                sendToAll({ kind: "tables", tables: [table] });
            },
        });
        keepers.set(keeper.run, keeper);
        void keeper.refresh();
        return keeper;
    };
    const closeKeeper = (run: ServerRun): EngineKeeper | undefined => {
        const keeper = keepers.get(run);
        keeper?.stop();
        keepers.delete(run);
        return keeper;
    };
    const requestEnsure = async (server: BackendServer, wish: EnsureWish): Promise<EnsureResult> => {
        const run = formatServerRun(server);
        const keeper = keepers.get(run);
        if (keeper) {
            return keeper.ensure(wish);
        }
        const holder = holders.get(findShard(server));
        if (!holder) {
            return { outcome: "notHolder", version: undefined };
        }
        const message: AdapterMessage = { kind: "ensure", run, ...wish };
        const answer = await options.network.request(holder.instance, "adapters", message, ensureTimeoutMilliseconds);
        if (answer.ok && answer.value.kind === "ensured") {
            return answer.value;
        }
        return { outcome: "notHolder", version: undefined };
    };
    const wishes = createAdapterWishes(requestEnsure);
    const places = createPlaceFinder({
        clock,
        failureDomain: options.failureDomain,
        records: options.records,
        residency,
        versions,
        wishes,
        hasHolder,
    });
    const publishUses = (): void => {
        const byHolder = new Map<InstanceId, AdapterUse[]>();
        for (const server of options.listEngines()) {
            const run = formatServerRun(server);
            const drained = uses.drain(run);
            const keeper = keepers.get(run);
            const holder = holders.get(findShard(server))?.instance;
            if (keeper) {
                drained.forEach(use => keeper.countUse(options.self, use));
            }
            else if (holder !== undefined && drained.length > 0) {
                byHolder.set(holder, [...(byHolder.get(holder) ?? []), ...drained]);
            }
        }
        byHolder.forEach((list, holder) => options.network.send(holder, "adapters", { kind: "uses", uses: list }));
    };
    const publishLoads = async (): Promise<void> => {
        if (isPublishingLoads) {
            return;
        }
        isPublishingLoads = true;
        await clock.sleep(Math.max(leastLoadTellMilliseconds, options.listPeers().length * loadTellMillisecondsEach));
        isPublishingLoads = false;
        const counts = gate.readCounts(clock.now());
        if (counts.running !== toldLoads.running || counts.waiting !== toldLoads.waiting) {
            toldLoads = counts;
            sendToAll({ kind: "loads", ...counts });
        }
    };
    const replaceOutdated = (): void => {
        const newest = versions.listNewest();
        for (const keeper of keepers.values()) {
            for (const key of keeper.listOutdated(newest)) {
                const slash = key.indexOf("/");
                const choice = { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
                const version = newest.get(key);
                void keeper.ensure({ ...choice, version, wasDenied: false, ...replacementUrgency });
            }
        }
    };
    /** Asks engines that had no model whether they have one now. */
    const refreshEmpty = (): void => {
        if (clock.now() - emptyAskedAt < emptyPeriodMilliseconds) {
            return;
        }
        emptyAskedAt = clock.now();
        for (const keeper of keepers.values()) {
            if (!keeper.hasModel()) {
                void keeper.refresh();
            }
        }
    };
    const describeAll = (): AdapterMessage => ({
        kind: "tables",
        tables: [...keepers.values()].map(keeper => keeper.describe()),
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
                .forEach(server => uses.renew(formatServerRun(server)));
        }
    };
    const handleMessage: AdapterDesk["handleMessage"] = (from, message) => {
        switch (message.kind) {
            case "ensure": {
                const keeper = keepers.get(message.run);
                if (!keeper) {
                    return { kind: "ensured", outcome: "notHolder", version: undefined };
                }
                return keeper.ensure(message).then(result => ({ kind: "ensured", ...result }));
            }
            case "tables":
                // the holder knows its engines better than one that held them before
                message.tables.filter(table => !keepers.has(table.run)).forEach(residency.replace);
                return undefined;
            case "changes":
                message.changes.filter(change => !keepers.has(change.run)).forEach(residency.apply);
                return undefined;
            case "uses":
                message.uses.forEach(use => keepers.get(use.run)?.countUse(from, use));
                return undefined;
            case "loads":
                gate.handleCounts(from, message, clock.now());
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
        attachShards: task => {
            shards = task;
        },
        acquire: places.acquire,
        markDenied: (server, choice) => {
            if (choice.adapter === undefined) {
                return;
            }
            const run = formatServerRun(server);
            wishes.markDenied(server, choice);
            residency.apply({ run, model: choice.model, adapter: choice.adapter, version: undefined });
        },
        markStarted: (server, choice) => uses.markStarted(formatServerRun(server), choice),
        markEnded: (server, choice) => uses.markEnded(formatServerRun(server), choice),
        markVersion: (model, adapter, version, namedAt) => {
            const key = formatAdapterKey(model, adapter);
            if (versions.name(key, version, namedAt)) {
                replaceOutdated();
            }
        },
        handleServers: (added, removed) => {
            for (const server of removed) {
                const run = formatServerRun(server);
                closeKeeper(run);
                residency.remove(run);
                uses.remove(run);
            }
            for (const server of added) {
                if (options.findLimits(server.service)) {
                    residency.seed(formatServerRun(server), server.models);
                }
                const isHeld = options.findLimits(server.service) && shards?.find(findShard(server));
                if (isHeld && !keepers.has(formatServerRun(server))) {
                    openKeeper(server);
                }
            }
        },
        handleGained: shard => {
            for (const server of options.listEngines()) {
                if (findShard(server) === shard && !keepers.has(formatServerRun(server))) {
                    openKeeper(server);
                }
            }
        },
        findHolderChange: shard => holderChangedAt.get(shard),
        handleLost: (shard, generation) => {
            holderChangedAt.set(shard, clock.now());
            let lastOrderAt = Number.NEGATIVE_INFINITY;
            for (const server of options.listEngines()) {
                if (findShard(server) === shard) {
                    const keeper = closeKeeper(formatServerRun(server));
                    lastOrderAt = Math.max(lastOrderAt, keeper?.readLastOrderAt() ?? Number.NEGATIVE_INFINITY);
                }
            }
            const sinceLastOrder = Math.min(clock.now() - lastOrderAt, Number.MAX_SAFE_INTEGER);
            sendToAll({ kind: "released", shard, generation, sinceLastOrder });
        },
        handleGeneration: () => {
            const holding = describeHolding();
            if (holding) {
                sendToAll(holding);
            }
        },
        handleMessage,
        readLoads: () => gate.read(clock.now()),
        publish: () => {
            if (changes.length > 0) {
                sendToAll({ kind: "changes", changes });
                changes = [];
            }
            publishUses();
            replaceOutdated();
            gate.keepHeard(options.listPeers(), clock.now());
            gate.expire(clock.now());
            // loads that wait become late without an event
            void publishLoads();
            refreshEmpty();
        },
        greet: peer => {
            const holding = describeHolding();
            if (holding) {
                options.network.send(peer, "adapters", holding);
                options.network.send(peer, "adapters", describeAll());
            }
            options.network.send(peer, "adapters", { kind: "loads", ...toldLoads });
        },
    };
}
