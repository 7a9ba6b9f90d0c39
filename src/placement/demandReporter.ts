/**
 * Reports of an instance to the planner of each pool: its waiting requests, and the arrivals since the last report.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey, ArrivalCount, WaitingDemand } from "./messages.js";
import type { WaitingRequest } from "./requestScheduler.js";
import type { PlacementRequest } from "./types.js";
import type { MessageOf } from "./useLeases.js";

/** Collects the demand of one instance for all pools. */
export interface DemandReporter {
    /** Counts a request. An urgent one makes the next message due earlier. */
    readonly addArrival: (request: PlacementRequest, now: Milliseconds, isUrgent: boolean) => void;
    /** Returns the messages that are due, one for each pool at most, and counts their arrivals as sent. */
    readonly takeMessages: (
        waiting: Iterable<WaitingRequest>,
        readVersionKey: (request: PlacementRequest) => AdapterVersionKey | undefined,
        interval: Milliseconds,
        now: Milliseconds,
    ) => readonly { readonly pool: string; readonly message: MessageOf<"demand">; }[];
}

interface PoolDemand {
    readonly arrivals: Map<string, ArrivalCount>;
    sentAt: Milliseconds;
    isUrgent: boolean;
    hadWaiting: boolean;
}

/**
 * Time in which an instance normally gets a use lease. A request whose adapter is resident counts as queued for a batch
 * slot only if it waits longer.
 */
const leaseWaitMilliseconds = 100;
const urgentIntervalMilliseconds = 10;

/**
 * Creates a reporter without demand.
 *
 * @returns the reporter, owned by the caller
 */
export function createDemandReporter(): DemandReporter {
    const pools = new Map<string, PoolDemand>();
    let sequence = 0;
    const isDue = (pool: PoolDemand, interval: Milliseconds, now: Milliseconds): boolean =>
        now - pool.sentAt >= (pool.isUrgent ? urgentIntervalMilliseconds : interval);
    return {
        addArrival: (request, now, isUrgent) => {
            const pool = pools.get(request.pool)
                ?? { arrivals: new Map(), sentAt: Number.NEGATIVE_INFINITY, isUrgent: false, hadWaiting: false };
            pools.set(request.pool, pool);
            pool.isUrgent ||= isUrgent;
            const { adapter } = request.adapter!;
            const count = pool.arrivals.get(adapter) ?? { adapter, interactive: 0, overnight: 0 };
            const isInteractive = request.requestClass === "interactive";
            pool.arrivals.set(adapter, {
                adapter,
                interactive: count.interactive + (isInteractive ? 1 : 0),
                overnight: count.overnight + (isInteractive ? 0 : 1),
            });
        },
        takeMessages: (waiting, readVersionKey, interval, now) => {
            const due = [...pools].filter(([, pool]) => isDue(pool, interval, now));
            if (due.length === 0) {
                return [];
            }
            const sums = sumWaiting(waiting, readVersionKey, now);
            return due.flatMap(([name, pool]) => {
                const entries = [...sums.get(name)?.values() ?? []];
                if (entries.length === 0 && pool.arrivals.size === 0 && !pool.hadWaiting) {
                    return [];
                }
                const arrivals = [...pool.arrivals.values()];
                pool.arrivals.clear();
                pool.sentAt = now;
                pool.isUrgent = false;
                pool.hadWaiting = entries.length > 0;
                sequence++;
                return [{ pool: name, message: { kind: "demand", pool: name, sequence, waiting: entries, arrivals } }];
            });
        },
    };
}

function sumWaiting(
    waiting: Iterable<WaitingRequest>,
    readVersionKey: (request: PlacementRequest) => AdapterVersionKey | undefined,
    now: Milliseconds,
): Map<string, Map<AdapterVersionKey, WaitingDemand>> {
    const pools = new Map<string, Map<AdapterVersionKey, WaitingDemand>>();
    for (const { request, arrivedAt, locatedAt } of waiting) {
        const key = readVersionKey(request);
        if (key === undefined) {
            continue;
        }
        const sums = pools.get(request.pool) ?? new Map<AdapterVersionKey, WaitingDemand>();
        pools.set(request.pool, sums);
        const sum = sums.get(key) ?? { key, interactive: 0, overnight: 0, queued: 0, oldestWait: 0 };
        const isInteractive = request.requestClass === "interactive";
        const isQueued = locatedAt !== undefined && now - locatedAt >= leaseWaitMilliseconds;
        sums.set(key, {
            key,
            interactive: sum.interactive + (isInteractive ? 1 : 0),
            overnight: sum.overnight + (isInteractive ? 0 : 1),
            queued: sum.queued + (isQueued ? 1 : 0),
            oldestWait: Math.max(sum.oldestWait, now - arrivedAt),
        });
    }
    return pools;
}
