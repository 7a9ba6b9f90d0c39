/**
 * Orders to one engine, one at a time. Each order names the count of orders that the engine must have accepted, so that one
 * without an answer is void as soon as another was accepted.
 *
 * @packageDocumentation
 */
import type { BackendServer, EngineLimits, ServerRun } from "../serving/types.js";
import { type Clock, createDebug, type Milliseconds, rankByRendezvous } from "../shared/index.js";
import type { AdapterKey, EngineTable, EnsureOutcome, ResidencyChange } from "./messages.js";
import {
    type AdapterSlot,
    applyReport,
    chooseVictim,
    countPending,
    createSlotTable,
    hasRoom,
    isIdle,
    pendingLoadLimit,
    type SlotTable,
} from "./slotTable.js";
import type { EngineControl, EngineOrder, OrderOutcome } from "./types.js";

/** Settings of the orders to an engine. */
export interface EngineOrdersOptions {
    readonly server: BackendServer;
    readonly run: ServerRun;
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
    /** Tells whether a model may be fetched from the weight store now. */
    readonly tryAcquireModelLoad: (limits: EngineLimits) => boolean;
}

/** An adapter to be loaded. */
export interface AdapterLoad {
    readonly key: AdapterKey;
    readonly model: string;
    readonly adapter: string;
    /** Version that must be there at the end; `undefined` for the newest. */
    readonly version: number | undefined;
    /** The engine has said that it doesn't hold the adapter. */
    readonly wasDenied: boolean;
}

/** Orders to an engine. */
export interface EngineOrders {
    readonly slotTable: SlotTable;
    /** Reads what the engine holds, and gives it a model when it holds none. */
    readonly refresh: () => Promise<void>;
    readonly load: (load: AdapterLoad) => Promise<EnsureOutcome | "loading">;
    /** Tells whether a load has ended; `unanswered` when that isn't known. */
    readonly poll: (load: AdapterLoad) => Promise<EnsureOutcome | "loading" | "unanswered">;
    readonly describe: () => EngineTable;
    readonly readLastOrderAt: () => Milliseconds;
    readonly isStopped: () => boolean;
    readonly stop: () => void;
}

/** A report is some hundred milliseconds old. */
const reportLagMilliseconds = 300;
const unloadPollIntervalMilliseconds = 250;
const orderAttemptLimit = 3;
/** An engine that carries out an order refuses others. */
const busyBackoffMilliseconds = 400;
const log = createDebug("adapters");

/**
 * Creates the orders to an engine of which nothing is known yet.
 *
 * @param options - the engine and how to reach it
 * @returns the orders
 */
