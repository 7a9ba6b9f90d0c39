/**
 * What the request path needs of fair queueing.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, InstanceId, Milliseconds, RequestId } from "../shared/index.js";

/** A request that waits for its turn. */
export interface QueueEntry {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly requestClass: RequestClass;
    /** Share of the account relative to others. */
    readonly weight: number;
    /** Estimated cost in tokens. */
    readonly tokens: number;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
}

/** Tokens that one instance has served, to be shared with the others. */
export interface ServedTokenCounters {
    readonly instance: InstanceId;
    /** Grows with each publication of that instance. */
    readonly sequence: number;
    /** Weighted tokens served for each account and class since the instance began. */
    readonly served: ReadonlyMap<string, number>;
}

/** Place of a queue's next entry among those of other instances' queues; lower ones go first. */
export interface QueueRank {
    readonly requestClass: RequestClass;
    /** Weighted tokens that its account was served over all instances. */
    readonly servedTokens: number;
}

/** Waiting requests of all accounts and classes, in fair order. */
export interface FairQueue<Item> {
    readonly size: () => number;
    readonly push: (entry: QueueEntry, item: Item, now: Milliseconds) => void;
    /** Takes the first entry in fair order that can run now. */
    readonly take: (now: Milliseconds, isEligible: (entry: QueueEntry, item: Item) => boolean) => Item | undefined;
    /** Tells what `take` would return, so that one who serves several queues takes from the one that is furthest behind. */
    readonly rankNext: (
        now: Milliseconds,
        isEligible: (entry: QueueEntry, item: Item) => boolean,
    ) => QueueRank | undefined;
    /** Removes an entry whose caller went away; tells whether it was there. */
    readonly remove: (requestId: RequestId) => boolean;
    /** Removes the entries whose deadline has passed. */
    readonly expire: (now: Milliseconds) => readonly Item[];
    /** Corrects an account's counter by the difference between the estimate and what was spent. */
    readonly settle: (entry: QueueEntry, spentTokens: number) => void;
    /** Reads the counters that changed since the last call, to be sent to the other instances. */
    readonly readCounters: () => ServedTokenCounters;
    /** Takes another instance's counters into account; late, lost and doubled ones do no harm. */
    readonly mergeCounters: (counters: ServedTokenCounters, now: Milliseconds) => void;
    readonly queuedTokens: () => number;
    /**
     * Removes entries until no more than the given tokens are queued: the newest ones of the account that exceeds its
     * share the most, overnight before interactive.
     */
    readonly shed: (queuedTokensLimit: number) => readonly Item[];
}

/** Settings of a fair queue. */
export interface FairQueueOptions {
    readonly self: InstanceId;
    /** Part of the tokens that overnight requests get while interactive ones wait too. @default 0.1 */
    readonly minimumOvernightShare?: number;
}
