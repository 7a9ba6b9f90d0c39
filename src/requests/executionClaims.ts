/**
 * Merging of the claims under one idempotency key that several replicas report.
 *
 * @packageDocumentation
 */
import type { ExecutionClaim } from "./atMostOnceMessages.js";

/**
 * Tells whether a claim ended without running its request, so that another claim may be granted.
 *
 * @param claim - the claim
 * @returns true only if the claim's coordinator has reported this result
 */
export function isSettledNotRun(claim: ExecutionClaim): boolean {
    return claim.result?.outcome.kind === "notRun";
}

/**
 * Merges two lists of claims under the same key. All claims that may have run are kept, because each of them blocks
 * further grants.
 *
 * @param left - claims of one source
 * @param right - claims of the other source
 * @returns each claim once, with its result if one of the lists has it; claims that did not run are left out, except
 * for one of them when no other claim remains
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
