/**
 * Witnesses of an epoch: the few members whose word renews leases and puts later epochs into effect.
 *
 * @packageDocumentation
 */
import { type FailureDomainId, type InstanceId, rankByRendezvous } from "../shared/index.js";

/** Most witnesses of an epoch; it loses any three of them and still has a majority. */
export const maximumWitnesses = 7;

/** A member as far as the choice of witnesses goes. */
export interface WitnessCandidate {
    readonly instance: InstanceId;
    readonly failureDomain: FailureDomainId;
}

/**
 * Chooses the witnesses of an epoch, spread over the failure domains; every reader chooses alike.
 *
 * @param members - the epoch's members
 * @returns the witnesses' ids
 */
export function chooseWitnesses(members: Iterable<WitnessCandidate>): readonly InstanceId[] {
    const failureDomains = new Map([...members].map(member => [member.instance, member.failureDomain]));
    const taken = new Map<FailureDomainId, number>();
    // the place in the own domain goes first, so that no domain gives two before each has given one
    const ranked = rankByRendezvous("witnesses", [...failureDomains.keys()]).map((instance, rank) => {
        const domain = failureDomains.get(instance)!;
        const rankInDomain = taken.get(domain) ?? 0;
        taken.set(domain, rankInDomain + 1);
        return { instance, rankInDomain: rankInDomain, rank };
    });
    ranked.sort((left, right) => left.rankInDomain - right.rankInDomain || left.rank - right.rank);
    return ranked.slice(0, maximumWitnesses).map(entry => entry.instance);
}

/**
 * Counts the witnesses that make a majority.
 *
 * @param witnesses - the witnesses of an epoch
 * @returns how many are needed
 */
export function countMajority(witnesses: readonly InstanceId[]): number {
    return Math.floor(witnesses.length / 2) + 1;
}
