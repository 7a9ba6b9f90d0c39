/**
 * Retry policy for requests that may be retried: a retry budget for each route, and an exponential backoff with jitter.
 *
 * @packageDocumentation
 */
import type { BackendError } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";

/** Retry budget of a route, which limits the retries to a ratio of the first attempts. */
export interface RetryBudget {
    /** Number of retries that the route may make now; a first attempt adds the retry ratio, a retry takes its cost. */
    readonly credit: number;
}

/** Largest number of attempts of one request, including the first one. */
export const maximumAttempts = 4;

const maximumRetryCredit = 10;
const initialBackoffMilliseconds = 20;
const maximumBackoffMilliseconds = 1_000;

/** Budget of a route that has no credit yet. */
export const emptyRetryBudget: RetryBudget = { credit: 0 };

/**
 * Adds the credit for the first attempt of a request.
 *
 * @param budget - the route's budget
 * @param retryRatio - allowed number of retries per first attempt
 * @returns the new budget, limited to a maximum credit
 */
export function addFirstAttempt(budget: RetryBudget, retryRatio: number): RetryBudget {
    return { credit: Math.min(maximumRetryCredit, budget.credit + retryRatio) };
}

/**
 * Takes the cost of a retry from the budget.
 *
 * @param budget - the route's budget
 * @param cost - cost of the retry, from `computeRetryCost`
 * @returns the new budget; `undefined` when the credit is lower than the cost
 */
export function takeRetryCredit(budget: RetryBudget, cost: number): RetryBudget | undefined {
    // rounding makes a sum of fractions such as ten times 0.1 slightly less than a whole number
    const roundingTolerance = 1e-9;
    return budget.credit + roundingTolerance >= cost ? { credit: Math.max(0, budget.credit - cost) } : undefined;
}

/**
 * Computes the cost of a retry. It is free if the server did no work for the request, because then another server does
 * the work for the first time. A refusal by an overloaded server costs 1 all the same, so that the retry budget also
 * limits the retries that an overload causes.
 *
 * @param error - error of the last attempt
 * @returns 0 or 1
 */
export function computeRetryCost(error: BackendError): number {
    switch (error.kind) {
        case "notSent":
            return 0;
        case "refused":
            return error.reason === "overloaded" ? 1 : 0;
        case "broken":
        case "mismatched":
        case "failed":
        case "aborted":
            return 1;
    }
}

/**
 * Tells whether a retry may succeed after an error. Whether the request may run twice is not checked here.
 *
 * @param error - error of the last attempt
 * @returns false if the attempt was aborted or every server would refuse the request
 */
export function isRetriable(error: BackendError): boolean {
    switch (error.kind) {
        case "notSent":
        case "broken":
        case "mismatched":
        case "failed":
            return true;
        case "refused":
            return error.reason !== "badRequest";
        case "aborted":
            return false;
    }
}

/**
 * Computes the delay before a retry: a random part of an exponentially growing bound (full jitter), added to the delay
 * that the server asked for, if any.
 *
 * @param attempts - number of attempts so far
 * @param error - error of the last attempt
 * @param jitter - random number, at least 0 and below 1
 * @returns milliseconds to wait
 */
export function computeBackoff(attempts: number, error: BackendError, jitter: number): Milliseconds {
    const bound = Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** Math.max(0, attempts - 1));
    const asked = error.kind === "refused" ? error.retryAfter ?? 0 : 0;
    return asked + jitter * bound;
}
