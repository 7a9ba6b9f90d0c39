/**
 * This instance's local buckets for all resources. Applies the current epoch and lease to them.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { computeLoanLifetime, type LimitTimes } from "./limitTimes.js";
import {
    addOverrun,
    advanceBucket,
    closeHold,
    createBucket,
    type LocalBucket,
    openHold,
    resetBucket,
    type ResourceKind,
    type ResourceLimits,
    setBucketSize,
    shrinkHold,
} from "./localBucket.js";
import { advanceLeaseClock, createShareTracker } from "./localShare.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";

/** Units that a member lent, as told to the borrower. */
export interface LentUnits {
    readonly amount: number;
    /** Time for which the units may be spent, counted from when the lender received the request. */
    readonly validFor: Milliseconds;
    /** Units that remain in the lender's bucket. */
    readonly level: number;
}

/** Request for a loan from a bucket. */
export interface LoanRequest {
    readonly loan: ExchangeNumber;
    readonly amount: number;
    /** Largest number of the units that may be returned after use. */
    readonly mayReturn: number;
}

/** The local buckets of one instance. */
export interface BucketSet {
    /** Replaces the limits of all resources. Buckets of resources that no longer exist are deleted. */
    readonly setLimits: (limits: ReadonlyMap<ResourceId, ResourceLimits>, now: Milliseconds) => void;
    /** Applies the current epoch and lease. Must be called before any other method each time the clock has advanced. */
    readonly updateMembership: (epoch: MemberEpoch, validUntil: Milliseconds, now: Milliseconds) => void;
    readonly findLimits: (resource: ResourceId) => ResourceLimits | undefined;
    /** Whether this instance may spend units of its own buckets. */
    readonly hasUsableShare: (now: Milliseconds) => boolean;
    readonly readEpoch: () => MemberEpoch | undefined;
    /** Fraction of every limit of that kind that belongs to this instance, from 0 to 1. */
    readonly readShare: (kind: ResourceKind) => number;
    /**
     * Takes units from the local bucket. Returns the monotonic time until which they may be spent, or `undefined` if
     * this instance may not spend them or too few would remain, see `localFloorRatio`. In-flight slots have no floor.
     */
    readonly spend: (resource: ResourceId, draw: ExchangeNumber, amount: number, now: Milliseconds) =>
        | Milliseconds
        | undefined;
    /** Confirms at the moment of use that drawn units are being used, and how many of them may be returned. */
    readonly confirmUse: (resource: ResourceId, draw: ExchangeNumber, mayReturn: number, now: Milliseconds) => void;
    /**
     * Lends up to the requested units. Returns 0 units valid for 0 milliseconds if this instance may not lend, and
     * `undefined` for a duplicate request.
     */
    readonly lend: (
        resource: ResourceId,
        borrower: InstanceId,
        request: LoanRequest,
        now: Milliseconds,
    ) => LentUnits | undefined;
    /** Puts unspent units of a loan back into the bucket. */
    readonly takeBack: (
        resource: ResourceId,
        borrower: InstanceId,
        loan: ExchangeNumber,
        amount: number,
        now: Milliseconds,
    ) => void;
    /** Ends the use of units drawn from the local bucket and puts the `unspent` ones back. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    /** Charges units that were spent beyond a reservation. */
    readonly addOverrun: (resource: ResourceId, amount: number, now: Milliseconds) => void;
    readonly readBucket: (resource: ResourceId, now: Milliseconds) => LocalBucket | undefined;
    /** Monotonic time at which the share may next change without a new epoch; `undefined` if there is none. */
    readonly readNextShareChangeAt: () => Milliseconds | undefined;
}

/**
 * Creates a set without buckets; `setLimits` adds them.
 *
 * @param self - this instance
 * @param times - durations of the protocol
 * @returns the buckets; no share is usable until `updateMembership` has been called
 */
