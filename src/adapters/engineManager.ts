/**
 * Manages the adapters of one engine on the instance that holds the engine's shard: loads the requested adapters when
 * the load scheduler allows it, and reports when they are resident.
 *
 * @packageDocumentation
 */
import { formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import { waitForAbort } from "../supervision/index.js";
import { type AdapterLoad, createEngineOrders, type EngineOrdersOptions } from "./engineOrders.js";
import type { LoadRequest, LoadScheduler, ScheduledLoad } from "./loadScheduler.js";
import {
    type AdapterKey,
    type EnsureOutcome,
    type EnsureRequest,
    type EnsureResult,
    formatAdapterKey,
} from "./messages.js";
import { listBusiest, markUseEnded, markUseStarted } from "./slotTable.js";

interface LoadResult {
    readonly outcome: EnsureOutcome;
    /** Time from the order's acceptance; `undefined` when nothing was loaded or the end isn't known exactly. */
    readonly took: Milliseconds | undefined;
}

/** Options of an engine manager. */
export interface EngineManagerOptions extends Omit<EngineOrdersOptions, "run"> {
    readonly loadScheduler: LoadScheduler;
}

/** Manager of one engine's adapters. */
export interface EngineManager {
    readonly run: ServerRunId;
    readonly service: string;
    /** Fetches the engine's report, and orders the load of a base model when the engine has none. */
    readonly refresh: () => Promise<void>;
    /**
     * Makes an adapter resident; resolves when the load has ended or failed. A request without an adapter loads nothing
     * and only checks whether the base model is resident.
     */
    readonly ensure: (request: EnsureRequest) => Promise<EnsureResult>;
    /** Records the start of a request that uses an adapter. */
    readonly markUseStarted: (key: AdapterKey) => void;
    /** Records the end of a request that uses an adapter. */
    readonly markUseEnded: (key: AdapterKey) => void;
    /** Resident adapters whose version is older than the given one. */
    readonly listOutdated: (newest: ReadonlyMap<AdapterKey, number>) => readonly AdapterKey[];
    readonly hasModel: () => boolean;
    /** Resident adapters that were used lately, most demanded first. */
    readonly listBusiest: () => readonly AdapterKey[];
    /**
     * Drops the loads that have not been ordered, as the engine takes no more orders. No request waits for those that have
     * been ordered any more, as the engine takes no requests either.
     */
    readonly dropWaitingLoads: () => void;
    /** Time at which the last order was sent; negative infinity when none was. */
    readonly readLastOrderAt: () => Milliseconds;
    readonly stop: () => void;
}

/** A load that requests wait for. */
interface PendingLoad {
    readonly result: Promise<EnsureResult>;
    /** Ends the wait of all requests; the load itself goes on. */
    readonly endWaits: () => void;
    /** Number of requests that wait. */
    requests: number;
}

/** Duration of a load from the engine's own memory, as a fraction of a load from the weight store. */
const memoryLoadFraction = 0.1;
const loadPollIntervalMilliseconds = 35;
/** Delay of the second poll while the store runs at full speed: the load has then nearly ended at the first poll. */
const secondPollDelayMilliseconds = 12;
/** Maximum response time of a poll that didn't wait for other orders. */
const fastResponseLimitMilliseconds = 30;
/** Allowance for the delivery of an order to the engine. */
const orderDeliveryMilliseconds = 5;
const loadTimeoutMilliseconds = 3_000;
/** Number of recently loaded adapters that the engine is assumed to keep in its memory. */
const cachedAdapterLimit = 100;

/**
 * Creates the manager of an engine.
 *
 * @param options - the engine, the client for its control interface and the load scheduler
 * @returns the manager, owned by the caller, who must stop it when the shard is lost
 */
export function createEngineManager(options: EngineManagerOptions): EngineManager {
    const { clock, loadScheduler } = options;
    const run = formatServerRunId(options.server);
    const orders = createEngineOrders({ ...options, run });
    const loads = new Map<AdapterKey, PendingLoad>();
    // adapters that the engine had loaded and probably still caches in its memory, least recently loaded first
    const cachedAdapters = new Set<AdapterKey>();
    // loads that wait for the load scheduler
    const waitingLoads = new Map<AdapterKey, ScheduledLoad>();

    const markCached = (key: AdapterKey): void => {
        cachedAdapters.delete(key);
        cachedAdapters.add(key);
        for (const oldest of cachedAdapters) {
            if (cachedAdapters.size <= cachedAdapterLimit) {
                break;
            }
            cachedAdapters.delete(oldest);
        }
    };
    const waitForAdmission = (key: AdapterKey, load: LoadRequest): Promise<ScheduledLoad | undefined> =>
        new Promise(resolve => {
            let isDecided = false;
            const entry = loadScheduler.schedule(load, isAdmitted => {
                isDecided = true;
                waitingLoads.delete(key);
                queueMicrotask(() => resolve(isAdmitted ? entry : undefined));
            }, clock.now());
            if (!isDecided) {
                waitingLoads.set(key, entry);
            }
        });
    // the duration is only returned when the polls were close together and answered quickly: other durations include
    // waits that the weight store didn't cause
    const waitForLoad = async (load: AdapterLoad, pollDelays: readonly Milliseconds[]): Promise<LoadResult> => {
        const startedAt = clock.now();
        let isExact = true;
        for (let polls = 0; !orders.isStopped() && clock.now() - startedAt < loadTimeoutMilliseconds; polls++) {
            const pollDelay = pollDelays[polls] ?? loadPollIntervalMilliseconds;
            await clock.sleep(pollDelay);
            const polledAt = clock.now();
            const outcome = await orders.poll(load);
            const now = clock.now();
            const isFastResponse = now - polledAt <= fastResponseLimitMilliseconds;
            if (outcome !== "loading" && outcome !== "unanswered") {
                isExact &&= isFastResponse && (polls === 0 || pollDelay <= loadPollIntervalMilliseconds);
                return { outcome, took: outcome === "resident" && isExact ? now - startedAt : undefined };
            }
            isExact = isFastResponse && outcome === "loading";
        }
        return { outcome: "failed", took: undefined };
    };
    const loadAndPoll = async (load: AdapterLoad, pollDelays: readonly Milliseconds[]): Promise<LoadResult> => {
        const outcome = await orders.load(load);
        return outcome === "loading" ? waitForLoad(load, pollDelays) : { outcome, took: undefined };
    };
    // the first poll follows when a load at full speed would end, the second when one at the present speed should end
    const listPollDelays = (): readonly Milliseconds[] => {
        const baseDuration = loadScheduler.readBaseDuration() + orderDeliveryMilliseconds;
        const slowdown = loadScheduler.estimateDuration() - loadScheduler.readBaseDuration();
        return [
            baseDuration,
            slowdown > loadPollIntervalMilliseconds
                ? slowdown - loadPollIntervalMilliseconds / 2
                : secondPollDelayMilliseconds,
        ];
    };
    const createLoadRequest = (request: EnsureRequest): LoadRequest => {
        const now = clock.now();
        return { priority: request.priority, usefulUntil: now + request.usefulFor, until: now + request.patience };
    };
    const loadFromWeightStore = async (load: AdapterLoad, request: EnsureRequest): Promise<EnsureOutcome> => {
        const scheduled = await waitForAdmission(load.key, createLoadRequest(request));
        if (!scheduled) {
            return "expired";
        }
        let took: Milliseconds | undefined;
        try {
            const result = await loadAndPoll(load, listPollDelays());
            took = result.took;
            return result.outcome;
        }
        finally {
            scheduled.finish(took, clock.now());
        }
    };
    const load = async (request: EnsureRequest, adapter: string, key: AdapterKey): Promise<EnsureResult> => {
        const { model, wasDenied } = request;
        const version = request.version ?? 1;
        const adapterLoad: AdapterLoad = { key, model, adapter, version: request.version, wasDenied };
        const outcome = cachedAdapters.has(key)
            ? (await loadAndPoll(adapterLoad, [
                loadScheduler.readBaseDuration() * memoryLoadFraction + orderDeliveryMilliseconds,
            ])).outcome
            : await loadFromWeightStore(adapterLoad, request);
        if (outcome === "resident") {
            markResident(adapterLoad, version);
        }
        return { outcome, version };
    };
    const markResident = ({ key, model, adapter }: AdapterLoad, version: number): void => {
        const slot = orders.slotTable.slots.get(key);
        markCached(key);
        if (slot) {
            slot.state = "resident";
            slot.version = version;
            slot.usedAt = clock.now();
            options.onChange({ run, model, adapter, version });
        }
    };
    const handleEnsure = (request: EnsureRequest): Promise<EnsureResult> => {
        if (request.adapter === undefined) {
            const outcome = orders.slotTable.models.has(request.model) ? "resident" : "failed";
            return Promise.resolve({ outcome, version: undefined });
        }
        const key = formatAdapterKey(request.model, request.adapter);
        const slot = orders.slotTable.slots.get(key);
        if (slot?.state === "resident" && !request.wasDenied && slot.version >= (request.version ?? 0)) {
            return Promise.resolve({ outcome: "resident", version: slot.version });
        }
        waitingLoads.get(key)?.extend(createLoadRequest(request));
        let pending = loads.get(key);
        if (!pending) {
            pending = startLoad(request, request.adapter, key);
            loads.set(key, pending);
        }
        joinLoad(key, pending, request.signal);
        return pending.result;
    };
    const startLoad = (request: EnsureRequest, adapter: string, key: AdapterKey): PendingLoad => {
        const abandoned = new AbortController();
        const end = waitForAbort(abandoned.signal).then((): EnsureResult => ({
            outcome: "expired",
            version: undefined,
        }));
        const remove = (): void => {
            if (loads.get(key) === pending) {
                loads.delete(key);
            }
        };
        const endWaits = (): void => {
            // a request that comes later causes a load of its own
            remove();
            abandoned.abort();
        };
        const result = Promise.race([load(request, adapter, key).finally(remove), end]);
        const pending: PendingLoad = { result, endWaits, requests: 0 };
        return pending;
    };
    // a load that hasn't started is dropped when nobody waits for it any more
    const joinLoad = (key: AdapterKey, pending: PendingLoad, signal: AbortSignal | undefined): void => {
        const abort = (): void => {
            pending.requests--;
            if (pending.requests === 0 && loads.get(key) === pending) {
                waitingLoads.get(key)?.drop();
            }
        };
        pending.requests++;
        signal?.addEventListener("abort", abort, { once: true });
        const forget = (): void => signal?.removeEventListener("abort", abort);
        pending.result.then(forget, forget);
    };
    return {
        run,
        service: options.server.service,
        refresh: orders.refresh,
        ensure: handleEnsure,
        markUseStarted: key => {
            const slot = orders.slotTable.slots.get(key);
            if (slot) {
                markUseStarted(slot, clock.now());
            }
        },
        markUseEnded: key => {
            const slot = orders.slotTable.slots.get(key);
            if (slot) {
                markUseEnded(slot);
            }
        },
        listOutdated: newest =>
            [...orders.slotTable.slots]
                .filter(([key, slot]) => slot.state === "resident" && slot.version < (newest.get(key) ?? 0))
                .map(([key]) => key),
        hasModel: () => orders.slotTable.models.size > 0,
        listBusiest: () => listBusiest(orders.slotTable, clock.now()),
        dropWaitingLoads: () => {
            [...waitingLoads.values()].forEach(load => load.drop());
            [...loads.values()].forEach(pending => pending.endWaits());
        },
        readLastOrderAt: orders.readLastOrderAt,
        stop: orders.stop,
    };
}
