/**
 * Sends orders to one engine, one at a time. Each order carries the number of orders that the engine must have accepted
 * before it. An order without a response therefore becomes void as soon as another order is accepted.
 *
 * @packageDocumentation
 */
import type { BackendServer, EngineLimits, ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type Milliseconds, rankByRendezvous } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
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
import type { EngineControl, EngineOrder, EngineReportLoad, OrderOutcome } from "./types.js";

/** Options for sending orders to an engine. */
export interface EngineOrdersOptions {
    readonly server: BackendServer;
    readonly run: ServerRunId;
    readonly findLimits: () => EngineLimits | undefined;
    readonly control: EngineControl;
    readonly clock: Clock;
    /** Name of this instance, sent with each order. */
    readonly holder: string;
    /** Shard of the engine, for the log. */
    readonly shard?: number;
    /** Whether the engine takes orders: it is listed, and not about to stop. */
    readonly mayReceive: () => boolean;
    /** Called with each response in which the engine announces that it is about to stop. */
    readonly onLeaving: () => void;
    /** Fencing number for orders sent now; `undefined` when this instance may not send orders to the engine. */
    readonly findFencingNumber: () => number | undefined;
    /** Called when the engine refuses an order because it has seen a higher fencing number. */
    readonly onFenced: () => void;
    /** Called when an adapter becomes resident or is removed. */
    readonly onChange: (change: ResidencyChange) => void;
    /** Called with what runs on the engine after each report that says so. */
    readonly onLoad?: (load: EngineReportLoad) => void;
    /** Called with the engine's whole state after each report. */
    readonly onTable: (table: EngineTable) => void;
    /** Reserves a load of a base model from the weight store; returns `false` when the rate doesn't allow one now. */
    readonly tryAcquireModelLoad: (limits: EngineLimits) => boolean;
}

/** Adapter to load onto the engine. */
export interface AdapterLoad {
    readonly key: AdapterKey;
    readonly model: string;
    readonly adapter: string;
    /** Version that must be resident after the load; `undefined` for the newest. */
    readonly version: number | undefined;
    /** Whether the engine has refused a request because it doesn't hold the adapter that the request names. */
    readonly wasDenied: boolean;
}

/** Sender of orders to one engine. */
export interface EngineOrders {
    /** The engine's slots, updated by reports and orders. */
    readonly slotTable: SlotTable;
    /** Fetches the engine's report, and orders the load of a base model when the engine has none. */
    readonly refresh: () => Promise<void>;
    /** Orders a load, after an eviction where needed; `loading` means that the engine has accepted the order. */
    readonly load: (load: AdapterLoad) => Promise<EnsureOutcome | "loading">;
    /** Checks whether a load has ended; `unanswered` when that isn't known. */
    readonly poll: (load: AdapterLoad) => Promise<EnsureOutcome | "loading" | "unanswered">;
    /** Time at which the last order was sent; negative infinity when none was. */
    readonly readLastOrderAt: () => Milliseconds;
    readonly isStopped: () => boolean;
    /** Sends no further orders; an order in progress is not cancelled. */
    readonly stop: () => void;
}

/** Time by which an engine's report may lag behind its state. */
const reportLagMilliseconds = 300;
const unloadPollIntervalMilliseconds = 250;
/** Pause after an exception in the wait for an unload. */
const unloadFailureMilliseconds = 1_000;
const orderAttemptLimit = 3;
/** Time for which no load is ordered after the engine refused an order because it was executing another one. */
const busyBackoffMilliseconds = 400;
const log = createLogger("adapters");

/**
 * Creates the sender of orders to an engine. It fetches a report before the first load if there was none yet.
 *
 * @param options - the engine, its limits and the client for its control interface
 * @returns the sender, owned by the caller, who must stop it when the shard is lost
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
    const readReport = async (isAfterLag = false): Promise<boolean> => {
        const report = await options.control.report(server);
        if ((report.ok ? report.value : report.error).isLeaving) {
            options.onLeaving();
        }
        if (!report.ok) {
            log.warn("engine report missing", { run, detail: report.error.detail });
            return false;
        }
        // a report lags behind the engine and may miss the last orders, unless the caller has waited for the lag
        sequence = isAfterLag ? report.value.sequence : Math.max(sequence ?? 0, report.value.sequence);
        applyReport(slotTable, report.value, clock.now());
        if (report.value.load) {
            options.onLoad?.(report.value.load);
        }
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
        if (isStopped || fencingNumber === undefined || sequence === undefined || !options.mayReceive()) {
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
            shard: options.shard,
            action,
            model,
            adapter,
            sequence,
            fencingNumber,
            taken: slotTable.slots.size,
            ...outcome,
        });
        if (outcome.isLeaving) {
            options.onLeaving();
        }
        if (outcome.kind === "fenced") {
            options.onFenced();
        }
        return outcome;
    };
    // an accepted order makes all earlier orders without a response void
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
                    // it isn't known whether the engine has counted this order or the one before it
                    await refreshAfterLag();
                }
            });
        }
    };
    // the engine's slot is taken until the unload is known to be done, so that a failure must not end the wait
    const startWaitForUnload = (key: AdapterKey): void =>
        startTask("wait for an unload", () => waitForUnload(key), () => {
            const waitAgain = async (): Promise<void> => {
                await clock.sleep(unloadFailureMilliseconds);
                startWaitForUnload(key);
            };
            startTask("wait for an unload", () => isStopped || !slotTable.slots.has(key) || waitAgain());
        });
    // an order without a response is repeated at once: all attempts carry the same expected sequence, so that the
    // engine executes at most one of them
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
                // the slot is freed when the requests that use the adapter have ended; the engine accepts no other
                // order until then
                sequence = sequence! + 1;
                removeUncertainSlots(undefined);
                startWaitForUnload(victim);
                return "full";
            case "unknown":
                startWaitForUnload(victim);
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
    // fetches the engine's count of accepted orders; if it is the expected one, the engine is executing another order
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
            const slot = { model, adapter, version: 0, demand: 1, inFlight: 0 };
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
                    // the engine has not executed the order
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
                    // the order had no effect, so only a slot that was reserved for it is freed
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
    // a reload waits for the requests that use the adapter, and the engine accepts no other order until then
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
    // the response to the repeated load order tells whether the load has ended; without a slot the order isn't
    // repeated, because it could load the adapter again
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
        slotTable,
        refresh: () => runExclusively(refresh),
        load: load => runExclusively(() => orderLoad(load)),
        poll: load => runExclusively(() => pollLoad(load)),
        readLastOrderAt: () => lastOrderAt,
        isStopped: () => isStopped,
        stop: () => {
            isStopped = true;
        },
    };
}

// rendezvous hashing distributes the models of a service evenly over the engines that have none
function chooseModel(limits: EngineLimits, run: ServerRunId): string | undefined {
    const fitting = limits.models.filter(model => model.sizeMegabytes <= limits.memoryMegabytes);
    return rankByRendezvous(run, fitting.map(model => model.name), 1)[0];
}
