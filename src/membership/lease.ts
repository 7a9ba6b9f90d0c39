/**
 * The lease of an instance on what it has read of the ownership stream.
 *
 * @packageDocumentation
 */
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import { countMajority } from "./witnesses.js";

/** The lease of an instance. */
export interface LeaseState {
    /** Time at which the question was sent whose answer renewed it last; `undefined` before the first. */
    readonly startedAt: Milliseconds | undefined;
}

/** A witness's answer. */
export interface WitnessConfirmation {
    readonly witness: InstanceId;
    /** Epoch that the witness has read. */
    readonly epoch: LogOffset;
    /** Whether its word may renew leases now. */
    readonly mayConfirm: boolean;
}

/**
 * Renews a lease from a question asked at some time.
 *
 * @param state - the lease before
 * @param requestSentAt - when the question was sent, not when its answer came
 * @returns the lease after
 */
export function renewLease(state: LeaseState, requestSentAt: Milliseconds): LeaseState {
    return { startedAt: Math.max(state.startedAt ?? requestSentAt, requestSentAt) };
}

/**
 * Says whether witnesses confirm that no later epoch has taken effect.
 *
 * @param witnesses - witnesses of the epoch that the instance is in
 * @param epoch - that epoch
 * @param confirmations - answers to questions sent since the time that the lease shall start at
 * @returns whether a majority has read nothing later
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

/** Inputs of a witness's decision whether its word may renew leases. */
export interface WitnessEligibilityInputs {
    /** Whether this instance has announced that it leaves. */
    readonly leaving: boolean;
    /** When the question was sent whose answer showed this instance in the platform's list. */
    readonly selfListedAsOf: Milliseconds | undefined;
}

/** How long a witness may confirm after it was seen in the platform's list. */
export const maximumListingAgeMilliseconds = 15_000;

/** How long an instance must be missing from the list until others count it as gone for ever. */
export const terminatedAfterUnlistedMilliseconds = 20_000;

/**
 * Says whether a witness's word may renew leases. Others count an instance as gone once the list has lacked it for long,
 * so a witness that hasn't seen itself there lately keeps silent.
 *
 * @param inputs - what the witness knows of itself
 * @param now - present time
 * @returns whether it may confirm
 */
export function isEligibleToConfirm(inputs: WitnessEligibilityInputs, now: Milliseconds): boolean {
    const { leaving, selfListedAsOf: selfListedAsOf } = inputs;
    return !leaving && selfListedAsOf !== undefined && now - selfListedAsOf < maximumListingAgeMilliseconds;
}
