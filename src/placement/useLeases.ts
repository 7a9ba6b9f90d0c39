/**
 * One instance's use leases. A use lease allows the instance to start requests on one load until the lease expires; the
 * owner of the engine does not evict the load while such a request may run. The module also remembers evictions, so
 * that a new owner can learn of evictions that an earlier owner started.
 *
 * @packageDocumentation
 */
import type { BackendServerId, FencingNumber, InstanceId, Milliseconds } from "../shared/index.js";
import type { EngineTable, LoadName, PlacementMessage, RunningCount } from "./messages.js";

/** The placement message of the given kind. */
export type MessageOf<Kind extends PlacementMessage["kind"]> = Extract<PlacementMessage, { kind: Kind; }>;

interface LoadUse {
    validUntil: Milliseconds;
    lastUsedAt: Milliseconds;
    running: number;
}

interface EngineLeaseState {
    /** Fencing number of the newest owner that this instance has heard from; messages of earlier owners are ignored. */
    fencingNumber: FencingNumber;
    /** Whether this instance had heard from an earlier owner than the newest one. */
    knewOwner: boolean;
    readonly uses: Map<LoadName, LoadUse>;
    /** Loads whose eviction this instance knows of, and when it last heard of it. */
    readonly retired: Map<LoadName, Milliseconds>;
}

/** Use leases of one instance on the loads of all engines. */
export interface UseLeases {
    readonly handleGrant: (message: MessageOf<"useGrant">, now: Milliseconds) => void;
    readonly handleRetire: (message: MessageOf<"retire">, now: Milliseconds) => MessageOf<"retired"> | undefined;
    readonly handleCollect: (
        message: MessageOf<"collect">,
        participants: readonly InstanceId[],
        now: Milliseconds,
    ) => MessageOf<"collected"> | undefined;
    /** Records the evictions in an owner's table. Returns `false` when the table comes from an earlier owner. */
    readonly handleTable: (table: EngineTable, now: Milliseconds) => boolean;
    /** Whether a new request may start on the load: the lease is valid and the load is not being evicted. */
    readonly isUsable: (engine: BackendServerId, name: LoadName, now: Milliseconds) => boolean;
    /**
     * Whether the lease of a pinned request is still valid. Unlike `isUsable` it stays true during an eviction,
     * because the eviction waits for the requests that this instance has pinned.
     */
    readonly isValid: (engine: BackendServerId, name: LoadName, now: Milliseconds) => boolean;
    /** Whether this instance knows that the load is being evicted. */
    readonly isRetired: (engine: BackendServerId, name: LoadName) => boolean;
    readonly pin: (engine: BackendServerId, name: LoadName, now: Milliseconds) => void;
    readonly release: (engine: BackendServerId, name: LoadName, now: Milliseconds) => void;
    /** Loads that are in use or were used recently, whose leases are therefore renewed. */
    readonly listRenewable: (engine: BackendServerId, now: Milliseconds) => readonly LoadName[];
    readonly listRunning: (engine: BackendServerId) => readonly RunningCount[];
    readonly listEngines: () => Iterable<BackendServerId>;
    /** Removes expired leases that are idle, and evictions whose orders can no longer arrive. */
    readonly prune: (now: Milliseconds) => void;
}

/** Timeouts of use leases. */
export interface UseLeaseOptions {
    /** Time without a request on a load after which its lease is not renewed. */
    readonly leaseIdleTimeout: Milliseconds;
    /** Longest time that an order may take to reach its engine; evictions are remembered for as long. */
    readonly maximumOrderDelay: Milliseconds;
}

const noOwnerFencingNumber = -1;

/**
 * Creates the use leases of an instance that has just started.
 *
 * @param options - timeouts
 * @returns a set without leases, owned by the caller
 */
