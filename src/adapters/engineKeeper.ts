/**
 * Orders to one engine by the instance that holds its shard, one order at a time. Each order names the count of orders that
 * the engine must have accepted, so that one without an answer is void as soon as another was accepted.
 *
 * @packageDocumentation
 */
import type { BackendServer, EngineLimits, ServerRun } from "../serving/types.js";
import { formatServerRun } from "../serving/types.js";
import { type Clock, createDebug, type InstanceId, type Milliseconds } from "../shared/index.js";
import {
    type AdapterKey,
    type AdapterUse,
    type EngineTable,
    type EnsureOutcome,
    formatAdapterKey,
    type ResidencyChange,
} from "./messages.js";
import {
    type AdapterSlot,
    applyReport,
    chooseVictim,
    countPending,
    countUse,
    createSlotBook,
    hasRoom,
    isQuiet,
    pendingLoadLimit,
} from "./slotBook.js";
import type { EngineControl, EngineOrder, OrderOutcome } from "./types.js";

/** What an instance wants to have on an engine. */
export interface EnsureWish {
    readonly model: string;
    readonly adapter: string | undefined;
    readonly version: number | undefined;
    readonly wasDenied: boolean;
}

/** Result of a wish. */
export interface EnsureResult {
    readonly outcome: EnsureOutcome;
    readonly version: number | undefined;
}

/** Settings of a keeper. */
export interface EngineKeeperOptions {
    readonly server: BackendServer;
    readonly findLimits: () => EngineLimits | undefined;
    readonly control: EngineControl;
    readonly clock: Clock;
    readonly holder: string;
    /** Fencing number under which orders may be sent now; `undefined` when the shard is no longer held. */
    readonly findFencingNumber: () => number | undefined;
    /** Called when the engine has seen a higher fencing number. */
    readonly onFenced: () => void;
    readonly onChange: (change: ResidencyChange) => void;
    readonly onTable: (table: EngineTable) => void;
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
    readonly readLastOrderAt: () => Milliseconds;
    readonly stop: () => void;
}

/** A report is some hundred milliseconds old. */
const reportLagMilliseconds = 300;
const firstLoadEstimateMilliseconds = 200;
const loadPollMilliseconds = 25;
const firstPollPart = 0.9;
const unloadPollMilliseconds = 250;
const loadLimitMilliseconds = 3_000;
const orderTries = 3;
/** An engine that carries out an order refuses others. */
const busyPauseMilliseconds = 400;
const estimateWeight = 0.3;
const log = createDebug("adapters");

/**
 * Creates the keeper of an engine.
 *
 * @param options - the engine and how to reach it
 * @returns the keeper
 */
