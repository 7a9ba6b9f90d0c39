/**
 * Units that a coordinator has borrowed for one resource, and the draws that wait for them.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { computeAccrualTime, type ReachableBuckets } from "./lenderChoice.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";

/** Units that the coordinator borrowed in one loan. */
export interface BorrowedUnits {
    readonly lender: InstanceId;
    readonly loan: ExchangeNumber;
    readonly borrowedAt: Milliseconds;
    /** Monotonic time until which the units may be granted. */
    readonly validUntil: Milliseconds;
    /** Monotonic time until which unspent units may be returned to the lender. */
    readonly returnableUntil: Milliseconds;
    /** Units not yet granted. */
    remaining: number;
    /** Units that are granted and not yet released. */
    inUse: number;
    /** Units that were released unspent. They are returned to the lender when no units of the loan are in use. */
    unspent: number;
}

/** A draw that waits at the coordinator. */
export interface QueuedDraw {
    readonly from: InstanceId;
    readonly draw: ExchangeNumber;
    readonly amount: number;
    /** Largest number of the units that may be returned after use. */
    readonly mayReturn: number;
    /** Draws with a lower number are served first. */
    readonly priority: number;
    /** Number of the draw in the order of arrival at the coordinator. */
    readonly order: number;
    readonly receivedAt: Milliseconds;
    /** Monotonic time after which the draw is refused. */
    readonly waitUntil: Milliseconds;
    /** Whether the sender has been told that the draw is queued. */
    hasQueuedReply: boolean;
}

/** A loan request that the lender has not answered yet. */
export interface OpenLoanRequest {
    readonly lender: InstanceId;
    readonly loan: ExchangeNumber;
    readonly amount: number;
    readonly sentAt: Milliseconds;
}

/** The last level of its bucket that a lender reported, and when the report arrived. */
export interface LenderReport {
    readonly level: number;
    readonly at: Milliseconds;
}

/** The part of a loan's units that a granted draw uses. */
export interface BorrowedUse {
    readonly borrowed: BorrowedUnits;
    readonly amount: number;
}

/** State of one resource at its coordinator. */
export interface Pool {
    readonly resource: ResourceId;
    borrowedUnits: BorrowedUnits[];
    queue: QueuedDraw[];
    openLoanRequests: OpenLoanRequest[];
    readonly reports: Map<InstanceId, LenderReport>;
    /** Units in use, by `instance/draw`. */
    readonly uses: Map<string, readonly BorrowedUse[]>;
    /** Time of the next borrowing round if nothing changes the pool before then. */
    nextBorrowRoundAt: Milliseconds;
    lastBorrowRoundAt: Milliseconds;
    /**
     * Whether a draw or a loan has arrived, or units have been released, since the last decision on which draws wait
     * and which are refused.
     */
    hasChanged: boolean;
    /**
     * Whether the reachable buckets held too few units for the first draw at the last decision on which draws wait.
     */
    isShortOfUnits: boolean;
    /** Monotonic time at which the pool must next be advanced. */
    deadline: Milliseconds;
}

// rounding errors in sums of units, such as thirds and eighths, stay below this
const roundingTolerance = 1e-6;

/**
 * Creates an empty pool.
 *
 * @param resource - resource of the pool
 * @returns a pool without borrowed units or queued draws
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
 * Inserts a draw into the queue, ordered by priority and then by arrival.
 *
 * @param pool - changed in place
 * @param entry - the draw
 * @returns whether the draw was inserted; `false` if the queue already contains it, as after a duplicate message
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
 * Sums the borrowed units that can be granted now.
 *
 * @param pool - the pool
 * @param usableUntil - monotonic time until which the units must be valid
 * @returns number of units
 */
export function sumUsableUnits(pool: Pool, usableUntil: Milliseconds): number {
    return pool.borrowedUnits.reduce(
        (sum, borrowed) => borrowed.validUntil >= usableUntil ? sum + borrowed.remaining : sum,
        0,
    );
}

/**
 * Takes borrowed units out of the pool, those that expire first before others.
 *
 * @param pool - changed in place
 * @param amount - units wanted
 * @param usableUntil - monotonic time until which the units must be valid
 * @returns units taken from each loan, or `undefined` if there are too few; nothing is taken then
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
        .filter(borrowed => borrowed.validUntil >= usableUntil && borrowed.remaining > 0)
        .sort((left, right) => left.validUntil - right.validUntil);
    const uses: BorrowedUse[] = [];
    let wanted = amount;
    for (const borrowed of usable) {
        const taken = Math.min(borrowed.remaining, wanted);
        if (taken <= 0) {
            break;
        }
        borrowed.remaining -= taken;
        wanted -= taken;
        uses.push({ borrowed, amount: taken });
    }
    return uses;
}

/** Forecast for a queued draw. */
export interface WaitForecast {
    readonly entry: QueuedDraw;
    /** Time until enough units are available; `undefined` if the reachable buckets can never hold so many. */
    readonly wait: Milliseconds | undefined;
}

/**
 * Forecasts how long each queued draw waits for its units. Draws ahead of it in the queue are served first.
 *
 * @param pool - the pool
 * @param buckets - buckets of all reachable members
 * @param borrowedAmount - units already borrowed and not granted
 * @param now - present time
 * @returns one forecast for each draw, in queue order
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
        // a draw that will be refused takes no units from the draws behind it
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
    // draws ahead empty the buckets, so accrual is not limited by capacity while this draw waits
    const missing = amountAhead + amount - borrowedAmount - buckets.levels.reduce((sum, level) => sum + level, 0);
    return Math.max(waitAlone, missing / rate * millisecondsPerSecond);
}
