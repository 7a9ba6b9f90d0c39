/**
 * Computes the start allowance: units of a quota that may be admitted right after a start, while buckets are still empty
 * because nobody knows what was admitted before. Without it, all clients that return after a crash of all instances would
 * be refused. It has two parts: of the bound by which quotas may be exceeded, divided among all instances, as they may all
 * start within one window; and what accrued while the instance started, where the holder hasn't given it to the others.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { AccountQuota } from "./types.js";

/** Bounds within which all instances together may exceed the quota of an account. */
export interface QuotaBounds {
    /** Length of the windows in which admissions are counted; the bounds hold for each window, whenever it starts. */
    readonly window: Milliseconds;
    /** Ratio of the quota by which admissions in a window may exceed it. */
    readonly excessRatio: number;
    /** Units by which they may exceed it in addition. */
    readonly excessUnits: number;
}

/** Ratio of the permitted excess that starts may use; the rest covers admissions that are reported late. */
const startExcessRatio = 0.4;

/**
 * Computes the part of the permitted excess that all starts within one window may use together.
 *
 * @param quota - quota of the account
 * @param bounds - bounds within which the quota may be exceeded
 * @returns units of the quota
 */
export function computeStartExcess(quota: AccountQuota, bounds: QuotaBounds): number {
    const windowLimit = quota.ratePerSecond * bounds.window / millisecondsPerSecond + quota.burst;
    return (windowLimit * bounds.excessRatio + bounds.excessUnits) * startExcessRatio;
}

/**
 * Computes what one instance's part of a quota gives in the time of a start.
 *
 * @param quota - quota of the account
 * @param duration - the time, weighted by the part of the rate
 * @param part - part of the quota, 0 to 1
 * @returns units of the quota, at most the part of the burst
 */
export function computeAccrued(quota: AccountQuota, duration: Milliseconds, part: number): number {
    return Math.min(quota.burst * part, quota.ratePerSecond * duration / millisecondsPerSecond);
}
