/**
 * When a request that may be repeated is tried again: a budget for each route, and a back-off with jitter.
 *
 * @packageDocumentation
 */
import type { BackendError } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";

/** Retries that a route has earned; each first try earns a part of one. */
export interface RetryBudget {
    readonly credit: number;
}

/** Tries of one request, the first included. */
export const maximumAttempts = 4;

const maximumRetryCredit = 10;
const initialBackoffMilliseconds = 20;
const maximumBackoffMilliseconds = 1_000;

/** A budget that has earned nothing yet. */
export const emptyRetryBudget: RetryBudget = { credit: 0 };

/**
 * Adds what a first try earns.
 *
 * @param budget - the route's budget
 * @param retryRatio - part of the first tries that may be repeated
 * @returns the new budget
 */
export function addFirstAttempt(budget: RetryBudget, retryRatio: number): RetryBudget {
    return { credit: Math.min(maximumRetryCredit, budget.credit + retryRatio) };
}

/**
 * Takes the cost of a retry.
 *
 * @param budget - the route's budget
 * @param cost - from `measureRetryCost`
 * @returns the new budget, or `undefined` when it doesn't suffice
 */
export function takeRetryCredit(budget: RetryBudget, cost: number): RetryBudget | undefined {
    // sums of tenths fall short of whole numbers by rounding
    const roundingTolerance = 1e-9;
    return budget.credit + roundingTolerance >= cost ? { credit: Math.max(0, budget.credit - cost) } : undefined;
}

/**
 * Tells what a further try costs. A server that took no part in the work adds none, so that sending the request
 * elsewhere is no repetition: the work is still done once.
 *
 * @param error - how the last try ended
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
 * Tells whether the kind of error allows another try of a request that may be repeated.
 *
 * @param error - how the last try ended
 * @returns false for errors that would come again
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
 * Computes the wait before a try: full jitter under an exponential bound, and never less than the server asked for.
 *
 * @param attempts - tries so far
 * @param error - how the last one ended
 * @param jitter - random number from 0 to 1
 * @returns the wait
 */
export function computeBackoff(attempts: number, error: BackendError, jitter: number): Milliseconds {
    const bound = Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** Math.max(0, attempts - 1));
    const asked = error.kind === "refused" ? error.retryAfter ?? 0 : 0;
    return asked + jitter * bound;
}
