/**
 * From whom the pooling instance borrows, and when enough units will be there.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** What is believed of a member's slice. */
export interface LenderEstimate {
    readonly lender: InstanceId;
    readonly level: number;
}

/** How much to ask of a member. */
export interface PlannedLoan {
    readonly lender: InstanceId;
    readonly amount: number;
}

/** Slices of a resource that are in reach, all of one size. */
export interface ReachableBuckets {
    readonly levels: readonly number[];
    readonly capacity: number;
    /** Units a second of one slice. */
    readonly rate: number;
}

const smallestLoanAmount = 1e-6;
const commonLevelRatio = 0.75;
const searchStepLimit = 40;

/**
 * Chooses lenders so that the richest are brought down to one common level: a slice that is full wastes what accrues.
 *
 * @param estimates - members in reach and what they have
 * @param amount - units wanted
 * @param limit - most members to ask, the richest
 * @returns what to ask of whom; less than the amount if there isn't more
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

// as few as can give the amount and stay close to the others, for each of them costs two messages
function countSufficientLenders(descending: readonly number[], amount: number): number {
    let sum = 0;
    for (let count = 1; count < descending.length; count++) {
        sum += descending[count - 1]!;
        if (sum - amount >= count * commonLevelRatio * descending[0]!) {
            return count;
        }
    }
    return descending.length;
}

// the common level that is left when the amount has been taken from the top
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
 * Computes how long it takes until slices hold an amount together, if nobody spends.
 *
 * @param buckets - the slices in reach
 * @param amount - units wanted
 * @returns the time, or `undefined` if they can never hold so much
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
