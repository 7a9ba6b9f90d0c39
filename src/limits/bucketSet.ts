/**
 * This instance's slices of all resources, and what it may do with them by its epoch and lease.
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

/** Units that a member lent. */
export interface LentUnits {
    readonly amount: number;
    readonly validFor: Milliseconds;
    readonly level: number;
}

/** Asks for units of a slice. */
export interface LoanRequest {
    readonly loan: ExchangeNumber;
    readonly amount: number;
    /** How many of them may come back after their use. */
    readonly mayReturn: number;
}

/** The slices of one instance. */
export interface BucketSet {
    /** Sets the limits of all resources. */
    readonly setLimits: (limits: ReadonlyMap<ResourceId, ResourceLimits>, now: Milliseconds) => void;
    /** Takes note of the epoch and the lease as they stand; to be called before anything else at a moment. */
    readonly updateMembership: (epoch: MemberEpoch, validUntil: Milliseconds, now: Milliseconds) => void;
    readonly findLimits: (resource: ResourceId) => ResourceLimits | undefined;
    /** Whether this instance may spend of its own slices. */
    readonly hasUsableShare: (now: Milliseconds) => boolean;
    readonly readEpoch: () => MemberEpoch | undefined;
    /** This instance's part of every limit. */
    readonly readShare: (nature: ResourceKind) => number;
    /** Spends of the own slice, if more than the floor is left; answers how long the grant is valid. */
    readonly spend: (resource: ResourceId, draw: ExchangeNumber, amount: number, now: Milliseconds) =>
        | Milliseconds
        | undefined;
    /** Tells that a grant was used, at the moment of its use, and how much of it may come back. */
    readonly confirmUse: (resource: ResourceId, draw: ExchangeNumber, mayReturn: number, now: Milliseconds) => void;
    /** Lends what it can, for a time of 0 if it may not; `undefined` for a doubled question. */
    readonly lend: (
        resource: ResourceId,
        borrower: InstanceId,
        request: LoanRequest,
        now: Milliseconds,
    ) => LentUnits | undefined;
    /** Takes unspent units of a loan back. */
    readonly takeBack: (
        resource: ResourceId,
        borrower: InstanceId,
        loan: ExchangeNumber,
        amount: number,
        now: Milliseconds,
    ) => void;
    /** Ends the use of what was spent of the own slice; `unspent` units come back. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    /** Charges units that were spent beyond a reservation. */
    readonly addOverrun: (resource: ResourceId, amount: number, now: Milliseconds) => void;
    readonly readBucket: (resource: ResourceId, now: Milliseconds) => LocalBucket | undefined;
    /** Time at which the share may change by itself. */
    readonly readNextShareChangeAt: () => Milliseconds | undefined;
}

/**
 * Creates an empty book.
 *
 * @param self - this instance
 * @param times - times of the exchange
 * @returns the book
 */
export function createBucketSet(self: InstanceId, times: LimitTimes): BucketSet {
    const buckets = new Map<ResourceId, LocalBucket>();
    let limits: ReadonlyMap<ResourceId, ResourceLimits> = new Map();
    const shares = {
        consumed: createShareTracker(self, 0),
        // a place may be in use for some time after the lease under which it was granted
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
            const isUpdated = !isNew && latest.growAt !== epoch?.growAt;
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
        readShare: nature => shares[nature].readShare(),
        spend: (resource, draw, amount, now) => {
            const bucket = getAdvancedBucket(resource, now);
            if (!bucket || !hasUsableShare(bucket.kind, now)) {
                return undefined;
            }
            const floor = bucket.kind === "returned" ? 0 : bucket.capacity * times.localFloorRatio;
            if (bucket.level - amount < floor) {
                return undefined;
            }
            // the units keep their room until they are used, so that a pause before that makes no more of them
            const spendUntil = bucket.kind === "returned"
                ? Math.min(leaseClock.validUntil, now + times.permitStartTimeout)
                : leaseClock.validUntil;
            const { returnFor: returnFor } = computeLoanLifetime(bucket.kind, times);
            const endsAt = Math.max(spendUntil, now + returnFor);
            openHold(bucket, buildUseKey(draw), amount, { mayReturn: amount, spendUntil, endsAt: endsAt });
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
            const { spendFor: spendFor, returnFor: returnFor } = computeLoanLifetime(bucket.kind, times);
            // loans of tokens end with the lease under which they were made
            const validFor = bucket.kind === "returned" ? spendFor : Math.min(spendFor, leaseClock.validUntil - now);
            const endsAt = now + Math.max(validFor, returnFor);
            const lent = openHold(bucket, key, amount, { mayReturn, spendUntil: now + validFor, endsAt: endsAt });
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
        readNextShareChangeAt: readNextShareChangeAt,
    };
}

function buildUseKey(draw: ExchangeNumber): string {
    return `use/${draw}`;
}

function buildLoanKey(borrower: InstanceId, loan: ExchangeNumber): string {
    return `${borrower}/${loan}`;
}
