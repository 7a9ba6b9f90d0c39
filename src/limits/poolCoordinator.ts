/**
 * The coordinator side of draws: queues draws of other instances, borrows units from the members' local buckets and
 * grants them.
 *
 * Every instance can coordinate every resource at any time. A coordinator grants only units that members have lent to
 * it, so two instances that coordinate the same resource at once can't exceed its limits.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { BucketSet, LentUnits } from "./bucketSet.js";
import type { DrawAnswer } from "./drawClient.js";
import type { EffectSink } from "./effects.js";
import { chooseLenders, type LenderEstimate, type ReachableBuckets } from "./lenderChoice.js";
import { computeLoanLifetime, computeValidUntil, type LimitTimes } from "./limitTimes.js";
import type { ResourceLimits } from "./localBucket.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";
import {
    type BorrowedUnits,
    createPool,
    estimateWaits,
    insertDraw,
    type Pool,
    type QueuedDraw,
    sumUsableUnits,
    takeUsableUnits,
    type WaitForecast,
} from "./pool.js";

/** A draw as the coordinator receives it. */
export interface ReceivedDraw {
    readonly resource: ResourceId;
    readonly amount: number;
    /** Largest number of the units that may be returned after use. */
    readonly mayReturn: number;
    /** Draws with a lower number are served first. */
    readonly priority: number;
    /** Monotonic time after which the draw is refused. */
    readonly waitUntil: Milliseconds;
}

