/**
 * Finds headers that servers, engines or the store send and that nobody decodes. The platform announces states in headers
 * of ordinary responses; one that is new to this program shows in log and metrics before anything depends on it.
 *
 * @packageDocumentation
 */
import type { UndecodedHeader } from "../serving/servingMetrics.js";
import { createLogger } from "../shared/index.js";

/** Kind of system that sent a response. */
export type ResponseSource = "server" | "engine" | "store";

/** Headers that were not decoded. */
export interface HeaderTrace {
    /** Looks at the names of a response's headers. */
    readonly check: (source: ResponseSource, names: Iterable<string>) => void;
    /** Counts by source and name, in lower case. */
    readonly list: () => readonly UndecodedHeader[];
}

/** Headers of HTTP that say nothing about the state of their sender, or that the HTTP client handles. */
const ordinaryHeaders: ReadonlySet<string> = new Set([
    "accept-ranges",
    "access-control-allow-origin",
    "age",
    "allow",
    "cache-control",
    "connection",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-type",
    "date",
    "etag",
    "expires",
    "keep-alive",
    "last-modified",
    "link",
    "location",
    "server",
    "set-cookie",
    "trailer",
    "transfer-encoding",
    "vary",
    "via",
]);
/** Names beyond this number are not kept, as a faulty server may send any. */
const maximumNames = 100;
const log = createLogger("platform");

/**
 * Creates an empty trace.
 *
 * @param decodedNames - lower-case names that this program decodes
 * @returns the trace
 */
export function createHeaderTrace(decodedNames: Iterable<string>): HeaderTrace {
    const known = new Set([...ordinaryHeaders, ...decodedNames]);
    const found = new Map<string, { readonly source: ResponseSource; readonly name: string; count: number; }>();
    const count = (source: ResponseSource, name: string): void => {
        const key = `${source} ${name}`;
        const entry = found.get(key);
        if (entry) {
            entry.count++;
        }
        else if (found.size < maximumNames) {
            found.set(key, { source, name, count: 1 });
            log.warn("header not decoded", { source, name });
        }
    };
    return {
        check: (source, names) => {
            for (const name of names) {
                const lowerCase = name.toLowerCase();
                if (!known.has(lowerCase)) {
                    count(source, lowerCase);
                }
            }
        },
        list: () => [...found.values()],
    };
}
