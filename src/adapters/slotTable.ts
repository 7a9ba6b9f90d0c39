/**
 * Adapter slots of one engine, as counted by the instance that holds the engine's shard. An adapter whose order got no
 * response keeps its slot until the engine can no longer execute that order: an engine that is ordered to load more
 * adapters than it has slots crashes.
 *
 * @packageDocumentation
 */
import type { EngineLimits } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import { type AdapterKey, formatAdapterKey } from "./messages.js";
import type { EngineReport } from "./types.js";

/**
 * State of a slot. `leaving`: an unload was ordered; `uncertain`: a load was ordered, and it is unknown whether the
 * engine executes it.
 */
export type SlotState = "resident" | "loading" | "leaving" | "uncertain";

/** A slot that is occupied or reserved by an adapter. */
export interface AdapterSlot {
    readonly model: string;
    readonly adapter: string;
    state: SlotState;
    /** 0 in a reserved slot, until the load has ended or a report lists it. */
    version: number;
    /** Exponentially decaying count of started requests, as of `usedAt`. */
    demand: number;
    /** Time of the last start or end of a request, or of the reservation, load or first report if that is later. */
    usedAt: Milliseconds;
    /** Requests of all instances that have a place with this adapter. */
    inFlight: number;
    /** Time of the last order to load the adapter. */
    orderedAt: Milliseconds;
}

/** Models and adapter slots of one engine. */
export interface SlotTable {
    readonly models: Set<string>;
    readonly slots: Map<AdapterKey, AdapterSlot>;
}

const demandHalfLifeMilliseconds = 10_000;
/** Demand that a load and two uses leave; an adapter that was used once may never be asked for again. */
const busyDemand = 2.2;
/**
 * Time for which a new holder takes the adapters that it finds for used: requests that the previous holder placed may
 * still be running.
 */
const takeoverGraceMilliseconds = 500;
/** Time after a load or a use in which the requests that waited for the adapter take their places. */
const recentUseMilliseconds = 100;
/** Maximum age of an engine's report, with a margin; a report may miss orders that are more recent than this. */
const reportAgeLimitMilliseconds = 1_000;
/** Maximum number of pending loads on one engine. */
export const pendingLoadLimit = 4;

/**
 * Creates the table of an engine whose state isn't known yet.
 *
 * @returns an empty table, owned by the caller
 */
export function createSlotTable(): SlotTable {
    return { models: new Set(), slots: new Map() };
}

/**
 * Updates a table from an engine's report. Slots whose order may still be executed stay occupied.
 *
 * @param slotTable - table of the engine, changed in place
 * @param report - the engine's report
 * @param now - current time
 */
export function applyReport(slotTable: SlotTable, report: EngineReport, now: Milliseconds): void {
    const previous = new Map(slotTable.slots);
    const isFirstReport = slotTable.models.size === 0 && previous.size === 0;
    const initialUsedAt = isFirstReport ? now + takeoverGraceMilliseconds : now;
    slotTable.models.clear();
    slotTable.slots.clear();
    for (const model of report.models) {
        slotTable.models.add(model.name);
        model.adapters.forEach(adapter =>
            addReportedSlot(
                slotTable,
                previous,
                { model: model.name, ...convertReportedAdapter(adapter), state: "resident" },
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
        // a report omits adapters whose unload waits for requests, orders in transit, and loads that ended after it
        const isKept = slot.state === "leaving" || (slot.state === "uncertain" && !isListed) ||
            (slot.state === "loading" && isNewer && !isListed) || (slot.state === "resident" && isNewer);
        if (isKept) {
            slotTable.slots.set(key, slot);
        }
    }
}

function convertReportedAdapter(adapter: { readonly name: string; readonly version: number; }): Pick<
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
        inFlight: known?.inFlight ?? 0,
        orderedAt: known?.orderedAt ?? Number.NEGATIVE_INFINITY,
    });
}

/**
 * Checks whether an engine has a free slot and enough memory for one more adapter. The orders of uncertain slots and the
 * one to come carry the same expected sequence, so that the engine executes one of them at most.
 *
 * @param slotTable - table of the engine
 * @param limits - slots and memory of the engines of its service
 * @param model - base model of the adapter
 * @returns whether the adapter fits
 */
export function hasRoom(slotTable: SlotTable, limits: EngineLimits, model: string): boolean {
    const slots = [...slotTable.slots.values()];
    const certain = slots.filter(slot => slot.state !== "uncertain");
    if (certain.length >= limits.adapterSlots) {
        return false;
    }
    const sizes = new Map(limits.models.map(entry => [entry.name, entry]));
    const measureAdapter = (name: string): number => sizes.get(name)?.adapterMegabytes ?? 0;
    const uncertain = slots.filter(slot => slot.state === "uncertain").map(slot => measureAdapter(slot.model));
    let megabytes = Math.max(measureAdapter(model), ...uncertain);
    slotTable.models.forEach(name => megabytes += sizes.get(name)?.sizeMegabytes ?? 0);
    certain.forEach(slot => megabytes += measureAdapter(slot.model));
    return megabytes <= limits.memoryMegabytes;
}

/**
 * Counts the loads that the engine is executing or may execute: of those that are uncertain it executes one at most.
 *
 * @param slotTable - table of the engine
 * @returns number of loads
 */
export function countPending(slotTable: SlotTable): number {
    const states = [...slotTable.slots.values()].map(slot => slot.state);
    return states.filter(state => state === "loading").length + (states.includes("uncertain") ? 1 : 0);
}

/**
 * Chooses the adapter to evict: the one with the least demand among those that are resident and idle.
 *
 * @param slotTable - table of the engine
 * @param now - current time
 * @returns the adapter's key, or `undefined` when none is idle
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
 * Lists the adapters that are worth a load elsewhere when their engine stops.
 *
 * @param slotTable - table of the engine
 * @param now - current time
 * @returns keys of the resident adapters that were used lately, most demanded first
 */
export function listBusiest(slotTable: SlotTable, now: Milliseconds): readonly AdapterKey[] {
    return [...slotTable.slots]
        .filter(([, slot]) => slot.state === "resident")
        .map(([key, slot]) => ({ key, demand: computeDemand(slot, now) }))
        .filter(({ demand }) => demand >= busyDemand)
        .sort((left, right) => right.demand - left.demand)
        .map(({ key }) => key);
}

/**
 * Checks whether an adapter isn't in use.
 *
 * @param slot - slot of the adapter
 * @param now - current time
 * @returns whether no request has a place with the adapter, and none is likely to have one from the previous holder
 */
export function isIdle(slot: AdapterSlot, now: Milliseconds): boolean {
    return slot.inFlight === 0 && now - slot.usedAt > recentUseMilliseconds;
}

/**
 * Records the start of a request that uses an adapter.
 *
 * @param slot - slot of the adapter, changed in place
 * @param now - current time
 */
export function markUseStarted(slot: AdapterSlot, now: Milliseconds): void {
    slot.demand = computeDemand(slot, now) + 1;
    slot.usedAt = Math.max(slot.usedAt, now);
    slot.inFlight++;
}

/**
 * Records the end of a request that uses an adapter.
 *
 * @param slot - slot of the adapter, changed in place
 */
export function markUseEnded(slot: AdapterSlot): void {
    slot.inFlight = Math.max(0, slot.inFlight - 1);
}

function computeDemand(slot: AdapterSlot, now: Milliseconds): number {
    return slot.demand * 0.5 ** (Math.max(0, now - slot.usedAt) / demandHalfLifeMilliseconds);
}
