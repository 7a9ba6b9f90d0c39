/**
 * Selects an engine for a request that names a model or an adapter: an engine where it is resident and that has room,
 * or the engine on which it should be loaded. Each adapter prefers the same few engines, because its prompts stay in
 * their cache and because a reload from their memory is fast.
 *
 * @packageDocumentation
 */
import { computeLastingLoad, type EngineDemand, fitsMemory } from "../routing/index.js";
import { chooseServer, computeLoad, type ServerChoiceInput } from "../serving/serverChoice.js";
import type { EngineRecord, ServerRecords } from "../serving/serverRecords.js";
import { type BackendServer, formatServerRunId, type ModelChoice, type ServerRunId } from "../serving/types.js";
import { hashForRendezvous, type Milliseconds, scoreRendezvous } from "../shared/index.js";
import { describeEngineDemand } from "./engineLoads.js";
import { type AdapterKey, formatAdapterKey, type PlaceDemand } from "./messages.js";
import type { ResidencyIndex } from "./residencyIndex.js";

/** Candidates and state from which an engine is selected. */
export interface EngineSelectionInput extends Omit<ServerChoiceInput, "describeDemand"> {
    readonly choice: ModelChoice;
    /** Tokens and parts of the request's prompt. */
    readonly demand: PlaceDemand;
    readonly residency: ResidencyIndex;
    /** Oldest version that the request may use; `undefined` for any. */
    readonly oldestVersion: number | undefined;
    /** Whether this instance may send orders to the engine now. */
    readonly isOrderAllowed: (server: BackendServer) => boolean;
    /** Whether no load is sent to the engine, because a recent one failed there. */
    readonly isUnavailableForLoad: (run: ServerRunId) => boolean;
    /** Mean load over the engines of all holders; 1 is a full engine. */
    readonly meanLoad: number;
    /** Whether the least loaded engine is used even if engines of other holders are emptier. */
    readonly isLoadIgnored: boolean;
    /** Whether requests for the adapter were sent to another holder, on whose engines it is probably resident. */
    readonly isDiverted: boolean;
    /** Part of an engine's slots that counts as occupied for loads because it is or was cold. @default 0 for all */
    readonly measureColdLoad?: (run: ServerRunId) => number;
}

/** Selected engine, and whether the adapter must first be loaded there. */
export type EngineSelection =
    | { readonly kind: "resident"; readonly server: BackendServer; readonly version: number | undefined; }
    | { readonly kind: "load"; readonly server: BackendServer; }
    /** The engines have no room now; another holder may have emptier ones. */
    | { readonly kind: "busy"; }
    /** The engines accept no load now. */
    | { readonly kind: "full"; }
    /** No engine is suitable. */
    | { readonly kind: "none"; };

/** Ratio of an engine's load to the mean load at which its adapters are loaded on one more engine. */
const replicaLoadFactor = 2;
/** Load of an engine below which its adapters are not loaded on one more engine; 1 is a full engine. */
const minimumReplicaLoad = 0.5;
/** Ratio to the mean load up to which an adapter's preferred engines are chosen before less loaded ones. */
const preferredLoadFactor = 1.25;
/** Load up to which a preferred engine is chosen whatever the mean load is; 1 is a full engine. */
const minimumPreferredLoad = 0.1;
/** Load that an avoided engine is counted with in addition; 1 is a full engine. */
const avoidedLoad = 10;

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
        const server = chooseEngine(input, holding);
        if (server && !hasMemory(input, server)) {
            return describeUnsuitable(input, server);
        }
        return server ? { kind: "resident", server, version: undefined } : { kind: "none" };
    }
    const key = formatAdapterKey(choice.model, choice.adapter);
    const resident = selectResident(input, key);
    const preferredLoadLimit = Math.max(minimumPreferredLoad, input.meanLoad * preferredLoadFactor);
    const replicaLoadLimit = Math.min(1, Math.max(minimumReplicaLoad, input.meanLoad * replicaLoadFactor));
    const hasResidentMemory = resident !== undefined && hasMemory(input, resident);
    const isHealthy = resident && hasResidentMemory && !isAvoided(input, resident);
    if (isHealthy && computeEngineLoad(input, resident) < replicaLoadLimit) {
        return describeResident(input, resident, key);
    }
    const target = input.isDiverted ? undefined : selectLoadTarget(input, key, preferredLoadLimit);
    const targetLoad = target ? computeTargetLoad(input, target) : Number.POSITIVE_INFINITY;
    const isTargetPreferred = targetLoad <= preferredLoadLimit;
    if (target && (isTargetPreferred || (!isHealthy && input.isLoadIgnored))) {
        return { kind: "load", server: target };
    }
    if (resident && hasResidentMemory && input.isLoadIgnored) {
        return describeResident(input, resident, key);
    }
    return describeUnsuitable(input, target ?? resident);
}

function describeUnsuitable(input: EngineSelectionInput, candidate: BackendServer | undefined): EngineSelection {
    const engines = input.servers.filter(server => isLoadable(input, server));
    if (!input.isLoadIgnored) {
        return { kind: engines.length > 0 || candidate ? "busy" : "none" };
    }
    return { kind: engines.some(server => !isAvoided(input, server)) ? "full" : "none" };
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
    return chooseEngine(input, servers);
}

