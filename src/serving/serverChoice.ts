/**
 * Choice of a backend server by load, failures and distance.
 *
 * @packageDocumentation
 */
import type { FailureDomainId, Milliseconds } from "../shared/index.js";
import { computeFailureRatio, type ServerRecord, type ServerRecords } from "./serverRecords.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** What the choice depends on. */
export interface ServerChoiceInput {
    readonly servers: readonly BackendServer[];
    readonly records: ServerRecords;
    readonly failureDomain: FailureDomainId;
    /** Servers that the request was already sent to. */
    readonly excluded: ReadonlySet<ServerRunId>;
    readonly now: Milliseconds;
}

/** Load, in full servers, that another failure domain's way costs. */
const crossDomainCost = 0.1;
const failureCost = 2;
const avoidanceCost = 10;
/** A told load says little after this time. */
const reportedLoadLifetimeMilliseconds = 500;

/**
 * Chooses the server for a request.
 *
 * @param input - candidates and what is known of them
 * @returns the best, or `undefined` when there is none
 */
export function chooseServer(input: ServerChoiceInput): BackendServer | undefined {
    let best: BackendServer | undefined;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const server of input.servers) {
        const run = formatServerRunId(server);
        if (input.excluded.has(run)) {
            continue;
        }
        const cost = computeCost(input, server, input.records.find(run));
        if (cost < lowestCost) {
            best = server;
            lowestCost = cost;
        }
    }
    return best;
}

function computeCost(input: ServerChoiceInput, server: BackendServer, record: ServerRecord): number {
    const distance = server.failureDomain === input.failureDomain ? 0 : crossDomainCost;
    const avoided = record.avoidedUntil > input.now ? avoidanceCost : 0;
    const failures = computeFailureRatio(record, input.now) * failureCost;
    return computeLoad(server, record, input.now) + distance + avoided + failures;
}

/**
 * Computes how full a server is.
 *
 * @param server - the server
 * @param record - what is known of its load
 * @param now - the present time
 * @returns running and waiting requests over its slots
 */
export function computeLoad(server: BackendServer, record: ServerRecord, now: Milliseconds): number {
    const countedRequests = record.inFlight + record.othersInFlight;
    const reportedRequests = record.load && now - record.loadReceivedAt < reportedLoadLifetimeMilliseconds
        ? record.load.running + record.load.waiting
        : 0;
    return Math.max(countedRequests, reportedRequests) / Math.max(1, server.slots);
}