export function createEngineKeeper(options: EngineKeeperOptions): EngineKeeper {
    const { server, clock } = options;
    const run = formatServerRun(server);
    const book = createSlotBook();
    const loads = new Map<AdapterKey, Promise<EnsureResult>>();
    let sequence: number | undefined;
    let lastOrderAt = Number.NEGATIVE_INFINITY;
    let isStopped = false;
    let queue: Promise<unknown> = Promise.resolve();
    let busyUntil = Number.NEGATIVE_INFINITY;
    let loadEstimate: Milliseconds = firstLoadEstimateMilliseconds;

    const runAlone = <Value>(job: () => Promise<Value>): Promise<Value> => {
        const result = queue.then(job);
        queue = result.catch((error: unknown) => log.error("keeper job failed", { run, error: String(error) }));
        return result;
    };
    const describe = (): EngineTable => ({
        run,
        models: [...book.models].map(name => ({
            name,
            adapters: [...book.slots.values()]
                .filter(slot => slot.model === name && slot.state === "resident")
                .map(slot => [slot.adapter, slot.version] as const),
        })),
    });
    const readReport = async (isSettled = false): Promise<boolean> => {
        const report = await options.control.report(server);
        if (!report.ok) {
            log.warn("engine report missing", { run, detail: report.error.detail });
            return false;
        }
        // a report is a little old, and so may miss the last orders
        sequence = isSettled ? report.value.sequence : Math.max(sequence ?? 0, report.value.sequence);
        applyReport(book, report.value, clock.now());
        log.info("engine report", {
            run,
            sequence: report.value.sequence,
            resident: report.value.models.reduce((sum, model) => sum + model.adapters.length, 0),
            pending: report.value.pending.map(pending => pending.adapter),
            taken: book.slots.size,
        });
        options.onTable(describe());
        return true;
    };
    const sendOrder = async (
        action: EngineOrder["action"],
        model: string,
        adapter: string | undefined,
        version?: number,
    ): Promise<OrderOutcome> => {
        const fencingNumber = options.findFencingNumber();
        if (isStopped || fencingNumber === undefined || sequence === undefined) {
            return { kind: "unreachable" };
        }
        lastOrderAt = clock.now();
        const order: EngineOrder = {
            action,
            model,
            adapter,
            version,
            expectedSequence: sequence,
            holder: options.holder,
            fencingNumber,
        };
        const outcome = await options.control.order(server, order);
        log.info("engine order", {
            run,
            action,
            model,
            adapter,
            sequence,
            fencingNumber,
            taken: book.slots.size,
            ...outcome,
        });
        if (outcome.kind === "fenced") {
            options.onFenced();
        }
        return outcome;
    };
    /** An accepted order makes those without an answer void. */
    const settleUncertain = (except: AdapterKey | undefined): void => {
        for (const [key, slot] of book.slots) {
            if (slot.state === "uncertain" && key !== except) {
                book.slots.delete(key);
            }
        }
    };
    const refreshSettled = async (): Promise<boolean> => {
        await clock.sleep(reportLagMilliseconds);
        const isRead = await readReport(true);
        if (isRead) {
            settleUncertain(undefined);
        }
        return isRead;
    };
    const waitForUnload = async (key: AdapterKey): Promise<void> => {
        const { model, adapter } = book.slots.get(key)!;
        while (!isStopped && book.slots.get(key)?.state === "leaving") {
            await clock.sleep(unloadPollMilliseconds);
            await runAlone(async () => {
                const isWaiting = book.slots.get(key)?.state === "leaving";
                const outcome = isWaiting ? await sendOrder("unload", model, adapter) : undefined;
                if (outcome?.kind === "done") {
                    book.slots.delete(key);
                    // whether this order or the one before it was counted is not known
                    await refreshSettled();
                }
            });
        }
    };
    const unloadVictim = async (victim: AdapterKey): Promise<EnsureOutcome | undefined> => {
        const slot = book.slots.get(victim)!;
        slot.state = "leaving";
        options.onChange({ run, model: slot.model, adapter: slot.adapter, version: undefined });
        const outcome = await sendOrder("unload", slot.model, slot.adapter);
        switch (outcome.kind) {
            case "done":
                sequence = sequence! + 1;
                settleUncertain(undefined);
                book.slots.delete(victim);
                return undefined;
            case "accepted":
                // its place is free when its runs have ended; until then the engine takes no other order
                sequence = sequence! + 1;
                settleUncertain(undefined);
                void waitForUnload(victim);
                return "full";
            case "unknown":
                void waitForUnload(victim);
                return "failed";
            case "conflict":
                slot.state = "resident";
                return await handleConflict();
            case "fenced":
            case "otherServer":
            case "refused":
            case "unreachable":
                slot.state = "resident";
                return outcome.kind === "fenced" ? "notHolder" : "failed";
        }
    };
    /** Reads the engine's count of orders; one that still refuses then is carrying out another order. */
    const handleConflict = async (): Promise<EnsureOutcome | undefined> => {
        const before = sequence;
        if (!await refreshSettled()) {
            return "failed";
        }
        if (sequence !== before) {
            return undefined;
        }
        busyUntil = clock.now() + busyPauseMilliseconds;
        return "full";
    };
    const makeRoom = async (limits: EngineLimits, model: string): Promise<EnsureOutcome | undefined> => {
        for (let tries = 0; tries < orderTries && !hasRoom(book, limits, model); tries++) {
            const victim = chooseVictim(book, clock.now());
            const refusal = victim === undefined ? "full" : await unloadVictim(victim);
            if (refusal) {
                return refusal;
            }
        }
        return hasRoom(book, limits, model) ? undefined : "full";
    };
    const takePlace = async (
        limits: EngineLimits,
        model: string,
        adapter: string,
        key: AdapterKey,
    ): Promise<EnsureOutcome | undefined> => {
        if (countPending(book) >= pendingLoadLimit) {
            return "full";
        }
        const refusal = await makeRoom(limits, model);
        if (!refusal) {
            const usedAt = clock.now();
            const slot = { model, adapter, version: 0, demand: 1, usedAt, inFlight: new Map<string, number>() };
            book.slots.set(key, { ...slot, state: "uncertain" });
        }
        return refusal;
    };
    const orderLoad = async (
        model: string,
        adapter: string,
        key: AdapterKey,
        wasDenied: boolean,
    ): Promise<EnsureOutcome | "loading"> => {
        const limits = options.findLimits();
        if (!limits || isStopped) {
            return "notHolder";
        }
        if (clock.now() < busyUntil) {
            return "full";
        }
        if (sequence === undefined && !await readReport()) {
            return "failed";
        }
        for (let tries = 0; tries < orderTries; tries++) {
            const known = book.slots.get(key);
            const refusal = known ? checkKnown(known, wasDenied) : await takePlace(limits, model, adapter, key);
            if (refusal) {
                return refusal;
            }
            const outcome = await sendOrder("load", model, adapter);
            switch (outcome.kind) {
                case "done":
                    return "resident";
                case "accepted":
                    sequence = sequence! + 1;
                    settleUncertain(key);
                    book.slots.get(key)!.state = "loading";
                    return "loading";
                case "conflict": {
                    // nothing was done
                    known ?? book.slots.delete(key);
                    const busy = await handleConflict();
                    if (busy) {
                        return busy;
                    }
                    break;
                }
                case "unknown":
                    break;
                case "unreachable":
                case "refused":
                case "otherServer":
                    // an adapter that was there before the order is still there
                    known ?? book.slots.delete(key);
                    return "failed";
                case "fenced":
                    return "notHolder";
            }
        }
        return "failed";
    };
    /** A replacement waits for the adapter's runs, and the engine takes no other order until then. */
    const checkKnown = (slot: AdapterSlot, wasDenied: boolean): EnsureOutcome | undefined => {
        switch (slot.state) {
            case "leaving":
                return "full";
            case "resident":
                return wasDenied || isQuiet(slot, clock.now()) ? undefined : "full";
            case "loading":
            case "uncertain":
                return undefined;
        }
    };
    const waitForLoad = async (model: string, adapter: string, key: AdapterKey): Promise<EnsureOutcome> => {
        const startedAt = clock.now();
        // a little early, so that the estimate can fall
        await clock.sleep(loadEstimate * firstPollPart);
        while (!isStopped && clock.now() - startedAt < loadLimitMilliseconds) {
            const outcome = await runAlone(() => pollLoad(model, adapter, key));
            if (outcome === "resident") {
                const took = clock.now() - startedAt;
                loadEstimate = loadEstimate * (1 - estimateWeight) + took * estimateWeight;
            }
            if (outcome !== "loading") {
                return outcome;
            }
            await clock.sleep(loadPollMilliseconds);
        }
        return "failed";
    };
    /** The same order again tells whether the load has ended; only while its place is taken, as it may load anew. */
    const pollLoad = async (model: string, adapter: string, key: AdapterKey): Promise<EnsureOutcome | "loading"> => {
        const state = book.slots.get(key)?.state;
        if (state !== "loading") {
            return state === "resident" ? "resident" : "failed";
        }
        const outcome = await sendOrder("load", model, adapter);
        switch (outcome.kind) {
            case "done":
                return "resident";
            case "accepted":
            case "unknown":
            case "conflict":
                return "loading";
            case "fenced":
            case "otherServer":
                return "notHolder";
            case "unreachable":
            case "refused":
                return "failed";
        }
    };
    const markResident = (model: string, adapter: string, key: AdapterKey, version: number): void => {
        const slot = book.slots.get(key);
        if (slot) {
            slot.state = "resident";
            slot.version = version;
            slot.usedAt = clock.now();
            options.onChange({ run, model, adapter, version });
        }
    };
    const load = async (wish: EnsureWish, adapter: string, key: AdapterKey): Promise<EnsureResult> => {
        const version = wish.version ?? 1;
        let outcome = await runAlone(() => orderLoad(wish.model, adapter, key, wish.wasDenied));
        if (outcome === "loading") {
            outcome = await waitForLoad(wish.model, adapter, key);
        }
        if (outcome === "resident") {
            markResident(wish.model, adapter, key, version);
        }
        return { outcome, version };
    };
    const ensure = (wish: EnsureWish): Promise<EnsureResult> => {
        if (wish.adapter === undefined) {
            return Promise.resolve({
                outcome: book.models.has(wish.model) ? "resident" : "failed",
                version: undefined,
            });
        }
        const key = formatAdapterKey(wish.model, wish.adapter);
        const slot = book.slots.get(key);
        if (slot?.state === "resident" && !wish.wasDenied && slot.version >= (wish.version ?? 0)) {
            return Promise.resolve({ outcome: "resident", version: slot.version });
        }
        let pending = loads.get(key);
        if (!pending) {
            pending = load(wish, wish.adapter, key).finally(() => loads.delete(key));
            loads.set(key, pending);
        }
        return pending;
    };
    return {
        run,
        refresh: () => runAlone(() => readReport()).then(() => undefined),
        ensure,
        countUse: (from, use) => {
            const slot = book.slots.get(use.key);
            if (slot) {
                countUse(slot, from, use, clock.now());
            }
        },
        describe,
        listOutdated: newest =>
            [...book.slots].filter(([key, slot]) => slot.state === "resident" && slot.version < (newest.get(key) ?? 0))
                .map(([key]) => key),
        readLastOrderAt: () => lastOrderAt,
        stop: () => {
            isStopped = true;
        },
    };
}
