/**
 * Limits on how long a request waits for an engine that holds its adapter.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** A request that waits for an engine. */
export interface EngineWait {
    readonly startedAt: Milliseconds;
    /** Time at which the response must have ended. */
    readonly deadlineAt: Milliseconds;
    /** Whether the client has already received the head of the response, as with a stream that broke. */
    readonly hasResponseStarted: boolean;
    /** Latency objective of the route, from the start of the request to the first event. */
    readonly targetLatency: Milliseconds;
    /** End of the latency objective, counted from the client's first attempt. @default counted from the start */
    readonly objectiveAt?: Milliseconds;
}

/** Points in time that limit the wait. */
export interface EngineWaitLimits {
    /** Time at which the request stops waiting. */
    readonly until: Milliseconds;
    /** Time by which the adapter must be loaded for a response within the latency objective. */
    readonly usefulUntil: Milliseconds;
}

/** Requests of routes with a very short latency objective may wait at least this long. */
const shortestWaitLimitMilliseconds = 1_500;
/** Longest wait as a multiple of the latency objective; clients disconnect after a pause of several times as long. */
const waitLimitPerTargetLatency = 3;
/** Ratio of the latency objective that an engine needs from the end of the load to the first event. */
const firstEventRatio = 0.15;

/**
 * Computes how long a request waits for an engine.
 *
 * @param wait - the request
 * @param now - current time, at which the wait begins
 * @returns points in time on the same clock as `now`
 */
export function computeEngineWaitLimits(wait: EngineWait, now: Milliseconds): EngineWaitLimits {
    const patience = Math.max(shortestWaitLimitMilliseconds, wait.targetLatency * waitLimitPerTargetLatency);
    // a stream that broke may pause as long as a request without a response, counted from now
    const until = Math.min(wait.deadlineAt, (wait.hasResponseStarted ? now : wait.startedAt) + patience);
    // resuming a stream that broke justifies a load however late it completes
    const objectiveAt = wait.objectiveAt ?? wait.startedAt + wait.targetLatency;
    const usefulUntil = wait.hasResponseStarted ? until : objectiveAt - wait.targetLatency * firstEventRatio;
    return { until, usefulUntil };
}
