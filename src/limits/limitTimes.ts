/**
 * Durations and bounds of the protocol by which instances lend units to one another.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { ResourceKind } from "./localBucket.js";

/** Durations and bounds of lending and granting. */
export interface LimitTimes {
    /** Longest time that a draw waits for units before it is refused. @default 2_000 */
    readonly longestWait: Milliseconds;
    /**
     * Time for which lent units may be spent; in-flight slots are lent for longer, see `computeLoanLifetime`.
     * @default 1_000
     */
    readonly loanLifetime: Milliseconds;
    /** Units that are valid for less than this are not granted, because they could expire on the way. @default 100 */
    readonly shortestGrantValidity: Milliseconds;
    /** Time to wait for a coordinator's first answer to a draw. @default 300 */
    readonly drawTimeout: Milliseconds;
    /** Time to wait for a lender's answer to a loan request. @default 200 */
    readonly borrowTimeout: Milliseconds;
    /**
     * Time for which a member gets no further draws or loan requests after it did not answer or had no usable share to
     * lend from. @default 2_000
     */
    readonly silentMemberBackoff: Milliseconds;
    /**
     * Shortest time between two borrowing rounds for one resource; multiplied by the number of lenders while units are
     * short. @default 10
     */
    readonly borrowIntervalPerLender: Milliseconds;
    /** Time after which lenders are asked again even if their estimated levels are too low. @default 400 */
    readonly lenderRefreshInterval: Milliseconds;
    /** Time within which a load permit, or a granted unit of the load rate, must be used. @default 500 */
    readonly permitStartTimeout: Milliseconds;
    /** Longest time that a load stays in flight. @default 4_000 */
    readonly longestLoadDuration: Milliseconds;
    /** Time after which a request's unspent tokens can no longer be returned. @default 60_000 */
    readonly longestRequestDuration: Milliseconds;
    /** Largest number of members asked in one borrowing round. @default 16 */
    readonly lendersPerRound: number;
    /**
     * Fraction of the local bucket's capacity that local draws leave in the bucket. A draw that would leave less goes
     * to the coordinator. @default 0.5
     */
    readonly localFloorRatio: number;
    /** Largest relative difference between the rates of two monotonic clocks. @default 0.001 */
    readonly clockDrift: number;
}

/** Values for all durations and bounds that are not overridden. */
export const defaultLimitTimes: LimitTimes = {
    longestWait: 2_000,
    loanLifetime: 1_000,
    shortestGrantValidity: 100,
    drawTimeout: 300,
    borrowTimeout: 200,
    silentMemberBackoff: 2_000,
    borrowIntervalPerLender: 10,
    lenderRefreshInterval: 400,
    permitStartTimeout: 500,
    longestLoadDuration: 4_000,
    longestRequestDuration: 60_000,
    lendersPerRound: 16,
    localFloorRatio: 0.5,
    clockDrift: 0.001,
};

/**
 * Converts a duration granted by a peer into a local point in time. The result is never later than the time at which
 * the grant ends on the peer: it is counted from the sending of the request, and shortened by the clock drift.
 *
 * @param sentAt - local monotonic time at which this instance sent the request
 * @param validFor - duration that the peer granted, counted from when it received the request
 * @param clockDrift - largest relative difference between the rates of two clocks
 * @returns local monotonic time until which this instance may rely on the grant
 */
export function computeValidUntil(sentAt: Milliseconds, validFor: Milliseconds, clockDrift: number): Milliseconds {
    return sentAt + validFor * (1 - clockDrift);
}

/** How long lent or granted units may be used, counted from the time of lending. */
export interface LoanLifetime {
    /** Time within which the units may be spent. */
    readonly spendFor: Milliseconds;
    /** Time within which unspent units may be returned. */
    readonly returnFor: Milliseconds;
}

/**
 * Computes how long units of a resource are lent.
 *
 * @param kind - kind of the resource
 * @param times - durations of the protocol
 * @returns the durations of a loan, not yet limited by the lender's lease
 */
export function computeLoanLifetime(kind: ResourceKind, times: LimitTimes): LoanLifetime {
    switch (kind) {
        case "consumed":
            return { spendFor: times.loanLifetime, returnFor: times.loanLifetime };
        case "settled":
            return { spendFor: times.loanLifetime, returnFor: times.longestRequestDuration };
        case "returned": {
            // a slot has to outlast both the permit and the load that it starts
            const lifetime = times.permitStartTimeout + times.longestLoadDuration + times.loanLifetime;
            return { spendFor: lifetime, returnFor: lifetime };
        }
    }
}
