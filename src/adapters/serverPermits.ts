/**
 * Permits for requests to servers that have named a limit, or that are cold. The instance that holds a server's shard
 * gives them to the requests of all instances, so that the limit holds for all together.
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
    /** Has a run paced as a cold one for a while, also where this instance holds it for warm. */
    readonly markAskedCold: (run: ServerRunId, until: Milliseconds) => void;
    /** Whether permits are granted at the pace of a cold server, or of one that was so a moment ago. */
    readonly isPaced: (run: ServerRunId, now: Milliseconds) => boolean;
    /** Returns the permit of a request that a paced server has not taken. */
    readonly giveBack: (run: ServerRunId, now: Milliseconds) => void;
    /** Time after which one that was refused a permit should ask again, so that those who wait ask in turn. */
    readonly assignTurn: (run: ServerRunId, now: Milliseconds) => Milliseconds;
    /** Forgets the pace of some servers, whose next permits come as slowly as the first ones. */
    readonly resetPace: (isAffected: (run: ServerRunId) => boolean) => void;
    /** Permits for paced servers so far. */
    readonly readCounts: () => PacedPermitCounts;
    /** Time until a request may be sent to a server; 0 when one may be sent now. */
    readonly measureWait: (run: ServerRunId, now: Milliseconds) => Milliseconds;
    /** Takes a permit, and returns whether there was one. */
    readonly take: (run: ServerRunId, now: Milliseconds) => boolean;
    readonly remove: (run: ServerRunId) => void;
}

/** Number of permits for cold servers by what became of them. */
export interface PacedPermitCounts {
    readonly granted: number;
    readonly refused: number;
    readonly returned: number;
}

/** Rate of permits for cold servers. */
export interface ServerPermitsOptions {
    /**
     * Requests per second that a cold server, or one that others hold for cold, may be granted; `undefined` for any number.
     *
     * @default no server is cold
     */
    readonly findColdRate?: (run: ServerRunId, isAskedCold: boolean) => number | undefined;
}

interface PacedBucket {
    requestsPerSecond: number;
    level: number;
    updatedAt: Milliseconds;
    /** Time of the next permit that nobody was told to ask for. */
    nextTurnAt: Milliseconds;
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

/** Longest time after which one that was refused a permit asks again. */
const longestTurnMilliseconds = 2_000;

/**
 * Creates permits for servers without limits.
 *
 * @param options - rate of cold servers
 * @returns the permits, of which an instance needs one object
 */
export function createServerPermits(options: ServerPermitsOptions = {}): ServerPermits {
    const { findColdRate = () => undefined } = options;
    const pacedBuckets = new Map<ServerRunId, PacedBucket>();
    const askedColdUntil = new Map<ServerRunId, Milliseconds>();
    const counts = { granted: 0, refused: 0, returned: 0 };
    // starts empty, and never has more than one permit, so that permits are granted evenly
    const findPacedBucket = (run: ServerRunId, now: Milliseconds): PacedBucket | undefined => {
        const askedUntil = askedColdUntil.get(run);
        const isAskedCold = askedUntil !== undefined && askedUntil > now;
        if (askedUntil !== undefined && !isAskedCold) {
            askedColdUntil.delete(run);
        }
        const requestsPerSecond = findColdRate(run, isAskedCold);
        if (requestsPerSecond === undefined) {
            pacedBuckets.delete(run);
            return undefined;
        }
        const bucket = pacedBuckets.get(run) ?? { requestsPerSecond, level: 0, updatedAt: now, nextTurnAt: now };
        const elapsed = Math.max(0, now - bucket.updatedAt);
        // a rate that has grown meanwhile doesn't count for the time before
        const rate = Math.min(bucket.requestsPerSecond, requestsPerSecond) / millisecondsPerSecond;
        bucket.level = Math.min(1, bucket.level + rate * elapsed);
        bucket.requestsPerSecond = requestsPerSecond;
        bucket.updatedAt = now;
        pacedBuckets.set(run, bucket);
        return bucket;
    };
    const measurePacedWait = (bucket: PacedBucket | undefined): Milliseconds =>
        !bucket || bucket.level >= 1
            ? 0
            : Math.min(
                longestTurnMilliseconds,
                Math.ceil((1 - bucket.level) / bucket.requestsPerSecond * millisecondsPerSecond),
            );
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
    const measureWait = (run: ServerRunId, now: Milliseconds): Milliseconds =>
        Math.max(measurePacedWait(findPacedBucket(run, now)), measureLimitWait(run, now));
    const measureLimitWait = (run: ServerRunId, now: Milliseconds): Milliseconds => {
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
            const paced = findPacedBucket(run, now);
            if ((bucket && bucket.level < 1) || (paced && paced.level < 1)) {
                counts.refused += paced ? 1 : 0;
                return false;
            }
            if (bucket) {
                bucket.level--;
            }
            if (paced) {
                paced.level--;
                counts.granted++;
            }
            return true;
        },
        markAskedCold: (run, until) => void askedColdUntil.set(run, until),
        isPaced: (run, now) => findPacedBucket(run, now) !== undefined,
        giveBack: (run, now) => {
            const paced = findPacedBucket(run, now);
            if (paced) {
                paced.level = Math.min(1, paced.level + 1);
                counts.returned++;
            }
        },
        assignTurn: (run, now) => {
            const paced = findPacedBucket(run, now);
            const wait = measureWait(run, now);
            if (!paced || paced.requestsPerSecond === 0) {
                return wait;
            }
            const turnAt = Math.max(paced.nextTurnAt, now + wait);
            paced.nextTurnAt = Math.min(
                now + longestTurnMilliseconds,
                turnAt + millisecondsPerSecond / paced.requestsPerSecond,
            );
            return turnAt - now;
        },
        resetPace: isAffected => [...pacedBuckets.keys()].filter(isAffected).forEach(run => pacedBuckets.delete(run)),
        readCounts: () => ({ ...counts }),
        remove: run => {
            buckets.delete(run);
            pacedBuckets.delete(run);
            askedColdUntil.delete(run);
        },
    };
}
