/**
 * Quotas of the accounts that this instance holds for all instances. The bucket of an account fills with the share of
 * the rate that belongs to the instances that ask here: each asks one holder at a time, so that holders that can't reach
 * each other don't exceed the rate together, whatever each of them believes.
 *
 * @packageDocumentation
 */
import {
    computeReserve,
    createQuotaOrder,
    isInRush,
    isSurge,
    type QuotaOrder,
    recordAsk,
    recordGiven,
    recordRefused,
} from "../fairness/index.js";
import { type ClientAccountId, type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { createQuotaBucket, type QuotaBucket } from "./quotaBucket.js";
import { longestGapMilliseconds } from "./quotaGaps.js";
import type { HandedQuotas, QuotaDecision, QuotaRequest } from "./quotaMessages.js";
import type { AccountQuota, ServingAccount } from "./types.js";

/** Quotas held by this instance. */
export interface QuotaHolder {
    /** Decides a request of another instance, or of this one. */
    readonly take: (from: InstanceId, request: QuotaRequest, now: Milliseconds) => QuotaDecision;
    /** Takes units back that were granted and not used; an account of which nothing is known here has nothing to get. */
    readonly giveBack: (account: ClientAccountId, units: number, now: Milliseconds) => void;
    /** Replaces the quotas by those of a new configuration; levels are kept. */
    readonly update: (accounts: readonly ServingAccount[], now: Milliseconds) => void;
    /** Records the shards for whose accounts an instance asks here; it must be told again and again. */
    readonly markPresent: (from: InstanceId, shards: readonly number[], now: Milliseconds) => void;
    /** Forgets the levels of accounts that another instance holds now, and reports what has ended by `now`. */
    readonly keepOnly: (isHeld: (account: ClientAccountId) => boolean, now?: Milliseconds) => void;
    /** Goes on deciding for the accounts of a shard with what their buckets have, and nothing more. */
    readonly pause: (shard: number, now: Milliseconds) => void;
    readonly resume: (shard: number, now: Milliseconds) => void;
    /** Instances that ask here for the accounts of a shard. */
    readonly listPresent: (shard: number, now: Milliseconds) => readonly InstanceId[];
    /** Gives what is known of a shard's accounts away: nothing of it is kept. */
    readonly handOver: (shard: number, now: Milliseconds) => HandedQuotas;
    /** Takes what the previous holder has given away. */
    readonly takeOver: (shard: number, handed: HandedQuotas, now: Milliseconds) => void;
}

/** What the holder needs to know of the other instances. */
export interface QuotaHolderOptions {
    /** Number of all instances, this one included; `undefined` while it isn't known. */
    readonly countInstances: () => number | undefined;
    /**
     * Whether an instance is among those that are counted. One that stops asks on for seconds: it has no share then, as
     * the others have its share already. @default all are
     */
    readonly isCounted?: (instance: InstanceId) => boolean;
    /** Shard that an account's quota belongs to. */
    readonly findShard: (account: ClientAccountId) => number;
    /** Called when an account begins to ask for more than its quota, and when that ends. @default nothing */
    readonly onRush?: (rush: QuotaRush) => void;
}

/** Begin or end of a time in which an account asks for more than its quota. */
export interface QuotaRush {
    readonly account: ClientAccountId;
    readonly state: "begun" | "ended";
    /** Units given and refused since it began, by kind of request. */
    readonly kinds: Readonly<Record<string, RushFigures>>;
}

/** Figures of one kind of request. */
export interface RushFigures {
    readonly given: number;
    readonly refused: number;
}

interface AccountOrder {
    order: QuotaOrder;
    /** `undefined` while the account is within its quota. */
    rush: Map<string, RushFigures> | undefined;
}

interface Presence {
    readonly at: Milliseconds;
    readonly shards: readonly number[];
}

/** Time after which an instance that hasn't said so again doesn't count as one that asks here. */
const presenceMilliseconds = 2_000;
/** Share that is used in addition: an instance may have started or changed its holder a moment ago. */
const spareShare = 0.05;
const shareUpdateMilliseconds = 100;
/** Time in which the instances that asked the previous holder say that they ask here. */
const handedShareMilliseconds = 1_000;
/** Time in which the share of a new holder grows, as the instances ask it one after the other. */
const gapMarginMilliseconds = 150;
/** A shorter gap is that of an instance whose map was old: the holder's share had grown before. */
const marginGapMilliseconds = 300;
/** Kinds of request with figures of their own in the report of a rush. */
const maximumReportedKinds = 16;

/**
 * Creates the holder without accounts.
 *
 * @param options - knowledge of the other instances
 * @returns the holder, of which an instance needs one object
 */
export function createQuotaHolder(options: QuotaHolderOptions): QuotaHolder {
    const { isCounted = () => true } = options;
    const quotas = new Map<ClientAccountId, AccountQuota>();
    const buckets = new Map<ClientAccountId, QuotaBucket>();
    const orders = new Map<ClientAccountId, AccountOrder>();
    const present = new Map<InstanceId, Presence>();
    const handedShares = new Map<number, { readonly share: number; readonly until: Milliseconds; }>();
    const pausedShards = new Set<number>();
    let sharesUpdatedAt = Number.NEGATIVE_INFINITY;
    let shares: ReadonlyMap<number, number> = new Map();
    const computeShares = (now: Milliseconds): ReadonlyMap<number, number> => {
        const counts = new Map<number, number>();
        for (const [instance, { at, shards }] of present) {
            if (now - at >= presenceMilliseconds) {
                present.delete(instance);
                continue;
            }
            const added = isCounted(instance) ? 1 : 0;
            shards.forEach(shard => counts.set(shard, (counts.get(shard) ?? 0) + added));
        }
        const total = options.countInstances() ?? Number.POSITIVE_INFINITY;
        const computed = new Map([...counts].map(([shard, count]) => [shard, Math.min(1, count / total + spareShare)]));
        for (const [shard, { share, until }] of handedShares) {
            // the same instances: the larger share, not the sum
            computed.set(shard, Math.max(computed.get(shard) ?? 0, now < until ? share : 0));
        }
        return computed;
    };
    const updateShares = (now: Milliseconds): void => {
        sharesUpdatedAt = now;
        shares = computeShares(now);
        buckets.forEach((bucket, account) => bucket.setShare(shares.get(options.findShard(account)) ?? 0, now));
    };
    const isShareOld = (shard: number, now: Milliseconds): boolean =>
        now - sharesUpdatedAt >= shareUpdateMilliseconds || (shares.get(shard) ?? 0) === 0;
    const getBucket = (account: ClientAccountId, quota: AccountQuota, now: Milliseconds): QuotaBucket => {
        let bucket = buckets.get(account);
        if (!bucket) {
            bucket = createQuotaBucket(quota, now);
            buckets.set(account, bucket);
            bucket.setShare(computeShares(now).get(options.findShard(account)) ?? 0, now);
            if (pausedShards.has(options.findShard(account))) {
                bucket.pause(now);
            }
        }
        return bucket;
    };
    const listBuckets = (shard: number): readonly (readonly [ClientAccountId, QuotaBucket])[] =>
        [...buckets].filter(([account]) => options.findShard(account) === shard);
    const markPresent = (from: InstanceId, shards: readonly number[], now: Milliseconds): void => {
        present.set(from, { at: now, shards });
    };
    const endRush = (account: ClientAccountId, known: AccountOrder): void => {
        const kinds = Object.fromEntries(known.rush ?? []);
        known.rush = undefined;
        options.onRush?.({ account, state: "ended", kinds });
    };
    const recordRush = (
        { account, units, urgency }: QuotaRequest,
        known: AccountOrder,
        isGiven: boolean,
        now: Milliseconds,
    ): void => {
        const isRush = isInRush(known.order, now);
        if (isRush && !known.rush) {
            known.rush = new Map();
            options.onRush?.({ account, state: "begun", kinds: {} });
        }
        if (!isRush && known.rush) {
            endRush(account, known);
        }
        if (known.rush && urgency) {
            const kind = known.rush.has(urgency.kind) || known.rush.size < maximumReportedKinds
                ? urgency.kind
                : "other";
            const { given, refused } = known.rush.get(kind) ?? { given: 0, refused: 0 };
            known.rush.set(kind, {
                given: given + (isGiven ? units : 0),
                refused: refused + (isGiven ? 0 : units),
            });
        }
    };
    // the urgent requests of an account go first while it asks for more than its quota
    const takeInOrder = (bucket: QuotaBucket, request: QuotaRequest, now: Milliseconds): QuotaDecision => {
        const { account, units, urgency, isResumed } = request;
        if (!urgency) {
            return bucket.take(units, now, isResumed);
        }
        const known = orders.get(account) ?? { order: createQuotaOrder(now), rush: undefined };
        orders.set(account, known);
        const ask = { ...urgency, units };
        const supply = bucket.measureSupply(now);
        const order = recordAsk(known.order, ask, supply, now);
        const hasOrder = isSurge(order, supply);
        const reserve = hasOrder && !isResumed ? computeReserve(order, ask, supply, now) : 0;
        const decision = bucket.take(units, now, isResumed, reserve);
        if (decision.kind === "admitted") {
            known.order = recordGiven(order, ask, now);
            recordRush(request, known, true, now);
            return decision;
        }
        const refused = recordRefused(order, ask, supply, now);
        known.order = hasOrder ? refused.order : { ...order, rushUntil: refused.order.rushUntil };
        recordRush(request, known, false, now);
        return hasOrder ? { kind: "exceeded", wait: refused.wait, isOrdered: true } : decision;
    };
    const forget = (account: ClientAccountId): void => {
        const known = orders.get(account);
        if (known?.rush) {
            endRush(account, known);
        }
        buckets.delete(account);
        orders.delete(account);
    };
    return {
        take: (from, request, now) => {
            const quota = quotas.get(request.account);
            if (!quota) {
                return { kind: "admitted", delay: 0 };
            }
            const shard = options.findShard(request.account);
            const known = present.get(from)?.shards ?? [];
            markPresent(from, known.includes(shard) ? known : [...known, shard], now);
            if (isShareOld(shard, now)) {
                updateShares(now);
            }
            const bucket = getBucket(request.account, quota, now);
            bucket.grant(request.allowance);
            bucket.charge(request.admittedAlone, now);
            // the sender's part of what the rate gave while there was no holder, and of which it has used `admittedAlone`
            bucket.giveBack(computeGapUnits(quota, request.gap ?? 0, options.countInstances()), now);
            return takeInOrder(bucket, request, now);
        },
        giveBack: (account, units, now) => buckets.get(account)?.giveBack(units, now),
        update: (accounts, now) => {
            quotas.clear();
            for (const account of accounts) {
                if (account.quota) {
                    quotas.set(account.name, account.quota);
                    buckets.get(account.name)?.update(account.quota, now);
                }
            }
            [...buckets.keys()].filter(name => !quotas.has(name)).forEach(forget);
        },
        markPresent,
        keepOnly: (isHeld, now) => {
            [...buckets.keys()].filter(name => !isHeld(name)).forEach(forget);
            orders.forEach((known, account) => {
                if (known.rush && now !== undefined && !isInRush(known.order, now)) {
                    endRush(account, known);
                }
            });
        },
        pause: (shard, now) => {
            // one that stood still knows of instances that have asked another holder since
            updateShares(now);
            pausedShards.add(shard);
            listBuckets(shard).forEach(([, bucket]) => bucket.pause(now));
        },
        resume: (shard, now) => {
            pausedShards.delete(shard);
            listBuckets(shard).forEach(([, bucket]) => bucket.resume(now));
        },
        listPresent: (shard, now) =>
            [...present].filter(([, { at, shards }]) => now - at < presenceMilliseconds && shards.includes(shard))
                .map(([instance]) => instance),
        handOver: (shard, now) => {
            const share = computeShares(now).get(shard) ?? 0;
            const handed = listBuckets(shard);
            const levels = handed.map(([account, bucket]) => [account, bucket.measureLevel(now)] as const);
            handed.forEach(([account]) => forget(account));
            handedShares.delete(shard);
            present.forEach(({ at, shards }, instance) =>
                present.set(instance, { at, shards: shards.filter(other => other !== shard) })
            );
            return { share, levels };
        },
        takeOver: (shard, { share, levels }, now) => {
            const known = handedShares.get(shard);
            const knownShare = known && now < known.until ? known.share : 0;
            handedShares.set(shard, { share: Math.max(knownShare, share), until: now + handedShareMilliseconds });
            // a bucket has no more than its share, so that its share comes first
            updateShares(now);
            for (const [account, level] of levels) {
                const quota = quotas.get(account);
                if (quota && options.findShard(account) === shard) {
                    getBucket(account, quota, now).addLevel(level, now);
                }
            }
        },
    };
}

function computeGapUnits(quota: AccountQuota, gap: Milliseconds, instances: number | undefined): number {
    const margin = gap >= marginGapMilliseconds ? gapMarginMilliseconds : 0;
    const duration = Math.min(gap, longestGapMilliseconds) + margin;
    return quota.ratePerSecond * duration / millisecondsPerSecond / (instances ?? Number.POSITIVE_INFINITY);
}
