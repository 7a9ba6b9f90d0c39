/**
 * Hash functions for placement and for clients' API keys.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** SHA-256 of a client's API key in lower-case hex; keys are stored only in this form. */
export type KeyHash = string;

/**
 * Hashes text for placement. The hash is fast, not cryptographic, and the same in every process.
 *
 * @param text - text to hash
 * @returns an unsigned 64-bit number
 */
export function hashForPlacement(text: string): bigint {
    return hasher.h64(text);
}

/**
 * Hashes text to 32 bits, as an input of `scoreRendezvous`. The hash is the same in every process.
 *
 * @param text - text to hash
 * @returns an unsigned 32-bit number
 */
export function hashForRendezvous(text: string): number {
    return hasher.h32(text);
}

/**
 * Scores a candidate for a key by rendezvous hashing: the candidate with the highest score is preferred. Works on
 * hashes that the caller keeps, so that ranking many candidates hashes no text.
 *
 * @param keyHash - hash of the key
 * @param candidateHash - hash of the candidate
 * @returns an unsigned 32-bit number, the same in every process
 */
export function scoreRendezvous(keyHash: number, candidateHash: number): number {
    let mixed = keyHash ^ Math.imul(candidateHash, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Hashes a client's API key.
 *
 * @param key - the key as the client sent it
 * @returns SHA-256 of the key in lower-case hex
 */
export function hashKey(key: string): KeyHash {
    return createHash("sha256").update(key, "utf8").digest("hex");
}

/**
 * Ranks candidates for a shard by rendezvous hashing. The order is the same in every process. Adding or removing a
 * candidate changes the result only for the shards whose result contains this candidate.
 *
 * @param shard - name of the shard
 * @param candidates - names to rank, in any order
 * @param count - maximum number of candidates to return
 * @returns the candidates with the highest scores, highest first
 */
export function rankByRendezvous(shard: string, candidates: readonly string[], count = candidates.length): string[] {
    const scored = candidates.map(name => ({ name, score: hasher.h64(`${shard}\n${name}`) }));
    scored.sort((left, right) =>
        left.score === right.score ? compareText(left.name, right.name) : left.score > right.score ? -1 : 1
    );
    return scored.slice(0, count).map(entry => entry.name);
}

/**
 * Compares text by code unit, so that the order is the same in every process whatever its locale.
 *
 * @param left - first text
 * @param right - second text
 * @returns -1 if `left` sorts first, 1 if `right` does, 0 if they are equal
 */
export function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
