/**
 * Finds the holder of an account's quota and asks it for units. The quota of an account belongs to one of the shards of
 * engines, so that the instance that the store has chosen for the shard decides for all instances.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import type { PeerNetwork } from "../peers/index.js";
import { type ClientAccountId, type Clock, hashForRendezvous, type InstanceId } from "../shared/index.js";
import { runTask, startTask } from "../supervision/index.js";
import { createQuotaDeciders } from "./quotaDeciders.js";
import { claimQuotaGap, endQuotaGap, openQuotaGap, type QuotaGap, withdrawQuotaGap } from "./quotaGaps.js";
import { createQuotaHandover } from "./quotaHandover.js";
import type { QuotaHolder } from "./quotaHolder.js";
import { type QuotaDecision, type QuotaMessage, quotaMessageSchema, type QuotaRequest } from "./quotaMessages.js";

/** Dependencies of the client. */
export interface QuotaClientOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    /** Shard that an account's quota belongs to. */
    readonly findShard: (account: ClientAccountId) => number;
    readonly holders: ShardHolders;
    /** Whether this instance holds a shard. */
    readonly isHeld: (shard: number) => boolean;
    /** Quotas that this instance holds itself. */
    readonly quotaHolder: QuotaHolder;
    readonly network: PeerNetwork;
}

/** Client and message handler for quotas. */
export interface QuotaClient {
    /** Asks the holder; `undefined` when none is known or it doesn't respond in time. */
    readonly ask: (request: QuotaRequest) => Promise<QuotaDecision | undefined>;
    /** Tells the holder of units that weren't used; they are lost when none is known. */
    readonly giveBack: (account: ClientAccountId, units: number) => void;
    readonly handleMessage: (
        from: InstanceId,
        message: QuotaMessage,
    ) => QuotaMessage | undefined | Promise<QuotaMessage>;
    /** Records that this instance holds a shard from now on; the previous holder is asked for what it has. */
    readonly handleShardGained: (shard: number) => void;
    /** Records that this instance doesn't hold a shard any more; it decides until the next holder asks for what it has. */
    readonly handleShardLost: (shard: number) => void;
    /** Tells the holders that this instance asks them, and forgets what it no longer holds; call it regularly. */
    readonly tick: () => void;
}

/** Time after which a holder that hasn't responded counts as silent. */
const holderTimeoutMilliseconds = 200;
/** Time for which no other request waits for a holder to become known after one has waited in vain. */
const vainWaitMilliseconds = 1_000;
/** Instances that one request asks at most; each that doesn't hold the shard may name the next one. */
const maximumAskedHolders = 4;

/** What an instance says that was asked for units. */
type UnitsAnswer =
    | QuotaDecision
    | Extract<QuotaMessage, { readonly kind: "notHolder"; }>
    /** It can't be reached, as after its end, or hasn't answered others. */
    | { readonly kind: "gone"; };

/** Time after which the store is asked again for the holders because none of those that are known holds a shard. */
const reloadIntervalMilliseconds = 1_000;
/** Longest wait that is told while a shard moves to its next holder. */
const interimWaitMilliseconds = 500;
/** Interval at which the holders are told that this instance asks them. */
const presenceIntervalMilliseconds = 1_600;

/**
 * Number of shards that accounts belong to. It is small because every instance tells the holders of these shards again
 * and again that it asks them.
 */
const accountShardCount = 4;

/**
 * Divides the accounts among the first few shards.
 *
 * @param shardCount - number of all shards
 * @returns function that finds the shard of an account
 */
export function createAccountShards(shardCount: number): (account: ClientAccountId) => number {
    const count = Math.min(shardCount, accountShardCount);
    return account => hashForRendezvous(account) % count;
}

/**
 * Creates the client.
 *
 * @param options - holders of the shards and the quotas held here
 * @returns the client
 */
