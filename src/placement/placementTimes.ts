/**
 * Times and limits that the deciding functions of placement share.
 *
 * @packageDocumentation
 */
import { longestDeadlineMilliseconds, type Milliseconds } from "../shared/index.js";

/** Times and limits of placement. */
export interface PlacementTimes {
    /** How long a use lease lasts. */
    readonly leaseDuration: Milliseconds;
    readonly renewInterval: Milliseconds;
    /** Time without a request after which a use lease is not renewed. */
    readonly leaseIdleTimeout: Milliseconds;
    /** Longest time from a request's dispatch to its end. */
    readonly maximumRequestDuration: Milliseconds;
    readonly tableInterval: Milliseconds;
    /** Time after which an owner sends its table whole to all again; between, it sends changes. */
    readonly fullTableInterval: Milliseconds;
    /** Time after which an owner's silence means that its engine can't be used. */
    readonly tableTimeout: Milliseconds;
    readonly reportInterval: Milliseconds;
    /** How old an engine's report may be when it is given. */
    readonly maximumReportLag: Milliseconds;
    /** Wait before a question or an order is repeated. */
    readonly retryInterval: Milliseconds;
    /** How long a new owner waits for members that don't answer when a quorum has. */
    readonly collectTimeout: Milliseconds;
    /** How long a new owner waits for a quorum before it gives up what it found on the engine. */
    readonly quorumTimeout: Milliseconds;
    /** Longest time that an order may be under way. */
    readonly maximumOrderDelay: Milliseconds;
    readonly demandInterval: Milliseconds;
    /** Time after which a silent instance's demand, or an unacknowledged load, counts no more. */
    readonly demandTimeout: Milliseconds;
}

/** Times that suit instances a few milliseconds apart. */
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
