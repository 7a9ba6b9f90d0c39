/**
 * Estimates how long the client of a request has been waiting already. A client that returns after a refusal or a failure
 * names a shorter deadline than with its first attempt; nothing else tells the two apart.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { Milliseconds } from "../shared/index.js";

/** Estimator for the routes of an instance. */
export interface RequestAges {
    /**
     * Records the deadline that a request names, and estimates the time since its client's first attempt.
     *
     * @param route - name of its route
     * @param deadline - time that the client will still wait; `undefined` when it names none
     * @returns time that has passed since the first attempt; 0 where nothing shows that there was an earlier one
     */
    readonly estimate: (route: string, deadline: Milliseconds | undefined) => Milliseconds;
}

/** Requests of a route whose deadlines are remembered. */
const rememberedRequests = 64;
/** Deadlines that differ by less count as equal: the time in which a request reaches an instance varies. */
const deadlineResolutionMilliseconds = 50;
/**
 * Part of the remembered requests that must name a deadline for it to count as that of a first attempt, so that a few
 * clients with long deadlines don't make all others look like returning ones.
 */
const commonRatio = 0.1;
const maximumRoutes = 4_096;

/**
 * Creates an estimator that knows no requests yet.
 *
 * @returns the estimator, of which an instance needs one object
 */
export function createRequestAges(): RequestAges {
    const deadlines = new LRUCache<string, Milliseconds[]>({ max: maximumRoutes });
    return {
        estimate: (route, deadline) => {
            if (deadline === undefined) {
                return 0;
            }
            const known = deadlines.get(route) ?? [];
            known.push(deadline);
            if (known.length > rememberedRequests) {
                known.shift();
            }
            deadlines.set(route, known);
            return Math.max(0, findFullDeadline(known) - deadline);
        },
    };
}

// the longest deadline that is common: returning clients name many different ones, which are all shorter
function findFullDeadline(deadlines: readonly Milliseconds[]): Milliseconds {
    const sorted = [...deadlines].sort((left, right) => right - left);
    const needed = Math.max(1, Math.ceil(sorted.length * commonRatio));
    const index = sorted.findIndex((deadline, position) =>
        deadline - (sorted[position + needed - 1] ?? Number.NEGATIVE_INFINITY) < deadlineResolutionMilliseconds
    );
    return sorted[Math.max(0, index)]!;
}
