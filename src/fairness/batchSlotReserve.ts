/**
 * Reserves some batch slots of a server for client accounts within their share. The order of the queue alone is not
 * enough: a slot that one account's burst has taken stays taken until its request ends.
 *
 * @packageDocumentation
 */

/** How many batch slots of a server are used, in total and by one client account. */
export interface BatchSlotUse {
    /** Requests that the server can run in a batch. */
    readonly batchSlots: number;
    readonly freeBatchSlots: number;
    /** Requests of the account that run on the server. */
    readonly running: number;
    readonly weight: number;
    /** Sum of the weights of all accounts with running or queued requests for the server, including this account. */
    readonly totalWeight: number;
}

/** Fraction of the slots that only accounts within their share may take. */
const reservedFraction = 0.25;
/**
 * Lowest share of an account, as a fraction of the slots. An account of low weight often runs several requests at once
 * although it stays within its rate, because its requests arrive at uneven intervals.
 */
const minimumShareFraction = 0.15;

/**
 * Checks whether a client account may take a free batch slot. An account beyond its weighted share must leave the
 * reserved slots to the others; an account that is alone may take all slots.
 *
 * @param use - slots of the server and the account's use of them
 * @returns whether the account may take one more slot
 */
export function isBatchSlotAllowed(use: BatchSlotUse): boolean {
    const { batchSlots, freeBatchSlots, running, weight, totalWeight } = use;
    if (freeBatchSlots <= 0) {
        return false;
    }
    const share = batchSlots * Math.max(minimumShareFraction, weight / totalWeight);
    return running < share || freeBatchSlots > batchSlots * reservedFraction;
}
