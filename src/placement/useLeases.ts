/**
 * One instance's use leases: on which loads it may start requests, and until when. It also bears witness of evictions.
 *
 * @packageDocumentation
 */
import type { BackendServerId, FencingNumber, InstanceId, Milliseconds } from "../shared/index.js";
import type { EngineTable, LoadName, PlacementMessage, RunningCount } from "./messages.js";

/** A message of the given kind. */
export type MessageOf<Kind extends PlacementMessage["kind"]> = Extract<PlacementMessage, { kind: Kind; }>;

interface LoadUse {
    validUntil: Milliseconds;
    lastUsedAt: Milliseconds;
    running: number;
}

interface EngineLeaseState {
    /** Newest owner that this instance has heard from; older ones are not obeyed. */
    fencingNumber: FencingNumber;
    /** Whether there was an owner before that one. */
    knewOwner: boolean;
    readonly uses: Map<LoadName, LoadUse>;
    /** Loads whose eviction this instance has agreed to or heard of, and when. */
    readonly retired: Map<LoadName, Milliseconds>;
}

/** Use leases of one instance on all engines. */
export interface UseLeases {
    readonly handleGrant: (message: MessageOf<"useGrant">, now: Milliseconds) => void;
    readonly handleRetire: (message: MessageOf<"retire">, now: Milliseconds) => MessageOf<"retired"> | undefined;
    readonly handleCollect: (
        message: MessageOf<"collect">,
        participants: readonly InstanceId[],
        now: Milliseconds,
    ) => MessageOf<"collected"> | undefined;
    /** Takes note of an owner's table; `false` when it comes from an older owner. */
    readonly handleTable: (table: EngineTable, now: Milliseconds) => boolean;
    /** Whether a request may start on the load now. */
    readonly isUsable: (engine: BackendServerId, name: LoadName, now: Milliseconds) => boolean;
    /** Whether the lease under which a request was pinned still holds; an eviction waits for it. */
    readonly isValid: (engine: BackendServerId, name: LoadName, now: Milliseconds) => boolean;
    readonly isRetired: (engine: BackendServerId, name: LoadName) => boolean;
    readonly pin: (engine: BackendServerId, name: LoadName, now: Milliseconds) => void;
    readonly release: (engine: BackendServerId, name: LoadName, now: Milliseconds) => void;
    /** Loads that are in use or were lately: those whose lease is worth renewing. */
    readonly listRenewable: (engine: BackendServerId, now: Milliseconds) => readonly LoadName[];
    readonly listRunning: (engine: BackendServerId) => readonly RunningCount[];
    readonly listEngines: () => Iterable<BackendServerId>;
    /** Forgets what can matter no more. */
    readonly prune: (now: Milliseconds) => void;
}

/** Settings of use leases. */
export interface UseLeaseOptions {
    /** Time without a request after which a lease is not renewed. */
    readonly leaseIdleTimeout: Milliseconds;
    /** Longest time that an order may be under way; witness is borne as long. */
    readonly maximumOrderDelay: Milliseconds;
}

const noOwnerFencingNumber = -1;

/**
 * Creates the leases of an instance that has just started.
 *
 * @param options - times
 * @returns no leases
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
                // the clock ran on while the question was under way, so the owner's count ends later than ours
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
