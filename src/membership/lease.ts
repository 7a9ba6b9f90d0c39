/**
 * Lease of an instance on the prefix of the ownership stream that it has read, and the rules by which it is renewed.
 *
 * @packageDocumentation
 */
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import { countMajority } from "./witnesses.js";

/** State of the lease of one instance. */
export interface LeaseState {
    /** Send time of the latest request whose response renewed the lease; `undefined` before the first renewal. */
    readonly startedAt: Milliseconds | undefined;
}

/** A response of a witness, as far as the lease depends on it. */
export interface WitnessConfirmation {
    readonly witness: InstanceId;
    /** Latest epoch that the witness has read. */
    readonly epoch: LogOffset;
    /** Whether the response of this witness counts towards the majority. */
    readonly mayConfirm: boolean;
}

/**
 * Renews a lease so that it starts when a request was sent.
 *
 * @param state - lease before the renewal
 * @param requestSentAt - monotonic time at which the request was sent, not at which its response arrived
 * @returns the renewed lease; its start never moves back
 */
export function renewLease(state: LeaseState, requestSentAt: Milliseconds): LeaseState {
    return { startedAt: Math.max(state.startedAt ?? requestSentAt, requestSentAt) };
}

/**
 * Returns whether a majority of the witnesses confirms that it has read no later epoch. A later epoch takes effect only
 * one lease duration after a majority has read it.
 *
 * @param witnesses - witnesses of the instance's current epoch
 * @param epoch - that epoch
 * @param confirmations - responses to requests sent at or after the intended start of the lease
 * @returns whether a majority of the witnesses may confirm and has read no later epoch
 */
export function hasMajority(
    witnesses: readonly InstanceId[],
    epoch: LogOffset,
    confirmations: readonly WitnessConfirmation[],
): boolean {
    const confirming = new Set(
        confirmations
            .filter(answer => answer.mayConfirm && answer.epoch <= epoch && witnesses.includes(answer.witness))
            .map(answer => answer.witness),
    );
    return confirming.size >= countMajority(witnesses);
}

/** Inputs of the check whether a witness may confirm leases. */
export interface WitnessEligibilityInputs {
    /** Whether this instance has begun to leave. */
    readonly leaving: boolean;
    /** Send time of the latest request to the instance list whose response contained this instance. */
    readonly selfListedAsOf: Milliseconds | undefined;
}

/**
 * Time for which a witness may confirm leases after the instance list last contained it. It is shorter than
 * {@link terminatedAfterUnlistedMilliseconds}, so that a witness stops confirming before others treat it as terminated.
 */
export const maximumListingAgeMilliseconds = 15_000;

/** Time for which the instance list must omit an instance before others treat the instance as terminated for good. */
export const terminatedAfterUnlistedMilliseconds = 20_000;

/**
 * Returns whether a witness may confirm leases. Other instances treat an instance as terminated once the instance list
 * has omitted it for a time, so a witness that hasn't found itself in the list lately must not confirm any lease.
 *
 * @param inputs - whether the witness is leaving, and when the list last contained it
 * @param now - current monotonic time
 * @returns whether the witness may confirm leases now
 */
export function isEligibleToConfirm(inputs: WitnessEligibilityInputs, now: Milliseconds): boolean {
    const { leaving, selfListedAsOf } = inputs;
    return !leaving && selfListedAsOf !== undefined && now - selfListedAsOf < maximumListingAgeMilliseconds;
}
