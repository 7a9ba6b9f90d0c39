/**
 * Estimates when an engine has room for a request, and how long a request waits that others go before.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Estimates of one engine for one request. `State` is what is known of the engine, `Demand` what of the request. */
export interface RoomEstimator<State, Demand> {
    /** Whether the request can run there now. */
    readonly fitsNow: (state: State, demand: Demand, now: Milliseconds) => boolean;
    /** Expected time from its start there to its first event. */
    readonly estimateFirstEvent: (state: State, demand: Demand, now: Milliseconds) => Milliseconds;
    /** Expected time until there is room for it, if no other request comes; 0 where it fits now. */
    readonly estimateRoom: (state: State, demand: Demand, now: Milliseconds) => Milliseconds;
}

/** An engine of which only its requests and slots are counted. */
export interface SlotState {
    readonly slots: number;
    /** Requests that run there or are on their way. */
    readonly running: number;
    /** Mean time for which a request has a slot. */
    readonly meanDuration: Milliseconds;
}

/** A request of which only the time is known that its sender keeps for the engine. */
export interface SlotDemand {
    /** Part of the objective that is kept from the start on the engine to the first event. */
    readonly firstEvent: Milliseconds;
}

/** Part of the pace that is counted for a request even if more urgent ones arrive faster than places become free. */
const minimumRemainingPace = 0.05;

/** Estimates by requests per slot and the mean duration of a request. */
export const slotRoomEstimator: RoomEstimator<SlotState, SlotDemand> = {
    fitsNow: ({ slots, running }) => running < slots,
    estimateFirstEvent: (state, { firstEvent }) => firstEvent,
    estimateRoom: ({ slots, running, meanDuration }) =>
        running < slots ? 0 : meanDuration * (Math.floor(running - slots) + 1) / Math.max(1, slots),
};

/**
 * Merges the estimates of several engines, each of which has room at times that don't depend on the others.
 *
 * @param estimates - expected times until each of them has room
 * @returns expected time until one of them has; infinite without engines
 */
export function mergeRoomEstimates(estimates: readonly Milliseconds[]): Milliseconds {
    const pace = estimates.reduce((sum, estimate) => sum + 1 / Math.max(0, estimate), 0);
    return 1 / pace;
}

/**
 * Estimates the wait of a request in a queue for room.
 *
 * @param ahead - requests that go before it: queued ones, and those that take their place when a load has ended
 * @param interval - mean time between two places that become free
 * @param urgentPerSecond - requests a second that will arrive and go before it
 * @returns the wait
 */
export function estimateQueueWait(ahead: number, interval: Milliseconds, urgentPerSecond: number): Milliseconds {
    if (!Number.isFinite(interval)) {
        return Number.POSITIVE_INFINITY;
    }
    const taken = urgentPerSecond * interval / 1_000;
    return (ahead + 1) * interval / Math.max(minimumRemainingPace, 1 - taken);
}
