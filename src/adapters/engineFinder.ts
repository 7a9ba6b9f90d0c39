/**
 * Finds an engine for a request among the engines whose shards this instance holds: one where the adapter is resident,
 * or one on which it is loaded first. A request that must wait is woken by a change; it doesn't check again and again.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type FailureDomainId, type Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { AdapterVersions } from "./adapterVersions.js";
import type { EngineRoom } from "./engineRoom.js";
import { computeLowestLoad, type EngineSelection, selectEngine } from "./engineSelection.js";
import {
    type AdapterKey,
    type EnsureOutcome,
    type EnsureRequest,
    type EnsureResult,
    formatAdapterKey,
    type PlaceRequest,
} from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";
import type { WeighedRequest } from "./roomPool.js";
import { createSlotQueue } from "./slotQueue.js";

/** Dependencies of the finder, and this instance's failure domain. */
export interface EngineFinderOptions {
    readonly clock: Clock;
    readonly failureDomain: FailureDomainId;
    readonly records: ServerRecords;
    readonly residency: ResidencyIndex;
    readonly versions: AdapterVersions;
    /** Engines of a service that accept requests and whose shards this instance holds. */
    readonly listEngines: (service: string) => readonly BackendServer[];
    /** The same with those that named limits leave no room on now. @default as `listEngines` */
    readonly listHeld?: (service: string) => readonly BackendServer[];
    /** Whether this instance may send orders to an engine now. */
    readonly isOrderAllowed: (server: BackendServer) => boolean;
    /** Makes an adapter resident on an engine; `undefined` when the engine isn't managed here. */
    readonly ensure: (run: ServerRunId, request: EnsureRequest) => Promise<EnsureResult> | undefined;
    /** Filters the engines in some regions. @default none is in a region */
    readonly filterByRegions?: (
        engines: readonly BackendServer[],
        regions: readonly string[],
    ) => readonly BackendServer[];
    /** Mean load over all engines of a service, as far as it is known; 1 is a full engine. */
    readonly readMeanLoad: (service: string) => number;
    /** Part of an engine's slots that counts as occupied because it is or was cold. @default 0 for all */
    readonly measureColdLoad?: (run: ServerRunId) => number;
    /** Decides who gets free places. */
    readonly room: Pick<
        EngineRoom,
        "isFull" | "reserve" | "tryReserve" | "wait" | "release" | "countLoading" | "readQueueLoad" | "wake"
    >;
}

/** Result of a search. */
export type FoundEngine =
    /** `version` is the one that the engine must have; `undefined` while any version is allowed. */
    | { readonly kind: "found"; readonly server: BackendServer; readonly version: number | undefined; }
    /** All engines are fuller than others; `load` is that of the emptiest. */
    | { readonly kind: "busy"; readonly load: number; }
    /** There is no room in time; `wait` is the time until there is. */
    | { readonly kind: "refused"; readonly wait: Milliseconds; }
    /** No engine can be used, or the time for waiting is over. */
    | { readonly kind: "unavailable"; };

/** Finder of engines for requests. */
export interface EngineFinder {
    /**
     * Finds an engine; `signal` is aborted when the request doesn't wait any longer. The caller ends the place that is kept
     * there by `room.release`, when it has taken the place or doesn't need it.
     */
    readonly find: (request: PlaceRequest, signal: AbortSignal) => Promise<FoundEngine>;
    /** Records that an engine may have a free slot; wakes a request that waits for one. */
    readonly markFree: (run: ServerRunId) => void;
    /** Records that an adapter is resident now; wakes the requests that wait for it. */
    readonly markResident: (key: AdapterKey) => void;
    /** Records that engines may be used again, or not any more; wakes all requests, which look for others. */
    readonly markEnginesChanged: () => void;
    /** Records that an engine has refused a request because it doesn't hold the adapter that the request names. */
    readonly markDenied: (run: ServerRunId, model: string, adapter: string) => void;
}

