/**
 * Permits for loads, from the wish for one until the load has ended.
 *
 * @packageDocumentation
 */
import type { LoadBudget, LoadPermit } from "../limits/index.js";
import type { BackendServerId, Milliseconds } from "../shared/index.js";
import { parseAdapterVersionKey } from "./adapterSlots.js";
import type { AdapterVersionKey, LoadName } from "./messages.js";

/** Permits that this instance has or waits for. */
export interface LoadPermits {
    /** Waits for a permit; answers until when the load may be started, or `undefined` when it was withdrawn. */
    readonly acquire: (
        engine: BackendServerId,
        key: AdapterVersionKey,
        priority: number,
    ) => Promise<Milliseconds | undefined>;
    /** Says which load the permit is used for. */
    readonly useForLoad: (engine: BackendServerId, name: LoadName) => void;
    /** Whether the load may be started now. */
    readonly mayStart: (name: LoadName, now: Milliseconds) => boolean;
    /** Withdraws the wish for a permit, or gives back one that was not used. */
    readonly withdraw: (engine: BackendServerId, key: AdapterVersionKey) => void;
    /** Gives back the permit of a load that has ended. */
    readonly release: (name: LoadName) => void;
    readonly releaseAll: () => void;
}

interface PermitRequest {
    readonly controller: AbortController;
    permit: LoadPermit | undefined;
}

/**
 * Creates an empty set.
 *
 * @param budget - counts loads over all instances
 * @returns no permits
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
