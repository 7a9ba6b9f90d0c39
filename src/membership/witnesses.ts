/**
 * Witnesses of an epoch: the few members whose responses renew leases while the log is unavailable, and of whom a
 * majority must have read the next epoch before it takes effect.
 *
 * @packageDocumentation
 */
import { type FailureDomainId, type InstanceId, rankByRendezvous } from "../shared/index.js";

/** Maximum number of witnesses of an epoch; with 7, a majority remains after the loss of any three. */
export const maximumWitnesses = 7;

/** Fields of a member that the choice of witnesses depends on. */
export interface WitnessCandidate {
    readonly instance: InstanceId;
    readonly failureDomain: FailureDomainId;
}

/**
 * Chooses the witnesses of an epoch, spread over the failure domains. Every reader chooses the same ones.
 *
 * @param members - members of the epoch
 * @returns ids of the witnesses, all members if there are at most {@link maximumWitnesses}
 */
export function chooseWitnesses(members: Iterable<WitnessCandidate>): readonly InstanceId[] {
    const failureDomains = new Map([...members].map(member => [member.instance, member.failureDomain]));
    const taken = new Map<FailureDomainId, number>();
    // ordered by the rank within the failure domain first, so that each domain has one witness before any has two
    const ranked = rankByRendezvous("witnesses", [...failureDomains.keys()]).map((instance, rank) => {
        const domain = failureDomains.get(instance)!;
        const rankInDomain = taken.get(domain) ?? 0;
        taken.set(domain, rankInDomain + 1);
        return { instance, rankInDomain, rank };
    });
    ranked.sort((left, right) => left.rankInDomain - right.rankInDomain || left.rank - right.rank);
    return ranked.slice(0, maximumWitnesses).map(entry => entry.instance);
}

/**
 * Computes the size of a majority.
 *
 * @param witnesses - all witnesses of an epoch
 * @returns least number of witnesses that is more than half; 1 for an empty list
 */
export function countMajority(witnesses: readonly InstanceId[]): number {
    return Math.floor(witnesses.length / 2) + 1;
}
