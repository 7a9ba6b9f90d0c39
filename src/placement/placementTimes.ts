/**
 * Intervals and timeouts that the decision modules of placement share.
 *
 * @packageDocumentation
 */
import { longestDeadlineMilliseconds, type Milliseconds } from "../shared/index.js";

/** Intervals and timeouts of placement. */
export interface PlacementTimes {
    /** How long a use lease is valid, counted from the request for it. */
    readonly leaseDuration: Milliseconds;
    /**
     * Interval between two renewals of use leases; also the shortest time between two prefetches and between two
     * cleanups.
     */
    readonly renewInterval: Milliseconds;
    /** Time without a request on a load after which its use lease is not renewed. */
    readonly leaseIdleTimeout: Milliseconds;
    /** Longest time from the dispatch of a request to its end. */
    readonly maximumRequestDuration: Milliseconds;
    /** Longest time between two messages with an engine's table or its changes. */
    readonly tableInterval: Milliseconds;
    /** Interval at which an owner sends the full table to all instances; in between it sends only changes. */
    readonly fullTableInterval: Milliseconds;
    /** Time without a table from an engine's owner after which the engine isn't used. */
    readonly tableTimeout: Milliseconds;
    /** Interval at which an owner polls the report of its engine. */
    readonly reportInterval: Milliseconds;
    /** How old the contents of an engine's report may be when the engine returns it. */
    readonly maximumReportLag: Milliseconds;
    /** Time after which an unanswered message or a failed order to unload is sent again. */
    readonly retryInterval: Milliseconds;
    /** How long a new owner waits for the remaining members once a quorum has answered. */
    readonly collectTimeout: Milliseconds;
    /** How long a new owner waits for a quorum. After it, the owner evicts all loads that it found on the engine. */
    readonly quorumTimeout: Milliseconds;
    /** Longest time that an order may take to reach its engine. */
    readonly maximumOrderDelay: Milliseconds;
    /** Interval at which an instance reports its demand to the planners. */
    readonly demandInterval: Milliseconds;
    /** Time after which the last demand of an instance, or a load that the planner no longer requests, is dropped. */
    readonly demandTimeout: Milliseconds;
}

/** Defaults for instances whose network round trip takes a few milliseconds. */
export const defaultPlacementTimes: PlacementTimes = {
    leaseDuration: 5_000,
    renewInterval: 1_000,
    leaseIdleTimeout: 10_000,
    maximumRequestDuration: longestDeadlineMilliseconds,
    tableInterval: 500,
    fullTableInterval: 10_000,
    tableTimeout: 5_000,
    reportInterval: 500,
    maximumReportLag: 2_000,
    retryInterval: 200,
    collectTimeout: 500,
    quorumTimeout: 3_000,
    maximumOrderDelay: 600_000,
    demandInterval: 200,
    demandTimeout: 3_000,
};
