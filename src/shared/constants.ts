/**
 * Limits that several parts of the instance must share.
 *
 * @packageDocumentation
 */

/**
 * Longest deadline that a route may have. After an instance is lost, the adapters that it may have been using stay
 * loaded for this time, so a higher limit keeps adapter slots occupied for longer.
 */
export const longestDeadlineMilliseconds = 600_000;
