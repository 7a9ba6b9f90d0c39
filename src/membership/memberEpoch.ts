/**
 * Converts the epochs of the ownership state to the form that the other parts read.
 *
 * @packageDocumentation
 */
import { compareText, type Milliseconds } from "../shared/index.js";
import type { AgreedEpoch } from "./ownershipState.js";
import type { MemberEpoch } from "./types.js";

/**
 * Creates the public form of an epoch.
 *
 * @param agreed - epoch as computed from the log
 * @param gainsAllowedAt - monotonic time from which on this instance may use what it gains by the epoch
 * @returns the epoch, with its members sorted by id
 */
export function createMemberEpoch(agreed: AgreedEpoch, gainsAllowedAt: Milliseconds): MemberEpoch {
    const { number, members, previousMembers } = agreed;
    return {
        number,
        gainsAllowedAt,
        members: members.map(member => member.instance).sort(compareText),
        failureDomains: new Map(members.map(member => [member.instance, member.failureDomain])),
        ...(previousMembers ? { previousMembers } : {}),
    };
}
