/**
 * The caller's key: read from one place, hashed, and refused anywhere else, so that no backend server sees it.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { ResolvedSettings } from "../config/index.js";
import { hashKey, type Result, wrapError, wrapValue } from "../shared/index.js";

/** The key as it came, kept only while the front door looks for it elsewhere in the request. */
export interface ClientKey {
    readonly text: string;
    readonly hash: string;
}

const bearerPattern = /^Bearer +([\x21-\x7e]{1,512}) *$/i;
const tokenSeparators = /[\s,;=&?/"']+/;
const minimumKeyLength = 8;

/**
 * Reads the caller's key from `Authorization: Bearer`.
 *
 * @param request - the request
 * @returns the key, `undefined` when none came, or an error message when the header is doubled
 */
export function readClientKey(request: IncomingMessage): Result<ClientKey | undefined, string> {
    const sent = request.headersDistinct["authorization"];
    if (sent !== undefined && sent.length > 1) {
        return wrapError("Authorization was sent more than once.");
    }
    const text = bearerPattern.exec(sent?.[0] ?? "")?.[1];
    return wrapValue(text === undefined ? undefined : { text, hash: hashKey(text) });
}

/**
 * Tells whether texts that would go to a backend server hold the caller's key or any granted key.
 *
 * @param texts - path, query and header values
 * @param key - the caller's key
 * @param settings - the tree in force
 * @returns true when a key is found
 */
export function hasKeyInTexts(
    texts: readonly string[],
    key: ClientKey | undefined,
    settings: ResolvedSettings | undefined,
): boolean {
    return texts.some(text => hasClientKey(text, key) || (settings !== undefined && hasGrantedKey(text, settings)));
}

/**
 * Tells whether a body that would go to a backend server holds the caller's own key.
 *
 * @param body - the body
 * @param key - the caller's key
 * @returns true when the key is found
 */
export function hasKeyInBody(body: Buffer, key: ClientKey | undefined): boolean {
    return key !== undefined && key.text.length >= minimumKeyLength && body.includes(key.text);
}

// a shorter text would be found in ordinary words; the command line grants none so short
function hasClientKey(text: string, key: ClientKey | undefined): boolean {
    return key !== undefined && key.text.length >= minimumKeyLength
        && (text.includes(key.text) || decodePercentEncoding(text).includes(key.text));
}

function hasGrantedKey(text: string, settings: ResolvedSettings): boolean {
    return decodePercentEncoding(text)
        .split(tokenSeparators)
        .some(token => token.length >= minimumKeyLength && settings.keys.has(hashKey(token)));
}

function decodePercentEncoding(text: string): string {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return text;
    }
}
