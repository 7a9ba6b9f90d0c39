/**
 * Arithmetic of one instance's slice of a limit.
 *
 * What the slice has, what it has lent and what may still come back of a reservation together never exceed the slice's
 * capacity. The capacities of all slices add up to the burst and their rates to the rate, so every window keeps
 * to rate x window + burst, wherever the tokens are spent.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/**
 * What becomes of units: `consumed` are used up, `settled` are used up but for what their use turns out not to need, and
 * `returned` come back at the end of their use.
 */
export type ResourceKind = "consumed" | "settled" | "returned";

/** Limits of a resource over all instances. */
export interface ResourceLimits {
    readonly kind: ResourceKind;
    /** Units a second. */
    readonly rate: number;
    readonly burst: number;
}

/** Units that are away, and keep their room in the slice until then. */
export interface BucketHold {
    key: string;
    amount: number;
    /** How many of them may come back after their use. */
    readonly mayReturn: number;
    /** Time up to which they may still be spent. */
    readonly spendUntil: Milliseconds;
    /** Time at which the hold ends by itself. */
    endsAt: Milliseconds;
}

/** One instance's part of a resource. */
export interface LocalBucket {
    readonly kind: ResourceKind;
    capacity: number;
    /** Units a second. */
    rate: number;
    /** Units at hand; below zero while an overrun is being paid off. */
    level: number;
    holds: BucketHold[];
    held: number;
    /** Reading of the validity clock up to which units have accrued. */
    accruedUntil: Milliseconds;
}

// no loan has this name, so a doubled return finds nothing to return to
const closedHoldKey = "";

/**
 * Creates an empty slice: a new instance must not bring a new burst.
 *
 * @param kind - whether units come back
 * @param leasedTime - reading of the validity clock
 * @returns a slice without capacity
 */
export function createBucket(kind: ResourceKind, leasedTime: Milliseconds): LocalBucket {
    return { kind: kind, capacity: 0, rate: 0, level: 0, holds: [], held: 0, accruedUntil: leasedTime };
}

/**
 * Lets units accrue and ends holds that are over.
 *
 * @param bucket - changed in place
 * @param leasedTime - reading of the validity clock, by which units accrue
 * @param now - present time, by which holds end
 */
export function advanceBucket(bucket: LocalBucket, leasedTime: Milliseconds, now: Milliseconds): void {
    expireHolds(bucket, now);
    const elapsed = Math.max(0, leasedTime - bucket.accruedUntil);
    bucket.accruedUntil = Math.max(bucket.accruedUntil, leasedTime);
    bucket.level = limitLevel(bucket, bucket.level + bucket.rate * elapsed / millisecondsPerSecond);
}

/**
 * Sets a slice's size; what it has beyond the new capacity is given up at once.
 *
 * @param bucket - changed in place, already advanced to now
 * @param capacity - new capacity
 * @param rate - new rate, in units a second
 */
export function setBucketSize(bucket: LocalBucket, capacity: number, rate: number): void {
    bucket.capacity = capacity;
    bucket.rate = rate;
    bucket.level = limitLevel(bucket, bucket.level);
}

/** For how long units are away. */
export interface HoldTerms {
    readonly mayReturn: number;
    readonly spendUntil: Milliseconds;
    readonly endsAt: Milliseconds;
}

/**
 * Takes units out for a time, in which they keep their room.
 *
 * @param bucket - changed in place, already advanced to now
 * @param key - name of the hold
 * @param amount - how many are wanted
 * @param terms - for how long
 * @returns how many were taken
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
 * Makes a hold smaller, when it is known that no more than some units may come back.
 *
 * @param bucket - changed in place, already advanced to now
 * @param key - name of the hold
 * @param amount - most that may come back
 */
export function shrinkHold(bucket: LocalBucket, key: string, amount: number): void {
    const hold = bucket.holds.find(candidate => candidate.key === key);
    if (hold) {
        hold.amount = Math.min(hold.amount, amount);
        trimHolds(bucket);
    }
}

/**
 * Brings units back into the room that was kept for them, once for each hold; does nothing when the hold has ended. What
 * doesn't come back keeps its room as long as it may still be spent.
 *
 * @param bucket - changed in place, already advanced to now
 * @param key - name of the hold
 * @param amount - units that come back
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
 * @param bucket - changed in place, already advanced to now
 * @param amount - units to charge; the level may fall below zero
 */
export function addOverrun(bucket: LocalBucket, amount: number): void {
    bucket.level -= amount;
}

/**
 * Empties a slice, as when its instance was no member for a time.
 *
 * @param bucket - changed in place
 * @param leasedTime - reading of the validity clock
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
        // what was used by now and can't come back needs no room any more
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
    const room = Math.max(0, bucket.capacity - bucket.held);
    // places in flight are only ever away, not used up
    return bucket.kind === "returned" ? room : Math.min(level, room);
}
