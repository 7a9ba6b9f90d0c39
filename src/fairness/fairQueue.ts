/**
 * Fair queue. Interactive requests go before overnight requests, which are guaranteed a minimum share of the tokens, or
 * all requests go by a rank that the caller computes. Within a class or rank, the client account that was served the
 * fewest tokens relative to its weight goes first.
 *
 * @packageDocumentation
 */
import Denque from "denque";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, Milliseconds, RequestId } from "../shared/index.js";
import type { FairQueue, FairQueueOptions, QueueEntry, RankEntry } from "./types.js";
import { createVirtualTokenCounters, type FlowKey, formatFlowKey } from "./virtualTokenCounters.js";

/** An entry and the item that the caller queued with it. */
interface QueuedItem<Item, Class extends string> {
    readonly entry: QueueEntry<Class>;
    readonly item: Item;
}

/** Queued requests of one client account and class. */
interface Flow<Item, Class extends string> {
    readonly key: FlowKey;
    readonly account: ClientAccountId;
    readonly requestClass: Class;
    /** In order of arrival, never empty. */
    readonly waiting: Denque<QueuedItem<Item, Class>>;
    /** Sum of the estimated tokens of the queued entries. */
    tokens: number;
}

interface EntryPosition<Item, Class extends string> {
    readonly flow: Flow<Item, Class>;
    readonly index: number;
}

const defaultMinimumOvernightShare = 0.1;
// number of entries of a flow that are searched for an eligible one: requests for an adapter that is being loaded must
// not block requests for the account's other adapters, but a search of a long queue would take too much time
const maximumScannedEntries = 64;

/**
 * Creates an empty queue.
 *
 * @param options - the instance to which the queue belongs, and the minimum share of overnight requests
 * @returns the queue; its owner calls `expire` regularly, as the queue has no timer
 */
