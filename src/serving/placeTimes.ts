/**
 * How long a request waits for an engine that holds its adapter.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Where a request stands that needs an engine. */
export interface EngineWait {
    readonly startedAt: Milliseconds;
    /** Time of the final answer at the latest. */
    readonly deadlineAt: Milliseconds;
    /** Whether events of its stream have gone to the client. */
    readonly hasResponseStarted: boolean;
    readonly targetLatency: Milliseconds;
}

/** Times up to which an engine is waited for. */
export interface EngineWaitLimits {
    /** Then the request is given up. */
    readonly until: Milliseconds;
    /** The adapter must be there until then for an answer that is on time. */
    readonly usefulUntil: Milliseconds;
}

const minimumWaitMilliseconds = 1_500;
const waitPerTargetLatency = 3;
/** Part of the target that an engine takes from the adapter's arrival to the first event. */
const firstEventRatio = 0.15;

/**
 * Computes the times.
 *
 * @param wait - the request
 * @param now - the present time
 * @returns the times
 */
export function computeEngineWaitLimits(wait: EngineWait, now: Milliseconds): EngineWaitLimits {
    const patience = Math.max(minimumWaitMilliseconds, wait.targetLatency * waitPerTargetLatency);
    // clients leave a stream that is silent for some multiples of its target; one that has begun may pause as long again
    const until = Math.min(wait.deadlineAt, (wait.hasResponseStarted ? now : wait.startedAt) + patience);
    // going on with a stream that was broken off is worth a load however late it comes
    const usefulUntil = wait.hasResponseStarted ? until : wait.startedAt + wait.targetLatency * (1 - firstEventRatio);
    return { until, usefulUntil };
}
