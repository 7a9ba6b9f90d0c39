/**
 * Decodes the header by which the store names its era in all its answers.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { maximumStoreEra, type StoreEra } from "../serving/storeEras.js";

/** Name of the header, in lower case. */
export const storeEraHeader = "store-era";
const eraPattern = /^\d{1,7}$/;

/**
 * Decodes the era of an answer.
 *
 * @param headers - headers of the answer, by lower-case name
 * @returns the era; `undefined` where the answer names none, and `"unreadable"` where what it names is no era
 */
export function decodeStoreEra(headers: IncomingHttpHeaders): StoreEra | "unreadable" | undefined {
    const text = headers[storeEraHeader];
    if (text === undefined) {
        return undefined;
    }
    const era = typeof text === "string" && eraPattern.test(text) ? Number(text) : Number.NaN;
    return era <= maximumStoreEra ? era : "unreadable";
}
