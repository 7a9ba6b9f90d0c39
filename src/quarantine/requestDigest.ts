/**
 * Identity of a request: repeats of one request, also under new ids and at other instances, have the same digest.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { ClientAccountId } from "../shared/index.js";

/** Digest of what identifies a request. */
export type RequestDigest = string;

/** Fields that identify a request; ids, deadlines and other headers may differ between its repeats. */
export interface RequestIdentity {
    readonly method: string;
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** `undefined` for a request without a key. */
    readonly account: ClientAccountId | undefined;
    /** `undefined` when it is empty. */
    readonly body: Uint8Array | undefined;
}

/** Length of a digest in characters of Base64, 132 bits: nobody can find a request with the digest of another one. */
const digestLength = 22;

/**
 * Computes the digest of a request. Each field is preceded by its length, so that no two requests are the same text.
 *
 * @param identity - fields of the request
 * @returns the digest
 */
export function computeRequestDigest({ method, host, target, account, body }: RequestIdentity): RequestDigest {
    const fields = [method, host, target, account === undefined ? "" : `account ${account}`];
    const hash = createHash("sha256");
    for (const field of fields) {
        hash.update(`${Buffer.byteLength(field)}:${field}`);
    }
    if (body) {
        hash.update(body);
    }
    return hash.digest("base64url").slice(0, digestLength);
}
