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
import type { Residency } from "./residency.js";

/** What the choice depends on. */
export interface EnginePickInput extends ServerChoiceInput {
    readonly choice: ModelChoice;
    readonly residency: Residency;
    /** Oldest version that may still be used; `undefined` for any. */
    readonly oldestVersion: number | undefined;
    /** Whether an instance may give orders to the engine now. */
    readonly hasHolder: (server: BackendServer) => boolean;
    /** Engines on which the adapter could not be loaded a moment ago. */
    readonly unloadable: ReadonlySet<ServerRun>;
}

/** The engine, and whether the adapter has to be loaded there first. */
export type EnginePick =
    | { readonly kind: "resident"; readonly server: BackendServer; readonly version: number | undefined; }
    | { readonly kind: "load"; readonly server: BackendServer; }
    | { readonly kind: "none"; };

/** Load, against the mean of all engines, from which one more engine takes an adapter. */
const replicaLoadFactor = 2;
/** No replica is made below this load, in full engines. */
const leastReplicaLoad = 0.5;
/** Load, against the mean, up to which an adapter's own engine is preferred to others. */
const homeLoadFactor = 1.25;
/** Load that is never too much for an adapter's own engine. */
const leastHomeLoad = 0.1;

/**
 * Chooses an engine.
 *
 * @param input - candidates and what is known of them
 * @returns the choice
 */
export function pickEngine(input: EnginePickInput): EnginePick {
    const { choice } = input;
    if (choice.adapter === undefined) {
        const holding = input.servers.filter(server => input.residency.hasModel(formatServerRun(server), choice.model));
        const server = chooseServer({ ...input, servers: holding });
        return server ? { kind: "resident", server, version: undefined } : { kind: "none" };
    }
    const key = formatAdapterKey(choice.model, choice.adapter);
    const resident = pickResident(input, key);
    const meanLoad = computeMeanLoad(input);
    const homeLimit = Math.max(leastHomeLoad, meanLoad * homeLoadFactor);
    const replicaLimit = Math.min(1, Math.max(leastReplicaLoad, meanLoad * replicaLoadFactor));
    const isSound = resident && input.records.find(formatServerRun(resident)).avoidedUntil <= input.now;
    if (isSound && readLoad(input, resident) < replicaLimit) {
        return describeResident(input, resident, key);
    }
    const target = pickLoadTarget(input, key, homeLimit);
    if (target && (!isSound || readLoad(input, target) < homeLimit)) {
        return { kind: "load", server: target };
    }
    return resident ? describeResident(input, resident, key) : { kind: "none" };
}

function describeResident(input: EnginePickInput, server: BackendServer, key: AdapterKey): EnginePick {
    return { kind: "resident", server, version: input.residency.findVersion(formatServerRun(server), key) };
}

function pickResident(input: EnginePickInput, key: AdapterKey): BackendServer | undefined {
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

function pickLoadTarget(input: EnginePickInput, key: AdapterKey, homeLimit: number): BackendServer | undefined {
    const byRun = new Map<ServerRun, BackendServer>();
    for (const server of input.servers) {
        const run = formatServerRun(server);
        const isCandidate = !input.excluded.has(run) && !input.unloadable.has(run) && input.hasHolder(server) &&
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
    return ranked.find(server => readLoad(input, server) <= homeLimit) ?? pickLeastLoaded(input, ranked);
}

// engines that are avoided have lost their load, and would make the others look full
function computeMeanLoad(input: EnginePickInput): number {
    const sound = input.servers.filter(server => input.records.find(formatServerRun(server)).avoidedUntil <= input.now);
    const loads = (sound.length > 0 ? sound : input.servers).map(server => readLoad(input, server));
    return loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
}

function pickLeastLoaded(input: EnginePickInput, servers: readonly BackendServer[]): BackendServer | undefined {
    let best: BackendServer | undefined;
    for (const server of servers) {
        best = !best || readLoad(input, server) < readLoad(input, best) ? server : best;
    }
    return best;
}

function readLoad(input: EnginePickInput, server: BackendServer): number {
    return computeLoad(server, input.records.find(formatServerRun(server)), input.now);
}
