/**
 * What the errors of undici say about whether a request left this process.
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
 * Tells whether an error shows that no byte of the request was sent.
 *
 * @param error - what undici threw
 * @returns true only when that is certain
 */
export function isNotSent(error: unknown): boolean {
    const code = (error as { readonly code?: unknown; } | undefined)?.code;
    return typeof code === "string" && notSentCodes.has(code);
}
