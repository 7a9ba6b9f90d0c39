/**
 * Choice of an engine among those that can run a request now.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../config/index.js";
import type { BackendServerId } from "../shared/index.js";

/** What is known of an engine that could run a request. */
export interface EngineCandidate {
    readonly engine: BackendServerId;
    readonly batchLimit: number;
    /** Requests of this instance that run there; exact. */
    readonly ownInFlight: number;
    /** Requests of the other instances, as last declared. */
    readonly othersInFlight: number;
    /** Whether this instance lately sent a prompt with the same beginning there. */
    readonly hasRecentPrefix: boolean;
    /** Whether the engine failed a request of this instance a moment ago. */
    readonly hasRecentFailure: boolean;
}

/** Part of a batch that overnight requests leave to interactive ones. */
export const interactiveReserveFraction = 0.25;

/** Load, in batches, that a cached prefix is worth. */
const recentPrefixBonus = 0.2;
/** Part of a batch up to which requests are packed together rather than spread. */
const packingLoadLimit = 0.7;
const recentFailurePenalty = 10;

/**
 * Counts the requests of a class that an engine can take without queueing them.
 *
 * @param candidate - the engine
 * @param requestClass - class of the request
 * @returns free places in its batch, at least 0
 */
export function countFreeBatchSlots(
    candidate: Pick<EngineCandidate, "batchLimit" | "ownInFlight" | "othersInFlight">,
    requestClass: RequestClass,
): number {
    const limit = requestClass === "interactive"
        ? candidate.batchLimit
        : Math.floor(candidate.batchLimit * (1 - interactiveReserveFraction));
    return Math.max(0, limit - candidate.ownInFlight - candidate.othersInFlight);
}

/**
 * Scores an engine; lower is better.
 *
 * @param candidate - the engine
 * @returns its load in batches, less what a cached prefix is worth
 */
export function computeEngineScore(candidate: EngineCandidate): number {
    const load = (candidate.ownInFlight + candidate.othersInFlight) / candidate.batchLimit;
    // up to a point a fuller batch is the better one: a step costs little more with more sequences in it
    const cost = load < packingLoadLimit ? packingLoadLimit - load : load;
    return cost - (candidate.hasRecentPrefix ? recentPrefixBonus : 0) +
        (candidate.hasRecentFailure ? recentFailurePenalty : 0);
}

/**
 * Chooses the best engine that has a place in its batch.
 *
 * @param candidates - engines that could run the request, in any stable order
 * @param requestClass - class of the request
 * @returns the best, or `undefined` when all are full
 */
export function chooseEngine<Candidate extends EngineCandidate>(
    candidates: readonly Candidate[],
    requestClass: RequestClass,
): Candidate | undefined {
    let best: Candidate | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const score = countFreeBatchSlots(candidate, requestClass) > 0
            ? computeEngineScore(candidate)
            : Number.POSITIVE_INFINITY;
        if (score < bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}
