/**
 * Finds an engine for a request: one that holds the adapter, or one to which it is loaded first.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRun, type ModelChoice, type ServerRun } from "../serving/types.js";
import { type Clock, createDebug, type FailureDomainId, type Milliseconds } from "../shared/index.js";
import type { AdapterVersions } from "./adapterVersions.js";
import { type EngineSelection, selectEngine } from "./engineSelection.js";
import type { EnsureCoalescer } from "./ensureCoalescer.js";
import { type AdapterKey, type EnsureResult, formatAdapterKey } from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";

/** What the finder knows of engines. */
export interface EngineFinderOptions {
    readonly clock: Clock;
    readonly failureDomain: FailureDomainId;
    readonly records: ServerRecords;
    readonly residency: ResidencyIndex;
    readonly versions: AdapterVersions;
    readonly ensureCoalescer: EnsureCoalescer;
    /** Whether an instance may give orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
}

/** A request's wish for an engine. */
export interface AcquireRequest {
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
export interface AcquiredEngine {
    readonly server: BackendServer;
    /** Version that the engine must have, where older ones are no longer allowed. */
    readonly requiredVersion: number | undefined;
}

/** The finder. */
export interface EngineFinder {
    /** Resolves with `undefined` when the request's time is over. */
    readonly acquire: (request: AcquireRequest) => Promise<AcquiredEngine | undefined>;
}

/** Time for which an engine that was full is not asked for other adapters. */
const fullBackoffMilliseconds = 60;
/** Pause after engines were asked in vain. */
const retryDelayMilliseconds = 75;
const log = createDebug("adapters");

/**
 * Creates the finder.
 *
 * @param options - what is known of engines
 * @returns the finder
 */
export function createEngineFinder(options: EngineFinderOptions): EngineFinder {
    const { clock, records, residency, versions, ensureCoalescer: ensureCoalescer } = options;
    const fullUntil = new Map<ServerRun, Milliseconds>();
    // an engine is held to the version that it is known to have only where older ones may not be begun any more
    const findRequiredVersion = (run: ServerRun, key: AdapterKey): number | undefined => {
        const oldest = versions.findOldestAllowed(key, clock.now());
        return oldest && Math.max(oldest, residency.findVersion(run, key) ?? oldest);
    };
    const describeAcquired = (server: BackendServer, key: AdapterKey): AcquiredEngine => ({
        server,
        requiredVersion: findRequiredVersion(formatServerRun(server), key),
    });
    const listFullEngines = (): readonly ServerRun[] => {
        const now = clock.now();
        [...fullUntil].filter(([, until]) => until <= now).forEach(([run]) => fullUntil.delete(run));
        return [...fullUntil.keys()];
    };
    const selectCandidate = (request: AcquireRequest, unavailable: ReadonlySet<ServerRun>): EngineSelection => {
        const key = formatAdapterKey(request.choice.model, request.choice.adapter ?? "");
        return selectEngine({
            servers: request.listServers(),
            records,
            failureDomain: options.failureDomain,
            excluded: request.excluded,
            now: clock.now(),
            choice: request.choice,
            residency,
            oldestVersion: versions.findOldestAllowed(key, clock.now()),
            hasHolder: options.hasHolder,
            unavailableForLoad: fullUntil.size === 0 ? unavailable : new Set([...unavailable, ...listFullEngines()]),
        });
    };
    const loadOnto = async (
        server: BackendServer,
        request: AcquireRequest,
    ): Promise<EnsureResult["outcome"] | "late"> => {
        const run = formatServerRun(server);
        const { model, adapter } = request.choice;
        const version = versions.findNewest(formatAdapterKey(model, adapter!));
        const adapterRequest = { ...request, choice: { model, adapter: adapter! }, version };
        const result = await waitForResult(ensureCoalescer.request(server, adapterRequest, clock.now()), request.until);
        if (result?.outcome === "resident") {
            residency.apply({ run, model, adapter: adapter!, version: result.version ?? 1 });
        }
        else {
            log.info("adapter not loaded", { run, model, adapter, outcome: result?.outcome ?? "late" });
            if (result?.outcome === "full") {
                fullUntil.set(run, clock.now() + fullBackoffMilliseconds);
            }
            if (result?.outcome === "unreachable") {
                records.markFailure(run, true, clock.now());
            }
        }
        return result?.outcome ?? "late";
    };
    const acquire = async (request: AcquireRequest): Promise<AcquiredEngine | undefined> => {
        const key = formatAdapterKey(request.choice.model, request.choice.adapter ?? "");
        const unavailable = new Set<ServerRun>();
        while (clock.now() < request.until) {
            const selection = selectCandidate(request, unavailable);
            switch (selection.kind) {
                case "resident":
                    return describeAcquired(selection.server, key);
                case "load": {
                    const outcome = await loadOnto(selection.server, request);
                    if (outcome === "resident" && isListed(request, selection.server)) {
                        return describeAcquired(selection.server, key);
                    }
                    // one that others gave up waiting for is asked for again
                    if (outcome !== "resident" && outcome !== "expired") {
                        unavailable.add(formatServerRun(selection.server));
                    }
                    break;
                }
                case "none":
                    await clock.sleep(retryDelayMilliseconds);
                    unavailable.clear();
                    break;
            }
        }
        return undefined;
    };
    const waitForResult = async (
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

function isListed(request: AcquireRequest, server: BackendServer): boolean {
    const run = formatServerRun(server);
    return request.listServers().some(listed => formatServerRun(listed) === run);
}