export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
    const { server, clock, run } = options;
    const slotTable = createSlotTable();
    let sequence: number | undefined;
    let lastOrderAt = Number.NEGATIVE_INFINITY;
    let isStopped = false;
    let queue: Promise<unknown> = Promise.resolve();
    let busyUntil = Number.NEGATIVE_INFINITY;

    const runExclusively = <Value>(job: () => Promise<Value>): Promise<Value> => {
        const result = queue.then(job);
        queue = result.catch((error: unknown) => log.error("keeper job failed", { run, error: String(error) }));
        return result;
    };
    const describe = (): EngineTable => ({
        run,
        models: [...slotTable.models].map(name => ({
            name,
            adapters: [...slotTable.slots.values()]
                .filter(slot => slot.model === name && slot.state === "resident")
                .map(slot => [slot.adapter, slot.version] as const),
        })),
    });
    const readReport = async (isCurrent = false): Promise<boolean> => {
        const report = await options.control.report(server);
        if (!report.ok) {
            log.warn("engine report missing", { run, detail: report.error.detail });
            return false;
        }
        // a report is a little old, and so may miss the last orders
        sequence = isCurrent ? report.value.sequence : Math.max(sequence ?? 0, report.value.sequence);
        applyReport(slotTable, report.value, clock.now());
        log.info("engine report", {
            run,
            sequence: report.value.sequence,
            resident: report.value.models.reduce((sum, model) => sum + model.adapters.length, 0),
            pending: report.value.pending.map(pending => pending.adapter),
            taken: slotTable.slots.size,
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
            taken: slotTable.slots.size,
            ...outcome,
        });
        if (outcome.kind === "fenced") {
            options.onFenced();
        }
        return outcome;
    };
    // an accepted order makes those without an answer void
    const removeUncertainSlots = (except: AdapterKey | undefined): void => {
        for (const [key, slot] of slotTable.slots) {
            if (slot.state === "uncertain" && key !== except) {
                slotTable.slots.delete(key);
            }
        }
    };
    const refreshAfterLag = async (): Promise<boolean> => {
        await clock.sleep(reportLagMilliseconds);
        const isRead = await readReport(true);
        if (isRead) {
            removeUncertainSlots(undefined);
        }
        return isRead;
    };
    const waitForUnload = async (key: AdapterKey): Promise<void> => {
        const { model, adapter } = slotTable.slots.get(key)!;
        while (!isStopped && slotTable.slots.get(key)?.state === "leaving") {
            await clock.sleep(unloadPollIntervalMilliseconds);
            await runExclusively(async () => {
                const isWaiting = slotTable.slots.get(key)?.state === "leaving";
                const outcome = isWaiting ? await sendOrder("unload", model, adapter) : undefined;
                if (outcome?.kind === "done") {
                    slotTable.slots.delete(key);
                    // whether this order or the one before it was counted is not known
                    await refreshAfterLag();
                }
            });
        }
    };
    // sent again at once when there is no answer: only one of the orders can be carried out, as all name the same count
    const sendUnloadWithRetry = async (slot: AdapterSlot): Promise<OrderOutcome> => {
        let outcome = await sendOrder("unload", slot.model, slot.adapter);
        for (let tries = 1; tries < orderAttemptLimit && outcome.kind === "unknown"; tries++) {
            outcome = await sendOrder("unload", slot.model, slot.adapter);
        }
        return outcome;
    };
    const evictAdapter = async (victim: AdapterKey): Promise<EnsureOutcome | undefined> => {
        const slot = slotTable.slots.get(victim)!;
        slot.state = "leaving";
        options.onChange({ run, model: slot.model, adapter: slot.adapter, version: undefined });
        const outcome = await sendUnloadWithRetry(slot);
        switch (outcome.kind) {
            case "done":
                sequence = sequence! + 1;
                removeUncertainSlots(undefined);
                slotTable.slots.delete(victim);
                return undefined;
            case "accepted":
                // its place is free when its runs have ended; until then the engine takes no other order
                sequence = sequence! + 1;
                removeUncertainSlots(undefined);
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
    // reads the engine's count of orders; one that still refuses then is carrying out another order
    const handleConflict = async (): Promise<EnsureOutcome | undefined> => {
        const before = sequence;
        if (!await refreshAfterLag()) {
            return "failed";
        }
        if (sequence !== before) {
            return undefined;
        }
        busyUntil = clock.now() + busyBackoffMilliseconds;
        return "full";
    };
    const makeRoom = async (limits: EngineLimits, model: string): Promise<EnsureOutcome | undefined> => {
        for (let tries = 0; tries < orderAttemptLimit && !hasRoom(slotTable, limits, model); tries++) {
            const victim = chooseVictim(slotTable, clock.now());
            const refusal = victim === undefined ? "full" : await evictAdapter(victim);
            if (refusal) {
                return refusal;
            }
        }
        return hasRoom(slotTable, limits, model) ? undefined : "full";
    };
    const reserveSlot = async (
        limits: EngineLimits,
        model: string,
        adapter: string,
        key: AdapterKey,
    ): Promise<EnsureOutcome | undefined> => {
        const refusal = countPending(slotTable) >= pendingLoadLimit ? "full" : await makeRoom(limits, model);
        if (!refusal) {
            const now = clock.now();
            const slot = { model, adapter, version: 0, demand: 1, inFlight: new Map<string, number>() };
            slotTable.slots.set(key, { ...slot, usedAt: now, orderedAt: now, state: "uncertain" });
        }
        return refusal;
    };
    const orderLoad = async (load: AdapterLoad): Promise<EnsureOutcome | "loading"> => {
        const { model, adapter, key, version, wasDenied } = load;
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
        for (let tries = 0; tries < orderAttemptLimit; tries++) {
            const known = slotTable.slots.get(key);
            const refusal = known ? checkReload(known, wasDenied) : await reserveSlot(limits, model, adapter, key);
            if (refusal) {
                return refusal;
            }
            const outcome = await sendOrder("load", model, adapter, version);
            switch (outcome.kind) {
                case "done":
                    return "resident";
                case "accepted":
                    sequence = sequence! + 1;
                    removeUncertainSlots(key);
                    markLoading(key);
                    return "loading";
                case "conflict": {
                    // nothing was done
                    known ?? slotTable.slots.delete(key);
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
                    known ?? slotTable.slots.delete(key);
                    return outcome.kind === "refused" ? "failed" : "unreachable";
                case "fenced":
                    return "notHolder";
            }
        }
        return "failed";
    };
    const markLoading = (key: AdapterKey): void => {
        const slot = slotTable.slots.get(key)!;
        slot.state = "loading";
        slot.orderedAt = clock.now();
    };
    // a replacement waits for the adapter's runs, and the engine takes no other order until then
    const checkReload = (slot: AdapterSlot, wasDenied: boolean): EnsureOutcome | undefined => {
        switch (slot.state) {
            case "leaving":
                return "full";
            case "resident":
                return wasDenied || isIdle(slot, clock.now()) ? undefined : "full";
            case "loading":
            case "uncertain":
                return undefined;
        }
    };
    // the same order again tells whether the load has ended; only while its place is taken, as it may load anew
    const pollLoad: EngineOrders["poll"] = async ({ model, adapter, key, version }) => {
        const state = slotTable.slots.get(key)?.state;
        if (state !== "loading") {
            return state === "resident" ? "resident" : "failed";
        }
        const outcome = await sendOrder("load", model, adapter, version);
        switch (outcome.kind) {
            case "done":
                return "resident";
            case "accepted":
                return "loading";
            case "unknown":
            case "conflict":
                return "unanswered";
            case "fenced":
                return "notHolder";
            case "otherServer":
            case "unreachable":
                return "unreachable";
            case "refused":
                return "failed";
        }
    };
    const orderModelLoad = async (): Promise<void> => {
        const limits = options.findLimits();
        const model = limits && chooseModel(limits, run);
        if (!model || slotTable.models.size > 0 || !options.tryAcquireModelLoad(limits)) {
            return;
        }
        const outcome = await sendOrder("load", model, undefined);
        if (outcome.kind === "accepted") {
            sequence = sequence! + 1;
        }
    };
    const refresh = async (): Promise<void> => {
        if (await readReport()) {
            await orderModelLoad();
        }
    };
    return {
        slotTable: slotTable,
        refresh: () => runExclusively(refresh),
        load: load => runExclusively(() => orderLoad(load)),
        poll: load => runExclusively(() => pollLoad(load)),
        describe,
        readLastOrderAt: () => lastOrderAt,
        isStopped: () => isStopped,
        stop: () => {
            isStopped = true;
        },
    };
}

// engines without a model share the models of their service evenly
function chooseModel(limits: EngineLimits, run: ServerRun): string | undefined {
    const fitting = limits.models.filter(model => model.sizeMegabytes <= limits.memoryMegabytes);
    return rankByRendezvous(run, fitting.map(model => model.name), 1)[0];
}
