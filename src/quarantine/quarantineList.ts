/**
 * Quarantines as written in the platform's store. Requests of a quarantined scope are refused until its time is over;
 * then a single one may be tried.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { KeyedRecord, PromptParts } from "../serving/types.js";
import { type ClientAccountId, createLogger, type Milliseconds } from "../shared/index.js";
import { formatScopeKey, listScopes, type PromptScope, type PromptScopeKey, type Quarantine } from "./types.js";

/** Decision on a request by the parts of its prompt. */
export type QuarantineDecision =
    | { readonly kind: "open"; }
    /** The request must not be sent; `remaining` is the time until one may be tried. */
    | { readonly kind: "quarantined"; readonly scope: PromptScope; readonly remaining: Milliseconds; }
    /** The time is over: the request may be sent if the deciding instance grants the trial. */
    | { readonly kind: "due"; readonly scope: PromptScope; };

/** A quarantine, and the time at which this instance first read its record. */
export interface KnownQuarantine extends Quarantine {
    readonly seenAt: Milliseconds;
}

/** Quarantines that are in force. */
export interface QuarantineList {
    /** Applies a record, and returns its quarantine if it is new. */
    readonly apply: (record: Pick<KeyedRecord, "key" | "value">, now: Milliseconds) => KnownQuarantine | undefined;
    /** Replaces all by those of a snapshot, and returns those that are new. */
    readonly replaceAll: (records: readonly KeyedRecord[], now: Milliseconds) => readonly KnownQuarantine[];
    readonly find: (scope: PromptScope) => KnownQuarantine | undefined;
    readonly list: () => readonly KnownQuarantine[];
    /** Decides on a request of an account, which is `undefined` for a request without a key. */
    readonly decide: (
        prompt: PromptParts | undefined,
        account: ClientAccountId | undefined,
        now: Milliseconds,
    ) => QuarantineDecision;
}

/** Time for which a scope is quarantined at first; it doubles with each trial. */
const initialDurationMilliseconds = 30_000;
const maximumDoublings = 7;
const quarantineSchema = z.object({
    part: z.string().min(1),
    account: z.string().optional(),
    trials: z.number().int().nonnegative(),
});
const log = createLogger("quarantine");

/**
 * Creates an empty list.
 *
 * @returns the list, of which an instance needs one object
 */
export function createQuarantineList(): QuarantineList {
    const known = new Map<PromptScopeKey, KnownQuarantine>();
    const find = (scope: PromptScope): KnownQuarantine | undefined => known.get(formatScopeKey(scope));
    const apply: QuarantineList["apply"] = (record, now) => {
        const quarantine = record.value && decodeQuarantine(record.key, record.value);
        if (!quarantine) {
            known.delete(record.key);
            return undefined;
        }
        if (known.get(record.key)?.trials === quarantine.trials) {
            return undefined;
        }
        const added = { ...quarantine, seenAt: now };
        known.set(record.key, added);
        return added;
    };
    return {
        apply,
        replaceAll: (records, now) => {
            const present = new Set(records.map(record => record.key));
            [...known.keys()].filter(key => !present.has(key)).forEach(key => known.delete(key));
            return records.map(record => apply(record, now)).filter(added => added !== undefined);
        },
        find,
        list: () => [...known.values()],
        decide: (prompt, account, now) => {
            if (known.size === 0 || !prompt) {
                return { kind: "open" };
            }
            const found = listScopes(prompt.shared, account).map(find).filter(quarantine => quarantine !== undefined);
            const [last] = found
                .map(quarantine => ({
                    quarantine,
                    remaining: quarantine.seenAt + computeQuarantineDuration(quarantine.trials) - now,
                }))
                .sort((left, right) => right.remaining - left.remaining);
            if (!last) {
                return { kind: "open" };
            }
            const { quarantine: scope, remaining } = last;
            return remaining > 0 ? { kind: "quarantined", scope, remaining } : { kind: "due", scope };
        },
    };
}

/**
 * Computes how long a quarantine lasts.
 *
 * @param trials - requests that have been tried so far
 * @returns time from the first read of its record until the next request may be tried
 */
export function computeQuarantineDuration(trials: number): Milliseconds {
    return initialDurationMilliseconds * 2 ** Math.min(trials, maximumDoublings);
}

/**
 * Encodes a quarantine as JSON.
 *
 * @param quarantine - the quarantine
 * @returns value of its record, whose key is that of the scope
 */
export function encodeQuarantine({ part, account, trials }: Quarantine): Uint8Array {
    return Buffer.from(JSON.stringify({ part, account, trials }), "utf8");
}

function decodeQuarantine(key: string, value: Uint8Array): Quarantine | undefined {
    try {
        const { part, account, trials } = quarantineSchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
        return { part, account, trials };
    }
    catch (error) {
        log.warn("quarantine unreadable, it is left out", { key, detail: String(error) });
        return undefined;
    }
}
