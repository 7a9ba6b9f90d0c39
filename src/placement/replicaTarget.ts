/**
 * Number of engines that an adapter should be resident on. It grows with the number of queued requests and not with the
 * number of all requests.
 *
 * @packageDocumentation
 */

/** Demand for one adapter. */
export interface ReplicaDemand {
    /** Engines on which it is resident. */
    readonly replicas: number;
    /** Requests that wait for the first load or, if the adapter is resident, for a batch slot on its engines. */
    readonly waiting: number;
    /** Number of batch slots of each engine. */
    readonly batchLimit: number;
    /** Engines of the pool. */
    readonly engines: number;
}

/** A further replica is loaded once the waiting requests reach this fraction of the current replicas' batch slots. */
const growthBatchFraction = 0.25;

/**
 * Computes the number of engines that an adapter should be resident on.
 *
 * @param demand - demand for the adapter
 * @returns the number of engines, at most one more than now
 */
export function computeReplicaTarget(demand: ReplicaDemand): number {
    const { replicas, waiting, batchLimit, engines } = demand;
    if (replicas === 0) {
        return waiting > 0 ? 1 : 0;
    }
    const growthThreshold = Math.max(1, growthBatchFraction * batchLimit * replicas);
    return waiting >= growthThreshold ? Math.min(engines, replicas + 1) : replicas;
}
