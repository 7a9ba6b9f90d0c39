/**
 * Baselines: least recently used eviction with the least loaded engine, and with consistent hashing. Both know
 * everything at once and never evict an adapter in use, which is more than one could have in earnest.
 *
 * @packageDocumentation
 */
import { formatAdapterName } from "../../backends/index.js";
import { type Milliseconds, rankByRendezvous } from "../../shared/index.js";
import type { FoundPlace, PlacementPolicy, PolicyContext } from "./scenario.js";
import { type Arrival, engineSize } from "./workload.js";

interface HeldAdapter {
    isResident: boolean;
    uses: number;
    usedAt: Milliseconds;
    readonly waiting: Blocked[];
}

interface BaselineEngine {
    readonly id: string;
    inFlight: number;
    /** Adapters in slots, by name of the adapter. */
    held: Map<string, HeldAdapter>;
}

interface Blocked {
    readonly arrival: Arrival;
    readonly askedAt: Milliseconds;
    readonly found: (place: FoundPlace) => void;
}

/** Ranks the engines on which a request could be placed, best first. */
type EngineOrder = (arrival: Arrival, engines: readonly BaselineEngine[]) => readonly BaselineEngine[];

const version = "1";

/**
 * Creates the baseline with the least loaded engine; an engine that holds the adapter goes first.
 *
 * @param context - what it runs on
 * @returns the policy
 */
export function createLeastLoadedPolicy(context: PolicyContext): PlacementPolicy {
    return createLruPolicy(context, (arrival, engines) => {
        const holders = engines.filter(engine => engine.held.has(arrival.adapter));
        return [...(holders.length > 0 ? holders : engines)].sort((left, right) => left.inFlight - right.inFlight);
    });
}

/**
 * Creates the baseline with consistent hashing: each adapter has one engine.
 *
 * @param context - what it runs on
 * @returns the policy
 */
export function createHashingPolicy(context: PolicyContext): PlacementPolicy {
    const homes = new Map<string, string>();
    return createLruPolicy(context, (arrival, engines) => {
        const home = homes.get(arrival.adapter)
            ?? rankByRendezvous(arrival.adapter, engines.map(engine => engine.id), 1)[0]!;
        homes.set(arrival.adapter, home);
        return engines.filter(engine => engine.id === home);
    });
}

function createLruPolicy(context: PolicyContext, orderEngines: EngineOrder): PlacementPolicy {
    const { history, engines: fleet } = context;
    const engines = fleet.list().map((model): BaselineEngine => ({
        id: model.readReport(0).engine,
        inFlight: 0,
        held: new Map(),
    }));
    let blocked: readonly Blocked[] = [];
    let loads = 0;

    const makePlace = (
        engine: BaselineEngine,
        held: HeldAdapter,
        arrival: Arrival,
        stall: Milliseconds,
    ): FoundPlace => {
        held.uses++;
        held.usedAt = history.now();
        engine.inFlight++;
        return {
            engine: engine.id,
            adapter: { adapter: arrival.adapter, version },
            incarnation: fleet.find(engine.id).readIncarnation(),
            stall,
            release: () => {
                held.uses--;
                engine.inFlight--;
                retryBlocked();
            },
        };
    };
    const releaseSlot = (engine: BaselineEngine): boolean => {
        if (engine.held.size < engineSize.adapterSlots) {
            return true;
        }
        const idle = [...engine.held].filter(([, held]) => held.isResident && held.uses === 0);
        const victim = idle.sort(([, left], [, right]) => left.usedAt - right.usedAt)[0]?.[0];
        if (victim === undefined) {
            return false;
        }
        engine.held.delete(victim);
        fleet.unload(engine.id, makeOrder(engine, victim));
        return true;
    };
    const makeOrder = (engine: BaselineEngine, adapter: string) => ({
        adapter: { adapter, version },
        fencingNumber: 1,
        incarnation: fleet.find(engine.id).readIncarnation(),
    });
    const startLoad = (engine: BaselineEngine, entry: Blocked): void => {
        const { adapter } = entry.arrival;
        const held: HeldAdapter = { isResident: false, uses: 0, usedAt: history.now(), waiting: [entry] };
        engine.held.set(adapter, held);
        loads++;
        const order = makeOrder(engine, adapter);
        fleet.load(engine.id, order, result => {
            if (!result.ok) {
                throw new Error(`baseline load ${loads} of ${formatAdapterName(order.adapter)} failed`);
            }
            held.isResident = true;
            held.waiting.splice(0).forEach(({ arrival, askedAt, found }) =>
                found(makePlace(engine, held, arrival, history.now() - askedAt))
            );
        });
    };
    const tryPlace = (entry: Blocked): boolean => {
        for (const engine of orderEngines(entry.arrival, engines)) {
            const held = engine.held.get(entry.arrival.adapter);
            if (held?.isResident) {
                entry.found(makePlace(engine, held, entry.arrival, history.now() - entry.askedAt));
                return true;
            }
            if (held) {
                held.waiting.push(entry);
                return true;
            }
            if (releaseSlot(engine)) {
                startLoad(engine, entry);
                return true;
            }
        }
        return false;
    };
    const retryBlocked = (): void => {
        blocked = blocked.filter(entry => !tryPlace(entry));
    };
    return {
        place: (arrival, found) => {
            const entry = { arrival, askedAt: history.now(), found };
            if (!tryPlace(entry)) {
                blocked = [...blocked, entry];
            }
        },
        handleRestart: id => {
            const engine = engines.find(entry => entry.id === id)!;
            const waiting = [...engine.held.values()].flatMap(held => held.waiting.splice(0));
            engine.held = new Map();
            blocked = [...blocked, ...waiting];
            retryBlocked();
        },
    };
}
