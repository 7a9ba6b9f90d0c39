/**
 * Keeps the adapters of one engine for the instance that holds its shard: loads what is wished, in the order of the load
 * gate, and tells when it is there.
 *
 * @packageDocumentation
 */
import { formatServerRun, type ServerRun } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { type AdapterLoad, createEngineOrders, type EngineOrdersOptions } from "./engineOrders.js";
import type { GateEntry, LoadGate, WaitingLoad } from "./loadGate.js";
import {
    type AdapterKey,
    type AdapterUse,
    type EngineTable,
    type EnsureOutcome,
    type EnsureResult,
    type EnsureWish,
    formatAdapterKey,
} from "./messages.js";
import { countUse } from "./slotBook.js";

interface LoadResult {
    readonly outcome: EnsureOutcome;
    /** From the order's acceptance; `undefined` when nothing was loaded, or its end isn't known exactly. */
    readonly took: Milliseconds | undefined;
}

/** Settings of a keeper. */
export interface EngineKeeperOptions extends Omit<EngineOrdersOptions, "run"> {
    readonly gate: LoadGate;
}

/** Keeper of one engine. */
export interface EngineKeeper {
    readonly run: ServerRun;
    /** Reads what the engine holds; the first time before any order. */
    readonly refresh: () => Promise<void>;
    readonly ensure: (wish: EnsureWish) => Promise<EnsureResult>;
    readonly countUse: (from: InstanceId, use: AdapterUse) => void;
    readonly describe: () => EngineTable;
    /** Adapters whose version is older than the given one. */
    readonly listOutdated: (newest: ReadonlyMap<AdapterKey, number>) => readonly AdapterKey[];
    readonly hasModel: () => boolean;
    readonly readLastOrderAt: () => Milliseconds;
    readonly stop: () => void;
}

/** A load that comes from the engine's own memory takes a tenth of one from the store. */
const memoryLoadPart = 0.1;
const loadPollMilliseconds = 35;
/** A load that has nearly ended at the first poll. */
const secondPollMilliseconds = 12;
/** Answer of a poll that didn't wait for other orders. */
const promptPollMilliseconds = 30;
/** Kept for the way of an order to the engine. */
const pollSlackMilliseconds = 5;
const loadLimitMilliseconds = 3_000;
const rememberedLimit = 100;

/**
 * Creates the keeper of an engine.
 *
 * @param options - the engine and how to reach it
 * @returns the keeper
 */
