/**
 * Quarantines as written in the platform's store. Requests of a quarantined scope are refused until its time is over;
 * then a single one may be tried.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { KeyedRecord } from "../serving/types.js";
import { countSchema, createLogger, type Milliseconds, parseBoundedJson } from "../shared/index.js";
import { quarantineScopeSchema } from "./messages.js";
import {
    formatScopeKey,
    type GuardedRequest,
    listScopes,
    type Quarantine,
    type QuarantineScope,
    type ScopeKey,
} from "./types.js";

/** Decision on a request. */
export type QuarantineDecision =
    | { readonly kind: "open"; }
    /** The request must not be sent; `remaining` is the time until one may be tried. */
    | { readonly kind: "quarantined"; readonly scope: QuarantineScope; readonly remaining: Milliseconds; }
    /** The time is over: the request may be sent if the deciding instance grants the trial. */
    | { readonly kind: "due"; readonly scope: QuarantineScope; };

/** A quarantine, and the time at which this instance first read its record. */
export type KnownQuarantine = Quarantine & { readonly seenAt: Milliseconds; };

/** Quarantines that are in force. */
export interface QuarantineList {
    /** Applies a record, and returns its quarantine if it is new. */
    readonly apply: (record: Pick<KeyedRecord, "key" | "value">, now: Milliseconds) => KnownQuarantine | undefined;
    /** Replaces all by those of a snapshot, and returns those that are new. */
    readonly replaceAll: (records: readonly KeyedRecord[], now: Milliseconds) => readonly KnownQuarantine[];
    readonly find: (scope: QuarantineScope) => KnownQuarantine | undefined;
    readonly list: () => readonly KnownQuarantine[];
    readonly decide: (request: GuardedRequest, now: Milliseconds) => QuarantineDecision;
}

/** Time for which a scope is quarantined at first; it doubles with each trial. */
const initialDurationMilliseconds = 30_000;
const maximumDoublings = 7;
/** Trials of one request, each of which may end a server; after them it is refused until its record is deleted. */
const maximumRequestTrials = 2;
/** Time after which a client may return whose request is not tried again by itself. */
const noTrialMilliseconds = 3_600_000;
/** Largest record that is read. */
const maximumRecordBytes = 65_536;
const maximumDetailLength = 200;
const countsSchema = z.object({ trials: countSchema, crashes: countSchema.optional() });
const log = createLogger("quarantine");

/**
 * Creates an empty list.
 *
 * @returns the list, of which an instance needs one object
 */
export function createQuarantineList(): QuarantineList {
    const known = new Map<ScopeKey, KnownQuarantine>();
    const find = (scope: QuarantineScope): KnownQuarantine | undefined => known.get(formatScopeKey(scope));
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
        decide: ({ prompt, account, digest }, now) => {
            if (known.size === 0) {
                return { kind: "open" };
            }
            const scopes = listScopes({ shared: prompt?.shared ?? [], account, digest });
            const [last] = scopes.map(find).filter(quarantine => quarantine !== undefined)
                .map(quarantine => ({ quarantine, remaining: measureRemaining(quarantine, now) }))
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
 * Measures the time until a request of a quarantined scope may be tried.
 *
 * @param quarantine - the quarantine, with the time at which its record was read
 * @param now - current time
 * @returns the time; 0 or less when one may be tried now
 */
export function measureRemaining(quarantine: KnownQuarantine, now: Milliseconds): Milliseconds {
    if (quarantine.kind === "request" && quarantine.trials >= maximumRequestTrials) {
        return noTrialMilliseconds;
    }
    return quarantine.seenAt + initialDurationMilliseconds * 2 ** Math.min(quarantine.trials, maximumDoublings) - now;
}

/**
 * Encodes a quarantine as JSON.
 *
 * @param quarantine - the quarantine
 * @returns value of its record, whose key is that of the scope
 */
export function encodeQuarantine(quarantine: Quarantine): Uint8Array {
    return Buffer.from(JSON.stringify(quarantine), "utf8");
}

/**
 * Reads how often requests of a quarantine were tried.
 *
 * @param key - key of its record
 * @param value - value of its record
 * @returns the number of trials; none for a record that can't be read
 */
export function readTrials(key: string, value: Uint8Array): number {
    return decodeQuarantine(key, value)?.trials ?? 0;
}

function decodeQuarantine(key: string, value: Uint8Array): Quarantine | undefined {
    try {
        const record: unknown = parseBoundedJson(value, maximumRecordBytes);
        const { trials, crashes } = countsSchema.parse(record);
        return { ...quarantineScopeSchema.parse(record), trials, crashes };
    }
    catch (error) {
        log.warn("quarantine unreadable, it is left out", { key, detail: String(error).slice(0, maximumDetailLength) });
        return undefined;
    }
}
