/**
 * Finds an engine for a request: one that holds the adapter, or one to which it is loaded first.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRun, type ModelChoice, type ServerRun } from "../serving/types.js";
import { type Clock, createDebug, type FailureDomainId, type Milliseconds } from "../shared/index.js";
import type { AdapterVersions } from "./adapterVersions.js";
import type { AdapterWishes } from "./adapterWishes.js";
import { type EnginePick, pickEngine } from "./enginePick.js";
import { type AdapterKey, type EnsureResult, formatAdapterKey } from "./messages.js";
import type { Residency } from "./residency.js";

/** What the finder knows of engines. */
export interface PlaceFinderOptions {
    readonly clock: Clock;
    readonly failureDomain: FailureDomainId;
    readonly records: ServerRecords;
    readonly residency: Residency;
    readonly versions: AdapterVersions;
    readonly wishes: AdapterWishes;
    /** Whether an instance may give orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
}

/** A request's wish for an engine. */
export interface PlaceRequest {
    readonly choice: ModelChoice;
    /** Servers that the request may go to now; read again after each wait, as one may have begun to leave. */
    readonly listServers: () => readonly BackendServer[];
    readonly excluded: ReadonlySet<ServerRun>;
    readonly until: Milliseconds;
    /** 0 goes first. */
    readonly priority: number;
    /** Until then the request can still be answered within its target. */
    readonly usefulUntil: Milliseconds;
}

/** An engine for a request. */
export interface Place {
    readonly server: BackendServer;
    /** Version that the engine must have, where older ones are no longer allowed. */
    readonly requiredVersion: number | undefined;
}

/** The finder. */
export interface PlaceFinder {
    /** Resolves with `undefined` when the request's time is over. */
    readonly acquire: (request: PlaceRequest) => Promise<Place | undefined>;
}

/** Time for which an engine that was full is not asked for other adapters. */
const fullPauseMilliseconds = 60;
/** Pause after engines were asked in vain. */
const retryPauseMilliseconds = 75;
const log = createDebug("adapters");

/**
 * Creates the finder.
 *
 * @param options - what is known of engines
 * @returns the finder
 */
export function createPlaceFinder(options: PlaceFinderOptions): PlaceFinder {
    const { clock, records, residency, versions, wishes } = options;
    const fullUntil = new Map<ServerRun, Milliseconds>();
    // an engine is held to the version that it is known to have only where older ones may not be begun any more
    const findRequiredVersion = (run: ServerRun, key: AdapterKey): number | undefined => {
        const oldest = versions.findOldest(key, clock.now());
        return oldest && Math.max(oldest, residency.findVersion(run, key) ?? oldest);
    };
    const describePlace = (server: BackendServer, key: AdapterKey): Place => ({
        server,
        requiredVersion: findRequiredVersion(formatServerRun(server), key),
    });
    const listFull = (): readonly ServerRun[] => {
        const now = clock.now();
        [...fullUntil].filter(([, until]) => until <= now).forEach(([run]) => fullUntil.delete(run));
        return [...fullUntil.keys()];
    };
    const pick = (request: PlaceRequest, unloadable: ReadonlySet<ServerRun>): EnginePick => {
        const key = formatAdapterKey(request.choice.model, request.choice.adapter ?? "");
        return pickEngine({
            servers: request.listServers(),
            records,
            failureDomain: options.failureDomain,
            excluded: request.excluded,
            now: clock.now(),
            choice: request.choice,
            residency,
            oldestVersion: versions.findOldest(key, clock.now()),
            hasHolder: options.hasHolder,
            unloadable: fullUntil.size === 0 ? unloadable : new Set([...unloadable, ...listFull()]),
        });
    };
    const loadThere = async (
        server: BackendServer,
        request: PlaceRequest,
    ): Promise<EnsureResult["outcome"] | "late"> => {
        const run = formatServerRun(server);
        const { model, adapter } = request.choice;
        const version = versions.findNewest(formatAdapterKey(model, adapter!));
        const wish = { ...request, choice: { model, adapter: adapter! }, version };
        const result = await waitUntil(wishes.request(server, wish, clock.now()), request.until);
        if (result?.outcome === "resident") {
            residency.apply({ run, model, adapter: adapter!, version: result.version ?? 1 });
        }
        else {
            log.info("adapter not loaded", { run, model, adapter, outcome: result?.outcome ?? "late" });
            if (result?.outcome === "full") {
                fullUntil.set(run, clock.now() + fullPauseMilliseconds);
            }
            if (result?.outcome === "unreachable") {
                records.markFailure(run, true, clock.now());
            }
        }
        return result?.outcome ?? "late";
    };
    const acquire = async (request: PlaceRequest): Promise<Place | undefined> => {
        const key = formatAdapterKey(request.choice.model, request.choice.adapter ?? "");
        const unloadable = new Set<ServerRun>();
        while (clock.now() < request.until) {
            const picked = pick(request, unloadable);
            switch (picked.kind) {
                case "resident":
                    return describePlace(picked.server, key);
                case "load": {
                    const outcome = await loadThere(picked.server, request);
                    if (outcome === "resident" && isListed(request, picked.server)) {
                        return describePlace(picked.server, key);
                    }
                    // one that others gave up waiting for is asked for again
                    if (outcome !== "resident" && outcome !== "expired") {
                        unloadable.add(formatServerRun(picked.server));
                    }
                    break;
                }
                case "none":
                    await clock.sleep(retryPauseMilliseconds);
                    unloadable.clear();
                    break;
            }
        }
        return undefined;
    };
    const waitUntil = async (
        result: Promise<EnsureResult>,
        until: Milliseconds,
    ): Promise<EnsureResult | undefined> => {
        const cancel = new AbortController();
        const late = clock.sleep(Math.max(0, until - clock.now()), cancel.signal).then(() => undefined);
        const first = await Promise.race([result, late]);
        cancel.abort();
        return first;
    };
    return { acquire };
}

function isListed(request: PlaceRequest, server: BackendServer): boolean {
    const run = formatServerRun(server);
    return request.listServers().some(listed => formatServerRun(listed) === run);
}
