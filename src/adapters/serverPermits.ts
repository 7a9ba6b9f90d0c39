/**
 * Permits for requests to servers that have named a limit. The instance that holds a server's shard gives them to the
 * requests of all instances, so that the limit holds for all together.
 *
 * @packageDocumentation
 */
import type { ServerRunId } from "../serving/types.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Permits of the servers whose shards this instance holds. */
export interface ServerPermits {
    /** Sets the requests a second that a server takes; `undefined` for any number. */
    readonly setLimit: (run: ServerRunId, requestsPerSecond: number | undefined, now: Milliseconds) => void;
    readonly isLimited: (run: ServerRunId) => boolean;
    /** Time until a request may be sent to a server; 0 when one may be sent now. */
    readonly measureWait: (run: ServerRunId, now: Milliseconds) => Milliseconds;
    /** Takes a permit, and returns whether there was one. */
    readonly take: (run: ServerRunId, now: Milliseconds) => boolean;
    readonly remove: (run: ServerRunId) => void;
}

interface PermitBucket {
    requestsPerSecond: number;
    level: number;
    updatedAt: Milliseconds;
    heardAt: Milliseconds;
}

/** Requests that may follow each other at once after a time without any: those of this time, and one at least. */
const burstMilliseconds = 250;
/** Time without a word of the limit after which one request is let go, whose response tells whether it still holds. */
const trialIntervalMilliseconds = 10_000;

/**
 * Creates permits for servers without limits.
 *
 * @returns the permits, of which an instance needs one object
 */
export function createServerPermits(): ServerPermits {
    const buckets = new Map<ServerRunId, PermitBucket>();
    const findBucket = (run: ServerRunId, now: Milliseconds): PermitBucket | undefined => {
        const bucket = buckets.get(run);
        if (!bucket) {
            return undefined;
        }
        const rate = bucket.requestsPerSecond / millisecondsPerSecond;
        bucket.level = Math.min(
            Math.max(1, rate * burstMilliseconds),
            bucket.level + rate * Math.max(0, now - bucket.updatedAt),
        );
        bucket.updatedAt = now;
        if (now - bucket.heardAt >= trialIntervalMilliseconds) {
            bucket.level = Math.max(1, bucket.level);
            bucket.heardAt = now;
        }
        return bucket;
    };
    const measureWait = (run: ServerRunId, now: Milliseconds): Milliseconds => {
        const bucket = findBucket(run, now);
        if (!bucket || bucket.level >= 1) {
            return 0;
        }
        const untilTrial = bucket.heardAt + trialIntervalMilliseconds - now;
        return Math.min(untilTrial, (1 - bucket.level) / bucket.requestsPerSecond * millisecondsPerSecond);
    };
    return {
        setLimit: (run, requestsPerSecond, now) => {
            if (requestsPerSecond === undefined) {
                buckets.delete(run);
                return;
            }
            const bucket = findBucket(run, now) ?? { requestsPerSecond, level: 0, updatedAt: now, heardAt: now };
            bucket.requestsPerSecond = requestsPerSecond;
            bucket.heardAt = now;
            buckets.set(run, bucket);
        },
        isLimited: run => buckets.has(run),
        measureWait,
        take: (run, now) => {
            const bucket = findBucket(run, now);
            if (bucket && bucket.level < 1) {
                return false;
            }
            if (bucket) {
                bucket.level--;
            }
            return true;
        },
        remove: run => void buckets.delete(run),
    };
}
