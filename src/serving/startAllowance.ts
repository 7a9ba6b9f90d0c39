/**
 * What an instance that has just started may admit before its bucket has filled. It doesn't know what was admitted before,
 * but nothing was while it started, and the limit leaves some slack. Answers the return of all clients after all instances
 * were killed at once.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { AccountQuota } from "./types.js";

/** How exactly the limits of accounts are to be kept over all instances. */
export interface QuotaBounds {
    readonly window: Milliseconds;
    /** Part of the limit by which it may be exceeded. */
    readonly excessRatio: number;
    /** Units by which it may be exceeded besides. */
    readonly excessUnits: number;
}

/** Part of the slack that starts use up; the rest is for admissions that the others hear of late. */
const startExcessRatio = 0.4;

/**
 * Computes one instance's allowance. All instances may start within one window.
 *
 * @param quota - the account's limit
 * @param bounds - how exactly it is to be kept
 * @param startDuration - time that this instance took to start
 * @param instanceCount - all instances
 * @returns units
 */
export function computeStartAllowance(
    quota: AccountQuota,
    bounds: QuotaBounds,
    startDuration: Milliseconds,
    instanceCount: number,
): number {
    const accrued = Math.min(quota.burst, quota.ratePerSecond * startDuration / millisecondsPerSecond);
    const windowLimit = quota.ratePerSecond * bounds.window / millisecondsPerSecond + quota.burst;
    const excess = windowLimit * bounds.excessRatio + bounds.excessUnits;
    return (accrued + excess * startExcessRatio) / instanceCount;
}
