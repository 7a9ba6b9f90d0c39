/**
 * Ejection of faulty backend servers, as one instance sees them.
 *
 * @packageDocumentation
 */
import type { BackendServerId, Milliseconds } from "../shared/index.js";

/** What is known of one server. */
export interface BreakerEntry {
    readonly consecutiveFailures: number;
    /** Time until which no request goes there; `undefined` while it is trusted. */
    readonly ejectedUntil: Milliseconds | undefined;
    readonly ejections: number;
}

/** What is known of all servers. */
export type BreakerState = ReadonlyMap<BackendServerId, BreakerEntry>;

/** What a use of a server showed. */
export type ServerCallResult = "worked" | "faulty";

const consecutiveFailuresToEject = 3;
const initialEjectionMilliseconds = 1_000;
const maximumEjectionMilliseconds = 30_000;
const maximumEjectedShare = 0.5;
const healthyEntry: BreakerEntry = { consecutiveFailures: 0, ejectedUntil: undefined, ejections: 0 };

/**
 * Adds what a use of a server showed. An answer ends its ejection; failures in a row eject it, longer each time.
 *
 * @param state - what was known
 * @param server - the server
 * @param result - what the use showed
 * @param now - present time
 * @returns what is known now
 */
export function updateBreaker(
    state: BreakerState,
    server: BackendServerId,
    result: ServerCallResult,
    now: Milliseconds,
): BreakerState {
    const next = new Map(state);
    if (result === "worked") {
        next.delete(server);
        return next;
    }
    const entry = state.get(server) ?? healthyEntry;
    const failures = entry.consecutiveFailures + 1;
    const mustEject = failures >= consecutiveFailuresToEject && (entry.ejectedUntil ?? now) <= now;
    if (!mustEject) {
        next.set(server, { ...entry, consecutiveFailures: failures });
        return next;
    }
    const duration = Math.min(maximumEjectionMilliseconds, initialEjectionMilliseconds * 2 ** entry.ejections);
    next.set(server, {
        consecutiveFailures: failures,
        ejectedUntil: now + duration,
        ejections: entry.ejections + 1,
    });
    return next;
}

/**
 * Lists the servers to leave out of a pool. Never more than half of it: when most seem faulty, the fault is likelier
 * elsewhere, and the rest would be overrun.
 *
 * @param state - what is known
 * @param pool - the servers of the pool
 * @param now - present time
 * @returns servers that should get no request
 */
export function listEjectedServers(
    state: BreakerState,
    pool: readonly BackendServerId[],
    now: Milliseconds,
): readonly BackendServerId[] {
    const maximumEjected = Math.floor(pool.length * maximumEjectedShare);
    const ejected = pool.filter(server => (state.get(server)?.ejectedUntil ?? now) > now);
    // those whose time ends last are the worst
    ejected.sort((left, right) => state.get(right)!.ejectedUntil! - state.get(left)!.ejectedUntil!);
    return ejected.slice(0, maximumEjected);
}

/**
 * Drops servers that are gone.
 *
 * @param state - what is known
 * @param existingServers - servers that still exist
 * @returns what is known of those
 */
export function pruneBreaker(state: BreakerState, existingServers: ReadonlySet<BackendServerId>): BreakerState {
    return new Map([...state].filter(([server]) => existingServers.has(server)));
}
