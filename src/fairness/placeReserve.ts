/**
 * Keeps some places of a server free for accounts within their share: a place that a burst took is not free again
 * before its request ends, however fair the queue is.
 *
 * @packageDocumentation
 */

/** How an account and its server stand. */
export interface BatchSlotUse {
    /** Places that the server can batch. */
    readonly batchSlots: number;
    readonly freeBatchSlots: number;
    /** Requests of the account that run there. */
    readonly running: number;
    readonly weight: number;
    /** Sum of the weights of all accounts that run or wait there, this one included. */
    readonly totalWeight: number;
}

const reservedFraction = 0.25;
const minimumShareFraction = 0.15;

/**
 * Checks whether an account may take a free place. An account beyond its weighted share leaves the last places to the
 * others; while it is alone it may take all.
 *
 * @param use - account and server
 * @returns whether it may
 */
export function isBatchSlotAllowed(use: BatchSlotUse): boolean {
    const { batchSlots: batchSlots, freeBatchSlots: freeBatchSlots, running, weight, totalWeight } = use;
    if (freeBatchSlots <= 0) {
        return false;
    }
    // requests come unevenly: a small account within its rate often runs several at once
    const share = batchSlots * Math.max(minimumShareFraction, weight / totalWeight);
    return running < share || freeBatchSlots > batchSlots * reservedFraction;
}
