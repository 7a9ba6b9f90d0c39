/**
 * Choice of a backend server by its load, its recent failures and its failure domain.
 *
 * @packageDocumentation
 */
import { computeLastingLoad, computePlacementCost, type EngineDemand, fitsMemory } from "../routing/index.js";
import type { FailureDomainId, Milliseconds } from "../shared/index.js";
import { computeFailureRatio, type EngineRecord, type ServerRecord, type ServerRecords } from "./serverRecords.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** Candidates and the state that the choice depends on. */
export interface ServerChoiceInput {
    readonly servers: readonly BackendServer[];
    readonly records: ServerRecords;
    /** Failure domain of this instance. */
    readonly failureDomain: FailureDomainId;
    /** Servers that the request must not be sent to again. */
    readonly excluded: ReadonlySet<ServerRunId>;
    /** What the request asks of an engine; missing where that isn't known. */
    readonly describeDemand?: ((engine: EngineRecord) => EngineDemand) | undefined;
    readonly now: Milliseconds;
}

/** Cost of a server in another failure domain; costs are added to the load, where 1 is a full server. */
const crossDomainCost = 0.1;
/** Cost of a server whose recent requests have all failed. */
const failureCost = 2;
/** Cost of a server to be avoided; it is chosen only when every other server is excluded or costs even more. */
const avoidanceCost = 10;
/** Cost of an engine whose memory doesn't hold the request; less than that of one to be avoided. */
const memoryCost = 8;
/** Age from which a reported load is ignored. */
const reportedLoadLifetimeMilliseconds = 500;

/**
 * Chooses the server with the lowest cost for a request.
 *
 * @param input - candidates and their state
 * @returns the server, or `undefined` when all candidates are excluded
 */
export function chooseServer(input: ServerChoiceInput): BackendServer | undefined {
    let best: BackendServer | undefined;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const server of input.servers) {
        const run = formatServerRunId(server);
        if (input.excluded.has(run)) {
            continue;
        }
        const cost = computeCost(input, server, input.records.getRecord(run));
        if (cost < lowestCost) {
            best = server;
            lowestCost = cost;
        }
    }
    return best;
}

function computeCost(input: ServerChoiceInput, server: BackendServer, record: ServerRecord): number {
    const domainCost = server.failureDomain === input.failureDomain ? 0 : crossDomainCost;
    const avoided = record.avoidedUntil > input.now ? avoidanceCost : 0;
    const failures = computeFailureRatio(record, input.now) * failureCost;
    return computeRequestCost(input, server, record) + domainCost + avoided + failures;
}

function computeRequestCost(input: ServerChoiceInput, server: BackendServer, record: ServerRecord): number {
    const { engine } = record;
    if (!engine || !input.describeDemand) {
        return computeLoad(server, record, input.now);
    }
    const demand = input.describeDemand(engine);
    return computePlacementCost(engine.load, demand, input.now) +
        (fitsMemory(engine.load, demand, input.now) ? 0 : memoryCost);
}

/**
 * Computes the load of a server from the requests that the instances count and from the load that it reported,
 * whichever is higher. The load of an engine whose shard is held here also follows from its prompts and its speed.
 *
 * @param server - the server
 * @param record - its counted and reported load
 * @param now - current time
 * @returns running and waiting requests per slot: 0 or more, where 1 is a full server
 */
export function computeLoad(server: BackendServer, record: ServerRecord, now: Milliseconds): number {
    if (record.engine) {
        return computeLastingLoad(record.engine.load, now);
    }
    const reportedRequests = record.load && now - record.loadReceivedAt < reportedLoadLifetimeMilliseconds
        ? record.load.running + record.load.waiting
        : 0;
    return Math.max(record.inFlight, reportedRequests) / Math.max(1, server.slots);
}
