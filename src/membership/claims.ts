/**
 * Which shards an instance claims and gives up: rendezvous hashing over the live members names the owner.
 *
 * @packageDocumentation
 */
import { compareText, hashForPlacement, type InstanceId, type Milliseconds } from "../shared/index.js";
import type { ShardVersion } from "./ownershipRecords.js";
import { type OwnershipState, readShard } from "./ownershipState.js";
import type { ShardId } from "./types.js";

/** Keeps the rendezvous owner of each shard, and hashes only what a change of members or shards asks for. */
export interface DesiredOwners {
    readonly update: (members: ReadonlySet<InstanceId>, shards: ReadonlySet<ShardId>) => void;
    readonly find: (shard: ShardId) => InstanceId | undefined;
}

interface ScoredOwner {
    readonly owner: InstanceId;
    readonly score: bigint;
}

/**
 * Creates the table without members and shards.
 *
 * @returns the table
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

// the same order as rankByRendezvous, without sorting all candidates for the sake of the first
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

/** What decides an instance's claims. */
export interface ClaimInputs {
    readonly self: InstanceId;
    readonly state: OwnershipState;
    readonly shards: ReadonlySet<ShardId>;
    readonly desiredOwners: Pick<DesiredOwners, "find">;
    /** Shards that this instance is giving up. */
    readonly shardsToRelease: ReadonlySet<ShardId>;
    /** Since when another instance should own a shard of this one, for each such shard. */
    readonly misplacedSince: ReadonlyMap<ShardId, Milliseconds>;
}

/** What an instance should append now. */
export interface ClaimDecision {
    readonly claims: readonly ShardVersion[];
    readonly releases: readonly ShardVersion[];
    readonly misplacedSince: ReadonlyMap<ShardId, Milliseconds>;
}

/** A shard is given up only after this time, so that a short absence moves nothing. */
export const handoverDelayMilliseconds = 2_000;

/** A shard that is no longer there is given up after this time; most come back under the same name. */
const absentShardDelayMilliseconds = 30_000;

/**
 * Decides which shards to claim and which to give up.
 *
 * @param inputs - the state, the shards there are, and who should own them
 * @param now - present time
 * @returns both lists, and the memory for the next decision
 */
export function decideClaims(inputs: ClaimInputs, now: Milliseconds): ClaimDecision {
    const { self, state, desiredOwners: desiredOwners } = inputs;
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
    return { claims, releases, misplacedSince: misplacedSince };
}
