/**
 * Ranges of what is decoded from outside. Numbers within them stay finite and exact in every sum and product that this
 * program makes of them, and timers accept the durations.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { parseNetworkAddress } from "./networkAddress.js";

/** Longest duration of a timer; at a longer one it fires at once. */
export const longestTimerMilliseconds = 2_147_483_647;

/** Greatest age of something that an instance tells of, about 30 years. */
export const longestAgeMilliseconds = 1_000_000_000_000;

/** Latest Unix time that a date can have. */
export const latestUnixTimeMilliseconds = 8_640_000_000_000_000;

/** Largest count of requests, units or attempts; the sum over all servers or instances is exact. */
export const maximumCount = 1_000_000_000;

/** Largest sum of units of a quota. */
export const maximumQuotaUnits = 1_000_000_000_000_000;

/** Most requests that one server runs at a time. */
export const maximumServerSlots = 65_536;

/** Most shards; each is looked at again and again. */
export const maximumShardCount = 65_536;

/** Longest name of a server, service, model, adapter, instance or request. */
export const maximumNameLength = 1_024;

/** Longest text that is passed on, such as a header or a path. */
export const maximumTextLength = 1_048_576;

/** Most entries of a list in a message or record. */
export const maximumListLength = 100_000;

/** Schema of a name. */
export const nameSchema = z.string().max(maximumNameLength);

/** Schema of a text that is passed on. */
export const textSchema = z.string().max(maximumTextLength);

/** Schema of a count that is a whole number. */
export const countSchema = z.number().int().min(0).max(maximumCount);

/** Schema of an amount that may have a fraction. */
export const amountSchema = z.number().min(0).max(maximumCount);

/** Schema of an offset, a generation or a version. */
export const ordinalSchema = z.number().int().min(0);

/** Schema of a shard's number. */
export const shardNumberSchema = z.number().int().min(0).max(maximumShardCount - 1);

/** Schema of the Unix time at which a process started. */
export const startTimeSchema = z.number().int().min(0).max(latestUnixTimeMilliseconds);

/** Schema of a time left, which is negative when it is over. */
export const timeLeftSchema = z.number().min(-longestTimerMilliseconds).max(longestTimerMilliseconds);

/** Schema of an age. */
export const ageSchema = z.number().min(0).max(longestAgeMilliseconds);

/** Schema of a wait that another process asks for; one that no timer can keep ends sooner. */
export const waitSchema = createLimitedNumber(0, longestTimerMilliseconds);

/** Schema of the address of a process. */
export const addressSchema = z.string().refine(
    text => parseNetworkAddress(text) !== undefined,
    "no IP address and port",
);

/**
 * Creates the schema of a list.
 *
 * @param entry - schema of its entries
 * @returns schema of a list of limited length
 */
export function createListSchema<Entry extends z.ZodType>(entry: Entry): z.ZodArray<Entry> {
    return z.array(entry).max(maximumListLength);
}

/**
 * Creates the schema of a number of which any value is accepted, and one outside of a range is moved to its end.
 *
 * @param minimum - lower end
 * @param maximum - upper end
 * @returns schema of a number within the range
 */
export function createLimitedNumber(minimum: number, maximum: number): z.ZodType<number, number> {
    return z.number().transform(value => Math.min(maximum, Math.max(minimum, value)));
}
