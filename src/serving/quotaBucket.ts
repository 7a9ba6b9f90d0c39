/**
 * Rate of a client account over all instances. Each instance keeps a bucket of the whole rate and takes out what it admits
 * and what the others tell that they admitted; for those that it can't hear it gives up their part of the rate, so that
 * instances that are cut off from each other can't spend more than the whole between them.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { AccountQuota } from "./types.js";

/** Result of asking for room. */
export type QuotaDecision =
    /** `counted` is what comes out of the rate, and so is told to the others. */
    | { readonly kind: "admitted"; readonly charged: number; }
    /** Time until there is room again. */
    | { readonly kind: "exceeded"; readonly wait: Milliseconds; };

/** Bucket of one client account. */
export interface QuotaBucket {
    readonly take: (amount: number, now: Milliseconds) => QuotaDecision;
    /** Adds what this instance alone may use besides the rate. */
    readonly grant: (amount: number) => void;
    /** Takes out what another instance has admitted. */
    readonly charge: (amount: number, now: Milliseconds) => void;
    readonly update: (quota: AccountQuota, now: Milliseconds) => void;
    /** Sets the part of the rate that this instance may count on. */
    readonly setReachableShare: (share: number, now: Milliseconds) => void;
}

/** Seconds of the rate that a bucket may owe for what others admitted at the same time. */
const debtLimitSeconds = 2;

/**
 * Creates a bucket that starts empty, as the instance may have been restarted within a window.
 *
 * @param quota - rate and burst
 * @param now - the present time
 * @returns the bucket
 */
export function createQuotaBucket(quota: AccountQuota, now: Milliseconds): QuotaBucket {
    let limits = quota;
    let reachableShare = 1;
    let level = 0;
    let allowance = 0;
    let updatedAt = now;
    const fillLevel = (present: Milliseconds): void => {
        const seconds = Math.max(0, present - updatedAt) / millisecondsPerSecond;
        level = Math.min(limits.burst, level + limits.ratePerSecond * reachableShare * seconds);
        updatedAt = present;
    };
    return {
        take: (amount, present) => {
            fillLevel(present);
            // a request larger than the burst must not wait for ever
            const needed = Math.min(amount, limits.burst);
            if (level + allowance >= needed) {
                const granted = Math.min(allowance, amount);
                const charged = amount - granted;
                allowance -= granted;
                level -= charged;
                return { kind: "admitted", charged: charged };
            }
            const rate = Math.max(1, limits.ratePerSecond * reachableShare);
            return { kind: "exceeded", wait: (needed - level) / rate * millisecondsPerSecond };
        },
        grant: amount => {
            allowance += amount;
        },
        charge: (amount, present) => {
            fillLevel(present);
            level = Math.max(-debtLimitSeconds * limits.ratePerSecond, level - amount);
        },
        update: (newLimits, present) => {
            fillLevel(present);
            limits = newLimits;
            level = Math.min(level, limits.burst);
        },
        setReachableShare: (newShare, present) => {
            fillLevel(present);
            reachableShare = newShare;
        },
    };
}
