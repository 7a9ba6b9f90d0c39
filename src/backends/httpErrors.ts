/**
 * Classifies errors of the HTTP client undici by whether the request was sent.
 *
 * @packageDocumentation
 */

const notSentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Returns whether an error proves that no byte of the request was sent.
 *
 * @param error - value that undici threw
 * @returns true only if no byte was sent for certain; false if the request may have been sent
 */
export function isNotSent(error: unknown): boolean {
    const code = (error as { readonly code?: unknown; } | undefined)?.code;
    return typeof code === "string" && notSentCodes.has(code);
}
