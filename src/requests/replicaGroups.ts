/**
 * Which instances hold the record of a key: a small group for each partition of the keys.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { createHash } from "node:crypto";
import type { MemberEpoch } from "../membership/index.js";
import { compareText, hashForPlacement, type InstanceId } from "../shared/index.js";
import type { ServiceCall } from "./types.js";

/** Number of partitions of the keys; the same on every instance. */
export const partitionCount = 256;

/** Holders of a partition while there are enough members. */
export const replicaGroupSize = 3;

/** The part of an epoch that decides groups. */
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

// an epoch never changes, and each of its claims asks for a group
const groupTablesByEpoch = new WeakMap<EpochMembership, ReplicaGroupTable>();

/**
 * Finds the partition of a key.
 *
 * @param key - the record's key
 * @returns its partition
 */
export function findPartition(key: string): number {
    return Number(hashForPlacement(key) % BigInt(partitionCount));
}

/**
 * Chooses the holders of a partition: the best by rendezvous hashing, each in another failure domain as long as there
 * are such members. All instances choose alike, for members and failure domains are part of the agreed epoch.
 *
 * @param partition - the partition
 * @param epoch - agreed members
 * @returns the holders, sorted by id
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

// a member's scores never change, so that an epoch costs the hashes of its new members only
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
 * Counts the grants that make a claim the only one.
 *
 * @param size - size of the group
 * @returns a majority
 */
export function countWriteQuorum(size: number): number {
    return Math.floor(size / 2) + 1;
}

/**
 * Counts the holders of which at least one has granted every claim that won.
 *
 * @param size - size of the group
 * @returns as many as meet each majority
 */
export function countReadQuorum(size: number): number {
    return size - countWriteQuorum(size) + 1;
}

/**
 * Names the record of a caller's key; the key itself stays with the instance that received it.
 *
 * @param account - the caller's client account
 * @param route - the route of the call
 * @param idempotencyKey - what the caller sent
 * @returns the record's key
 */
export function computeRecordKey(account: string, route: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([account, route, idempotencyKey])).digest("hex");
}

/**
 * Computes the fingerprint by which a repeat is told from another request under the same key.
 *
 * @param call - the call
 * @returns a hash of method, path, type and body
 */
export function computeFingerprint(call: ServiceCall): string {
    const head = JSON.stringify([call.method, call.path, call.headers["content-type"] ?? ""]);
    return createHash("sha256").update(head).update("\n").update(call.body).digest("hex");
}

const uuidVersion7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/iu;
const hexBase = 16;

/**
 * Reads the time at which a key was made, for keys that carry it.
 *
 * @param idempotencyKey - the caller's key
 * @returns milliseconds since 1970 of a version 7 UUID; `undefined` for other keys
 */
export function parseKeyTimestamp(idempotencyKey: string): number | undefined {
    const match = uuidVersion7.exec(idempotencyKey);
    return match ? Number.parseInt(`${match[1]}${match[2]}`, hexBase) : undefined;
}
