/**
 * Fair queue. Interactive requests go before overnight requests, which are guaranteed a minimum share of the tokens.
 * Within a class, the client account that was served the fewest tokens relative to its weight goes first.
 *
 * @packageDocumentation
 */
import Denque from "denque";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, Milliseconds, RequestId } from "../shared/index.js";
import type { FairQueue, FairQueueOptions, QueueEntry } from "./types.js";
import { createVirtualTokenCounters, type FlowKey, formatFlowKey } from "./virtualTokenCounters.js";

/** An entry and the item that the caller queued with it. */
interface QueuedItem<Item> {
    readonly entry: QueueEntry;
    readonly item: Item;
}

/** Queued requests of one client account and class. */
interface Flow<Item> {
    readonly key: FlowKey;
    readonly account: ClientAccountId;
    readonly requestClass: RequestClass;
    /** In order of arrival, never empty. */
    readonly waiting: Denque<QueuedItem<Item>>;
    /** Sum of the estimated tokens of the queued entries. */
    tokens: number;
}

interface EntryPosition<Item> {
    readonly flow: Flow<Item>;
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
export function createFairQueue<Item>(options: FairQueueOptions): FairQueue<Item> {
    const minimumOvernightShare = options.minimumOvernightShare ?? defaultMinimumOvernightShare;
    const counters = createVirtualTokenCounters(options.self);
    const flows = new Map<FlowKey, Flow<Item>>();
    const flowsByRequest = new Map<RequestId, Flow<Item>>();
    // estimated tokens of overnight requests that may now go before interactive ones, to reach the minimum share
    let overnightCreditTokens = 0;

    const getOrCreateFlow = (entry: QueueEntry): Flow<Item> => {
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
    const removeEntryAt = (flow: Flow<Item>, index: number): QueuedItem<Item> => {
        const [removed] = flow.waiting.remove(index, 1);
        flow.tokens -= removed!.entry.tokens;
        flowsByRequest.delete(removed!.entry.requestId);
        if (flow.waiting.length === 0) {
            flows.delete(flow.key);
        }
        return removed!;
    };
    const listFlowsByCounter = (requestClass: RequestClass): readonly Flow<Item>[] =>
        [...flows.values()]
            .filter(flow => flow.requestClass === requestClass)
            .sort((left, right) => counters.read(left.key) - counters.read(right.key));
    const findEligibleIndex = (
        flow: Flow<Item>,
        isEligible: (entry: QueueEntry, item: Item) => boolean,
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
        requestClass: RequestClass,
        isEligible: (entry: QueueEntry, item: Item) => boolean,
    ): EntryPosition<Item> | undefined => {
        for (const flow of listFlowsByCounter(requestClass)) {
            const index = findEligibleIndex(flow, isEligible);
            if (index !== undefined) {
                return { flow, index };
            }
        }
        return undefined;
    };
    const hasQueuedRequests = (requestClass: RequestClass): boolean =>
        [...flows.values()].some(flow => flow.requestClass === requestClass);
    const updateOvernightCredit = (taken: QueueEntry): void => {
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
        isEligible: (entry: QueueEntry, item: Item) => boolean,
    ): EntryPosition<Item> | undefined => {
        const isRunnable = (entry: QueueEntry, item: Item): boolean => entry.deadline > now && isEligible(entry, item);
        const order: readonly [RequestClass, RequestClass] = overnightCreditTokens >= readFirstOvernightTokens()
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
        const flow = flows.get(formatFlowKey(account, "overnight")) ??
            flows.get(formatFlowKey(account, "interactive"))!;
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
