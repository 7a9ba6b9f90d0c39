/**
 * Decides which shards an instance claims and releases. Rendezvous hashing over the live members determines the desired
 * owner of each shard.
 *
 * @packageDocumentation
 */
import { compareText, hashForPlacement, type InstanceId, type Milliseconds } from "../shared/index.js";
import type { ShardVersion } from "./ownershipRecords.js";
import { type OwnershipState, readShard } from "./ownershipState.js";
import type { ShardId } from "./types.js";

/** Table of the rendezvous owner of each shard. An update hashes only what a change of members or shards requires. */
export interface DesiredOwners {
    readonly update: (members: ReadonlySet<InstanceId>, shards: ReadonlySet<ShardId>) => void;
    /** Returns the desired owner of a shard; `undefined` for an unknown shard or while there are no members. */
    readonly find: (shard: ShardId) => InstanceId | undefined;
}

interface ScoredOwner {
    readonly owner: InstanceId;
    readonly score: bigint;
}

/**
 * Creates a table of desired owners.
 *
 * @returns an empty table, which the caller owns and updates
 */
export function createDesiredOwners(): DesiredOwners {
    const owners = new Map<ShardId, ScoredOwner>();
    let knownMembers: ReadonlySet<InstanceId> = new Set();
    return {
        update: (members, shards) => {
            const joinedMembers = [...members].filter(member => !knownMembers.has(member));
            for (const shard of owners.keys()) {
                if (!shards.has(shard)) {
                    owners.delete(shard);
                }
            }
            for (const shard of shards) {
                const current = owners.get(shard);
                const ownerRemains = current !== undefined && members.has(current.owner);
                const best = chooseBestOwner(
                    shard,
                    ownerRemains ? joinedMembers : members,
                    ownerRemains ? current : undefined,
                );
                if (best) {
                    owners.set(shard, best);
                }
                else {
                    owners.delete(shard);
                }
            }
            knownMembers = new Set(members);
        },
        find: shard => owners.get(shard)?.owner,
    };
}

// finds the instance that rankByRendezvous would rank first, without sorting all candidates
function chooseBestOwner(
    shard: ShardId,
    candidates: Iterable<InstanceId>,
    initialBest: ScoredOwner | undefined,
): ScoredOwner | undefined {
    let best = initialBest;
    for (const owner of candidates) {
        const score = hashForPlacement(`${shard}\n${owner}`);
        const isBetter = !best || score > best.score || (score === best.score && compareText(owner, best.owner) < 0);
        best = isBetter ? { owner, score } : best;
    }
    return best;
}

/** Inputs of the decision which shards to claim and release. */
export interface ClaimInputs {
    readonly self: InstanceId;
    readonly state: OwnershipState;
    /** All shards that currently exist. */
    readonly shards: ReadonlySet<ShardId>;
    readonly desiredOwners: Pick<DesiredOwners, "find">;
    /** Shards that this instance releases without delay if it owns them. */
    readonly shardsToRelease: ReadonlySet<ShardId>;
    /** For each owned shard with another desired owner: the time since which this has been so. */
    readonly misplacedSince: ReadonlyMap<ShardId, Milliseconds>;
}

/** The shards to claim and to release now, with the versions that this instance has read. */
export interface ClaimDecision {
    readonly claims: readonly ShardVersion[];
    readonly releases: readonly ShardVersion[];
    /** Input of the next decision. */
    readonly misplacedSince: ReadonlyMap<ShardId, Milliseconds>;
}

/** Delay before an owner releases a shard to its desired owner, so that a short absence of a member moves no shard. */
export const handoverDelayMilliseconds = 2_000;

/** Delay before an owner releases a shard that no longer exists; most such shards return under the same name. */
const absentShardDelayMilliseconds = 30_000;

/**
 * Decides which shards an instance claims and which ones it releases. It claims a shard without an owner if it is the
 * desired owner.
 *
 * @param inputs - ownership state, existing shards and their desired owners
 * @param now - current monotonic time
 * @returns shards to claim, shards to release, and `misplacedSince` for the next decision
 */
export function decideClaims(inputs: ClaimInputs, now: Milliseconds): ClaimDecision {
    const { self, state, desiredOwners } = inputs;
    const claims: ShardVersion[] = [];
    for (const shard of inputs.shards) {
        const { owner, version } = readShard(state, shard);
        if (owner === undefined && desiredOwners.find(shard) === self) {
            claims.push({ shard, version });
        }
    }
    const releases: ShardVersion[] = [];
    const misplacedSince = new Map<ShardId, Milliseconds>();
    for (const [shard, { owner, version }] of state.shards) {
        if (owner !== self) {
            continue;
        }
        if (inputs.shardsToRelease.has(shard)) {
            releases.push({ shard, version });
        }
        else if (desiredOwners.find(shard) !== self) {
            const since = inputs.misplacedSince.get(shard) ?? now;
            misplacedSince.set(shard, since);
            const delay = inputs.shards.has(shard) ? handoverDelayMilliseconds : absentShardDelayMilliseconds;
            if (now - since >= delay) {
                releases.push({ shard, version });
            }
        }
    }
    return { claims, releases, misplacedSince };
}
