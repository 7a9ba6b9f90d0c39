/**
 * What an engine's owner knows of the engine's slots.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { type AdapterReference, formatAdapterName, parseAdapterName } from "../backends/index.js";
import type { EngineReport } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey, LoadName } from "./messages.js";

/** State of one load in a slot. */
export type AdapterSlotState =
    /** An order to load it is under way. */
    | "loading"
    /** The order had no answer; a report settles it. */
    | "uncertain"
    | "resident"
    /** On its way out, and not to be used again; the order to unload may or may not have been sent. */
    | "retiring";

/** One load in a slot. */
export interface AdapterSlot {
    readonly name: LoadName;
    readonly key: AdapterVersionKey;
    readonly adapter: AdapterReference;
    readonly state: AdapterSlotState;
    /** Since when it is in that state. */
    readonly since: Milliseconds;
    /** Whether it was there before this owner; others may use it without this owner's knowledge. */
    readonly isInherited: boolean;
}

/** The slots of one engine, by name of the load. */
export type AdapterSlots = ReadonlyMap<LoadName, AdapterSlot>;

/**
 * Writes the key under which an adapter in one version is asked for.
 *
 * @param reference - the adapter, with or without generation
 * @returns `ADAPTER@VERSION`
 */
export function formatAdapterVersionKey(reference: AdapterReference): AdapterVersionKey {
    return formatAdapterName({ adapter: reference.adapter, version: reference.version });
}

/**
 * Parses the name of a load.
 *
 * @param name - `ADAPTER@VERSION#GENERATION`
 * @returns the adapter; a name that is not ours stands for itself
 */
export function parseLoadName(name: LoadName): AdapterReference {
    return parseNameCached(name).adapter;
}

/**
 * Reads the key of a load's name.
 *
 * @param name - `ADAPTER@VERSION#GENERATION`
 * @returns `ADAPTER@VERSION`
 */
export function parseAdapterVersionKey(name: LoadName): AdapterVersionKey {
    return parseNameCached(name).key;
}

interface ParsedName {
    readonly adapter: AdapterReference;
    readonly key: AdapterVersionKey;
}

const maximumParsedNames = 20_000;
const parsedNames = new LRUCache<LoadName, ParsedName>({ max: maximumParsedNames });

function parseNameCached(name: LoadName): ParsedName {
    const known = parsedNames.get(name);
    if (known) {
        return known;
    }
    const adapter = parseAdapterName(name) ?? { adapter: name, version: "" };
    const parsed = { adapter, key: formatAdapterVersionKey(adapter) };
    parsedNames.set(name, parsed);
    return parsed;
}

/**
 * Makes a slot for a load.
 *
 * @param name - name of the load
 * @param state - its state
 * @param now - present time
 * @param isInherited - whether it was there before this owner
 * @returns the slot
 */
export function createAdapterSlot(
    name: LoadName,
    state: AdapterSlotState,
    now: Milliseconds,
    isInherited = false,
): AdapterSlot {
    const { adapter, key } = parseNameCached(name);
    return { name, key, adapter, state, since: now, isInherited: isInherited };
}

/** What a report changes. */
export interface ReportMerge {
    readonly table: AdapterSlots;
    /** Loads that the report shows to have ended, well or not. */
    readonly settled: readonly { readonly name: LoadName; readonly isResident: boolean; }[];
    /** Loads that are there and that this owner did not order: not to be used, though others may still use them. */
    readonly unknownLoads: readonly LoadName[];
}

/**
 * Merges a report of the same incarnation. A report lags: what it lacks is gone only if the table's entry is older
 * than the lag.
 *
 * @param table - the table so far
 * @param report - the engine's report
 * @param askedAt - when the report was asked for
 * @param maximumLag - how old a report may be when it is given
 * @param removed - loads that left so lately that the report may still show them
 * @returns the table after it
 */
export function mergeReport(
    table: AdapterSlots,
    report: EngineReport,
    askedAt: Milliseconds,
    maximumLag: Milliseconds,
    removed: ReadonlySet<LoadName> = new Set(),
): ReportMerge {
    const merged = new Map(table);
    const settled: { name: LoadName; isResident: boolean; }[] = [];
    const resident = new Set(report.resident.map(formatAdapterName));
    const present = new Set([...resident, ...report.loading.map(formatAdapterName)]);
    for (const slot of table.values()) {
        const isOld = slot.since < askedAt - maximumLag;
        if (slot.state === "uncertain" && resident.has(slot.name)) {
            merged.set(slot.name, { ...slot, state: "resident", since: askedAt });
            settled.push({ name: slot.name, isResident: true });
        }
        else if (slot.state !== "loading" && isOld && !present.has(slot.name)) {
            merged.delete(slot.name);
            settled.push({ name: slot.name, isResident: false });
        }
    }
    const unknownLoads = [...present].filter(name => !table.has(name) && !removed.has(name));
    for (const name of unknownLoads) {
        merged.set(name, createAdapterSlot(name, "retiring", askedAt, true));
    }
    return { table: merged, settled, unknownLoads: unknownLoads };
}
