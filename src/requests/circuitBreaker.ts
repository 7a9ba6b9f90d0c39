/**
 * Circuit breaker: one instance's temporary ejection of backend servers that fail several times in a row.
 *
 * @packageDocumentation
 */
import type { BackendServerId, Milliseconds } from "../shared/index.js";

/** Failure history of one backend server. */
export interface BreakerEntry {
    readonly consecutiveFailures: number;
    /** Time until which the server gets no requests; `undefined` if it has not been ejected since its last success. */
    readonly ejectedUntil: Milliseconds | undefined;
    /** Number of ejections since the last success; each one doubles the duration of the next. */
    readonly ejections: number;
}

/** Failure histories by backend server; a server without recent failures has none. */
export type BreakerState = ReadonlyMap<BackendServerId, BreakerEntry>;

/** Result of one call to a backend server, as the circuit breaker counts it. */
export type ServerCallResult = "worked" | "faulty";

const consecutiveFailuresToEject = 3;
const initialEjectionMilliseconds = 1_000;
const maximumEjectionMilliseconds = 30_000;
const maximumEjectedShare = 0.5;
const healthyEntry: BreakerEntry = { consecutiveFailures: 0, ejectedUntil: undefined, ejections: 0 };

/**
 * Adds the result of one call. A success ends the server's ejection and clears its history. Several consecutive
 * failures eject the server. If the next call after the ejection fails too, the server is ejected again for twice as
 * long, up to a maximum.
 *
 * @param state - the state before the call; it is not changed
 * @param server - the server that was called
 * @param result - whether the server worked
 * @param now - current time
 * @returns the new state
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
 * Lists the ejected servers of a pool, at most half of the pool. If most servers seem faulty, the cause is more likely
 * elsewhere, and the remaining servers would be overloaded.
 *
 * @param state - the breaker's state
 * @param pool - all servers of the pool
 * @param now - current time
 * @returns the servers that should get no requests, the longest ejection first
 */
export function listEjectedServers(
    state: BreakerState,
    pool: readonly BackendServerId[],
    now: Milliseconds,
): readonly BackendServerId[] {
    const maximumEjected = Math.floor(pool.length * maximumEjectedShare);
    const ejected = pool.filter(server => (state.get(server)?.ejectedUntil ?? now) > now);
    // if not all fit, the servers with the longest remaining ejection stay ejected
    ejected.sort((left, right) => state.get(right)!.ejectedUntil! - state.get(left)!.ejectedUntil!);
    return ejected.slice(0, maximumEjected);
}

/**
 * Removes the histories of backend servers that no longer exist.
 *
 * @param state - the breaker's state; it is not changed
 * @param existingServers - servers whose history is kept
 * @returns the state without the other servers
 */
export function pruneBreaker(state: BreakerState, existingServers: ReadonlySet<BackendServerId>): BreakerState {
    return new Map([...state].filter(([server]) => existingServers.has(server)));
}
