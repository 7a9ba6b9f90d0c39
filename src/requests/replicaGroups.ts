/**
 * Placement of records: idempotency keys are hashed into partitions, and a small group of instances stores replicas of
 * each partition's records.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { createHash } from "node:crypto";
import type { MemberEpoch } from "../membership/index.js";
import { compareText, hashForPlacement, type InstanceId } from "../shared/index.js";
import type { ServiceCall } from "./types.js";

/** Number of partitions; must be the same on every instance. */
export const partitionCount = 256;

/** Number of replicas of a partition; it is smaller only when the epoch has fewer members. */
export const replicaGroupSize = 3;

/** Fields of an epoch that determine the replica groups. */
export type EpochMembership = Pick<MemberEpoch, "members" | "failureDomains">;

interface ReplicaCandidate {
    readonly member: InstanceId;
    readonly domain: string;
    readonly scores: Float64Array;
}

interface ReplicaGroupTable {
    readonly candidates: readonly ReplicaCandidate[];
    readonly groups: (readonly InstanceId[])[];
}

// cached, because every claim looks up a group; the epoch object is the key, since an epoch never changes
const groupTablesByEpoch = new WeakMap<EpochMembership, ReplicaGroupTable>();

/**
 * Finds the partition of a record.
 *
 * @param key - the record's key, from `computeRecordKey`
 * @returns number of the partition, from 0 to `partitionCount` - 1
 */
export function findPartition(key: string): number {
    return Number(hashForPlacement(key) % BigInt(partitionCount));
}

/**
 * Chooses the replicas of a partition by rendezvous hashing. Each one is in a different failure domain as long as there
 * are enough failure domains. All instances choose the same group, because members and failure domains are part of the
 * agreed epoch.
 *
 * @param partition - number of the partition
 * @param epoch - agreed members and their failure domains
 * @returns ids of the replicas in ascending order; shared with other callers, so it must not be changed
 */
export function chooseReplicaGroup(partition: number, epoch: EpochMembership): readonly InstanceId[] {
    let table = groupTablesByEpoch.get(epoch);
    if (!table) {
        table = { candidates: epoch.members.map(member => createCandidate(member, epoch)), groups: [] };
        groupTablesByEpoch.set(epoch, table);
    }
    return table.groups[partition] ??= computeReplicaGroup(partition, table.candidates);
}

function createCandidate(member: InstanceId, epoch: EpochMembership): ReplicaCandidate {
    const domain = epoch.failureDomains?.get(member) ?? `member ${member}`;
    return { member, domain, scores: getMemberScores(member) };
}

function computeReplicaGroup(partition: number, candidates: readonly ReplicaCandidate[]): readonly InstanceId[] {
    const bestByDomain = new Map<string, RankedMember>();
    const remaining: RankedMember[] = [];
    for (const { member, domain, scores } of candidates) {
        const ranked = { member, score: scores[partition]! };
        const domainBest = bestByDomain.get(domain);
        const isBest = !domainBest || compareRank(ranked, domainBest) < 0;
        if (isBest) {
            bestByDomain.set(domain, ranked);
        }
        if (domainBest) {
            remaining.push(isBest ? domainBest : ranked);
        }
    }
    const chosen = [...bestByDomain.values()].sort(compareRank).slice(0, replicaGroupSize);
    if (chosen.length < replicaGroupSize) {
        chosen.push(...remaining.sort(compareRank).slice(0, replicaGroupSize - chosen.length));
    }
    return chosen.map(ranked => ranked.member).sort(compareText);
}

interface RankedMember {
    readonly member: InstanceId;
    readonly score: number;
}

// a member's scores never change, so a new epoch needs hashes only for its new members
const scoresByMember = new LRUCache<InstanceId, Float64Array>({ max: 2_048 });
const scoreBits = 53n;
const hashBits = 64n;

function getMemberScores(member: InstanceId): Float64Array {
    const known = scoresByMember.get(member);
    if (known) {
        return known;
    }
    const scores = Float64Array.from(
        { length: partitionCount },
        (unused, partition) => Number(hashForPlacement(`outcomes/${partition}\n${member}`) >> (hashBits - scoreBits)),
    );
    scoresByMember.set(member, scores);
    return scores;
}

function compareRank(left: RankedMember, right: RankedMember): number {
    return right.score - left.score || compareText(left.member, right.member);
}

/**
 * Counts the grants that a claim needs to win.
 *
 * @param size - size of the replica group
 * @returns a majority of the group, so that two claims can't both win
 */
export function countWriteQuorum(size: number): number {
    return Math.floor(size / 2) + 1;
}

/**
 * Counts the replicas that must be read to find every claim that won.
 *
 * @param size - size of the replica group
 * @returns the smallest number of replicas that has at least one member in common with every write quorum
 */
export function countReadQuorum(size: number): number {
    return size - countWriteQuorum(size) + 1;
}

/**
 * Computes the key of a record. It is a hash, so the caller's idempotency key is not sent to other instances.
 *
 * @param account - the caller's client account
 * @param route - the route of the call
 * @param idempotencyKey - the `Idempotency-Key` that the caller sent
 * @returns SHA-256 hash in hexadecimal
 */
export function computeRecordKey(account: string, route: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([account, route, idempotencyKey])).digest("hex");
}

/**
 * Computes the fingerprint of a request, which distinguishes a retry from a different request with the same key.
 *
 * @param call - the call
 * @returns SHA-256 hash of method, path, content type and body in hexadecimal
 */
export function computeFingerprint(call: ServiceCall): string {
    const head = JSON.stringify([call.method, call.path, call.headers["content-type"] ?? ""]);
    return createHash("sha256").update(head).update("\n").update(call.body).digest("hex");
}

const uuidVersion7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/iu;
const hexBase = 16;

/**
 * Reads the creation time from an idempotency key that is a version 7 UUID.
 *
 * @param idempotencyKey - the caller's key
 * @returns milliseconds since 1970; `undefined` for keys of any other format
 */
export function parseKeyTimestamp(idempotencyKey: string): number | undefined {
    const match = uuidVersion7.exec(idempotencyKey);
    return match ? Number.parseInt(`${match[1]}${match[2]}`, hexBase) : undefined;
}
