/**
 * Token bucket that limits the rate of one client account over all instances. Each instance has a bucket with the full
 * rate and subtracts what it admits and what the other instances report as admitted. When some instances can't be
 * reached, the bucket fills more slowly by their share, so that groups separated by a network partition don't exceed
 * the rate together.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { AccountQuota } from "./types.js";

/** Decision on a request. */
export type QuotaDecision =
    /**
     * `charged` units were taken from the rate and are reported to the other instances; the rest of the request's units
     * came from those added by `grant`.
     */
    | { readonly kind: "admitted"; readonly charged: number; }
    /** `wait` is the time until the bucket has enough units. */
    | { readonly kind: "exceeded"; readonly wait: Milliseconds; };

/** Bucket of one client account. */
export interface QuotaBucket {
    /**
     * Takes `amount` units if the bucket has them. A full bucket admits any amount, and its level may then fall below
     * zero.
     */
    readonly take: (amount: number, now: Milliseconds) => QuotaDecision;
    /** Adds units that this instance may use in addition to the rate and that are not reported. */
    readonly grant: (amount: number) => void;
    /** Subtracts what another instance has admitted. */
    readonly charge: (amount: number, now: Milliseconds) => void;
    /** Replaces rate and burst. */
    readonly update: (quota: AccountQuota, now: Milliseconds) => void;
    /** Sets the share of the rate with which the bucket fills, 0 to 1. */
    readonly setReachableShare: (share: number, now: Milliseconds) => void;
}

/**
 * Largest debt of a bucket, as the time in which the full rate makes up for it. A bucket goes into debt when several
 * instances admit requests at the same time.
 */
const debtLimitSeconds = 2;

/**
 * Creates an empty bucket. It doesn't start full because the account may have used its rate before a restart of the
 * instance.
 *
 * @param quota - rate and burst
 * @param now - current time, from which the bucket fills
 * @returns the bucket, owned by the caller
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
            // a full bucket admits a request larger than the burst, which could otherwise never run
            const needed = Math.min(amount, limits.burst);
            if (level + allowance >= needed) {
                const granted = Math.min(allowance, amount);
                const charged = amount - granted;
                allowance -= granted;
                level -= charged;
                return { kind: "admitted", charged };
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
