/**
 * What the pooling instance of a resource has borrowed, and who waits for it.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { computeAccrualTime, type ReachableBuckets } from "./lenderChoice.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";

/** Units of one loan. */
export interface BorrowedUnits {
    readonly lender: InstanceId;
    readonly loan: ExchangeNumber;
    readonly borrowedAt: Milliseconds;
    /** Time up to which units may be granted. */
    readonly validUntil: Milliseconds;
    /** Time up to which units may go back. */
    readonly returnableUntil: Milliseconds;
    /** Units not yet granted. */
    remaining: number;
    /** Units that are granted and not yet released. */
    inUse: number;
    /** Units that were released unspent; they go back when nothing is in use. */
    unspent: number;
}

/** A draw that waits. */
export interface QueuedDraw {
    readonly from: InstanceId;
    readonly draw: ExchangeNumber;
    readonly amount: number;
    /** How many of them may come back after their use. */
    readonly mayReturn: number;
    readonly priority: number;
    readonly order: number;
    readonly receivedAt: Milliseconds;
    readonly waitUntil: Milliseconds;
    hasQueuedReply: boolean;
}

/** A question to a lender that is not yet answered. */
export interface OpenLoanRequest {
    readonly lender: InstanceId;
    readonly loan: ExchangeNumber;
    readonly amount: number;
    readonly sentAt: Milliseconds;
}

/** What a lender said last. */
export interface LenderReport {
    readonly level: number;
    readonly at: Milliseconds;
}

/** Part of a lot that a granted draw uses. */
export interface BorrowedUse {
    readonly borrowed: BorrowedUnits;
    readonly amount: number;
}

/** State of one resource at its pooling instance. */
export interface Pool {
    readonly resource: ResourceId;
    borrowedUnits: BorrowedUnits[];
    queue: QueuedDraw[];
    openLoanRequests: OpenLoanRequest[];
    readonly reports: Map<InstanceId, LenderReport>;
    /** Units in use by `instance/draw`. */
    readonly uses: Map<string, readonly BorrowedUse[]>;
    nextBorrowRoundAt: Milliseconds;
    lastBorrowRoundAt: Milliseconds;
    /** Whether a draw or a loan arrived since it was last decided who waits. */
    hasChanged: boolean;
    /** Whether the slices in reach had too little when it was last decided who waits. */
    isShortOfUnits: boolean;
    /** Time at which something is due. */
    deadline: Milliseconds;
}

// sums of thirds and eighths miss whole numbers by less than this
const roundingTolerance = 1e-6;

/**
 * Creates an empty pool.
 *
 * @param resource - what it pools
 * @returns the pool
 */
export function createPool(resource: ResourceId): Pool {
    return {
        resource,
        borrowedUnits: [],
        queue: [],
        openLoanRequests: [],
        reports: new Map(),
        uses: new Map(),
        nextBorrowRoundAt: 0,
        lastBorrowRoundAt: -Infinity,
        hasChanged: false,
        isShortOfUnits: false,
        deadline: Infinity,
    };
}

/**
 * Adds a draw in its order: priority, then arrival.
 *
 * @param pool - changed in place
 * @param entry - the draw
 * @returns whether it is new; a doubled message is not
 */
export function insertDraw(pool: Pool, entry: QueuedDraw): boolean {
    if (pool.queue.some(waiting => waiting.from === entry.from && waiting.draw === entry.draw)) {
        return false;
    }
    const position = pool.queue.findLastIndex(waiting => waiting.priority <= entry.priority);
    pool.queue.splice(position + 1, 0, entry);
    return true;
}

/**
 * Sums the units that can be granted now.
 *
 * @param pool - the pool
 * @param usableUntil - time up to which the units have to be valid
 * @returns units
 */
export function sumUsableUnits(pool: Pool, usableUntil: Milliseconds): number {
    return pool.borrowedUnits.reduce(
        (sum, borrowed) => borrowed.validUntil >= usableUntil ? sum + borrowed.remaining : sum,
        0,
    );
}

/**
 * Takes units out of the lots that end first.
 *
 * @param pool - changed in place
 * @param amount - units wanted
 * @param usableUntil - time up to which the units have to be valid
 * @returns the parts taken, or `undefined` if there are not enough
 */
export function takeUsableUnits(
    pool: Pool,
    amount: number,
    usableUntil: Milliseconds,
): readonly BorrowedUse[] | undefined {
    if (sumUsableUnits(pool, usableUntil) < amount - roundingTolerance) {
        return undefined;
    }
    const usable = pool.borrowedUnits
        .filter(lot => lot.validUntil >= usableUntil && lot.remaining > 0)
        .sort((left, right) => left.validUntil - right.validUntil);
    const uses: BorrowedUse[] = [];
    let wanted = amount;
    for (const lot of usable) {
        const taken = Math.min(lot.remaining, wanted);
        if (taken <= 0) {
            break;
        }
        lot.remaining -= taken;
        wanted -= taken;
        uses.push({ borrowed: lot, amount: taken });
    }
    return uses;
}

/** What becomes of a waiting draw. */
export interface WaitForecast {
    readonly entry: QueuedDraw;
    /** Time until its units are there, or `undefined` if the slices in reach can't hold so many. */
    readonly wait: Milliseconds | undefined;
}

/**
 * Forecasts for each waiting draw when its units are there, those before it served first.
 *
 * @param pool - the pool
 * @param buckets - slices in reach
 * @param borrowedAmount - units already borrowed
 * @param now - present time
 * @returns one forecast a draw, in queue order
 */
export function estimateWaits(
    pool: Pool,
    buckets: ReachableBuckets,
    borrowedAmount: number,
    now: Milliseconds,
): readonly WaitForecast[] {
    let amountAhead = 0;
    return pool.queue.map(entry => {
        const wait = estimateWait(buckets, borrowedAmount, amountAhead, entry.amount);
        // a draw that will be refused takes nothing from those behind it
        if (wait !== undefined && now + wait <= entry.waitUntil) {
            amountAhead += entry.amount;
        }
        return { entry, wait };
    });
}

function estimateWait(
    buckets: ReachableBuckets,
    borrowedAmount: number,
    amountAhead: number,
    amount: number,
): Milliseconds | undefined {
    const waitAlone = computeAccrualTime(buckets, amount - borrowedAmount);
    const rate = buckets.rate * buckets.levels.length;
    if (waitAlone === undefined || amountAhead <= 0 || rate <= 0) {
        return waitAlone;
    }
    // those ahead empty the slices, so that none is full while this one waits
    const missing = amountAhead + amount - borrowedAmount - buckets.levels.reduce((sum, level) => sum + level, 0);
    return Math.max(waitAlone, missing / rate * millisecondsPerSecond);
}