export function createQuotaClient(options: QuotaClientOptions): QuotaClient {
    const { clock, holders, network, quotaHolder, self } = options;
    const { findShard } = options;
    const toldShards = new Map<InstanceId, readonly number[]>();
    let toldAt = Number.NEGATIVE_INFINITY;
    let pendingReload: Promise<void> | undefined;
    let reloadedAt = Number.NEGATIVE_INFINITY;
    let vainWaitAt = Number.NEGATIVE_INFINITY;
    const deciders = createQuotaDeciders(options);
    const handover = createQuotaHandover({ ...options, deciders });
    const isDecidedHere = (account: ClientAccountId): boolean => handover.mayDecide(findShard(account));
    const gaps = new Map<number, QuotaGap>();
    const setGap = (shard: number, gap: QuotaGap | undefined): void => {
        if (gap) {
            gaps.set(shard, gap);
        }
        else {
            gaps.delete(shard);
        }
    };
    // requests that are decided at the same time must not report the same gap twice
    const addGap = (request: QuotaRequest): QuotaRequest => {
        const shard = findShard(request.account);
        const { duration, gap } = claimQuotaGap(gaps.get(shard), request.account, clock.now());
        setGap(shard, gap);
        return duration > 0 ? { ...request, gap: duration } : request;
    };
    const decideNow = (from: InstanceId, request: QuotaRequest): QuotaDecision => {
        const decision = quotaHolder.take(from, request, clock.now());
        // what this bucket lacks the next holder may have
        return decision.kind === "exceeded" && handover.isInterim(findShard(request.account))
            ? { kind: "exceeded", wait: Math.min(decision.wait, interimWaitMilliseconds) }
            : decision;
    };
    const decide = (from: InstanceId, request: QuotaRequest): QuotaDecision | Promise<QuotaDecision> => {
        const pending = handover.findPending(findShard(request.account));
        return pending === undefined ? decideNow(from, request) : pending.then(() => decideNow(from, request));
    };
    const decideOwn = (request: QuotaRequest): QuotaDecision | Promise<QuotaDecision> => {
        const shard = findShard(request.account);
        const reported = addGap(request);
        setGap(shard, endQuotaGap(gaps.get(shard), clock.now()));
        return decide(self, reported);
    };
    // who is asked counts this instance, and is told by the next tick if it isn't the one that is asked from now on
    const recordAsked = (holder: InstanceId, shard: number): void => {
        const told = toldShards.get(holder) ?? [];
        toldShards.set(holder, told.includes(shard) ? told : [...told, shard]);
    };
    const requestUnits = async (holder: InstanceId, request: QuotaRequest): Promise<UnitsAnswer | undefined> => {
        recordAsked(holder, findShard(request.account));
        const response = await network.request(
            holder,
            "quotas",
            { kind: "take", ...request },
            holderTimeoutMilliseconds,
        );
        if (!response.ok) {
            const isGone = response.error.kind === "unreachable";
            holders.markSilent(holder, isGone ? "unreachable" : "timeout");
            startTask("holders of shards", holders.refresh);
            // one that is silent has had its time, one that is gone has answered at once
            return isGone ? { kind: "gone" } : undefined;
        }
        const parsed = quotaMessageSchema.safeParse(response.value);
        switch (parsed.data?.kind) {
            case "admitted":
            case "exceeded":
                return parsed.data;
            case "notHolder":
                startTask("holders of shards", holders.refresh);
                return parsed.data;
            // unreadable, as of an instance of another version
            case undefined:
            case "take":
            case "giveBack":
            case "present":
            case "askHandover":
            case "handover":
            case "moved":
                startTask("holders of shards", holders.refresh);
                return undefined;
        }
    };
    // who doesn't hold the shard may know the next holder; one that has just been chosen may not know of it yet
    const requestInTurn = async (request: QuotaRequest): Promise<UnitsAnswer | undefined> => {
        const asked = new Set<InstanceId>();
        const shard = findShard(request.account);
        // holders of other shards may know who decides, too
        const findNext = (): InstanceId | undefined =>
            [...deciders.listLikely(shard), ...holders.listOthers()]
                .find(instance => !asked.has(instance) && !holders.isSilent(instance));
        let isGone = deciders.listLikely(shard).some(holders.isSilent);
        for (let next = findNext(); next !== undefined && asked.size < maximumAskedHolders; next = findNext()) {
            asked.add(next);
            const reported = addGap(request);
            const isLikely = deciders.listLikely(shard)[0] === next;
            const answer = await requestUnits(next, reported);
            const isReceived = answer?.kind !== "gone" && answer?.kind !== "notHolder";
            if (reported !== request && !isReceived) {
                setGap(shard, withdrawQuotaGap(gaps.get(shard), request.account));
            }
            switch (answer?.kind) {
                case undefined:
                    return undefined;
                case "admitted":
                case "exceeded":
                    setGap(shard, endQuotaGap(gaps.get(shard), clock.now()));
                    deciders.markDecided(shard, next);
                    return answer;
                case "gone":
                    if (isLikely) {
                        setGap(shard, openQuotaGap(gaps.get(shard), clock.now()));
                    }
                    deciders.markWrong(shard, next);
                    isGone = true;
                    break;
                case "notHolder":
                    deciders.markWrong(shard, next);
                    if (answer.holder !== undefined && !asked.has(answer.holder)) {
                        deciders.markNamed(shard, answer.holder);
                    }
                    break;
            }
        }
        return { kind: isGone ? "gone" : "notHolder" };
    };
    // an instance that has just started, or a shard that has just moved: without a holder the request would be refused
    const waitForHolders = async (): Promise<void> => {
        if (clock.now() - vainWaitAt < vainWaitMilliseconds) {
            return;
        }
        const cancel = new AbortController();
        const isInVain = await Promise.race([
            runTask("holders of shards", holders.refresh).then(() => false),
            clock.sleep(holderTimeoutMilliseconds, cancel.signal).then(() => true),
        ]);
        cancel.abort();
        vainWaitAt = isInVain ? clock.now() : vainWaitAt;
    };
    // what other instances know may be as old as what this one knows
    const waitForStore = async (): Promise<void> => {
        if (!pendingReload && clock.now() - Math.max(reloadedAt, vainWaitAt) >= reloadIntervalMilliseconds) {
            reloadedAt = clock.now();
            pendingReload = Promise.race([
                runTask("holders of shards", holders.reload),
                clock.sleep(holderTimeoutMilliseconds),
            ]).then(() => pendingReload = undefined);
        }
        await pendingReload;
    };
    const sendMoved = (to: InstanceId, shards: readonly number[]): void => {
        for (const shard of shards.filter(told => !handover.mayDecide(told))) {
            const holder = deciders.listLikely(shard).find(instance => instance !== to);
            network.send(to, "quotas", holder === undefined ? { kind: "notHolder" } : { kind: "moved", shard, holder });
        }
    };
    const groupShards = (): ReadonlyMap<InstanceId, readonly number[]> => {
        const groups = new Map<InstanceId, number[]>();
        for (const [shard, known] of [...deciders.list()].filter(([listed]) => listed < accountShardCount)) {
            const holder = handover.mayDecide(shard) ? self : known;
            groups.set(holder, [...(groups.get(holder) ?? []), shard]);
        }
        return groups;
    };
    const sendPresence = (holder: InstanceId, shards: readonly number[]): void => {
        if (holder === self) {
            quotaHolder.markPresent(self, shards, clock.now());
        }
        else {
            network.send(holder, "quotas", { kind: "present", shards: [...shards] });
        }
        if (shards.length > 0) {
            toldShards.set(holder, shards);
        }
        else {
            toldShards.delete(holder);
        }
    };
    return {
        ask: async request => {
            if (isDecidedHere(request.account)) {
                return decideOwn(request);
            }
            const shard = findShard(request.account);
            if (deciders.listLikely(shard).length === 0) {
                await waitForHolders();
            }
            const first = await requestInTurn(request);
            switch (first?.kind) {
                case undefined:
                case "admitted":
                case "exceeded":
                    return first;
                // the store names one that is gone until its membership lapses
                case "gone":
                    await waitForHolders();
                    break;
                case "notHolder":
                    await waitForStore();
                    break;
            }
            // the shard may have come here meanwhile
            if (isDecidedHere(request.account)) {
                return decideOwn(request);
            }
            const second = await requestInTurn(request);
            return second?.kind === "admitted" || second?.kind === "exceeded" ? second : undefined;
        },
        giveBack: (account, units) => {
            const [holder] = deciders.listLikely(findShard(account));
            if (isDecidedHere(account)) {
                quotaHolder.giveBack(account, units, clock.now());
            }
            else if (holder !== undefined) {
                network.send(holder, "quotas", { kind: "giveBack", account, units });
            }
        },
        handleMessage: (from, message) => {
            holders.markResponsive(from);
            switch (message.kind) {
                case "take":
                    return isDecidedHere(message.account)
                        ? decide(from, message)
                        : handover.describeHolder(findShard(message.account));
                case "giveBack":
                    quotaHolder.giveBack(message.account, message.units, clock.now());
                    return undefined;
                case "present":
                    sendMoved(from, message.shards);
                    quotaHolder.markPresent(from, message.shards, clock.now());
                    return undefined;
                case "askHandover":
                    return handover.handOver(from, message.shard);
                case "moved":
                    // an older word than what is known by now, unless it comes from the one that is asked
                    if (deciders.listLikely(message.shard)[0] === from) {
                        deciders.markNamed(message.shard, message.holder);
                    }
                    return undefined;
                case "notHolder":
                    startTask("holders of shards", holders.refresh);
                    return undefined;
                case "admitted":
                case "exceeded":
                case "handover":
                    return undefined;
            }
        },
        handleShardGained: shard => {
            if (shard < accountShardCount) {
                handover.handleGained(shard);
            }
        },
        handleShardLost: shard => {
            if (shard < accountShardCount) {
                handover.handleLost(shard);
            }
        },
        tick: () => {
            quotaHolder.keepOnly(isDecidedHere, clock.now());
            const shardsByHolder = groupShards();
            const isDue = clock.now() - toldAt >= presenceIntervalMilliseconds;
            if (isDue) {
                toldAt = clock.now();
            }
            for (const holder of new Set([...shardsByHolder.keys(), ...toldShards.keys()])) {
                const shards = shardsByHolder.get(holder) ?? [];
                if (isDue || shards.join() !== toldShards.get(holder)?.join()) {
                    sendPresence(holder, shards);
                }
            }
        },
    };
}
