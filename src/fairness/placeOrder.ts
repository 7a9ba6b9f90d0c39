/**
 * Order of requests that wait for room on an engine.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { limitPriority } from "./urgentReserve.js";

/** What the order of a waiting request follows from. */
export interface WaitingPlace {
    /** Lower numbers go first. */
    readonly priority: number;
    /** Latest time of a place with which the request can be on time. */
    readonly onTimeUntil: Milliseconds;
    /** Whether its kind, account, adapter or session gets less than a quarter of what all get. */
    readonly isOwed: boolean;
}

/**
 * Time before `onTimeUntil` from which a request goes before others of its priority, so that those which can wait leave
 * their turn to it. Shorter than half of the shortest objective seen (0.5 s), or all requests of that kind would be equal.
 */
const pressingMilliseconds = 150;
const lateRank = 1_000;

/**
 * Ranks a request: those that are owed a share first, those that can't be on time last, then by priority and by whether
 * the objective is near its end. Requests of equal rank are in the fair order of their accounts.
 *
 * @param place - the request
 * @param now - current time
 * @returns rank, lower ones go first
 */
export function rankPlace({ priority, onTimeUntil, isOwed }: WaitingPlace, now: Milliseconds): number {
    if (isOwed) {
        return -1;
    }
    const isLate = onTimeUntil <= now;
    const isPressing = !isLate && onTimeUntil - now < pressingMilliseconds;
    return (isLate ? lateRank : 0) + limitPriority(priority) * 2 + (isPressing ? 0 : 1);
}