export function createEngineKeeper(options: EngineKeeperOptions): EngineKeeper {
    const { clock, gate } = options;
    const run = formatServerRun(options.server);
    const orders = createEngineOrders({ ...options, run });
    const loads = new Map<AdapterKey, Promise<EnsureResult>>();
    // adapters that the engine had a while ago and keeps in its memory, oldest first
    const remembered = new Set<AdapterKey>();
    // loads that wait for their turn
    const turns = new Map<AdapterKey, GateEntry>();

    const keepInMemory = (key: AdapterKey): void => {
        remembered.delete(key);
        remembered.add(key);
        for (const oldest of remembered) {
            if (remembered.size <= rememberedLimit) {
                break;
            }
            remembered.delete(oldest);
        }
    };
    const waitForTurn = (key: AdapterKey, load: WaitingLoad): Promise<GateEntry | undefined> =>
        new Promise(resolve => {
            let isOver = false;
            const entry = gate.enter(load, isTurn => {
                isOver = true;
                turns.delete(key);
                queueMicrotask(() => resolve(isTurn ? entry : undefined));
            }, clock.now());
            if (!isOver) {
                turns.set(key, entry);
            }
        });
    // `took` is told only where polls were close together and answered at once, as others say little of the store
    const waitForLoad = async (load: AdapterLoad, waits: readonly Milliseconds[]): Promise<LoadResult> => {
        const startedAt = clock.now();
        let isExact = true;
        for (let polls = 0; !orders.isStopped() && clock.now() - startedAt < loadLimitMilliseconds; polls++) {
            const pollWait = waits[polls] ?? loadPollMilliseconds;
            await clock.sleep(pollWait);
            const polledAt = clock.now();
            const outcome = await orders.poll(load);
            const now = clock.now();
            const isPrompt = now - polledAt <= promptPollMilliseconds;
            if (outcome !== "loading" && outcome !== "unanswered") {
                isExact &&= isPrompt && (polls === 0 || pollWait <= loadPollMilliseconds);
                return { outcome, took: outcome === "resident" && isExact ? now - startedAt : undefined };
            }
            isExact = isPrompt && outcome === "loading";
        }
        return { outcome: "failed", took: undefined };
    };
    const loadNow = async (load: AdapterLoad, waits: readonly Milliseconds[]): Promise<LoadResult> => {
        const outcome = await orders.load(load);
        return outcome === "loading" ? waitForLoad(load, waits) : { outcome, took: undefined };
    };
    // the first poll comes when a load at full speed has ended, the second when one at the present speed should have
    const listStoreWaits = (): readonly Milliseconds[] => {
        const quickest = gate.readQuickest() + pollSlackMilliseconds;
        const slowdown = gate.estimateDuration() - gate.readQuickest();
        return [
            quickest,
            slowdown > loadPollMilliseconds ? slowdown - loadPollMilliseconds / 2 : secondPollMilliseconds,
        ];
    };
    const describeWaiting = (wish: EnsureWish): WaitingLoad => {
        const now = clock.now();
        return { priority: wish.priority, usefulUntil: now + wish.usefulFor, until: now + wish.patience };
    };
    const loadFromStore = async (load: AdapterLoad, wish: EnsureWish): Promise<EnsureOutcome> => {
        const turn = await waitForTurn(load.key, describeWaiting(wish));
        if (!turn) {
            return "expired";
        }
        let took: Milliseconds | undefined;
        try {
            const result = await loadNow(load, listStoreWaits());
            took = result.took;
            return result.outcome;
        }
        finally {
            turn.leave(took, clock.now());
        }
    };
    const load = async (wish: EnsureWish, adapter: string, key: AdapterKey): Promise<EnsureResult> => {
        const { model, wasDenied } = wish;
        const version = wish.version ?? 1;
        const adapterLoad: AdapterLoad = { key, model, adapter, version: wish.version, wasDenied };
        const outcome = remembered.has(key)
            ? (await loadNow(adapterLoad, [gate.readQuickest() * memoryLoadPart + pollSlackMilliseconds])).outcome
            : await loadFromStore(adapterLoad, wish);
        if (outcome === "resident") {
            markResident(adapterLoad, version);
        }
        return { outcome, version };
    };
    const markResident = ({ key, model, adapter }: AdapterLoad, version: number): void => {
        const slot = orders.book.slots.get(key);
        keepInMemory(key);
        if (slot) {
            slot.state = "resident";
            slot.version = version;
            slot.usedAt = clock.now();
            options.onChange({ run, model, adapter, version });
        }
    };
    const serveWish = (wish: EnsureWish): Promise<EnsureResult> => {
        if (wish.adapter === undefined) {
            const outcome = orders.book.models.has(wish.model) ? "resident" : "failed";
            return Promise.resolve({ outcome, version: undefined });
        }
        const key = formatAdapterKey(wish.model, wish.adapter);
        const slot = orders.book.slots.get(key);
        if (slot?.state === "resident" && !wish.wasDenied && slot.version >= (wish.version ?? 0)) {
            return Promise.resolve({ outcome: "resident", version: slot.version });
        }
        turns.get(key)?.extend(describeWaiting(wish));
        let pending = loads.get(key);
        if (!pending) {
            pending = load(wish, wish.adapter, key).finally(() => loads.delete(key));
            loads.set(key, pending);
        }
        return pending;
    };
    return {
        run,
        refresh: orders.refresh,
        ensure: serveWish,
        countUse: (from, use) => {
            const slot = orders.book.slots.get(use.key);
            if (slot) {
                countUse(slot, from, use, clock.now());
            }
        },
        describe: orders.describe,
        listOutdated: newest =>
            [...orders.book.slots]
                .filter(([key, slot]) => slot.state === "resident" && slot.version < (newest.get(key) ?? 0))
                .map(([key]) => key),
        hasModel: () => orders.book.models.size > 0,
        readLastOrderAt: orders.readLastOrderAt,
        stop: orders.stop,
    };
}
