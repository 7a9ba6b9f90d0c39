/**
 * Arithmetic of a local bucket: the part of one resource that belongs to this instance.
 *
 * The units in the bucket, the units that it has lent and the units of reservations that may still be returned add up
 * to no more than the bucket's capacity. The capacities of all instances' buckets add up to the resource's burst and
 * their rates to its rate. In every time window, the units granted by all instances therefore stay within rate x window
 * + burst, whichever instance spends them.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/**
 * What happens to granted units: `consumed` units are used up, `settled` units are used up except for the ones that
 * turn out not to be needed, and `returned` units all come back when their use ends.
 */
export type ResourceKind = "consumed" | "settled" | "returned";

/** Limits of a resource over all instances. */
export interface ResourceLimits {
    readonly kind: ResourceKind;
    /** Units that accrue per second. */
    readonly rate: number;
    readonly burst: number;
}

/** Units that are lent or in use. They still count against the bucket's capacity, so that no others replace them. */
export interface BucketHold {
    key: string;
    amount: number;
    /** Largest number of the units that may be returned after use. */
    readonly mayReturn: number;
    /** Monotonic time until which the units may be spent. */
    readonly spendUntil: Milliseconds;
    /** Monotonic time at which the hold ends even if nothing is returned. */
    endsAt: Milliseconds;
}

/** This instance's part of one resource. */
export interface LocalBucket {
    readonly kind: ResourceKind;
    capacity: number;
    /** Units that accrue per second. */
    rate: number;
    /** Available units; below zero until accrual has covered an overrun. */
    level: number;
    holds: BucketHold[];
    /** Sum of all holds' units, which have left the bucket but still count against its capacity. */
    held: number;
    /** Time under a valid lease, as counted by the lease clock, up to which units have accrued. */
    accruedUntil: Milliseconds;
}

// no loan or draw has this key, so a duplicate return finds no hold
const closedHoldKey = "";

/**
 * Creates an empty bucket. It must not start full, because each new instance would then add another burst.
 *
 * @param kind - kind of the resource
 * @param leasedTime - total time under a valid lease so far
 * @returns a bucket with a capacity and rate of 0
 */
export function createBucket(kind: ResourceKind, leasedTime: Milliseconds): LocalBucket {
    return { kind, capacity: 0, rate: 0, level: 0, holds: [], held: 0, accruedUntil: leasedTime };
}

/**
 * Lets units accrue and removes holds that have ended.
 *
 * @param bucket - changed in place
 * @param leasedTime - total time under a valid lease, by which units accrue
 * @param now - present time, by which holds end
 */
export function advanceBucket(bucket: LocalBucket, leasedTime: Milliseconds, now: Milliseconds): void {
    expireHolds(bucket, now);
    const elapsed = Math.max(0, leasedTime - bucket.accruedUntil);
    bucket.accruedUntil = Math.max(bucket.accruedUntil, leasedTime);
    bucket.level = limitLevel(bucket, bucket.level + bucket.rate * elapsed / millisecondsPerSecond);
}

/**
 * Sets a bucket's capacity and rate. Units beyond the new capacity are discarded at once.
 *
 * @param bucket - changed in place; must be advanced to the present
 * @param capacity - new capacity in units
 * @param rate - new rate in units per second
 */
export function setBucketSize(bucket: LocalBucket, capacity: number, rate: number): void {
    bucket.capacity = capacity;
    bucket.rate = rate;
    bucket.level = limitLevel(bucket, bucket.level);
}

/** How long units stay held, and how many of them may be returned; the fields are those of `BucketHold`. */
export interface HoldTerms {
    readonly mayReturn: number;
    readonly spendUntil: Milliseconds;
    readonly endsAt: Milliseconds;
}

/**
 * Takes units out of the bucket. They count against its capacity until they are returned or the hold ends.
 *
 * @param bucket - changed in place; must be advanced to the present
 * @param key - key of the hold, unique within the bucket
 * @param amount - units wanted
 * @param terms - conditions of the hold
 * @returns units taken, from 0 to `amount`
 */
export function openHold(bucket: LocalBucket, key: string, amount: number, terms: HoldTerms): number {
    const taken = Math.max(0, Math.min(amount, bucket.level));
    if (taken > 0) {
        bucket.level -= taken;
        bucket.holds.push({ key, amount: taken, ...terms });
        bucket.held += taken;
    }
    return taken;
}

/**
 * Reduces a hold once it is known how many of its units may be returned at most.
 *
 * @param bucket - changed in place; must be advanced to the present
 * @param key - key of the hold
 * @param amount - largest number of units that may be returned
 */
export function shrinkHold(bucket: LocalBucket, key: string, amount: number): void {
    const hold = bucket.holds.find(candidate => candidate.key === key);
    if (hold) {
        hold.amount = Math.min(hold.amount, amount);
        trimHolds(bucket);
    }
}

/**
 * Returns units from a hold to the bucket. Works once per hold and has no effect if the hold has ended. Units that are
 * not returned stay held until they can no longer be spent.
 *
 * @param bucket - changed in place; must be advanced to the present
 * @param key - key of the hold
 * @param amount - units returned; at most the hold's units are accepted
 */
export function closeHold(bucket: LocalBucket, key: string, amount: number): void {
    const hold = bucket.holds.find(candidate => candidate.key === key);
    if (!hold) {
        return;
    }
    const returned = Math.min(amount, hold.amount);
    hold.key = closedHoldKey;
    hold.amount -= returned;
    hold.endsAt = Math.min(hold.endsAt, hold.spendUntil);
    trimHolds(bucket);
    bucket.level = limitLevel(bucket, bucket.level + returned);
}

/**
 * Charges units that were spent beyond a reservation.
 *
 * @param bucket - changed in place; must be advanced to the present
 * @param amount - units to charge; the level may fall below zero
 */
export function addOverrun(bucket: LocalBucket, amount: number): void {
    bucket.level -= amount;
}

/**
 * Empties a bucket, for example after its instance was not a member for some time. A negative level is kept.
 *
 * @param bucket - changed in place
 * @param leasedTime - total time under a valid lease so far
 */
export function resetBucket(bucket: LocalBucket, leasedTime: Milliseconds): void {
    bucket.level = Math.min(0, bucket.level);
    bucket.accruedUntil = leasedTime;
}

function expireHolds(bucket: LocalBucket, now: Milliseconds): void {
    if (bucket.holds.length === 0) {
        return;
    }
    bucket.holds = bucket.holds.filter(hold => hold.endsAt > now);
    for (const hold of bucket.holds) {
        // units that can no longer be spent or returned don't count against the capacity any more
        if (hold.spendUntil <= now) {
            hold.amount = Math.min(hold.amount, hold.mayReturn);
        }
    }
    trimHolds(bucket);
}

function trimHolds(bucket: LocalBucket): void {
    bucket.holds = bucket.holds.filter(hold => hold.amount > 0);
    bucket.held = bucket.holds.reduce((sum, hold) => sum + hold.amount, 0);
}

function limitLevel(bucket: LocalBucket, level: number): number {
    const freeCapacity = Math.max(0, bucket.capacity - bucket.held);
    // in-flight slots are never used up, so every slot that isn't held is available
    return bucket.kind === "returned" ? freeCapacity : Math.min(level, freeCapacity);
}