export function createUseLeases(options: UseLeaseOptions): UseLeases {
    const engines = new Map<BackendServerId, EngineLeaseState>();
    const getEngineState = (engine: BackendServerId): EngineLeaseState => {
        const known = engines.get(engine)
            ?? { fencingNumber: noOwnerFencingNumber, knewOwner: false, uses: new Map(), retired: new Map() };
        engines.set(engine, known);
        return known;
    };
    const acceptFencingNumber = (state: EngineLeaseState, fencingNumber: FencingNumber): boolean => {
        if (fencingNumber < state.fencingNumber) {
            return false;
        }
        if (fencingNumber > state.fencingNumber) {
            state.knewOwner = state.fencingNumber !== noOwnerFencingNumber;
            state.fencingNumber = fencingNumber;
        }
        return true;
    };
    const isActive = (use: LoadUse, now: Milliseconds): boolean => use.running > 0 || use.validUntil > now;
    return {
        handleGrant: (message, now) => {
            const state = getEngineState(message.engine);
            if (!acceptFencingNumber(state, message.fencingNumber)) {
                return;
            }
            for (const name of message.names) {
                const use = state.uses.get(name) ?? { validUntil: 0, lastUsedAt: now, running: 0 };
                // counted from the sending of the request, so it ends earlier here than in the owner's record
                use.validUntil = Math.max(use.validUntil, message.sentAt + message.duration);
                state.uses.set(name, use);
            }
        },
        handleRetire: (message, now) => {
            const state = getEngineState(message.engine);
            if (!acceptFencingNumber(state, message.fencingNumber)) {
                return undefined;
            }
            state.retired.set(message.name, now);
            const inUse = (state.uses.get(message.name)?.running ?? 0) > 0;
            return { ...message, kind: "retired", inUse };
        },
        handleCollect: (message, participants, now) => {
            const state = getEngineState(message.engine);
            if (!acceptFencingNumber(state, message.fencingNumber)) {
                return undefined;
            }
            const held = [...state.uses].flatMap(([name, use]) => isActive(use, now) ? [name] : []);
            return {
                ...message,
                kind: "collected",
                knewOwner: state.knewOwner,
                held,
                participants,
                retired: [...state.retired.keys()],
            };
        },
        handleTable: (table, now) => {
            const state = getEngineState(table.engine);
            if (!acceptFencingNumber(state, table.fencingNumber)) {
                return false;
            }
            for (const name of table.retiring) {
                state.retired.set(name, now);
            }
            return true;
        },
        isUsable: (engine, name, now) => {
            const state = engines.get(engine);
            return (state?.uses.get(name)?.validUntil ?? 0) > now && !state!.retired.has(name);
        },
        isValid: (engine, name, now) => (engines.get(engine)?.uses.get(name)?.validUntil ?? 0) > now,
        isRetired: (engine, name) => engines.get(engine)?.retired.has(name) ?? false,
        pin: (engine, name, now) => {
            const use = engines.get(engine)?.uses.get(name);
            if (use) {
                use.running++;
                use.lastUsedAt = now;
            }
        },
        release: (engine, name, now) => {
            const use = engines.get(engine)?.uses.get(name);
            if (use) {
                use.running--;
                use.lastUsedAt = now;
            }
        },
        listRenewable: (engine, now) =>
            [...engines.get(engine)?.uses ?? []].flatMap(([name, use]) =>
                use.running > 0 || now - use.lastUsedAt < options.leaseIdleTimeout ? [name] : []
            ),
        listRunning: engine =>
            [...engines.get(engine)?.uses ?? []].flatMap(([name, use]) =>
                use.running > 0 ? [{ name, count: use.running }] : []
            ),
        listEngines: () => engines.keys(),
        prune: now => {
            for (const state of engines.values()) {
                for (const [name, use] of state.uses) {
                    if (!isActive(use, now) && now - use.lastUsedAt >= options.leaseIdleTimeout) {
                        state.uses.delete(name);
                    }
                }
                for (const [name, at] of state.retired) {
                    if (now - at > options.maximumOrderDelay) {
                        state.retired.delete(name);
                    }
                }
            }
        },
    };
}
