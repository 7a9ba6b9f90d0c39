/**
 * How many engines an adapter should be on: grows with queued work, never with raw counts.
 *
 * @packageDocumentation
 */

/** What is known of an adapter that is already somewhere. */
export interface ReplicaDemand {
    /** Engines that hold or load it. */
    readonly replicas: number;
    /** Requests that wait: for the first load, or although it is resident, since its engines' batches are full. */
    readonly waiting: number;
    readonly batchLimit: number;
    /** Engines that could hold it. */
    readonly engines: number;
}

/** Part of a batch that must wait before another engine is worth a load. */
const growthBatchFraction = 0.25;

/**
 * Computes the number of engines that an adapter should be on.
 *
 * @param demand - what is known of it
 * @returns the number, one more than now at most
 */
export function computeReplicaTarget(demand: ReplicaDemand): number {
    const { replicas, waiting, batchLimit, engines } = demand;
    if (replicas === 0) {
        return waiting > 0 ? 1 : 0;
    }
    const growthThreshold = Math.max(1, growthBatchFraction * batchLimit * replicas);
    return waiting >= growthThreshold ? Math.min(engines, replicas + 1) : replicas;
}
