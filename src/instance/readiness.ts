/**
 * Whether an instance may serve callers.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** What readiness depends on. */
export interface ReadinessState {
    /** Whether a complete tree of settings is in force. */
    readonly hasSettings: boolean;
    /** Whether the platform's list has been read. */
    readonly hasInstanceList: boolean;
    /** Whether this instance has been a member of an epoch that is in effect for those who gain by it. */
    readonly hasJoined: boolean;
    /** Monotonic time up to which it may act as one. */
    readonly leaseValidUntil: Milliseconds;
    readonly isDraining: boolean;
}

/**
 * Lists what keeps an instance from serving.
 *
 * @param state - state of the parts
 * @param now - present time
 * @returns reasons in words; none when it is ready
 */
export function listNotReadyReasons(state: ReadinessState, now: Milliseconds): readonly string[] {
    const reasons: string[] = [];
    if (state.isDraining) {
        reasons.push("draining");
    }
    if (!state.hasSettings) {
        reasons.push("no complete tree of settings yet: neither the log nor a peer has given one");
    }
    if (!state.hasInstanceList) {
        reasons.push("the platform's instance list has not been read yet");
    }
    if (!state.hasJoined) {
        reasons.push("not yet a member: its record in the log is not in effect");
    }
    else if (now >= state.leaseValidUntil) {
        reasons.push("its lease has lapsed: neither the log nor enough peers answer");
    }
    return reasons;
}
