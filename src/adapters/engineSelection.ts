/**
 * Selects an engine for a request that names a model or an adapter: an engine where it is resident and that has room,
 * or the engine on which it should be loaded. Each adapter prefers the same few engines, because its prompts stay in
 * their cache and because a reload from their memory is fast.
 *
 * @packageDocumentation
 */
import { chooseServer, computeLoad, type ServerChoiceInput } from "../serving/serverChoice.js";
import { type BackendServer, formatServerRunId, type ModelChoice, type ServerRunId } from "../serving/types.js";
import { rankByRendezvous } from "../shared/index.js";
import { type AdapterKey, formatAdapterKey } from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";

/** Candidates and state from which an engine is selected. */
export interface EngineSelectionInput extends ServerChoiceInput {
    readonly choice: ModelChoice;
    readonly residency: ResidencyIndex;
    /** Oldest version that the request may use; `undefined` for any. */
    readonly oldestVersion: number | undefined;
    /** Whether some instance holds the engine's shard and may send orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
    /** Engines to which no load is sent, because a recent one failed there. */
    readonly unavailableForLoad: ReadonlySet<ServerRunId>;
}

/** Selected engine, and whether the adapter must first be loaded there. */
export type EngineSelection =
    | { readonly kind: "resident"; readonly server: BackendServer; readonly version: number | undefined; }
    | { readonly kind: "load"; readonly server: BackendServer; }
    | { readonly kind: "none"; };

/** Ratio of an engine's load to the mean load at which its adapters are loaded on one more engine. */
const replicaLoadFactor = 2;
/** Load of an engine below which its adapters are not loaded on one more engine; 1 is a full engine. */
const minimumReplicaLoad = 0.5;
/** Ratio to the mean load up to which an adapter's preferred engines are chosen before less loaded ones. */
const preferredLoadFactor = 1.25;
/** Load up to which a preferred engine is chosen whatever the mean load is; 1 is a full engine. */
const minimumPreferredLoad = 0.1;

/**
 * Selects the engine for one request.
 *
 * @param input - candidate engines and their known state
 * @returns the engine; `load` when the adapter must first be loaded there, `none` when no engine is suitable now
 */
export function selectEngine(input: EngineSelectionInput): EngineSelection {
    const { choice } = input;
    if (choice.adapter === undefined) {
        const holding = input.servers.filter(server =>
            input.residency.hasModel(formatServerRunId(server), choice.model)
        );
        const server = chooseServer({ ...input, servers: holding });
        return server ? { kind: "resident", server, version: undefined } : { kind: "none" };
    }
    const key = formatAdapterKey(choice.model, choice.adapter);
    const resident = selectResident(input, key);
    const meanLoad = computeMeanLoad(input);
    const preferredLoadLimit = Math.max(minimumPreferredLoad, meanLoad * preferredLoadFactor);
    const replicaLoadLimit = Math.min(1, Math.max(minimumReplicaLoad, meanLoad * replicaLoadFactor));
    const isHealthy = resident && input.records.getRecord(formatServerRunId(resident)).avoidedUntil <= input.now;
    if (isHealthy && computeEngineLoad(input, resident) < replicaLoadLimit) {
        return describeResident(input, resident, key);
    }
    const target = selectLoadTarget(input, key, preferredLoadLimit);
    if (target && (!isHealthy || computeEngineLoad(input, target) < preferredLoadLimit)) {
        return { kind: "load", server: target };
    }
    return resident ? describeResident(input, resident, key) : { kind: "none" };
}

function describeResident(input: EngineSelectionInput, server: BackendServer, key: AdapterKey): EngineSelection {
    return { kind: "resident", server, version: input.residency.findVersion(formatServerRunId(server), key) };
}

function selectResident(input: EngineSelectionInput, key: AdapterKey): BackendServer | undefined {
    const engines = input.residency.listEngines(key);
    if (engines.size === 0) {
        return undefined;
    }
    const servers = input.servers.filter(server => {
        const run = formatServerRunId(server);
        return engines.has(run) && input.residency.findVersion(run, key)! >= (input.oldestVersion ?? 0);
    });
    return chooseServer({ ...input, servers });
}

function selectLoadTarget(
    input: EngineSelectionInput,
    key: AdapterKey,
    preferredLoadLimit: number,
): BackendServer | undefined {
    const byRun = new Map<ServerRunId, BackendServer>();
    for (const server of input.servers) {
        const run = formatServerRunId(server);
        const isCandidate = !input.excluded.has(run) && !input.unavailableForLoad.has(run) && input.hasHolder(server) &&
            input.residency.hasModel(run, input.choice.model) &&
            input.records.getRecord(run).avoidedUntil <= input.now;
        if (isCandidate) {
            byRun.set(run, server);
        }
    }
    // engines that have the adapter are used only if there are no others: they can't replace an outdated version before
    // the last request that uses it has ended
    const holding = input.residency.listEngines(key);
    const others = [...byRun.keys()].filter(run => !holding.has(run));
    const candidates = others.length > 0 ? others : [...byRun.keys()];
    const ranked = rankByRendezvous(key, candidates).map(run => byRun.get(run)!);
    return ranked.find(server => computeEngineLoad(input, server) <= preferredLoadLimit) ??
        findLeastLoaded(input, ranked);
}

// avoided engines get no requests; counting their low load would make the other engines look full
function computeMeanLoad(input: EngineSelectionInput): number {
    const healthy = input.servers.filter(server =>
        input.records.getRecord(formatServerRunId(server)).avoidedUntil <= input.now
    );
    const loads = (healthy.length > 0 ? healthy : input.servers).map(server => computeEngineLoad(input, server));
    return loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
}

function findLeastLoaded(input: EngineSelectionInput, servers: readonly BackendServer[]): BackendServer | undefined {
    let best: BackendServer | undefined;
    for (const server of servers) {
        best = !best || computeEngineLoad(input, server) < computeEngineLoad(input, best) ? server : best;
    }
    return best;
}

function computeEngineLoad(input: EngineSelectionInput, server: BackendServer): number {
    return computeLoad(server, input.records.getRecord(formatServerRunId(server)), input.now);
}
