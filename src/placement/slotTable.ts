/**
 * What an engine's owner knows of the engine's slots.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { type AdapterReference, formatAdapterName, parseAdapterName } from "../backends/index.js";
import type { EngineReport } from "../backends/index.js";
import type { Milliseconds } from "../shared/index.js";
import type { AdapterKey, LoadName } from "./messages.js";

/** State of one load in a slot. */
export type SlotState =
    /** An order to load it is under way. */
    | "loading"
    /** The order had no answer; a report settles it. */
    | "uncertain"
    | "resident"
    /** On its way out, and not to be used again; the order to unload may or may not have been sent. */
    | "retiring";

/** One load in a slot. */
export interface Slot {
    readonly name: LoadName;
    readonly key: AdapterKey;
    readonly adapter: AdapterReference;
    readonly state: SlotState;
    /** Since when it is in that state. */
    readonly since: Milliseconds;
    /** Whether it was there before this owner; others may use it without this owner's knowledge. */
    readonly inherited: boolean;
}

/** The slots of one engine, by name of the load. */
export type SlotTable = ReadonlyMap<LoadName, Slot>;

/**
 * Writes the key under which an adapter in one version is asked for.
 *
 * @param reference - the adapter, with or without generation
 * @returns `ADAPTER@VERSION`
 */
export function formatAdapterKey(reference: AdapterReference): AdapterKey {
    return formatAdapterName({ adapter: reference.adapter, version: reference.version });
}

/**
 * Parses the name of a load.
 *
 * @param name - `ADAPTER@VERSION#GENERATION`
 * @returns the adapter; a name that is not ours stands for itself
 */
export function parseLoadName(name: LoadName): AdapterReference {
    return parseName(name).adapter;
}

/**
 * Reads the key of a load's name.
 *
 * @param name - `ADAPTER@VERSION#GENERATION`
 * @returns `ADAPTER@VERSION`
 */
export function readLoadKey(name: LoadName): AdapterKey {
    return parseName(name).key;
}

interface ParsedName {
    readonly adapter: AdapterReference;
    readonly key: AdapterKey;
}

const namesKept = 20_000;
const parsedNames = new LRUCache<LoadName, ParsedName>({ max: namesKept });

function parseName(name: LoadName): ParsedName {
    const known = parsedNames.get(name);
    if (known) {
        return known;
    }
    const adapter = parseAdapterName(name) ?? { adapter: name, version: "" };
    const parsed = { adapter, key: formatAdapterKey(adapter) };
    parsedNames.set(name, parsed);
    return parsed;
}

/**
 * Makes a slot for a load.
 *
 * @param name - name of the load
 * @param state - its state
 * @param now - present time
 * @param inherited - whether it was there before this owner
 * @returns the slot
 */
export function makeSlot(name: LoadName, state: SlotState, now: Milliseconds, inherited = false): Slot {
    const { adapter, key } = parseName(name);
    return { name, key, adapter, state, since: now, inherited };
}

/** What a report changes. */
export interface ReportMerge {
    readonly table: SlotTable;
    /** Loads that the report shows to have ended, well or not. */
    readonly settled: readonly { readonly name: LoadName; readonly isResident: boolean; }[];
    /** Loads that are there and that this owner did not order: not to be used, though others may still use them. */
    readonly strangers: readonly LoadName[];
}

/**
 * Merges a report of the same incarnation. A report lags: what it lacks is gone only if the table's entry is older
 * than the lag.
 *
 * @param table - the table so far
 * @param report - the engine's report
 * @param askedAt - when the report was asked for
 * @param longestLag - how old a report may be when it is given
 * @param removed - loads that left so lately that the report may still show them
 * @returns the table after it
 */
export function mergeReport(
    table: SlotTable,
    report: EngineReport,
    askedAt: Milliseconds,
    longestLag: Milliseconds,
    removed: ReadonlySet<LoadName> = new Set(),
): ReportMerge {
    const merged = new Map(table);
    const settled: { name: LoadName; isResident: boolean; }[] = [];
    const resident = new Set(report.resident.map(formatAdapterName));
    const present = new Set([...resident, ...report.loading.map(formatAdapterName)]);
    for (const slot of table.values()) {
        const isOld = slot.since < askedAt - longestLag;
        if (slot.state === "uncertain" && resident.has(slot.name)) {
            merged.set(slot.name, { ...slot, state: "resident", since: askedAt });
            settled.push({ name: slot.name, isResident: true });
        }
        else if (slot.state !== "loading" && isOld && !present.has(slot.name)) {
            merged.delete(slot.name);
            settled.push({ name: slot.name, isResident: false });
        }
    }
    const strangers = [...present].filter(name => !table.has(name) && !removed.has(name));
    for (const name of strangers) {
        merged.set(name, makeSlot(name, "retiring", askedAt, true));
    }
    return { table: merged, settled, strangers };
}
