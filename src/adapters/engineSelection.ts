/**
 * Choice of an engine for a request that names a model or an adapter: one that holds it and has room, or the one on which it
 * should be loaded. An adapter keeps to a few engines of its own, where its prompts stay cached and from whose memory it
 * comes back quickly.
 *
 * @packageDocumentation
 */
import { chooseServer, computeLoad, type ServerChoiceInput } from "../serving/serverChoice.js";
import { type BackendServer, formatServerRun, type ModelChoice, type ServerRun } from "../serving/types.js";
import { rankByRendezvous } from "../shared/index.js";
import { type AdapterKey, formatAdapterKey } from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";

/** What the choice depends on. */
export interface EngineSelectionInput extends ServerChoiceInput {
    readonly choice: ModelChoice;
    readonly residency: ResidencyIndex;
    /** Oldest version that may still be used; `undefined` for any. */
    readonly oldestVersion: number | undefined;
    /** Whether an instance may give orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
    /** Engines on which the adapter could not be loaded a moment ago. */
    readonly unavailableForLoad: ReadonlySet<ServerRun>;
}

/** The engine, and whether the adapter has to be loaded there first. */
export type EngineSelection =
    | { readonly kind: "resident"; readonly server: BackendServer; readonly version: number | undefined; }
    | { readonly kind: "load"; readonly server: BackendServer; }
    | { readonly kind: "none"; };

/** Load, against the mean of all engines, from which one more engine takes an adapter. */
const replicaLoadFactor = 2;
/** No replica is made below this load, in full engines. */
const minimumReplicaLoad = 0.5;
/** Load, against the mean, up to which an adapter's own engine is preferred to others. */
const preferredLoadFactor = 1.25;
/** Load that is never too much for an adapter's own engine. */
const minimumPreferredLoad = 0.1;

/**
 * Chooses an engine.
 *
 * @param input - candidates and what is known of them
 * @returns the choice
 */
export function selectEngine(input: EngineSelectionInput): EngineSelection {
    const { choice } = input;
    if (choice.adapter === undefined) {
        const holding = input.servers.filter(server => input.residency.hasModel(formatServerRun(server), choice.model));
        const server = chooseServer({ ...input, servers: holding });
        return server ? { kind: "resident", server, version: undefined } : { kind: "none" };
    }
    const key = formatAdapterKey(choice.model, choice.adapter);
    const resident = selectResident(input, key);
    const meanLoad = computeMeanLoad(input);
    const preferredLoadLimit = Math.max(minimumPreferredLoad, meanLoad * preferredLoadFactor);
    const replicaLoadLimit = Math.min(1, Math.max(minimumReplicaLoad, meanLoad * replicaLoadFactor));
    const isHealthy = resident && input.records.find(formatServerRun(resident)).avoidedUntil <= input.now;
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
    return { kind: "resident", server, version: input.residency.findVersion(formatServerRun(server), key) };
}

function selectResident(input: EngineSelectionInput, key: AdapterKey): BackendServer | undefined {
    const engines = input.residency.listEngines(key);
    if (engines.size === 0) {
        return undefined;
    }
    const servers = input.servers.filter(server => {
        const run = formatServerRun(server);
        return engines.has(run) && input.residency.findVersion(run, key)! >= (input.oldestVersion ?? 0);
    });
    return chooseServer({ ...input, servers });
}

function selectLoadTarget(
    input: EngineSelectionInput,
    key: AdapterKey,
    preferredLoadLimit: number,
): BackendServer | undefined {
    const byRun = new Map<ServerRun, BackendServer>();
    for (const server of input.servers) {
        const run = formatServerRun(server);
        const isCandidate = !input.excluded.has(run) && !input.unavailableForLoad.has(run) && input.hasHolder(server) &&
            input.residency.hasModel(run, input.choice.model) &&
            input.records.find(run).avoidedUntil <= input.now;
        if (isCandidate) {
            byRun.set(run, server);
        }
    }
    // an engine that has an outdated version can't replace it before the last runs on it have ended
    const holding = input.residency.listEngines(key);
    const others = [...byRun.keys()].filter(run => !holding.has(run));
    const candidates = others.length > 0 ? others : [...byRun.keys()];
    const ranked = rankByRendezvous(key, candidates).map(run => byRun.get(run)!);
    return ranked.find(server => computeEngineLoad(input, server) <= preferredLoadLimit) ??
        findLeastLoaded(input, ranked);
}

// engines that are avoided have lost their load, and would make the others look full
function computeMeanLoad(input: EngineSelectionInput): number {
    const healthy = input.servers.filter(server =>
        input.records.find(formatServerRun(server)).avoidedUntil <= input.now
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
    return computeLoad(server, input.records.find(formatServerRun(server)), input.now);
}