function chooseEngine(input: EngineSelectionInput, servers: readonly BackendServer[]): BackendServer | undefined {
    const describeDemand = (engine: EngineRecord): EngineDemand =>
        describeEngineDemand(engine, input.choice, input.demand);
    return chooseServer({ ...input, describeDemand, servers });
}

// an engine out of memory preempts running requests, even within their streams
function hasMemory(input: EngineSelectionInput, server: BackendServer): boolean {
    const { engine } = input.records.getRecord(formatServerRunId(server));
    const { tokens } = input.demand;
    const demand = { promptTokens: tokens?.prompt ?? 0, outputTokens: tokens?.output ?? 0, cachedTokens: 0 };
    return !engine || fitsMemory(engine.load, demand, input.now);
}

function isLoadable(input: EngineSelectionInput, server: BackendServer): boolean {
    const run = formatServerRunId(server);
    return !input.excluded.has(run) && input.isOrderAllowed(server) &&
        input.residency.hasModel(run, input.choice.model);
}

function isAvoided({ records, now }: Pick<EngineSelectionInput, "records" | "now">, server: BackendServer): boolean {
    return records.getRecord(formatServerRunId(server)).avoidedUntil > now;
}

// engines that were all silent a moment ago may be back, and without a load the request would wait in vain
function listLoadCandidates(input: EngineSelectionInput): readonly BackendServer[] {
    const loadable = input.servers.filter(server => isLoadable(input, server));
    const healthy = loadable.filter(server => !isAvoided(input, server));
    const engines = healthy.length === 0 && input.isLoadIgnored ? loadable : healthy;
    return engines.filter(server => !input.isUnavailableForLoad(formatServerRunId(server)) && hasMemory(input, server));
}

function selectLoadTarget(
    input: EngineSelectionInput,
    key: AdapterKey,
    preferredLoadLimit: number,
): BackendServer | undefined {
    const candidates = listLoadCandidates(input);
    // engines that have the adapter are used only if there are no others: they can't replace an outdated version before
    // the last request that uses it has ended
    const holding = input.residency.listEngines(key);
    const others = candidates.filter(server => !holding.has(formatServerRunId(server)));
    const ranked = rankEngines(key, others.length > 0 ? others : candidates);
    return ranked.find(server => computeTargetLoad(input, server) <= preferredLoadLimit) ??
        findLeastLoaded(input, ranked);
}

function rankEngines(key: AdapterKey, engines: readonly BackendServer[]): readonly BackendServer[] {
    const keyHash = hashForRendezvous(key);
    return engines
        .map(server => ({ server, score: scoreRendezvous(keyHash, hashForRendezvous(formatServerRunId(server))) }))
        .sort((left, right) => right.score - left.score)
        .map(entry => entry.server);
}

/**
 * Sums the load of engines, as the number of requests that would cause it on engines of usual speed. Avoided ones don't
 * count unless all are avoided: they get no requests, and their low load would make the others look full.
 *
 * @param servers - the engines
 * @param records - their requests
 * @param now - current time
 * @returns requests and slots of the engines that count
 */
export function sumEngineLoad(
    servers: readonly BackendServer[],
    records: ServerRecords,
    now: Milliseconds,
): { readonly requests: number; readonly slots: number; } {
    const healthy = { requests: 0, slots: 0 };
    const all = { requests: 0, slots: 0 };
    for (const server of servers) {
        const record = records.getRecord(formatServerRunId(server));
        const requests = record.engine ? computeLastingLoad(record.engine.load, now) * server.slots : record.inFlight;
        all.requests += requests;
        all.slots += server.slots;
        if (record.avoidedUntil <= now) {
            healthy.requests += requests;
            healthy.slots += server.slots;
        }
    }
    return healthy.slots > 0 ? healthy : all;
}

/**
 * Computes the load of the emptiest engine. An avoided one counts as fuller than any other, so that a request goes to it
 * only when no holder has another one.
 *
 * @param servers - the engines
 * @param records - their requests
 * @param now - current time
 * @returns the load, where 1 is a full engine; infinite without engines
 */
export function computeLowestLoad(
    servers: readonly BackendServer[],
    records: ServerRecords,
    now: Milliseconds,
): number {
    return Math.min(...servers.map(server => {
        const load = computeLoad(server, records.getRecord(formatServerRunId(server)), now);
        return isAvoided({ records, now }, server) ? load + avoidedLoad : load;
    }));
}

function findLeastLoaded(input: EngineSelectionInput, servers: readonly BackendServer[]): BackendServer | undefined {
    let best: BackendServer | undefined;
    for (const server of servers) {
        best = !best || computeTargetLoad(input, server) < computeTargetLoad(input, best) ? server : best;
    }
    return best;
}

// a cold engine has little free capacity for one more adapter; permits decide on requests for those that it has
function computeTargetLoad(input: EngineSelectionInput, server: BackendServer): number {
    return computeEngineLoad(input, server) + (input.measureColdLoad?.(formatServerRunId(server)) ?? 0);
}

function computeEngineLoad(input: EngineSelectionInput, server: BackendServer): number {
    return computeLoad(server, input.records.getRecord(formatServerRunId(server)), input.now);
}