export function createFairQueue<Item, Class extends string = RequestClass>(
    options: FairQueueOptions<Item, Class>,
): FairQueue<Item, Class> {
    const { rank } = options;
    const minimumOvernightShare = options.minimumOvernightShare ?? defaultMinimumOvernightShare;
    const counters = createVirtualTokenCounters(options.self);
    const flows = new Map<FlowKey, Flow<Item, Class>>();
    const flowsByRequest = new Map<RequestId, Flow<Item, Class>>();
    // estimated tokens of overnight requests that may now go before interactive ones, to reach the minimum share
    let overnightCreditTokens = 0;

    const getOrCreateFlow = (entry: QueueEntry<Class>): Flow<Item, Class> => {
        const key = formatFlowKey(entry.account, entry.requestClass);
        let flow = flows.get(key);
        if (!flow) {
            const { account, requestClass } = entry;
            flow = { key, account, requestClass, waiting: new Denque(), tokens: 0 };
            flows.set(key, flow);
            counters.activate(key, requestClass);
        }
        return flow;
    };
    const removeEntryAt = (flow: Flow<Item, Class>, index: number): QueuedItem<Item, Class> => {
        const [removed] = flow.waiting.remove(index, 1);
        flow.tokens -= removed!.entry.tokens;
        flowsByRequest.delete(removed!.entry.requestId);
        if (flow.waiting.length === 0) {
            flows.delete(flow.key);
        }
        return removed!;
    };
    const listFlowsByCounter = (requestClass: string): readonly Flow<Item, Class>[] =>
        [...flows.values()]
            .filter(flow => flow.requestClass === requestClass)
            .sort((left, right) => counters.read(left.key) - counters.read(right.key));
    const findEligibleIndex = (
        flow: Flow<Item, Class>,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ): number | undefined => {
        const count = Math.min(flow.waiting.length, maximumScannedEntries);
        for (let index = 0; index < count; index++) {
            const { entry, item } = flow.waiting.peekAt(index)!;
            if (isEligible(entry, item)) {
                return index;
            }
        }
        return undefined;
    };
    const findNextInClass = (
        requestClass: string,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ): EntryPosition<Item, Class> | undefined => {
        for (const flow of listFlowsByCounter(requestClass)) {
            const index = findEligibleIndex(flow, isEligible);
            if (index !== undefined) {
                return { flow, index };
            }
        }
        return undefined;
    };
    // equal ranks go by the counter of their flow, and within a flow by their time
    const findNextByRank = (
        rankEntry: RankEntry<Item, Class>,
        now: Milliseconds,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ): EntryPosition<Item, Class> | undefined => {
        let best: EntryPosition<Item, Class> | undefined;
        let lowestRank = Number.POSITIVE_INFINITY;
        let lowestServed = Number.POSITIVE_INFINITY;
        let earliest = Number.POSITIVE_INFINITY;
        for (const flow of flows.values()) {
            const served = counters.read(flow.key);
            for (let index = 0; index < flow.waiting.length; index++) {
                const { entry, item } = flow.waiting.peekAt(index)!;
                const entryRank = rankEntry(entry, item, now);
                const dueAt = entry.dueAt ?? entry.arrivedAt;
                const difference = entryRank - lowestRank || served - lowestServed || dueAt - earliest;
                if ((!best || difference < 0) && isEligible(entry, item)) {
                    best = { flow, index };
                    lowestRank = entryRank;
                    lowestServed = served;
                    earliest = dueAt;
                }
            }
        }
        return best;
    };
    const hasQueuedRequests = (requestClass: string): boolean =>
        [...flows.values()].some(flow => flow.requestClass === requestClass);
    const updateOvernightCredit = (taken: QueueEntry<Class>): void => {
        if (taken.requestClass === "overnight") {
            overnightCreditTokens = Math.max(0, overnightCreditTokens - taken.tokens);
        }
        else if (hasQueuedRequests("overnight")) {
            overnightCreditTokens += taken.tokens * minimumOvernightShare / (1 - minimumOvernightShare);
        }
        else {
            overnightCreditTokens = 0;
        }
    };
    const readFirstOvernightTokens = (): number =>
        listFlowsByCounter("overnight")[0]?.waiting.peekFront()?.entry.tokens ?? Infinity;

    const findNext = (
        now: Milliseconds,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ): EntryPosition<Item, Class> | undefined => {
        const isRunnable = (entry: QueueEntry<Class>, item: Item): boolean =>
            entry.deadline > now && isEligible(entry, item);
        if (rank) {
            return findNextByRank(rank, now, isRunnable);
        }
        const order: readonly [string, string] = overnightCreditTokens >= readFirstOvernightTokens()
            ? ["overnight", "interactive"]
            : ["interactive", "overnight"];
        return findNextInClass(order[0], isRunnable) ?? findNextInClass(order[1], isRunnable);
    };

    // account with the most queued tokens relative to its weight
    const findLargestBacklog = (): ClientAccountId | undefined => {
        const sums = new Map<ClientAccountId, number>();
        for (const flow of flows.values()) {
            const weight = flow.waiting.peekFront()!.entry.weight;
            sums.set(flow.account, (sums.get(flow.account) ?? 0) + flow.tokens / weight);
        }
        return [...sums].sort((left, right) => right[1] - left[1])[0]?.[0];
    };
    const removeFromLargestBacklog = (): Item | undefined => {
        const account = findLargestBacklog();
        if (account === undefined) {
            return undefined;
        }
        const ofAccount = [...flows.values()].filter(flow => flow.account === account);
        const flow = ofAccount.find(({ requestClass }) => requestClass === "overnight") ?? ofAccount[0]!;
        return removeEntryAt(flow, flow.waiting.length - 1).item;
    };
    const sumQueuedTokens = (): number => [...flows.values()].reduce((sum, flow) => sum + flow.tokens, 0);

    return {
        countEntries: () => flowsByRequest.size,
        sumQueuedTokens,
        push: (entry, item) => {
            const flow = getOrCreateFlow(entry);
            flow.waiting.push({ entry, item });
            flow.tokens += entry.tokens;
            flowsByRequest.set(entry.requestId, flow);
        },
        take: (now, isEligible) => {
            const next = findNext(now, isEligible);
            if (!next) {
                return undefined;
            }
            const { flow, index } = next;
            counters.advanceVirtualTime(flow.key, flow.requestClass, now);
            const { entry, item } = removeEntryAt(flow, index);
            counters.add(flow.key, entry.tokens / entry.weight);
            updateOvernightCredit(entry);
            return item;
        },
        rankNext: (now, isEligible) => {
            const next = findNext(now, isEligible);
            return next && { requestClass: next.flow.requestClass, servedTokens: counters.read(next.flow.key) };
        },
        countAhead: (entry, item, now) => {
            if (!rank) {
                return flowsByRequest.size;
            }
            const own = rank(entry, item, now);
            const equals = new Map<ClientAccountId, number>();
            let count = 0;
            for (const flow of flows.values()) {
                let equal = equals.get(flow.account) ?? 0;
                for (let index = 0; index < flow.waiting.length; index++) {
                    const queued = flow.waiting.peekAt(index)!;
                    const other = rank(queued.entry, queued.item, now);
                    count += other < own ? 1 : 0;
                    equal += other === own ? 1 : 0;
                }
                equals.set(flow.account, equal);
            }
            const ownCount = equals.get(entry.account) ?? 0;
            for (const equal of equals.values()) {
                count += Math.min(equal, ownCount + 1);
            }
            return count;
        },
        listItems: () => [...flows.values()].flatMap(flow => flow.waiting.toArray().map(({ item }) => item)),
        record: (entry, now) => {
            const key = formatFlowKey(entry.account, entry.requestClass);
            // one that was idle gets no credit for the time before
            counters.activate(key, entry.requestClass);
            counters.advanceVirtualTime(key, entry.requestClass, now);
            counters.add(key, entry.tokens / entry.weight);
        },
        remove: requestId => {
            const flow = flowsByRequest.get(requestId);
            if (!flow) {
                return false;
            }
            const index = flow.waiting.toArray().findIndex(waiting => waiting.entry.requestId === requestId);
            removeEntryAt(flow, index);
            return true;
        },
        expire: now => {
            const expired: Item[] = [];
            for (const flow of [...flows.values()]) {
                for (let index = flow.waiting.length - 1; index >= 0; index--) {
                    if (flow.waiting.peekAt(index)!.entry.deadline <= now) {
                        expired.push(removeEntryAt(flow, index).item);
                    }
                }
            }
            return expired.reverse();
        },
        settle: (entry, spentTokens) => {
            const key = formatFlowKey(entry.account, entry.requestClass);
            counters.add(key, (spentTokens - entry.tokens) / entry.weight);
        },
        readCounters: counters.takeChanges,
        mergeCounters: counters.merge,
        shed: queuedTokensLimit => {
            const removed: Item[] = [];
            while (sumQueuedTokens() > queuedTokensLimit) {
                const item = removeFromLargestBacklog();
                if (item === undefined) {
                    break;
                }
                removed.push(item);
            }
            return removed;
        },
    };
}
