/**
 * An engine owner's record of the engine's adapter slots.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { type AdapterReference, formatAdapterName, parseAdapterName } from "../backends/index.js";
import type { EngineReport } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey, LoadName } from "./messages.js";

/** State of one load in an adapter slot. */
export type AdapterSlotState =
    /** The order to load it has been created and has no result yet. */
    | "loading"
    /** The order to load it was sent and got no answer; a later report shows whether it succeeded. */
    | "uncertain"
    | "resident"
    /** It is being evicted and must not be used again; the order to unload it may or may not have been sent. */
    | "retiring";

/** An adapter slot that a load occupies. */
export interface AdapterSlot {
    readonly name: LoadName;
    readonly key: AdapterVersionKey;
    readonly adapter: AdapterReference;
    readonly state: AdapterSlotState;
    /** When the slot entered this state. */
    readonly since: Milliseconds;
    /**
     * Whether the load was there before this owner, so that instances may use it without being on record as holders.
     */
    readonly isInherited: boolean;
}

/** The occupied adapter slots of one engine, by name of the load. */
export type AdapterSlots = ReadonlyMap<LoadName, AdapterSlot>;

/**
 * Formats the key of an adapter version; the generation of a load isn't part of it.
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
 * @returns the adapter; for a name in another format, an adapter of that name with an empty version
 */
export function parseLoadName(name: LoadName): AdapterReference {
    return parseNameCached(name).adapter;
}

/**
 * Returns the adapter version that a load is a copy of.
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
 * Creates the record of a slot from the name of its load.
 *
 * @param name - name of the load
 * @param state - state of the slot
 * @param now - current time, from which the state counts
 * @param isInherited - whether the load was there before this owner
 * @returns the slot
 */
export function createAdapterSlot(
    name: LoadName,
    state: AdapterSlotState,
    now: Milliseconds,
    isInherited = false,
): AdapterSlot {
    const { adapter, key } = parseNameCached(name);
    return { name, key, adapter, state, since: now, isInherited };
}

/** Result of merging an engine's report into the record of its slots. */
export interface ReportMerge {
    readonly table: AdapterSlots;
    /** Loads whose state the report decides: resident after an uncertain order, or gone. */
    readonly settled: readonly { readonly name: LoadName; readonly isResident: boolean; }[];
    /**
     * Loads that are on the engine but were not ordered by this owner. They must not be used, though other instances
     * may still use them.
     */
    readonly unknownLoads: readonly LoadName[];
}

/**
 * Merges a report of the same engine incarnation into the slots. A report may be outdated by up to `maximumLag`, so a
 * load that is missing from it is gone only if its slot entered its state before that period. A slot in the state
 * `loading` is kept, because the result of its order decides on it.
 *
 * @param table - the slots so far
 * @param report - the report of the engine
 * @param askedAt - when the report was requested
 * @param maximumLag - how old the contents of a report may be when the engine returns it
 * @param removed - loads that were removed so recently that the report may still contain them
 * @returns new slots and what the report changed; `table` stays as it was
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
    return { table: merged, settled, unknownLoads };
}
