/**
 * Tells an instance that reaches no server from servers that can't be reached by anybody, by the attempts of this instance
 * over several servers and by what others say of the same servers.
 *
 * @packageDocumentation
 */
import type { ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";

/** What this instance's own attempts have shown. */
export interface Reach {
    /** Records that a server responded. */
    readonly markReached: (run: ServerRunId, now: Milliseconds) => void;
    /** Records that no connection to a server could be opened. */
    readonly markUnreached: (run: ServerRunId, now: Milliseconds) => void;
    /** Servers that couldn't be reached since one responded last, where they are enough to suspect a cut; else none. */
    readonly listSuspects: (listedCount: number) => readonly ServerRunId[];
    /** Time of the first of these failures. */
    readonly readUnreachedSince: () => Milliseconds;
    /** Which of the servers responded at `since` or later. */
    readonly filterReached: (runs: readonly ServerRunId[], since: Milliseconds) => readonly ServerRunId[];
    readonly remove: (run: ServerRunId) => void;
}

/** One server that can't be reached may have ended; two in a row without a response from any other are rare. */
const suspectCount = 2;

/**
 * Creates the reach of an instance that has sent nothing yet.
 *
 * @returns the reach
 */
export function createReach(): Reach {
    const reachedAt = new Map<ServerRunId, Milliseconds>();
    const unreached = new Map<ServerRunId, Milliseconds>();
    return {
        markReached: (run, now) => {
            reachedAt.set(run, now);
            unreached.clear();
        },
        markUnreached: (run, now) => void unreached.set(run, unreached.get(run) ?? now),
        listSuspects: listedCount => unreached.size >= Math.min(suspectCount, listedCount) ? [...unreached.keys()] : [],
        readUnreachedSince: () => Math.min(...unreached.values()),
        filterReached: (runs, since) => runs.filter(run => (reachedAt.get(run) ?? Number.NEGATIVE_INFINITY) >= since),
        remove: run => {
            reachedAt.delete(run);
            unreached.delete(run);
        },
    };
}
