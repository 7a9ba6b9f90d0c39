/**
 * Epochs as the other parts see them.
 *
 * @packageDocumentation
 */
import { compareText, type Milliseconds } from "../shared/index.js";
import type { AgreedEpoch } from "./ownershipState.js";
import type { MemberEpoch } from "./types.js";

/**
 * Creates the view of an epoch.
 *
 * @param agreed - what the log agrees on
 * @param gainsAllowedAt - time from which its gains may be used here
 * @returns the epoch
 */
export function createMemberEpoch(agreed: AgreedEpoch, gainsAllowedAt: Milliseconds): MemberEpoch {
    const { number, members, previousMembers } = agreed;
    return {
        number,
        gainsAllowedAt: gainsAllowedAt,
        members: members.map(member => member.instance).sort(compareText),
        failureDomains: new Map(members.map(member => [member.instance, member.failureDomain])),
        ...(previousMembers ? { previousMembers } : {}),
    };
}
