/**
 * Counting of the replicas' responses to a claim until the result of the round is certain.
 *
 * @packageDocumentation
 */
import type { AtMostOnceMessage, ExecutionClaim } from "./atMostOnceMessages.js";
import { mergeClaims } from "./executionClaims.js";
import { countWriteQuorum } from "./replicaGroups.js";

/** Result of one round, in which a claim is sent to all replicas of its group. */
export type ClaimRoundResult =
    | { readonly kind: "won"; }
    /** Other claims block this one; `isLost` means that so many replicas refused it that it can't win in this round. */
    | { readonly kind: "held"; readonly claims: readonly ExecutionClaim[]; readonly isLost: boolean; }
    /** Too few replicas granted the claim, and none of them reported a claim that blocks it. */
    | { readonly kind: "undecided"; };

/** Counter of the responses of one round. */
export interface GrantTally {
    /** Adds a replica's response, `undefined` if none came; returns the result of the round once it is certain. */
    readonly add: (answer: AtMostOnceMessage | undefined) => ClaimRoundResult | undefined;
}

/**
 * Creates a counter for one round.
 *
 * @param groupSize - number of replicas to which the claim is sent
 * @returns a counter that has no responses yet
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
