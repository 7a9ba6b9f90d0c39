/**
 * Places for adapters on one engine, as its holder counts them. An adapter whose order has no answer keeps its place until
 * the order can't be carried out any more: an engine that is told to load more than it has places for crashes.
 *
 * @packageDocumentation
 */
import type { EngineLimits } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { type AdapterKey, formatAdapterKey } from "./messages.js";
import type { EngineReport } from "./types.js";

/** State of a place. */
export type SlotState = "resident" | "loading" | "leaving" | "uncertain";

/** A taken place. */
export interface AdapterSlot {
    readonly model: string;
    readonly adapter: string;
    state: SlotState;
    version: number;
    /** Uses, older ones counting less. */
    demand: number;
    usedAt: Milliseconds;
    readonly inFlight: Map<InstanceId, number>;
    /** Time of the last order to load it. */
    orderedAt: Milliseconds;
}

/** Places of one engine. */
export interface SlotTable {
    readonly models: Set<string>;
    readonly slots: Map<AdapterKey, AdapterSlot>;
}

const demandHalfLifeMilliseconds = 10_000;
/** Uses are told with a delay, so that an adapter used a moment ago may still be in use. */
const useReportDelayMilliseconds = 500;
/** Time in which the instances tell a new holder what they have in use. */
const firstUseReportDelayMilliseconds = 250;
/** A report may be so much older than the last orders, with some reserve. */
const reportAgeLimitMilliseconds = 1_000;
/** Loads that may be on their way to one engine at a time. */
export const pendingLoadLimit = 4;

/**
 * Creates the book of an engine of which nothing is known.
 *
 * @returns the book
 */
export function createSlotTable(): SlotTable {
    return { models: new Set(), slots: new Map() };
}

/**
 * Takes over what an engine reports; places with an order that may still be carried out stay taken.
 *
 * @param slotTable - the book to correct
 * @param report - the engine's report
 * @param now - the present time
 */
export function applyReport(slotTable: SlotTable, report: EngineReport, now: Milliseconds): void {
    const previous = new Map(slotTable.slots);
    // one that has just come is wanted; of those found by a new holder the instances tell soon whether they are
    const isFirstReport = slotTable.models.size === 0 && previous.size === 0;
    const initialUsedAt = isFirstReport ? now - (useReportDelayMilliseconds - firstUseReportDelayMilliseconds) : now;
    slotTable.models.clear();
    slotTable.slots.clear();
    for (const model of report.models) {
        slotTable.models.add(model.name);
        model.adapters.forEach(adapter =>
            addReportedSlot(
                slotTable,
                previous,
                { model: model.name, ...describeHeld(adapter), state: "resident" },
                initialUsedAt,
            )
        );
    }
    for (const pending of report.pending) {
        const { model, adapter, version } = pending;
        addReportedSlot(slotTable, previous, { model, adapter, version, state: "loading" }, initialUsedAt);
    }
    for (const [key, slot] of previous) {
        const isListed = slotTable.slots.has(key);
        const isNewer = now - slot.orderedAt < reportAgeLimitMilliseconds;
        // a report leaves out adapters that wait for their last runs, orders that are still on their way, and what came after it
        const isKept = slot.state === "leaving" || (slot.state === "uncertain" && !isListed) ||
            (slot.state === "loading" && isNewer && !isListed) || (slot.state === "resident" && isNewer);
        if (isKept) {
            slotTable.slots.set(key, slot);
        }
    }
}

function describeHeld(adapter: { readonly name: string; readonly version: number; }): Pick<
    AdapterSlot,
    "adapter" | "version"
> {
    return { adapter: adapter.name, version: adapter.version };
}

function addReportedSlot(
    slotTable: SlotTable,
    previous: ReadonlyMap<AdapterKey, AdapterSlot>,
    held: Pick<AdapterSlot, "model" | "adapter" | "version" | "state">,
    initialUsedAt: Milliseconds,
): void {
    const key = formatAdapterKey(held.model, held.adapter);
    const known = previous.get(key);
    slotTable.slots.set(key, {
        ...held,
        demand: known?.demand ?? 0,
        usedAt: known?.state === "resident" ? known.usedAt : initialUsedAt,
        inFlight: known?.inFlight ?? new Map(),
        orderedAt: known?.orderedAt ?? Number.NEGATIVE_INFINITY,
    });
}

/**
 * Tells whether one more adapter fits.
 *
 * @param slotTable - the engine's book
 * @param limits - what an engine of its service can hold
 * @param model - model of the adapter
 * @returns whether there is a place and memory
 */
export function hasRoom(slotTable: SlotTable, limits: EngineLimits, model: string): boolean {
    if (slotTable.slots.size >= limits.adapterSlots) {
        return false;
    }
    const sizes = new Map(limits.models.map(entry => [entry.name, entry]));
    let megabytes = sizes.get(model)?.adapterMegabytes ?? 0;
    slotTable.models.forEach(name => megabytes += sizes.get(name)?.sizeMegabytes ?? 0);
    slotTable.slots.forEach(slot => megabytes += sizes.get(slot.model)?.adapterMegabytes ?? 0);
    return megabytes <= limits.memoryMegabytes;
}

/**
 * Counts loads on their way to the engine.
 *
 * @param slotTable - the engine's book
 * @returns the count
 */
export function countPending(slotTable: SlotTable): number {
    let count = 0;
    slotTable.slots.forEach(slot => count += slot.state === "loading" || slot.state === "uncertain" ? 1 : 0);
    return count;
}

/**
 * Chooses the adapter that makes way: not in use, and with the least demand.
 *
 * @param slotTable - the engine's book
 * @param now - the present time
 * @returns its key, or `undefined` when all are in use
 */
export function chooseVictim(slotTable: SlotTable, now: Milliseconds): AdapterKey | undefined {
    let victim: AdapterKey | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const [key, slot] of slotTable.slots) {
        const demand = computeDemand(slot, now);
        if (slot.state === "resident" && isIdle(slot, now) && demand < least) {
            victim = key;
            least = demand;
        }
    }
    return victim;
}

/**
 * Tells whether an adapter is surely not in use.
 *
 * @param slot - its place
 * @param now - the present time
 * @returns whether no instance has told of a use that lasts or has just begun
 */
export function isIdle(slot: AdapterSlot, now: Milliseconds): boolean {
    return sumInFlight(slot) === 0 && now - slot.usedAt > useReportDelayMilliseconds;
}

/**
 * Counts uses of an adapter.
 *
 * @param slot - its place
 * @param instance - who used it
 * @param use - requests started, and those under way now
 * @param now - the present time
 */
export function recordUse(
    slot: AdapterSlot,
    instance: InstanceId,
    use: { readonly started: number; readonly inFlight: number; },
    now: Milliseconds,
): void {
    slot.demand = computeDemand(slot, now) + use.started;
    slot.usedAt = now;
    if (use.inFlight > 0) {
        slot.inFlight.set(instance, use.inFlight);
    }
    else {
        slot.inFlight.delete(instance);
    }
}

function computeDemand(slot: AdapterSlot, now: Milliseconds): number {
    return slot.demand * 0.5 ** (Math.max(0, now - slot.usedAt) / demandHalfLifeMilliseconds);
}

function sumInFlight(slot: AdapterSlot): number {
    let sum = 0;
    slot.inFlight.forEach(count => sum += count);
    return sum;
}
