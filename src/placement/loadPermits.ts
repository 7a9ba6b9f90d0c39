/**
 * Permits for loads, from the request for a permit until the load has ended.
 *
 * @packageDocumentation
 */
import type { LoadBudget, LoadPermit } from "../limits/index.js";
import type { BackendServerId, Milliseconds } from "../shared/index.js";
import { parseAdapterVersionKey } from "./adapterSlots.js";
import type { AdapterVersionKey, LoadName } from "./messages.js";

/** Permits that this instance holds or has requested. */
export interface LoadPermits {
    /**
     * Waits for a permit. Returns the latest time at which the load may start, or `undefined` if the request was
     * withdrawn.
     */
    readonly acquire: (
        engine: BackendServerId,
        key: AdapterVersionKey,
        priority: number,
    ) => Promise<Milliseconds | undefined>;
    /** Assigns the permit of the adapter version to a load. */
    readonly useForLoad: (engine: BackendServerId, name: LoadName) => void;
    /** Whether the load has a permit that still allows it to start. */
    readonly mayStart: (name: LoadName, now: Milliseconds) => boolean;
    /** Withdraws a request for a permit, or releases a permit that was not used. */
    readonly withdraw: (engine: BackendServerId, key: AdapterVersionKey) => void;
    /** Releases the permit of a load that has ended. */
    readonly release: (name: LoadName) => void;
    readonly releaseAll: () => void;
}

interface PermitRequest {
    readonly controller: AbortController;
    permit: LoadPermit | undefined;
}

/**
 * Creates a set without permits.
 *
 * @param budget - limits loads across all instances
 * @returns the set, owned by the caller
 */
export function createLoadPermits(budget: LoadBudget): LoadPermits {
    const requested = new Map<string, PermitRequest>();
    const permitsInUse = new Map<LoadName, LoadPermit>();
    const formatPermitId = (engine: BackendServerId, key: AdapterVersionKey): string => `${engine}\n${key}`;
    const withdraw = (id: string): void => {
        const entry = requested.get(id);
        requested.delete(id);
        entry?.controller.abort();
        entry?.permit?.release();
    };
    return {
        acquire: async (engine, key, priority) => {
            const id = formatPermitId(engine, key);
            withdraw(id);
            const entry: PermitRequest = { controller: new AbortController(), permit: undefined };
            requested.set(id, entry);
            const permit = await budget.acquire(priority, entry.controller.signal);
            if (requested.get(id) !== entry) {
                permit?.release();
                return undefined;
            }
            entry.permit = permit;
            return permit?.startBy;
        },
        useForLoad: (engine, name) => {
            const id = formatPermitId(engine, parseAdapterVersionKey(name));
            const permit = requested.get(id)?.permit;
            requested.delete(id);
            if (permit) {
                permitsInUse.set(name, permit);
            }
        },
        mayStart: (name, now) => now <= (permitsInUse.get(name)?.startBy ?? Number.NEGATIVE_INFINITY),
        withdraw: (engine, key) => withdraw(formatPermitId(engine, key)),
        release: name => {
            permitsInUse.get(name)?.release();
            permitsInUse.delete(name);
        },
        releaseAll: () => {
            [...requested.keys()].forEach(withdraw);
            permitsInUse.forEach(permit => permit.release());
            permitsInUse.clear();
        },
    };
}
