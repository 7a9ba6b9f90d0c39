/**
 * Loads that the planner has requested from an owner and that have no load permit yet.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey, LoadName } from "./messages.js";
import type { MessageOf } from "./useLeases.js";

/** A load that waits for an adapter slot or for a load permit. */
export interface PendingLoad {
    readonly key: AdapterVersionKey;
    readonly priority: number;
    /** Loads that may be evicted to free a slot, the one with the lowest expected use first. */
    readonly victims: readonly LoadName[];
    readonly requestedAt: Milliseconds;
    /** Whether a free adapter slot is reserved for it. */
    readonly hasReservedSlot: boolean;
    /** The load whose eviction it waits for. */
    readonly victim: LoadName | undefined;
}

/** Pending loads of one engine. */
export interface PendingLoads {
    /** Adds a load or updates the one that is pending; returns whether it is new. */
    readonly add: (request: MessageOf<"loadWanted">, now: Milliseconds) => boolean;
    readonly reserveSlot: (key: AdapterVersionKey) => void;
    readonly setVictim: (key: AdapterVersionKey, victim: LoadName) => void;
    readonly take: (key: AdapterVersionKey) => PendingLoad | undefined;
    readonly remove: (key: AdapterVersionKey) => void;
    readonly countReserved: () => number;
    readonly listKeys: () => readonly AdapterVersionKey[];
    /** Loads without a reserved slot, in the order in which they get one. */
    readonly listUnreserved: () => readonly PendingLoad[];
    /** Loads that were last requested before the given time. */
    readonly listExpired: (requestedBefore: Milliseconds) => readonly PendingLoad[];
}

/**
 * Creates a set without pending loads.
 *
 * @returns the set, owned by the caller
 */
export function createPendingLoads(): PendingLoads {
    const loads = new Map<AdapterVersionKey, PendingLoad>();
    const update = (key: AdapterVersionKey, change: Partial<PendingLoad>): void => {
        const load = loads.get(key);
        if (load) {
            loads.set(key, { ...load, ...change });
        }
    };
    return {
        add: (request, now) => {
            const { key, priority, victims } = request;
            const known = loads.get(key);
            loads.set(key, {
                hasReservedSlot: false,
                victim: undefined,
                ...known,
                key,
                priority,
                victims,
                requestedAt: now,
            });
            return known === undefined;
        },
        reserveSlot: key => update(key, { hasReservedSlot: true }),
        setVictim: (key, victim) => update(key, { victim }),
        take: key => {
            const load = loads.get(key);
            loads.delete(key);
            return load;
        },
        remove: key => {
            loads.delete(key);
        },
        countReserved: () => [...loads.values()].filter(load => load.hasReservedSlot).length,
        listKeys: () => [...loads.keys()],
        listUnreserved: () =>
            [...loads.values()]
                .filter(load => !load.hasReservedSlot)
                .sort((left, right) => left.priority - right.priority || left.requestedAt - right.requestedAt),
        listExpired: requestedBefore => [...loads.values()].filter(load => load.requestedAt < requestedBefore),
    };
}
