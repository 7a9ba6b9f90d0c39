/**
 * Keeps places for requests that are more urgent than others: as many as these need at the rate at which they have
 * arrived lately, less those that they have and those that become free in the time that they can wait.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Places of a pool and what becomes of them. */
export interface ReserveState {
    readonly slots: number;
    readonly meanDuration: Milliseconds;
    /** Running requests that are more urgent than the one in question. */
    readonly urgentRunning: number;
    /** Requests a second that are more urgent than the one in question. */
    readonly urgentPerSecond: number;
    /** Time that a more urgent request can wait and still be on time. */
    readonly urgentSlack: Milliseconds;
}

/** Rates at which requests of each priority arrive. */
export interface ArrivalRates {
    /** Counts a request that can wait for `slack` and still be on time. */
    readonly record: (priority: number, slack: Milliseconds, now: Milliseconds) => void;
    /** Requests a second of all priorities below a number, which are the more urgent ones. */
    readonly readBelow: (priority: number, now: Milliseconds) => number;
    /** Mean time that requests of the priority below a number can wait for which it is shortest; infinite without any. */
    readonly readSlackBelow: (priority: number) => Milliseconds;
}

/** Largest part of the places that is kept, so that less urgent requests never stand still. */
const maximumReservedRatio = 0.5;
/** Half-life of the rates: surges last 4 to 7 s, and places must not be kept for long after one. */
const rateHalfLifeMilliseconds = 1_000;
/** Part of the time that urgent requests can wait in which places that become free are counted on. */
const usedSlackRatio = 0.5;
/** Weight of the newest request in the mean of the time that requests can wait. */
const slackWeight = 0.1;
/** Priorities that are told apart; lower ones count as the last. */
export const priorityCount = 16;

/**
 * Limits a priority to those that are told apart.
 *
 * @param priority - priority of a request
 * @returns a whole number from 0 on
 */
export function limitPriority(priority: number): number {
    return Math.min(priorityCount - 1, Math.max(0, Math.floor(priority)));
}

/**
 * Computes the free places that are kept for more urgent requests.
 *
 * @param state - places and the more urgent requests
 * @returns whole number of places
 */
export function computeUrgentReserve(state: ReserveState): number {
    const needed = state.urgentPerSecond * state.meanDuration / millisecondsPerSecond;
    const share = Math.min(needed, state.slots * maximumReservedRatio);
    const freed = state.urgentSlack * usedSlackRatio * state.slots / Math.max(1, state.meanDuration);
    return Math.max(0, Math.floor(share - state.urgentRunning - freed));
}

/**
 * Creates rates of zero.
 *
 * @returns the rates, owned by the caller
 */
export function createArrivalRates(): ArrivalRates {
    const counts = new Float64Array(priorityCount);
    const slacks: (Milliseconds | undefined)[] = [];
    let countedAt = Number.NEGATIVE_INFINITY;
    const reduceByAge = (now: Milliseconds): void => {
        const factor = 0.5 ** (Math.max(0, now - countedAt) / rateHalfLifeMilliseconds);
        counts.forEach((count, priority) => {
            counts[priority] = count * factor;
        });
        countedAt = now;
    };
    return {
        record: (priority, slack, now) => {
            reduceByAge(now);
            const limited = limitPriority(priority);
            counts[limited]!++;
            const wait = Math.max(0, slack);
            const mean = slacks[limited] ?? wait;
            slacks[limited] = mean + (wait - mean) * slackWeight;
        },
        readBelow: (priority, now) => {
            reduceByAge(now);
            const sum = counts.subarray(0, Math.min(priorityCount, priority)).reduce(
                (total, count) => total + count,
                0,
            );
            return sum * Math.LN2 * millisecondsPerSecond / rateHalfLifeMilliseconds;
        },
        readSlackBelow: priority =>
            slacks.slice(0, priority).reduce<Milliseconds>(
                (shortest, slack) => Math.min(shortest, slack ?? shortest),
                Number.POSITIVE_INFINITY,
            ),
    };
}