/** A search that may wait. */
interface WaitingSearch {
    readonly startedAt: Milliseconds;
    readonly signal: AbortSignal;
}

/** Time after which an engine that was full is tried again even if no slot was seen to become free. */
const fullRetryMilliseconds = 400;
/** Time for which an adapter that was sent to another holder isn't loaded on the engines of this one. */
const divertedMilliseconds = 20_000;
const log = createLogger("adapters");

/**
 * Creates a finder.
 *
 * @param options - state of the engines, which the finder reads and updates
 * @returns the finder, owned by the caller
 */
export function createEngineFinder(options: EngineFinderOptions): EngineFinder {
    const { clock, records, residency, versions, room } = options;
    const slotQueue = createSlotQueue(clock);
    const fullEngines = new Set<ServerRunId>();
    const divertedUntil = new Map<AdapterKey, Milliseconds>();
    const denied = new Set<string>();
    const formatDenial = (run: ServerRunId, key: AdapterKey): string => `${run} ${key}`;
    // the known version of an engine is only required once requests may no longer start on older versions
    const findRequiredVersion = (run: ServerRunId, key: AdapterKey): number | undefined => {
        const oldest = versions.findOldestAllowed(key, clock.now());
        return oldest && Math.max(oldest, residency.findVersion(run, key) ?? oldest);
    };
    const describeFound = (server: BackendServer, key: AdapterKey): FoundEngine => ({
        kind: "found",
        server,
        version: findRequiredVersion(formatServerRunId(server), key),
    });
    const listUsable = (
        request: PlaceRequest,
        all: readonly BackendServer[] = options.listEngines(request.service),
    ): readonly BackendServer[] => {
        const { allowed, softwareVersion } = request;
        const engines = request.regions ? options.filterByRegions?.(all, request.regions) ?? [] : all;
        const inAllowed = allowed ? engines.filter(server => allowed.includes(formatServerRunId(server))) : engines;
        return softwareVersion === undefined
            ? inAllowed
            : inAllowed.filter(server => server.softwareVersion === softwareVersion);
    };
    const isDiverted = (key: AdapterKey): boolean => {
        const until = divertedUntil.get(key);
        if (until !== undefined && until <= clock.now()) {
            divertedUntil.delete(key);
        }
        return (until ?? 0) > clock.now();
    };
    const select = (request: PlaceRequest, key: AdapterKey, unavailable: ReadonlySet<ServerRunId>): EngineSelection => {
        const now = clock.now();
        return selectEngine({
            servers: listUsable(request),
            records,
            failureDomain: options.failureDomain,
            excluded: new Set(request.excluded),
            now,
            choice: { model: request.model, adapter: request.adapter },
            demand: request,
            residency,
            oldestVersion: versions.findOldestAllowed(key, now),
            isOrderAllowed: options.isOrderAllowed,
            isUnavailableForLoad: run => unavailable.has(run) || fullEngines.has(run),
            meanLoad: options.readMeanLoad(request.service),
            isLoadIgnored: request.isLoadIgnored,
            ...options.measureColdLoad && { measureColdLoad: options.measureColdLoad },
            isDiverted: !request.isLoadIgnored && isDiverted(key),
        });
    };
    // the shorter of two queues is the better choice when no holder has room
    const computeBusyLoad = (request: PlaceRequest): number =>
        computeLowestLoad(listUsable(request), records, clock.now()) + room.readQueueLoad(request.service);
    const describeBusy = (request: PlaceRequest, key: AdapterKey): FoundEngine => {
        // a request that is bound to a version or to regions says nothing of the engines of others
        const isBound = request.softwareVersion !== undefined || request.regions !== undefined;
        if (!isBound && residency.listEngines(key).size === 0) {
            divertedUntil.set(key, clock.now() + divertedMilliseconds);
        }
        return { kind: "busy", load: computeBusyLoad(request) };
    };
    const loadOnto = async (
        server: BackendServer,
        request: PlaceRequest,
        key: AdapterKey,
        startedAt: Milliseconds,
        signal: AbortSignal,
    ): Promise<EnsureOutcome> => {
        const run = formatServerRunId(server);
        const waited = clock.now() - startedAt;
        const { model, adapter, priority } = request;
        const result = await options.ensure(run, {
            model,
            adapter,
            version: versions.findNewest(key),
            wasDenied: denied.delete(formatDenial(run, key)),
            priority,
            usefulFor: request.usefulFor - waited,
            patience: request.patience - waited,
            signal,
        });
        const outcome = result?.outcome ?? "notHolder";
        if (outcome === "resident") {
            residency.apply({ run, model, adapter: adapter!, version: result?.version ?? 1 });
            return outcome;
        }
        log.info("adapter not loaded", { request: request.id, run, model, adapter, outcome });
        if (outcome === "full") {
            fullEngines.add(run);
            const waitAndFree = async (): Promise<void> => {
                await clock.sleep(fullRetryMilliseconds);
                markFree(run);
            };
            startTask("try a full engine again", waitAndFree, () => markFree(run));
        }
        // an engine that may not be used any more hasn't failed
        if (outcome === "unreachable" && isListed(request, server)) {
            records.markFailure(run, true, clock.now());
        }
        return outcome;
    };
    // a request may also wait for memory that any ended request gives back
    const markFree = (run: ServerRunId): void => {
        fullEngines.delete(run);
        room.wake();
        slotQueue.wakeNext(clock.now());
    };
    const isListed = (request: PlaceRequest, server: BackendServer): boolean => {
        const run = formatServerRunId(server);
        // one whose limit leaves no room at this moment may still be used
        const held = (options.listHeld ?? options.listEngines)(request.service);
        return listUsable(request, held).some(listed => formatServerRunId(listed) === run);
    };
    // waits until an engine has room; `undefined` when another one is to be selected
    const waitForRoom = async (
        request: WeighedRequest,
        key: AdapterKey,
        { startedAt, signal, selected }: WaitingSearch & { readonly selected: BackendServer | undefined; },
    ): Promise<FoundEngine | undefined> => {
        const now = clock.now();
        const oldest = versions.findOldestAllowed(key, now) ?? 0;
        const { allowed, excluded, regions, softwareVersion } = request;
        const turn = await room.wait({
            request,
            until: startedAt + request.patience,
            selected,
            isUsable: server => {
                const run = formatServerRunId(server);
                return (!allowed || allowed.includes(run)) && !excluded.includes(run) &&
                    (softwareVersion === undefined || server.softwareVersion === softwareVersion) &&
                    (regions === undefined || (options.filterByRegions?.([server], regions) ?? []).length > 0) &&
                    residency.hasModel(run, request.model);
            },
            isResident: server =>
                request.adapter === undefined ||
                (residency.findVersion(formatServerRunId(server), key) ?? -1) >= oldest,
            isLoadable: server => options.isOrderAllowed(server) && !fullEngines.has(formatServerRunId(server)),
            signal,
        });
        switch (turn.kind) {
            case "refused":
                return turn;
            case "left":
                return { kind: "unavailable" };
            case "granted": {
                if (turn.isResident && isListed(request, turn.server)) {
                    return describeFound(turn.server, key);
                }
                const outcome = turn.isResident
                    ? undefined
                    : await loadOnto(turn.server, request, key, startedAt, signal);
                if (outcome === "resident" && isListed(request, turn.server)) {
                    return describeFound(turn.server, key);
                }
                room.release(request.id);
                return undefined;
            }
        }
    };
    const settleFound = async (
        request: PlaceRequest,
        key: AdapterKey,
        server: BackendServer,
        wait: WaitingSearch & { readonly isFinal: boolean; },
    ): Promise<FoundEngine | undefined> => {
        if (!isWeighed(request) || room.tryReserve(request, server)) {
            return describeFound(server, key);
        }
        return wait.isFinal
            ? waitForRoom(request, key, { ...wait, selected: server })
            : { kind: "busy", load: computeBusyLoad(request) };
    };
    // a full engine may be the cheapest one, as its cache or its speed make up for the wait
    const chooseWithRoom = (
        request: PlaceRequest,
        key: AdapterKey,
        unavailable: ReadonlySet<ServerRunId>,
        server: BackendServer,
    ): BackendServer => {
        if (!isWeighed(request) || !room.isFull(request, server)) {
            return server;
        }
        const full = listUsable(request).filter(engine => room.isFull(request, engine)).map(formatServerRunId);
        const other = select({ ...request, excluded: [...request.excluded, ...full] }, key, unavailable);
        return other.kind === "resident" ? other.server : server;
    };
    const findEngine = async (request: PlaceRequest, signal: AbortSignal): Promise<FoundEngine> => {
        const key = formatAdapterKey(request.model, request.adapter ?? "");
        const startedAt = clock.now();
        const until = startedAt + request.patience;
        const unavailable = new Set<ServerRunId>();
        while (clock.now() < until && !signal.aborted) {
            const selection = select(request, key, unavailable);
            switch (selection.kind) {
                case "resident": {
                    const wait = { startedAt, signal, isFinal: request.isLoadIgnored };
                    const server = chooseWithRoom(request, key, unavailable, selection.server);
                    const settled = await settleFound(request, key, server, wait);
                    if (settled) {
                        return settled;
                    }
                    break;
                }
                case "busy":
                    return describeBusy(request, key);
                case "none":
                    return { kind: "unavailable" };
                case "full":
                    unavailable.clear();
                    await slotQueue.wait({
                        key,
                        priority: request.priority,
                        usefulUntil: startedAt + request.usefulFor,
                        until,
                    }, signal);
                    break;
                case "load": {
                    // an adapter that is resident nowhere is loaded while the request waits for the place of another
                    const isFull = isWeighed(request) && room.isFull(request, selection.server);
                    if (isFull && !request.isLoadIgnored) {
                        return describeBusy(request, key);
                    }
                    if (isFull && residency.listEngines(key).size > 0) {
                        const settled = await waitForRoom(request, key, { startedAt, signal, selected: undefined });
                        if (settled) {
                            return settled;
                        }
                        break;
                    }
                    const endLoading = room.countLoading(request.service);
                    const outcome = await loadOnto(selection.server, request, key, startedAt, signal)
                        .finally(endLoading);
                    if (outcome === "resident" && isListed(request, selection.server)) {
                        // a request that waits for a load isn't in a shortage: it keeps the room that it had found
                        if (isWeighed(request) && !isFull) {
                            room.reserve(request, selection.server);
                            return describeFound(selection.server, key);
                        }
                        const wait = { startedAt, signal, isFinal: true };
                        const settled = await settleFound(request, key, selection.server, wait);
                        if (settled) {
                            return settled;
                        }
                    }
                    // an expired load was dropped when others stopped waiting; this request tries the same engine again
                    if (outcome !== "resident" && outcome !== "expired") {
                        unavailable.add(formatServerRunId(selection.server));
                    }
                    break;
                }
            }
        }
        return { kind: "unavailable" };
    };
    return {
        find: async (request, signal) => {
            const found = await findEngine(request, signal);
            // this request may have been woken for a slot that it didn't need
            slotQueue.wakeNext(clock.now());
            return found;
        },
        markFree,
        markResident: key => {
            slotQueue.wakeAll(key);
            room.wake();
        },
        markEnginesChanged: () => {
            slotQueue.wakeAll();
            room.wake();
        },
        markDenied: (run, model, adapter) => {
            denied.add(formatDenial(run, formatAdapterKey(model, adapter)));
            residency.apply({ run, model, adapter, version: undefined });
        },
    };
}

function isWeighed(request: PlaceRequest): request is WeighedRequest {
    return request.route !== undefined;
}
