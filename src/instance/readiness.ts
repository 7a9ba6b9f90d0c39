/**
 * Decides whether an instance is ready to serve requests.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** State of the parts that readiness depends on. */
export interface ReadinessState {
    /** Whether a complete settings tree has been applied. */
    readonly hasSettings: boolean;
    /** Whether the platform's instance list has been read at least once. */
    readonly hasInstanceList: boolean;
    /** Whether this instance has been a member in an epoch under which new members may already serve. */
    readonly hasJoined: boolean;
    /** Time on the monotonic clock at which the membership lease ends, in milliseconds; `-Infinity` without a lease. */
    readonly leaseValidUntil: Milliseconds;
    /** Whether a shutdown has begun. */
    readonly isDraining: boolean;
}

/**
 * Lists the reasons why an instance is not ready.
 *
 * @param state - state of the parts
 * @param now - current time on the monotonic clock
 * @returns texts for operators; an empty list when the instance is ready
 */
export function listNotReadyReasons(state: ReadinessState, now: Milliseconds): readonly string[] {
    const reasons: string[] = [];
    if (state.isDraining) {
        reasons.push("draining");
    }
    if (!state.hasSettings) {
        reasons.push("no complete settings tree yet: neither the log nor a peer has provided one");
    }
    if (!state.hasInstanceList) {
        reasons.push("the platform's instance list has not been read yet");
    }
    if (!state.hasJoined) {
        reasons.push("not yet a member: the log has no record that adds it, or new members may not serve yet");
    }
    else if (now >= state.leaseValidUntil) {
        reasons.push("no valid membership lease: the instance was removed, or neither the log nor enough peers answer");
    }
    return reasons;
}
