/**
 * When a change of epoch is in effect, that is when nobody can act under an earlier epoch any more. The argument is in
 * docs/design/ownership.md.
 *
 * @packageDocumentation
 */
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { EpochTransition } from "./ownershipState.js";
import { countMajority } from "./witnesses.js";

/** A change of epoch that is not known to be in effect. */
export interface PendingTransition extends EpochTransition {
    readonly readAt: Milliseconds;
    /** Times from which on a witness of the ended epoch confirms it no more. */
    readonly acknowledged: ReadonlyMap<InstanceId, Milliseconds>;
    /** Monotonic time at which it is in effect, once that is known. */
    readonly effectiveAt: Milliseconds | undefined;
}

/** What an instance knows of the changes of epoch. */
export interface EpochEffectState {
    /** Changes up to here are in effect. */
    readonly effective: LogOffset;
    /** Later ones, in the order of the log. */
    readonly pending: readonly PendingTransition[];
}

/** What adds to that knowledge. */
export type EpochEffectEvent =
    | { readonly kind: "read"; readonly transition: EpochTransition; readonly self: InstanceId; }
    /** A witness says which epoch it has read, and up to where it knows changes to be in effect. */
    | {
        readonly kind: "answered";
        readonly witness: InstanceId;
        readonly epoch: LogOffset;
        readonly effective: LogOffset;
    }
    /** An instance has surely ended, or will confirm nothing any more. */
    | { readonly kind: "gone"; readonly instance: InstanceId; };

/**
 * Creates the knowledge of an instance that starts.
 *
 * @param effective - offset up to which changes are in effect, from its snapshot
 * @returns the state
 */
export function createEpochEffectState(effective: LogOffset): EpochEffectState {
    return { effective, pending: [] };
}

/**
 * Takes an event into account.
 *
 * @param state - the knowledge before
 * @param event - what came
 * @param now - present time
 * @param wait - one lease with the margin for clocks that run differently
 * @returns the knowledge after
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
            // it may say so of changes that this instance has yet to read
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
    // who left by its own word has confirmed nothing since
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
    // before the first epoch nobody held a lease
    const requiredCount = transition.witnesses.length === 0 ? 0 : countMajority(transition.witnesses);
    const acknowledgementTimes = [...transition.acknowledged.values()].sort((left, right) => left - right);
    if (acknowledgementTimes.length < requiredCount) {
        return undefined;
    }
    return Math.max(transition.readAt, acknowledgementTimes[requiredCount - 1] ?? transition.readAt) + wait;
}

/**
 * Reads when a change of epoch is in effect.
 *
 * @param state - what the instance knows
 * @param offset - the change's offset
 * @returns the time; `Infinity` while it isn't known
 */
export function readEffectiveAt(state: EpochEffectState, offset: LogOffset): Milliseconds {
    if (offset <= state.effective) {
        return -Infinity;
    }
    const pending = state.pending.find(transition => transition.offset >= offset);
    return pending?.effectiveAt ?? Infinity;
}
