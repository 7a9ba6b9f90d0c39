/**
 * Identity of a stream over the instances.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { StreamId } from "./types.js";

/** Digest of a stream's account and first attempt. */
export type StreamKey = string;

/** Length of a key in characters of Base64, 132 bits: no client can name a stream of another account. */
const keyLength = 22;

/**
 * Computes the key of a stream.
 *
 * @param id - account and first attempt of the stream
 * @returns the key; `undefined` when no attempt is named
 */
export function computeStreamKey({ account, firstAttemptId }: StreamId): StreamKey | undefined {
    if (firstAttemptId === undefined) {
        return undefined;
    }
    const owner = account === undefined ? "public" : `account ${Buffer.byteLength(account)}:${account}`;
    return createHash("sha256").update(`${owner} ${firstAttemptId}`).digest("base64url").slice(0, keyLength);
}