/** Pools of all resources that this instance coordinates. */
export interface PoolCoordinator {
    /** Queues a draw, which may be granted or refused at once; a duplicate isn't queued again. */
    readonly receiveDraw: (from: InstanceId, draw: ExchangeNumber, request: ReceivedDraw, now: Milliseconds) => void;
    readonly cancelDraw: (from: InstanceId, draw: ExchangeNumber) => void;
    /** Ends the use of granted units. The `unspent` ones are returned to their lenders. */
    readonly releaseDraw: (from: InstanceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    /** Tries again to serve the queued draws after units have returned to this instance's own local bucket. */
    readonly handleLocalReturn: (resource: ResourceId, now: Milliseconds) => void;
    /** Adds the units that a member has lent; ignored if the loan request is not open any more. */
    readonly receiveLoan: (from: InstanceId, loan: ExchangeNumber, lent: LentUnits, now: Milliseconds) => void;
    readonly advance: (now: Milliseconds) => void;
    /** Monotonic time at which `advance` must next be called; `Infinity` if nothing is pending. */
    readonly readNextDeadline: () => Milliseconds;
    readonly countWaiting: (resource: ResourceId) => number;
}

/** Dependencies of the coordinator. */
export interface PoolCoordinatorOptions {
    readonly self: InstanceId;
    readonly times: LimitTimes;
    readonly buckets: BucketSet;
    readonly emit: EffectSink;
    /** Answers a draw; `to` is the instance that made it, which may be this one. */
    readonly answer: (to: InstanceId, draw: ExchangeNumber, answer: DrawAnswer, now: Milliseconds) => void;
    readonly createExchangeNumber: () => ExchangeNumber;
}

// rounding errors in sums that should be 0 stay below this
const roundingTolerance = 1e-6;

/**
 * Creates a coordinator without pools; a resource's pool is created by its first draw.
 *
 * @param options - dependencies
 * @returns the coordinator; its owner must call `advance` when the next deadline is reached
 */
export function createPoolCoordinator(options: PoolCoordinatorOptions): PoolCoordinator {
    const { self, times, buckets, emit } = options;
    const pools = new Map<ResourceId, Pool>();
    const activePools = new Set<Pool>();
    const silentUntil = new Map<InstanceId, Milliseconds>();
    let order = 0;
    let nextDeadline = Infinity;

    const getActivePool = (resource: ResourceId): Pool => {
        let pool = pools.get(resource);
        if (!pool) {
            pool = createPool(resource);
            pools.set(resource, pool);
        }
        activePools.add(pool);
        return pool;
    };
    const listReachableMembers = (now: Milliseconds): readonly InstanceId[] =>
        (buckets.readEpoch()?.members ?? []).filter(member =>
            member === self ? buckets.hasUsableShare(now) : (silentUntil.get(member) ?? 0) <= now
        );
    const computeBucketRate = (limits: ResourceLimits): number =>
        limits.rate * (1 - times.clockDrift) / (buckets.readEpoch()?.members.length ?? 1);
    const estimateLevel = (pool: Pool, limits: ResourceLimits, lender: InstanceId, now: Milliseconds): number => {
        const count = buckets.readEpoch()?.members.length ?? 1;
        if (lender === self) {
            return Math.max(0, buckets.readBucket(pool.resource, now)?.level ?? 0);
        }
        const report = pool.reports.get(lender);
        // in-flight slots may return to the lender unseen by this instance, so after a while its bucket is assumed full
        const isStale = report && limits.kind === "returned" && now - report.at >= times.lenderRefreshInterval;
        if (!report || isStale) {
            return limits.burst / count;
        }
        return Math.min(limits.burst / count, report.level + computeBucketRate(limits) * (now - report.at) / 1_000);
    };
    const listLenderEstimates = (pool: Pool, limits: ResourceLimits, now: Milliseconds): readonly LenderEstimate[] =>
        listReachableMembers(now).map(lender => ({ lender, level: estimateLevel(pool, limits, lender, now) }));
    const computeUsableUntil = (limits: ResourceLimits, now: Milliseconds): Milliseconds =>
        limits.kind === "returned"
            ? now + times.permitStartTimeout + times.longestLoadDuration
            : now + times.shortestGrantValidity;
    const addBorrowedUnits = (
        pool: Pool,
        lender: InstanceId,
        loan: ExchangeNumber,
        lent: LentUnits,
        sentAt: Milliseconds,
    ) => {
        const kind = buckets.findLimits(pool.resource)?.kind ?? "consumed";
        const validUntil = computeValidUntil(sentAt, lent.validFor, times.clockDrift);
        const { returnFor } = computeLoanLifetime(kind, times);
        pool.borrowedUnits.push({
            lender,
            loan,
            borrowedAt: sentAt,
            validUntil,
            returnableUntil: Math.max(validUntil, sentAt + returnFor),
            remaining: lent.amount,
            inUse: 0,
            unspent: 0,
        });
    };
    // a loan is returned once, with all its remaining and unspent units
    const returnBorrowedUnits = (pool: Pool, borrowed: BorrowedUnits, now: Milliseconds): void => {
        pool.borrowedUnits = pool.borrowedUnits.filter(candidate => candidate !== borrowed);
        const amount = borrowed.remaining + borrowed.unspent;
        const { loan, lender } = borrowed;
        if (lender === self) {
            buckets.takeBack(pool.resource, self, loan, amount, now);
            return;
        }
        const isReturnableLonger = borrowed.returnableUntil > borrowed.validUntil;
        if (amount <= 0 && !isReturnableLonger) {
            return;
        }
        emit({ kind: "send", to: lender, message: { kind: "returned", loan, resource: pool.resource, amount } });
        const report = pool.reports.get(lender);
        if (report) {
            pool.reports.set(lender, { level: report.level + amount, at: report.at });
        }
    };
    const requestLoan = (
        pool: Pool,
        lender: InstanceId,
        amount: number,
        mayReturn: number,
        now: Milliseconds,
    ): void => {
        const loan = options.createExchangeNumber();
        if (lender === self) {
            const lent = buckets.lend(pool.resource, self, { loan, amount, mayReturn }, now);
            if (lent && lent.amount > 0) {
                addBorrowedUnits(pool, self, loan, lent, now);
            }
            return;
        }
        pool.openLoanRequests.push({ lender, loan, amount, sentAt: now });
        emit({
            kind: "send",
            to: lender,
            message: { kind: "borrow", loan, resource: pool.resource, amount, mayReturn },
        });
    };
    const runBorrowRound = (pool: Pool, limits: ResourceLimits, now: Milliseconds): void => {
        const wanted = pool.queue.reduce((sum, entry) => sum + entry.amount, 0);
        const asked = pool.openLoanRequests.reduce((sum, open) => sum + open.amount, 0);
        const missing = wanted - asked - sumUsableUnits(pool, computeUsableUntil(limits, now));
        if (missing <= 0) {
            return;
        }
        const busy = new Set(pool.openLoanRequests.map(open => open.lender));
        const estimates = listLenderEstimates(pool, limits, now).filter(estimate => !busy.has(estimate.lender));
        const mayReturn = pool.queue.reduce((sum, entry) => sum + entry.mayReturn, 0);
        pool.lastBorrowRoundAt = now;
        for (const plannedLoan of chooseLenders(estimates, missing, times.lendersPerRound)) {
            requestLoan(pool, plannedLoan.lender, plannedLoan.amount, Math.min(plannedLoan.amount, mayReturn), now);
        }
    };
    const grantFirstDraw = (pool: Pool, limits: ResourceLimits, now: Milliseconds): boolean => {
        const entry = pool.queue[0];
        const uses = entry && takeUsableUnits(pool, entry.amount, computeUsableUntil(limits, now));
        if (!entry || !uses) {
            return false;
        }
        pool.queue.shift();
        if (limits.kind !== "consumed") {
            for (const use of uses) {
                use.borrowed.inUse += use.amount;
            }
            pool.uses.set(buildDrawKey(entry.from, entry.draw), uses);
        }
        const spendUntil = limits.kind === "returned"
            ? now + times.permitStartTimeout
            : Math.min(...uses.map(use => use.borrowed.validUntil));
        respond(entry, { kind: "granted", validFor: spendUntil - entry.receivedAt }, now);
        return true;
    };
    const respond = (entry: QueuedDraw, answer: DrawAnswer, now: Milliseconds): void =>
        options.answer(entry.from, entry.draw, answer, now);
    const buildReachableBuckets = (pool: Pool, limits: ResourceLimits, now: Milliseconds): ReachableBuckets => {
        const count = buckets.readEpoch()?.members.length ?? 1;
        const levels = listLenderEstimates(pool, limits, now).map(estimate => estimate.level);
        return { levels, capacity: limits.burst / count, rate: computeBucketRate(limits) };
    };
    const refuse = (pool: Pool, entry: QueuedDraw, wait: Milliseconds | undefined, now: Milliseconds): void => {
        const limits = buckets.findLimits(pool.resource);
        const members = buckets.readEpoch()?.members.length ?? 0;
        const reachableMembers = listReachableMembers(now).length;
        const fallbackWait = limits && limits.rate > 0 ? entry.amount / limits.rate * 1_000 : times.longestWait;
        const cause = reachableMembers === 0 ? "notReady" : reachableMembers < members ? "partial" : "overLimit";
        pool.queue = pool.queue.filter(candidate => candidate !== entry);
        respond(entry, { kind: "refused", retryAfter: Math.ceil(wait ?? fallbackWait), cause }, now);
    };
    const computeForecasts = (pool: Pool, limits: ResourceLimits, now: Milliseconds): readonly WaitForecast[] => {
        const borrowedAmount = sumUsableUnits(pool, computeUsableUntil(limits, now));
        return estimateWaits(pool, buildReachableBuckets(pool, limits, now), borrowedAmount, now);
    };
    // decides which draws wait and which are refused; called when no loan request is open
    const decideWaits = (pool: Pool, limits: ResourceLimits, now: Milliseconds): void => {
        let firstWait: Milliseconds | undefined;
        for (const { entry, wait } of computeForecasts(pool, limits, now)) {
            // there is no forecast of when an in-flight slot becomes free, so draws wait for one until their time is up
            const missesDeadline = limits.kind !== "returned" && (wait === undefined || now + wait > entry.waitUntil);
            if (missesDeadline || entry.waitUntil <= now) {
                refuse(pool, entry, wait, now);
                continue;
            }
            firstWait ??= wait ?? times.lenderRefreshInterval;
            if (!entry.hasQueuedReply && entry.from !== self) {
                entry.hasQueuedReply = true;
                respond(entry, { kind: "queued" }, now);
            }
        }
        pool.hasChanged = false;
        pool.isShortOfUnits = (firstWait ?? 0) > 0;
        pool.nextBorrowRoundAt = Math.min(
            now +
                Math.max(
                    pool.isShortOfUnits ? computeBorrowRoundInterval() : times.borrowIntervalPerLender,
                    firstWait ?? 0,
                ),
            ...pool.queue.map(entry => entry.waitUntil),
        );
        if (pool.queue.length === 0 || (firstWait ?? 0) > times.loanLifetime / 4) {
            // no draw waits, or the borrowed units would expire before the missing ones have accrued
            pool.borrowedUnits
                .filter(borrowed => borrowed.inUse <= roundingTolerance)
                .forEach(borrowed => returnBorrowedUnits(pool, borrowed, now));
        }
    };
    // a round costs two messages per lender, so rounds with many lenders are less frequent
    const computeBorrowRoundInterval = (): Milliseconds => {
        const lenderCount = Math.min(times.lendersPerRound, buckets.readEpoch()?.members.length ?? 1);
        return times.borrowIntervalPerLender * lenderCount;
    };
    const expirePool = (pool: Pool, now: Milliseconds): void => {
        for (const open of pool.openLoanRequests) {
            if (open.sentAt + times.borrowTimeout <= now) {
                silentUntil.set(open.lender, now + times.silentMemberBackoff);
            }
        }
        pool.openLoanRequests = pool.openLoanRequests.filter(open => open.sentAt + times.borrowTimeout > now);
        for (const borrowed of pool.borrowedUnits) {
            if (borrowed.returnableUntil <= now) {
                pool.borrowedUnits = pool.borrowedUnits.filter(candidate => candidate !== borrowed);
            }
            else if (now >= computeReturnAt(pool, borrowed)) {
                returnBorrowedUnits(pool, borrowed, now);
            }
        }
        for (const [key, uses] of pool.uses) {
            if (uses.every(use => use.borrowed.returnableUntil <= now)) {
                pool.uses.delete(key);
            }
        }
    };
    const computeReturnAt = (pool: Pool, borrowed: BorrowedUnits): Milliseconds => {
        if (borrowed.inUse > roundingTolerance) {
            return Infinity;
        }
        if (borrowed.remaining <= 0) {
            return borrowed.borrowedAt;
        }
        const isWanted = pool.queue.length > 0;
        return isWanted
            ? borrowed.validUntil - times.shortestGrantValidity
            : borrowed.borrowedAt + times.loanLifetime / 2;
    };
    const grantQueuedDraws = (pool: Pool, limits: ResourceLimits, now: Milliseconds): void => {
        let isGranted = true;
        while (isGranted) {
            isGranted = grantFirstDraw(pool, limits, now);
        }
    };
    const isBorrowRoundDue = (pool: Pool, limits: ResourceLimits, now: Milliseconds): boolean => {
        const sinceLastRound = now - pool.lastBorrowRoundAt;
        if (sinceLastRound < (pool.isShortOfUnits ? computeBorrowRoundInterval() : times.borrowIntervalPerLender)) {
            return false;
        }
        return sinceLastRound >= times.lenderRefreshInterval || computeForecasts(pool, limits, now)[0]?.wait === 0;
    };
    const advancePool = (pool: Pool, now: Milliseconds): void => {
        expirePool(pool, now);
        const limits = buckets.findLimits(pool.resource);
        if (!limits) {
            pool.queue.forEach(entry => refuse(pool, entry, undefined, now));
            return;
        }
        grantQueuedDraws(pool, limits, now);
        const mayStartRound = pool.queue.length > 0 && pool.openLoanRequests.length === 0;
        if (!mayStartRound || (!pool.hasChanged && now < pool.nextBorrowRoundAt)) {
            return;
        }
        if (isBorrowRoundDue(pool, limits, now)) {
            runBorrowRound(pool, limits, now);
            // a loan from this instance's own bucket is available at once
            grantQueuedDraws(pool, limits, now);
        }
        if (pool.queue.length > 0 && pool.openLoanRequests.length === 0) {
            decideWaits(pool, limits, now);
        }
    };
    const findDeadline = (pool: Pool): Milliseconds => {
        const returnTimes = pool.borrowedUnits.map(borrowed =>
            Math.min(borrowed.returnableUntil, computeReturnAt(pool, borrowed))
        );
        const timeouts = pool.openLoanRequests.map(open => open.sentAt + times.borrowTimeout);
        const nextRoundAt = pool.queue.length > 0 && pool.openLoanRequests.length === 0
            ? pool.nextBorrowRoundAt
            : Infinity;
        return Math.min(nextRoundAt, ...returnTimes, ...timeouts);
    };
    const advanceAndReschedule = (pool: Pool, now: Milliseconds): void => {
        advancePool(pool, now);
        if (pool.queue.length + pool.borrowedUnits.length + pool.openLoanRequests.length + pool.uses.size === 0) {
            activePools.delete(pool);
        }
        pool.deadline = findDeadline(pool);
        nextDeadline = Math.min(nextDeadline, pool.deadline);
    };
    const advance = (now: Milliseconds): void => {
        nextDeadline = Infinity;
        for (const pool of activePools) {
            if (pool.deadline <= now) {
                advanceAndReschedule(pool, now);
            }
            nextDeadline = Math.min(nextDeadline, pool.deadline);
        }
    };

    return {
        receiveDraw: (from, draw, request, now) => {
            const pool = getActivePool(request.resource);
            const { amount, mayReturn, priority, waitUntil } = request;
            const isNew = insertDraw(pool, {
                from,
                draw,
                amount,
                mayReturn,
                priority,
                waitUntil,
                order: order++,
                receivedAt: now,
                hasQueuedReply: false,
            });
            pool.hasChanged ||= isNew;
            advanceAndReschedule(pool, now);
        },
        cancelDraw: (from, draw) => {
            for (const pool of activePools) {
                pool.queue = pool.queue.filter(entry => entry.from !== from || entry.draw !== draw);
            }
        },
        releaseDraw: (from, draw, unspent, now) => {
            const key = buildDrawKey(from, draw);
            for (const pool of activePools) {
                let left = unspent;
                for (const { borrowed, amount } of pool.uses.get(key) ?? []) {
                    const returnedAmount = Math.min(left, amount);
                    left -= returnedAmount;
                    borrowed.inUse -= amount;
                    borrowed.unspent += returnedAmount;
                }
                if (pool.uses.delete(key)) {
                    pool.hasChanged = true;
                    advanceAndReschedule(pool, now);
                }
            }
        },
        handleLocalReturn: (resource, now) => {
            const pool = pools.get(resource);
            if (pool && pool.queue.length > 0) {
                pool.hasChanged = true;
                advanceAndReschedule(pool, now);
            }
        },
        receiveLoan: (from, loan, lent, now) => {
            for (const pool of activePools) {
                const open = pool.openLoanRequests.find(candidate =>
                    candidate.loan === loan && candidate.lender === from
                );
                if (open) {
                    pool.openLoanRequests = pool.openLoanRequests.filter(candidate => candidate !== open);
                    pool.hasChanged = true;
                    pool.reports.set(from, { level: lent.level, at: now });
                    if (lent.validFor > 0) {
                        silentUntil.delete(from);
                    }
                    else {
                        // the member can't lend at present, so its bucket counts as unreachable
                        silentUntil.set(from, now + times.silentMemberBackoff);
                    }
                    if (lent.amount > 0) {
                        addBorrowedUnits(pool, from, loan, lent, open.sentAt);
                    }
                    advanceAndReschedule(pool, now);
                }
            }
        },
        advance,
        readNextDeadline: () => nextDeadline,
        countWaiting: resource => pools.get(resource)?.queue.length ?? 0,
    };
}

function buildDrawKey(from: InstanceId, draw: ExchangeNumber): string {
    return `${from}/${draw}`;
}
