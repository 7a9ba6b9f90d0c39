/**
 * Finds an engine for a request: an engine where the adapter is resident, or one on which it is loaded first.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRunId, type ModelChoice, type ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type FailureDomainId, type Milliseconds } from "../shared/index.js";
import type { AdapterVersions } from "./adapterVersions.js";
import { type EngineSelection, selectEngine } from "./engineSelection.js";
import type { EnsureCoalescer } from "./ensureCoalescer.js";
import { type AdapterKey, type EnsureResult, formatAdapterKey } from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";

/** Dependencies of the finder, and this instance's failure domain. */
export interface EngineFinderOptions {
    readonly clock: Clock;
    readonly failureDomain: FailureDomainId;
    readonly records: ServerRecords;
    readonly residency: ResidencyIndex;
    readonly versions: AdapterVersions;
    readonly ensureCoalescer: EnsureCoalescer;
    /** Whether some instance holds the engine's shard and may send orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
}

/** Parameters for acquiring an engine. Times are on the instance's clock. */
export interface AcquireRequest {
    readonly choice: ModelChoice;
    /** Servers that may be used now; called again after each wait, because a server may have started to drain. */
    readonly listServers: () => readonly BackendServer[];
    /** Servers that the request was already sent to. */
    readonly excluded: ReadonlySet<ServerRunId>;
    /** Time at which the request stops waiting for an engine. */
    readonly until: Milliseconds;
    /** Priority of the request; lower numbers go first. */
    readonly priority: number;
    /** Latest end of a load with which the request can still be answered within its target latency. */
    readonly usefulUntil: Milliseconds;
}

/** Engine acquired for a request. */
export interface AcquiredEngine {
    readonly server: BackendServer;
    /** Version that the engine must have; `undefined` while any version is allowed. */
    readonly requiredVersion: number | undefined;
}

/** Finder of engines for requests. */
export interface EngineFinder {
    /** Waits until an engine is ready for the request; resolves with `undefined` when its `until` has passed. */
    readonly acquire: (request: AcquireRequest) => Promise<AcquiredEngine | undefined>;
}

/** Time for which no load is sent to an engine after it was full. */
const fullBackoffMilliseconds = 60;
/** Delay before the next attempt when no engine is suitable. */
const retryDelayMilliseconds = 75;
const log = createLogger("adapters");

/**
 * Creates a finder.
 *
 * @param options - state of the engines, which the finder reads and updates
 * @returns the finder, owned by the caller
 */
export function createEngineFinder(options: EngineFinderOptions): EngineFinder {
    const { clock, records, residency, versions, ensureCoalescer } = options;
    const fullUntil = new Map<ServerRunId, Milliseconds>();
    // the known version of an engine is only required once requests may no longer start on older versions
    const findRequiredVersion = (run: ServerRunId, key: AdapterKey): number | undefined => {
        const oldest = versions.findOldestAllowed(key, clock.now());
        return oldest && Math.max(oldest, residency.findVersion(run, key) ?? oldest);
    };
    const describeAcquired = (server: BackendServer, key: AdapterKey): AcquiredEngine => ({
        server,
        requiredVersion: findRequiredVersion(formatServerRunId(server), key),
    });
    const listFullEngines = (): readonly ServerRunId[] => {
        const now = clock.now();
        [...fullUntil].filter(([, until]) => until <= now).forEach(([run]) => fullUntil.delete(run));
        return [...fullUntil.keys()];
    };
    const selectCandidate = (request: AcquireRequest, unavailable: ReadonlySet<ServerRunId>): EngineSelection => {
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
        const run = formatServerRunId(server);
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
        const unavailable = new Set<ServerRunId>();
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
                    // an expired load was dropped when others stopped waiting; this request tries the same engine again
                    if (outcome !== "resident" && outcome !== "expired") {
                        unavailable.add(formatServerRunId(selection.server));
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
    const run = formatServerRunId(server);
    return request.listServers().some(listed => formatServerRunId(listed) === run);
}
