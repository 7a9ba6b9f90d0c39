/**
 * Token bucket of one client account, kept by the instance that holds the account's quota.
 *
 * @packageDocumentation
 */
import type { QuotaSupply } from "../fairness/index.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { QuotaDecision } from "./quotaMessages.js";
import type { AccountQuota } from "./types.js";

/** Bucket of one client account. */
export interface QuotaBucket {
    /**
     * Takes `amount` units if the bucket has them, or has them soon. A full bucket admits any amount, and its level may
     * then fall below zero. A resumed stream may wait longer for its units than others, so that it goes before them. One
     * that has to leave a reserve for others takes only what is beyond that.
     */
    readonly take: (amount: number, now: Milliseconds, isResumed?: boolean, reserve?: number) => QuotaDecision;
    /** What it has now, and what it gets. */
    readonly measureSupply: (now: Milliseconds) => QuotaSupply;
    /** Adds units that may be used in addition to the rate. */
    readonly grant: (amount: number) => void;
    /** Adds units that were taken and not used. */
    readonly giveBack: (amount: number, now: Milliseconds) => void;
    /** Subtracts units that were admitted without asking. */
    readonly charge: (amount: number, now: Milliseconds) => void;
    /** Replaces rate and burst. */
    readonly update: (quota: AccountQuota, now: Milliseconds) => void;
    /** Sets the share of rate and burst that is this bucket's, 0 to 1. */
    readonly setShare: (share: number, now: Milliseconds) => void;
    /** Ends the filling, until `resume`, which makes up for nothing. */
    readonly pause: (now: Milliseconds) => void;
    readonly resume: (now: Milliseconds) => void;
    /** Units that it has, negative for a debt, with those of a pause. */
    readonly measureLevel: (now: Milliseconds) => number;
    /** Adds the units, or the debt, of the bucket of a previous holder. */
    readonly addLevel: (amount: number, now: Milliseconds) => void;
}

/** Largest debt of a bucket, as the time in which the full rate makes up for it. */
const debtLimitSeconds = 4;
/** Longest delay of an admitted request; a holder that has just taken over starts with an empty bucket. */
const delayLimitMilliseconds = 120;
/** Longest delay of a stream that is taken up: its client has a part already, which is lost when it is refused. */
const resumedDelayLimitMilliseconds = 1_000;

/**
 * Creates an empty bucket. It doesn't start full because the account may have used its rate at the previous holder.
 *
 * @param quota - rate and burst
 * @param now - current time, from which the bucket fills
 * @returns the bucket, owned by the caller
 */
export function createQuotaBucket(quota: AccountQuota, now: Milliseconds): QuotaBucket {
    let limits = quota;
    let share = 1;
    let level = 0;
    let allowance = 0;
    let updatedAt = now;
    let isPaused = false;
    // the capacities of all buckets of an account add up to its burst, as their rates do to its rate
    const computeCapacity = (): number => limits.burst * share;
    const fillLevel = (present: Milliseconds): void => {
        if (!isPaused) {
            const seconds = Math.max(0, present - updatedAt) / millisecondsPerSecond;
            level = Math.min(computeCapacity(), level + limits.ratePerSecond * share * seconds);
            updatedAt = present;
        }
    };
    return {
        take: (amount, present, isResumed = false, reserve = 0) => {
            fillLevel(present);
            // a full bucket admits a request larger than the burst, which could otherwise never run; one without a share isn't full
            const measureWait = (units: number): Milliseconds => {
                const needed = share > 0 ? Math.min(units, computeCapacity()) : units;
                const rate = Math.max(1, limits.ratePerSecond * share);
                return Math.max(0, (needed - level - allowance) / rate * millisecondsPerSecond);
            };
            const wait = measureWait(amount + reserve);
            if (wait > (isResumed ? resumedDelayLimitMilliseconds : delayLimitMilliseconds)) {
                return { kind: "exceeded", wait };
            }
            const delay = reserve > 0 ? measureWait(amount) : wait;
            const granted = Math.min(allowance, amount);
            allowance -= granted;
            level -= amount - granted;
            return { kind: "admitted", delay };
        },
        measureSupply: present => {
            fillLevel(present);
            return {
                level: level + allowance,
                ratePerSecond: limits.ratePerSecond * share,
                capacity: computeCapacity(),
            };
        },
        grant: amount => {
            allowance += amount;
        },
        giveBack: (amount, present) => {
            fillLevel(present);
            level = Math.min(computeCapacity(), level + amount);
        },
        charge: (amount, present) => {
            fillLevel(present);
            level = Math.max(-debtLimitSeconds * limits.ratePerSecond, level - amount);
        },
        update: (newLimits, present) => {
            fillLevel(present);
            limits = newLimits;
            level = Math.min(level, computeCapacity());
        },
        setShare: (newShare, present) => {
            fillLevel(present);
            share = isPaused ? share : newShare;
        },
        pause: present => {
            fillLevel(present);
            isPaused = true;
        },
        resume: present => {
            updatedAt = isPaused ? present : updatedAt;
            isPaused = false;
        },
        measureLevel: present => {
            isPaused = false;
            fillLevel(present);
            return level + allowance;
        },
        addLevel: (amount, present) => {
            fillLevel(present);
            level = Math.min(computeCapacity(), Math.max(-debtLimitSeconds * limits.ratePerSecond, level + amount));
        },
    };
}
