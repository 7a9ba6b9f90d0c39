/**
 * Scores the engines that can run a request and chooses the best one. An engine is a backend server that runs base
 * models with LoRA adapters. It serves src/placement; src/serving selects engines through src/adapters.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../config/index.js";
import type { BackendServerId } from "../shared/index.js";

/** What an instance knows about an engine that could run a request. */
export interface EngineCandidate {
    readonly engine: BackendServerId;
    /** Requests that the engine can run in a batch. */
    readonly batchLimit: number;
    /** Exact number of requests of this instance that run on the engine. */
    readonly ownInFlight: number;
    /** Requests of the other instances that run on the engine, as last reported, so possibly out of date. */
    readonly othersInFlight: number;
    /**
     * Whether this instance recently sent the engine a prompt with the same prefix, which may still be in its cache.
     */
    readonly hasRecentPrefix: boolean;
    /** Whether the engine recently failed a request of this instance. */
    readonly hasRecentFailure: boolean;
}

/** Fraction of the batch that is reserved for interactive requests. */
export const interactiveReserveFraction = 0.25;

/** Reduction of the score for a prefix in the cache, as a fraction of the batch. */
const recentPrefixBonus = 0.2;
/** Load, as a fraction of the batch, up to which a fuller engine is preferred; above it, an emptier one is. */
const packingLoadLimit = 0.7;
/** Higher than any other score, so that the engine is chosen only when all others are full or have failed too. */
const recentFailurePenalty = 10;

/**
 * Counts the requests of a class that an engine can start immediately.
 *
 * @param candidate - the engine
 * @param requestClass - class of the requests
 * @returns free slots in the batch for this class, at least 0
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
 * Computes the score of an engine.
 *
 * @param candidate - the engine
 * @returns the score, where lower is better; it can be negative
 */
export function computeEngineScore(candidate: EngineCandidate): number {
    const load = (candidate.ownInFlight + candidate.othersInFlight) / candidate.batchLimit;
    // below the limit a fuller batch is better: a step takes only a little longer with more sequences in the batch
    const cost = load < packingLoadLimit ? packingLoadLimit - load : load;
    return cost - (candidate.hasRecentPrefix ? recentPrefixBonus : 0) +
        (candidate.hasRecentFailure ? recentFailurePenalty : 0);
}

/**
 * Chooses the engine with the best score among those with a free slot in their batch.
 *
 * @param candidates - engines that could run the request, in any stable order; the first wins among equal scores
 * @param requestClass - class of the request
 * @returns the best engine; `undefined` when none has a free slot for this class
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
