/**
 * Counts the answers of a claim's holders, up to the point at which the round is certain.
 *
 * @packageDocumentation
 */
import type { AtMostOnceMessage, ExecutionClaim } from "./atMostOnceMessages.js";
import { mergeClaims } from "./executionClaims.js";
import { countWriteQuorum } from "./replicaGroups.js";

/** End of a round. */
export type ClaimRoundResult =
    | { readonly kind: "won"; }
    | { readonly kind: "held"; readonly claims: readonly ExecutionClaim[]; readonly isLost: boolean; }
    | { readonly kind: "undecided"; };

/** Count of one round. */
export interface GrantTally {
    /** Adds one holder's answer; returns the round's end once it is certain. */
    readonly add: (answer: AtMostOnceMessage | undefined) => ClaimRoundResult | undefined;
}

/**
 * Creates the count.
 *
 * @param groupSize - holders that are asked
 * @returns a count without answers
 */
export function createGrantTally(groupSize: number): GrantTally {
    let granted = 0;
    let held = 0;
    let answered = 0;
    let claims: readonly ExecutionClaim[] = [];
    return {
        add: answer => {
            answered++;
            if (answer?.kind === "granted") {
                granted++;
            }
            if (answer?.kind === "held") {
                held++;
                claims = mergeClaims(claims, answer.claims);
            }
            if (granted >= countWriteQuorum(groupSize)) {
                return { kind: "won" };
            }
            const isLost = groupSize - held < countWriteQuorum(groupSize);
            if (held > 0 && (isLost || answered === groupSize)) {
                return { kind: "held", claims, isLost };
            }
            return answered === groupSize ? { kind: "undecided" } : undefined;
        },
    };
}
