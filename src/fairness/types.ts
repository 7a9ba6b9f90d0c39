/**
 * Types of the fair queue: its entries, its operations and the counters that instances exchange.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, InstanceId, Milliseconds, RequestId } from "../shared/index.js";

/** Description of a queued request. Names of classes have no slash. */
export interface QueueEntry<Class extends string = RequestClass> {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly requestClass: Class;
    /** Weight of the account: an account with weight 2 gets twice the tokens of one with weight 1. */
    readonly weight: number;
    /** Estimated cost in tokens. */
    readonly tokens: number;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    /** Among entries of equal rank and account the earliest goes first. @default order of arrival */
    readonly dueAt?: Milliseconds;
}

/** Rank of an entry, for queues that aren't ordered by class alone; lower ranks go first, equal ones in fair order. */
export type RankEntry<Item, Class extends string> = (
    entry: QueueEntry<Class>,
    item: Item,
    now: Milliseconds,
) => number;

/** Tokens that one instance has served, as it sends them to the other instances. */
export interface ServedTokenCounters {
    readonly instance: InstanceId;
    /** Number of the message, which starts at 1 and grows with each message of that instance. */
    readonly sequence: number;
    /**
     * Tokens divided by weight that the instance has served to an account and class since it started, for those that
     * changed since the last message. The key has the form of `FlowKey`.
     */
    readonly served: ReadonlyMap<string, number>;
}

/** Rank of a queue's next entry, for a comparison with the queues of other instances. Lower token counts go first. */
export interface QueueRank<Class extends string = RequestClass> {
    readonly requestClass: Class;
    /** Tokens divided by weight that all instances together have served to the entry's account in its class. */
    readonly servedTokens: number;
}

/** Queued requests of all accounts and classes, in fair order. */
export interface FairQueue<Item, Class extends string = RequestClass> {
    /** Number of queued entries. */
    readonly countEntries: () => number;
    /** Adds an entry and the item that `take` returns for it. */
    readonly push: (entry: QueueEntry<Class>, item: Item, now: Milliseconds) => void;
    /** Removes the first eligible entry in fair order and returns its item; `undefined` when no entry is eligible. */
    readonly take: (
        now: Milliseconds,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ) => Item | undefined;
    /**
     * Returns the rank of the entry that `take` would remove; `undefined` when no entry is eligible. A caller that
     * serves several queues takes from the one whose next account was served the fewest tokens.
     */
    readonly rankNext: (
        now: Milliseconds,
        isEligible: (entry: QueueEntry<Class>, item: Item) => boolean,
    ) => QueueRank<Class> | undefined;
    /**
     * Counts the entries that would go before this one: those of a lower rank, and of an equal rank as many of each other
     * account as its own account has.
     */
    readonly countAhead: (entry: QueueEntry<Class>, item: Item, now: Milliseconds) => number;
    /** Lists all items, in no particular order. */
    readonly listItems: () => readonly Item[];
    /** Counts the tokens of an entry that was served without having been queued. */
    readonly record: (entry: QueueEntry<Class>, now: Milliseconds) => void;
    /** Removes an entry whose request was cancelled; returns whether it was queued. */
    readonly remove: (requestId: RequestId) => boolean;
    /** Removes all entries whose deadline has passed and returns their items. */
    readonly expire: (now: Milliseconds) => readonly Item[];
    /** Corrects an account's counter by the difference between the tokens spent and the entry's estimate. */
    readonly settle: (entry: QueueEntry<Class>, spentTokens: number) => void;
    /**
     * Returns counters that have changed, for the other instances, and marks them as sent, so that a second call
     * doesn't return them again. The number per call is limited; the rest follow with later calls.
     */
    readonly readCounters: () => ServedTokenCounters;
    /** Adds the tokens that another instance has served. Messages may arrive late, twice or not at all. */
    readonly mergeCounters: (counters: ServedTokenCounters, now: Milliseconds) => void;
    /** Sum of the estimated tokens of all entries. */
    readonly sumQueuedTokens: () => number;
    /**
     * Removes entries until no more than the given number of tokens are queued, and returns their items. Each time it
     * removes the newest entry of the account with the most queued tokens relative to its weight, overnight entries
     * before interactive ones.
     */
    readonly shed: (queuedTokensLimit: number) => readonly Item[];
}

/** Settings of a fair queue. */
export interface FairQueueOptions<Item = unknown, Class extends string = RequestClass> {
    /** Instance to which the queue belongs. */
    readonly self: InstanceId;
    /** Fraction of the tokens that overnight requests get while interactive ones are queued too. @default 0.1 */
    readonly minimumOvernightShare?: number;
    /** Rank of an entry. @default interactive requests go before overnight ones, which keep their minimum share */
    readonly rank?: RankEntry<Item, Class>;
}
