/**
 * Times at which refused clients may return. Each gets one of its own, and the capacity up to it counts as given to those
 * that were refused before and are as urgent.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { limitPriority } from "./urgentReserve.js";

/** A request that is refused. */
export interface RefusedRequest {
    readonly priority: number;
    /** Expected time until there is room for it, behind the requests that are queued. */
    readonly wait: Milliseconds;
    /** Mean time between two places that become free. */
    readonly interval: Milliseconds;
    /** Time until its client gives up. */
    readonly deadline: Milliseconds;
}

/** Times that were given to refused clients. */
export interface ReturnTimes {
    /** Assigns the next time; returns how long the client should wait. */
    readonly assign: (request: RefusedRequest, now: Milliseconds) => Milliseconds;
}

/** Clients honour a time up to this part of what they have left; later ones take no capacity from others. */
const honouredRatio = 1 / 3;
/** Resolution of the header that tells the client, so that no two get the same time. */
const resolutionMilliseconds = 10;

/**
 * Creates the assignment without times given.
 *
 * @returns the assignment, owned by the caller
 */
export function createReturnTimes(): ReturnTimes {
    /** Last time given to each priority. */
    const lastTimes: Milliseconds[] = [];
    /** Last time given to each priority that is later than its client honours. */
    const lastLateTimes: Milliseconds[] = [];
    return {
        assign: ({ priority, wait, interval, deadline }, now) => {
            const limited = limitPriority(priority);
            const given = lastTimes.slice(0, limited + 1).reduce((last, time) => Math.max(last, time ?? 0), 0);
            const at = Math.max(now + wait, given + Math.max(interval, resolutionMilliseconds));
            if (at - now <= deadline * honouredRatio) {
                lastTimes[limited] = at;
                return at - now;
            }
            const late = Math.max(at, (lastLateTimes[limited] ?? 0) + resolutionMilliseconds);
            lastLateTimes[limited] = late;
            return late - now;
        },
    };
}
