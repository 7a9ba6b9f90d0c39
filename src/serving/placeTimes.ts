/**
 * How long a request waits for an engine that holds its adapter.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Where a request stands that needs an engine. */
export interface PlaceWait {
    readonly startedAt: Milliseconds;
    /** Time of the final answer at the latest. */
    readonly until: Milliseconds;
    /** Whether events of its stream have gone to the client. */
    readonly hasBegun: boolean;
    readonly targetLatency: Milliseconds;
}

/** Times up to which an engine is waited for. */
export interface PlaceTimes {
    /** Then the request is given up. */
    readonly until: Milliseconds;
    /** The adapter must be there until then for an answer that is on time. */
    readonly usefulUntil: Milliseconds;
}

const leastPatienceMilliseconds = 1_500;
const patienceTargets = 3;
/** Part of the target that an engine takes from the adapter's arrival to the first event. */
const firstEventPart = 0.15;

/**
 * Computes the times.
 *
 * @param wait - the request
 * @param now - the present time
 * @returns the times
 */
export function computePlaceTimes(wait: PlaceWait, now: Milliseconds): PlaceTimes {
    const patience = Math.max(leastPatienceMilliseconds, wait.targetLatency * patienceTargets);
    // clients leave a stream that is silent for some multiples of its target; one that has begun may pause as long again
    const until = Math.min(wait.until, (wait.hasBegun ? now : wait.startedAt) + patience);
    // going on with a stream that was broken off is worth a load however late it comes
    const usefulUntil = wait.hasBegun ? until : wait.startedAt + wait.targetLatency * (1 - firstEventPart);
    return { until, usefulUntil };
}
