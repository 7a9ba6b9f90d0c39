/**
 * Computes the start allowance: units of a quota that an instance may admit right after its start, while its buckets
 * are still empty because it doesn't know what was admitted before. The allowance consists of the units that accrued
 * while nobody admitted its part, and of part of the bound by which quotas may be exceeded. Without
 * it, all clients that return after a crash of all instances would be refused.
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
 * Computes the start allowance of one instance. The total is divided among all instances, as they may all start within
 * one window.
 *
 * @param quota - quota of the account
 * @param bounds - bounds within which the quota may be exceeded
 * @param idle - time in which nobody had this instance's part of the quota: that of its start if its process was killed
 * @param instanceCount - number of all instances, at least 1
 * @returns units of the quota
 */
export function computeStartAllowance(
    quota: AccountQuota,
    bounds: QuotaBounds,
    idle: Milliseconds,
    instanceCount: number,
): number {
    const accrued = Math.min(quota.burst, quota.ratePerSecond * idle / millisecondsPerSecond);
    const windowLimit = quota.ratePerSecond * bounds.window / millisecondsPerSecond + quota.burst;
    const excess = windowLimit * bounds.excessRatio + bounds.excessUnits;
    return (accrued + excess * startExcessRatio) / instanceCount;
}
