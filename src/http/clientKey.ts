/**
 * Reads the client's API key from the `Authorization` header and detects keys elsewhere in a request. Requests with a
 * key in another place are rejected, so that no backend server receives a key.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { ResolvedSettings } from "../config/index.js";
import { hashKey, type Result, wrapError, wrapValue } from "../shared/index.js";

/** The client's API key. The text is kept only to search the rest of the request for it. */
export interface ClientKey {
    readonly text: string;
    readonly hash: string;
}

const bearerPattern = /^Bearer +([\x21-\x7e]{1,512}) *$/i;
const tokenSeparators = /[\s,;=&?/"']+/;
const minimumKeyLength = 8;

/**
 * Reads the client's API key from `Authorization: Bearer`.
 *
 * @param request - the request; only its headers are read
 * @returns the key, `undefined` if the header is missing or holds no bearer token, or an error message for the client if the
 * header was sent more than once
 */
export function readClientKey(request: IncomingMessage): Result<ClientKey | undefined, string> {
    const sent = request.headersDistinct["authorization"];
    if (sent !== undefined && sent.length > 1) {
        return wrapError("The Authorization header must be sent only once.");
    }
    const text = bearerPattern.exec(sent?.[0] ?? "")?.[1];
    return wrapValue(text === undefined ? undefined : { text, hash: hashKey(text) });
}

/**
 * Returns whether texts that would be sent to a backend server contain the client's key or any granted key.
 *
 * @param texts - texts to search, such as path, query, header values or prompts
 * @param key - the client's key, or `undefined` if it sent none
 * @param settings - the current settings with all granted keys; `undefined` searches only for the client's key
 * @returns true if a key is found, percent-encoded or not
 */
export function hasKeyInTexts(
    texts: readonly string[],
    key: ClientKey | undefined,
    settings: ResolvedSettings | undefined,
): boolean {
    return texts.some(text => hasClientKey(text, key) || (settings !== undefined && hasGrantedKey(text, settings)));
}

/**
 * Returns whether a request body that would be sent to a backend server contains the client's own key.
 *
 * @param body - request body; it is searched as bytes, without decoding
 * @param key - the client's key, or `undefined` if it sent none
 * @returns true if the key is found
 */
export function hasKeyInBody(body: Buffer, key: ClientKey | undefined): boolean {
    return key !== undefined && key.text.length >= minimumKeyLength && body.includes(key.text);
}

// keys below the minimum length are not searched for, since they would match ordinary words; the command line never
// grants such a short key
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
