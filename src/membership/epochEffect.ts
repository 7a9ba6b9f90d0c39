/**
 * Computes when a change of epoch is in effect, which means that no instance can act under an earlier epoch any more.
 * docs/design/ownership.md holds the proof.
 *
 * @packageDocumentation
 */
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { EpochTransition } from "./ownershipState.js";
import { countMajority } from "./witnesses.js";

/** A change of epoch that isn't known to be in effect yet. */
export interface PendingTransition extends EpochTransition {
    /** Monotonic time at which this instance read the change. */
    readonly readAt: Milliseconds;
    /**
     * Witnesses of the ended epoch that are known not to confirm it any more, each with the monotonic time at which
     * this instance learned so.
     */
    readonly acknowledged: ReadonlyMap<InstanceId, Milliseconds>;
    /** Monotonic time from which on the change is in effect; `undefined` while that isn't known. */
    readonly effectiveAt: Milliseconds | undefined;
}

/** What one instance knows about which changes of epoch are in effect. */
export interface EpochEffectState {
    /** Changes up to this offset are in effect. */
    readonly effective: LogOffset;
    /** Later changes that this instance has read, in the order of the log. */
    readonly pending: readonly PendingTransition[];
}

/** An event that may put a change of epoch into effect. */
export type EpochEffectEvent =
    /** This instance has read a change of epoch. */
    | { readonly kind: "read"; readonly transition: EpochTransition; readonly self: InstanceId; }
    /** A witness has reported its latest epoch, and the offset up to which it knows changes to be in effect. */
    | {
        readonly kind: "answered";
        readonly witness: InstanceId;
        readonly epoch: LogOffset;
        readonly effective: LogOffset;
    }
    /** An instance has certainly terminated, or will not confirm any lease again. */
    | { readonly kind: "gone"; readonly instance: InstanceId; };

/**
 * Creates the state of an instance that starts.
 *
 * @param effective - offset up to which changes are known to be in effect; -1 if none are
 * @returns a state without pending changes
 */
export function createEpochEffectState(effective: LogOffset): EpochEffectState {
    return { effective, pending: [] };
}

/**
 * Applies an event and the passage of time.
 *
 * @param state - state before the event
 * @param event - a change that was read, a response of a witness, or the end of an instance
 * @param now - current monotonic time
 * @param wait - duration of a lease in milliseconds, with the margin for different clock rates
 * @returns new state, in which the changes that are in effect at `now` are no longer pending
 */
export function advanceEpochEffect(
    state: EpochEffectState,
    event: EpochEffectEvent,
    now: Milliseconds,
    wait: Milliseconds,
): EpochEffectState {
    const next = applyEvent(state, event, now);
    return updateEffectiveTimes(next, now, wait);
}

function applyEvent(state: EpochEffectState, event: EpochEffectEvent, now: Milliseconds): EpochEffectState {
    switch (event.kind) {
        case "read":
            return addTransition(state, event.transition, event.self, now);
        case "answered": {
            const known = state.pending.map(transition =>
                transition.offset <= event.effective ? { ...transition, effectiveAt: now } : transition
            );
            const acknowledged = known.map(transition =>
                transition.offset <= event.epoch ? markAcknowledged(transition, event.witness, now) : transition
            );
            // the witness may know that changes are in effect which this instance has not read yet
            return { effective: Math.max(state.effective, event.effective), pending: acknowledged };
        }
        case "gone":
            return {
                ...state,
                pending: state.pending.map(transition => markAcknowledged(transition, event.instance, now)),
            };
    }
}

function addTransition(
    state: EpochEffectState,
    transition: EpochTransition,
    self: InstanceId,
    now: Milliseconds,
): EpochEffectState {
    const last = state.pending.at(-1)?.offset ?? state.effective;
    if (transition.offset <= last) {
        return state;
    }
    const added: PendingTransition = { ...transition, readAt: now, acknowledged: new Map(), effectiveAt: undefined };
    const pending = [...state.pending, added].map(entry => markAcknowledged(entry, self, now));
    // an instance that wrote its own leave record has confirmed no lease since then
    const { left } = transition;
    return {
        ...state,
        pending: left === undefined ? pending : pending.map(entry => markAcknowledged(entry, left, now)),
    };
}

function markAcknowledged(
    pendingTransition: PendingTransition,
    witness: InstanceId,
    now: Milliseconds,
): PendingTransition {
    if (!pendingTransition.witnesses.includes(witness) || pendingTransition.acknowledged.has(witness)) {
        return pendingTransition;
    }
    return { ...pendingTransition, acknowledged: new Map(pendingTransition.acknowledged).set(witness, now) };
}

function updateEffectiveTimes(state: EpochEffectState, now: Milliseconds, wait: Milliseconds): EpochEffectState {
    let previousEffectiveAt: Milliseconds | undefined = -Infinity;
    const pending = state.pending.map(transition => {
        const ownEffectiveAt = transition.effectiveAt ?? computeEffectiveAt(transition, wait);
        previousEffectiveAt = previousEffectiveAt === undefined || ownEffectiveAt === undefined
            ? undefined
            : Math.max(previousEffectiveAt, ownEffectiveAt);
        return { ...transition, effectiveAt: previousEffectiveAt };
    });
    const done = pending.filter(transition => transition.effectiveAt !== undefined && transition.effectiveAt <= now);
    const effective = Math.max(state.effective, done.at(-1)?.offset ?? state.effective);
    return { effective, pending: pending.slice(done.length) };
}

function computeEffectiveAt(transition: PendingTransition, wait: Milliseconds): Milliseconds | undefined {
    // before the first epoch no instance held a lease
    const requiredCount = transition.witnesses.length === 0 ? 0 : countMajority(transition.witnesses);
    const acknowledgementTimes = [...transition.acknowledged.values()].sort((left, right) => left - right);
    if (acknowledgementTimes.length < requiredCount) {
        return undefined;
    }
    return Math.max(transition.readAt, acknowledgementTimes[requiredCount - 1] ?? transition.readAt) + wait;
}

/**
 * Returns the time from which on a change of epoch is in effect.
 *
 * @param state - state of this instance
 * @param offset - offset of the change
 * @returns monotonic time; `-Infinity` if the change is in effect already, `Infinity` while the time isn't known
 */
export function readEffectiveAt(state: EpochEffectState, offset: LogOffset): Milliseconds {
    if (offset <= state.effective) {
        return -Infinity;
    }
    const pending = state.pending.find(transition => transition.offset >= offset);
    return pending?.effectiveAt ?? Infinity;
}
