/**
 * Lists of claims of one key, as several holders know them.
 *
 * @packageDocumentation
 */
import type { ExecutionClaim } from "./atMostOnceMessages.js";

/**
 * Tells whether a claim has ended without a run, so that another may take its place.
 *
 * @param claim - the claim
 * @returns true only when its coordinator said so
 */
export function isSettledNotRun(claim: ExecutionClaim): boolean {
    return claim.result?.outcome.kind === "notRun";
}

/**
 * Merges two lists of a key's claims. Claims that may have run are all kept: each blocks the others.
 *
 * @param left - one list
 * @param right - the other list
 * @returns each claim once, a settled state before an open one; of those that did not run, one at most and only alone
 */
export function mergeClaims(
    left: readonly ExecutionClaim[],
    right: readonly ExecutionClaim[],
): readonly ExecutionClaim[] {
    const merged = new Map(left.map(claim => [claim.claimId, claim]));
    for (const claim of right) {
        const known = merged.get(claim.claimId);
        merged.set(claim.claimId, known?.result ? known : claim);
    }
    const claims = [...merged.values()];
    const open = claims.filter(claim => !isSettledNotRun(claim));
    return open.length > 0 ? open : claims.slice(-1);
}
