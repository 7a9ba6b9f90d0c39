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
    readonly markUnreached: (run: ServerRunId) => void;
    /** Servers that couldn't be reached since one responded last, where they are enough to suspect a cut; else none. */
    readonly listSuspects: (listedCount: number) => readonly ServerRunId[];
    /** Which of the servers responded lately. */
    readonly filterReached: (runs: readonly ServerRunId[], now: Milliseconds) => readonly ServerRunId[];
    readonly remove: (run: ServerRunId) => void;
}

/** One server that can't be reached may have ended; two in a row without a response from any other are rare. */
const suspectCount = 2;
/** Time for which a response shows that its server can be reached. */
const reachedMilliseconds = 2_000;

/**
 * Creates the reach of an instance that has sent nothing yet.
 *
 * @returns the reach
 */
export function createReach(): Reach {
    const reachedAt = new Map<ServerRunId, Milliseconds>();
    const unreached = new Set<ServerRunId>();
    return {
        markReached: (run, now) => {
            reachedAt.set(run, now);
            unreached.clear();
        },
        markUnreached: run => void unreached.add(run),
        listSuspects: listedCount => unreached.size >= Math.min(suspectCount, listedCount) ? [...unreached] : [],
        filterReached: (runs, now) =>
            runs.filter(run => now - (reachedAt.get(run) ?? Number.NEGATIVE_INFINITY) <= reachedMilliseconds),
        remove: run => {
            reachedAt.delete(run);
            unreached.delete(run);
        },
    };
}
