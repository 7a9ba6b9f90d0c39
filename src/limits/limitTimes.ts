/**
 * Times and bounds of the exchange of units between instances.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { ResourceKind } from "./localBucket.js";

/** Settings of the exchange. */
export interface LimitTimes {
    /** Longest wait for tokens before a refusal. @default 2_000 */
    readonly longestWait: Milliseconds;
    /** Life of a loan of tokens. @default 1_000 */
    readonly loanLifetime: Milliseconds;
    /** A grant that is valid for less than this is not worth sending. @default 100 */
    readonly shortestGrantValidity: Milliseconds;
    /** Wait for a pooling instance's first answer. @default 300 */
    readonly drawTimeout: Milliseconds;
    /** Wait for a lender's answer. @default 200 */
    readonly borrowTimeout: Milliseconds;
    /** How long a member that did not answer is left alone. @default 2_000 */
    readonly silentMemberBackoff: Milliseconds;
    /** Least time between two rounds of borrowing for one resource, for each lender asked. @default 10 */
    readonly borrowIntervalPerLender: Milliseconds;
    /** Time after which lenders are asked again though they should have nothing yet. @default 400 */
    readonly lenderRefreshInterval: Milliseconds;
    /** Time in which a load permit has to be used. @default 500 */
    readonly permitStartTimeout: Milliseconds;
    /** Longest time that a load is in flight. @default 4_000 */
    readonly longestLoadDuration: Milliseconds;
    /** Time after which a request's unspent tokens don't come back. @default 60_000 */
    readonly longestRequestDuration: Milliseconds;
    /** Most members asked in one round of borrowing. @default 16 */
    readonly lendersPerRound: number;
    /** Part of a slice below which requests go to the pooling instance. @default 0.5 */
    readonly localFloorRatio: number;
    /** Largest difference between the rates of two monotonic clocks. @default 0.001 */
    readonly clockDrift: number;
}

/** The defaults. */
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
 * Shortens a time that a peer told, so that it ends here before it ends there.
 *
 * @param sentAt - when this instance asked
 * @param validFor - time that the peer granted from its receipt of the question
 * @param clockDrift - largest difference between the rates of two clocks
 * @returns the time up to which this instance may rely on it
 */
export function computeValidUntil(sentAt: Milliseconds, validFor: Milliseconds, clockDrift: number): Milliseconds {
    return sentAt + validFor * (1 - clockDrift);
}

/** For how long units of a loan or a grant may be spent, and for how long some may come back. */
export interface LoanLifetime {
    readonly spendFor: Milliseconds;
    readonly returnFor: Milliseconds;
}

/**
 * Computes for how long units are lent.
 *
 * @param kind - what becomes of the units
 * @param times - times of the exchange
 * @returns the life of a loan
 */
export function computeLoanLifetime(kind: ResourceKind, times: LimitTimes): LoanLifetime {
    switch (kind) {
        case "consumed":
            return { spendFor: times.loanLifetime, returnFor: times.loanLifetime };
        case "settled":
            return { spendFor: times.loanLifetime, returnFor: times.longestRequestDuration };
        case "returned": {
            // a place has to outlive the permit and the load
            const lifetime = times.permitStartTimeout + times.longestLoadDuration + times.loanLifetime;
            return { spendFor: lifetime, returnFor: lifetime };
        }
    }
}
