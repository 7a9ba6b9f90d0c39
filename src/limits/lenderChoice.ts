/**
 * Choice of the members that a coordinator borrows from, and forecasts of when their buckets hold enough units.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Estimated level of a member's local bucket. */
export interface LenderEstimate {
    readonly lender: InstanceId;
    readonly level: number;
}

/** Units to request from one member. */
export interface PlannedLoan {
    readonly lender: InstanceId;
    readonly amount: number;
}

/** Local buckets of all reachable members for one resource; all have the same capacity and rate. */
export interface ReachableBuckets {
    readonly levels: readonly number[];
    readonly capacity: number;
    /** Units that accrue per second in one bucket. */
    readonly rate: number;
}

/** Smaller amounts are rounding errors and not worth a message. */
const smallestLoanAmount = 1e-6;
/** Ratio of the fullest bucket's level that the chosen lenders must keep on average. */
const minimumRemainingRatio = 0.75;
/** Limit on the steps of the binary search, which normally ends at a precision of 1 millisecond. */
const searchStepLimit = 40;

/**
 * Chooses lenders and loan amounts. The fullest buckets are reduced to one common level, because a full bucket wastes
 * the units that would accrue in it.
 *
 * @param estimates - reachable members and their estimated levels
 * @param amount - units wanted
 * @param limit - largest number of members to ask
 * @returns loans to request; their sum is less than `amount` if the chosen members don't hold enough
 */
export function chooseLenders(
    estimates: readonly LenderEstimate[],
    amount: number,
    limit: number,
): readonly PlannedLoan[] {
    const fullest = estimates
        .filter(estimate => estimate.level > smallestLoanAmount)
        .sort((left, right) => right.level - left.level)
        .slice(0, limit);
    const levels = fullest.map(estimate => estimate.level);
    const lenderCount = countSufficientLenders(levels, amount);
    const asked = fullest.slice(0, lenderCount);
    const commonLevel = computeCommonLevel(levels.slice(0, lenderCount), amount);
    return asked
        .map(estimate => ({ lender: estimate.lender, amount: estimate.level - commonLevel }))
        .filter(plannedLoan => plannedLoan.amount > smallestLoanAmount);
}

// each further lender costs two messages, so as few as possible are asked; on average they must keep at least 75 % of
// the fullest bucket's level
function countSufficientLenders(descending: readonly number[], amount: number): number {
    let sum = 0;
    for (let count = 1; count < descending.length; count++) {
        sum += descending[count - 1]!;
        if (sum - amount >= count * minimumRemainingRatio * descending[0]!) {
            return count;
        }
    }
    return descending.length;
}

// computes the level to which the fullest buckets are reduced when together they lend the amount
function computeCommonLevel(descending: readonly number[], amount: number): number {
    let sum = 0;
    for (let count = 1; count <= descending.length; count++) {
        sum += descending[count - 1]!;
        const commonLevel = (sum - amount) / count;
        if (commonLevel >= (descending[count] ?? 0)) {
            return commonLevel;
        }
    }
    return 0;
}

/**
 * Computes how long it takes until buckets together hold an amount, if no units are spent meanwhile.
 *
 * @param buckets - buckets of all reachable members
 * @param amount - units wanted
 * @returns the time, 0 if they hold enough now, or `undefined` if they can never hold so many
 */
export function computeAccrualTime(buckets: ReachableBuckets, amount: number): Milliseconds | undefined {
    const sumLevelsAt = (time: Milliseconds): number =>
        buckets.levels.reduce(
            (sum, level) => sum + Math.min(buckets.capacity, level + buckets.rate * time / millisecondsPerSecond),
            0,
        );
    if (sumLevelsAt(0) >= amount) {
        return 0;
    }
    if (buckets.rate <= 0 || buckets.capacity * buckets.levels.length < amount) {
        return undefined;
    }
    const lowest = Math.min(0, ...buckets.levels);
    let high = (buckets.capacity - lowest) / buckets.rate * millisecondsPerSecond;
    let low = 0;
    for (let step = 0; step < searchStepLimit && high - low > 1; step++) {
        const middle = (low + high) / 2;
        if (sumLevelsAt(middle) >= amount) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    return high;
}