export function createBucketSet(self: InstanceId, times: LimitTimes): BucketSet {
    const buckets = new Map<ResourceId, LocalBucket>();
    let limits: ReadonlyMap<ResourceId, ResourceLimits> = new Map();
    const shares = {
        consumed: createShareTracker(self, 0),
        // an in-flight slot may stay in use for some time after the end of the lease under which it was granted
        returned: createShareTracker(self, computeLoanLifetime("returned", times).spendFor),
        settled: createShareTracker(self, 0),
    };
    let leaseClock = { elapsed: 0, countedTo: 0, validUntil: 0 };
    let epoch: MemberEpoch | undefined;
    let hasLeaseLapsed = true;

    const hasUsableShare = (kind: ResourceKind, now: Milliseconds): boolean =>
        shares[kind].readShare() > 0 && now < leaseClock.validUntil;
    const getAdvancedBucket = (resource: ResourceId, now: Milliseconds): LocalBucket | undefined => {
        const bucket = buckets.get(resource);
        if (bucket) {
            advanceBucket(bucket, leaseClock.elapsed, now);
        }
        return bucket;
    };
    const readNextShareChangeAt = (): Milliseconds | undefined => {
        const changeTimes = [shares.consumed.readNextChangeAt(), shares.returned.readNextChangeAt()].filter(time =>
            time !== undefined
        );
        return changeTimes.length > 0 ? Math.min(...changeTimes) : undefined;
    };
    const applyShare = (resource: ResourceId, bucket: LocalBucket): void => {
        const whole = limits.get(resource)!;
        const share = shares[bucket.kind].readShare();
        setBucketSize(bucket, whole.burst * share, whole.rate * share);
    };
    const applyShareToKind = (kind: ResourceKind, mustReset: boolean, now: Milliseconds): void => {
        for (const [resource, bucket] of buckets) {
            if (bucket.kind === kind) {
                advanceBucket(bucket, leaseClock.elapsed, now);
                if (mustReset) {
                    resetBucket(bucket, leaseClock.elapsed);
                }
                applyShare(resource, bucket);
            }
        }
    };
    const updateShares = (latest: MemberEpoch, isNew: boolean, now: Milliseconds): void => {
        for (const kind of ["consumed", "settled", "returned"] as const) {
            const tracker = shares[kind];
            const before = tracker.readShare();
            if (isNew) {
                tracker.addEpoch(latest, hasLeaseLapsed, now);
            }
            else {
                tracker.updateEpoch(latest);
            }
            tracker.advance(now);
            const startsEmpty = before === 0 || (isNew && hasLeaseLapsed);
            if (tracker.readShare() !== before || startsEmpty) {
                applyShareToKind(kind, startsEmpty, now);
            }
        }
    };

    return {
        setLimits: (next, now) => {
            limits = next;
            for (const resource of buckets.keys()) {
                if (!next.has(resource)) {
                    buckets.delete(resource);
                }
            }
            for (const [resource, whole] of next) {
                const bucket = buckets.get(resource);
                if (!bucket || bucket.kind !== whole.kind) {
                    buckets.set(resource, createBucket(whole.kind, leaseClock.elapsed));
                }
                const current = getAdvancedBucket(resource, now)!;
                applyShare(resource, current);
            }
        },
        updateMembership: (latest, validUntil, now) => {
            hasLeaseLapsed ||= now > leaseClock.validUntil;
            leaseClock = advanceLeaseClock(leaseClock, validUntil, now, times.clockDrift);
            const isNew = latest.number !== epoch?.number;
            const isUpdated = !isNew && latest.gainsAllowedAt !== epoch?.gainsAllowedAt;
            const shareChangesAt = readNextShareChangeAt();
            if (isNew || isUpdated || (shareChangesAt !== undefined && now >= shareChangesAt)) {
                updateShares(latest, isNew, now);
            }
            if (isNew) {
                hasLeaseLapsed = false;
            }
            epoch = latest;
        },
        findLimits: resource => limits.get(resource),
        hasUsableShare: now => hasUsableShare("consumed", now),
        readEpoch: () => epoch,
        readShare: kind => shares[kind].readShare(),
        spend: (resource, draw, amount, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (!bucket || !hasUsableShare(bucket.kind, now)) {
                return undefined;
            }
            const floor = bucket.kind === "returned" ? 0 : bucket.capacity * times.localFloorRatio;
            if (bucket.level - amount < floor) {
                return undefined;
            }
            // the units count against the capacity, so that no others replace them if the process pauses before it uses
            // them
            const spendUntil = bucket.kind === "returned"
                ? Math.min(leaseClock.validUntil, now + times.permitStartTimeout)
                : leaseClock.validUntil;
            const { returnFor } = computeLoanLifetime(bucket.kind, times);
            const endsAt = Math.max(spendUntil, now + returnFor);
            openHold(bucket, buildUseKey(draw), amount, { mayReturn: amount, spendUntil, endsAt });
            return spendUntil;
        },
        confirmUse: (resource, draw, mayReturn, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (bucket) {
                shrinkHold(bucket, buildUseKey(draw), mayReturn);
            }
        },
        lend: (resource, borrower, { loan, amount, mayReturn }, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (!bucket || !hasUsableShare(bucket.kind, now)) {
                return { amount: 0, validFor: 0, level: 0 };
            }
            const key = buildLoanKey(borrower, loan);
            if (bucket.holds.some(hold => hold.key === key)) {
                return undefined;
            }
            const { spendFor, returnFor } = computeLoanLifetime(bucket.kind, times);
            // loans of tokens end no later than the lease under which they were made
            const validFor = bucket.kind === "returned" ? spendFor : Math.min(spendFor, leaseClock.validUntil - now);
            const endsAt = now + Math.max(validFor, returnFor);
            const lent = openHold(bucket, key, amount, { mayReturn, spendUntil: now + validFor, endsAt });
            return { amount: lent, validFor, level: bucket.level };
        },
        takeBack: (resource, borrower, loan, amount, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (bucket) {
                closeHold(bucket, buildLoanKey(borrower, loan), amount);
            }
        },
        release: (resource, draw, unspent, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (bucket) {
                closeHold(bucket, buildUseKey(draw), unspent);
            }
        },
        addOverrun: (resource, amount, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (bucket) {
                addOverrun(bucket, amount);
            }
        },
        readBucket: getAdvancedBucket,
        readNextShareChangeAt,
    };
}

function buildUseKey(draw: ExchangeNumber): string {
    return `use/${draw}`;
}

function buildLoanKey(borrower: InstanceId, loan: ExchangeNumber): string {
    return `${borrower}/${loan}`;
}
