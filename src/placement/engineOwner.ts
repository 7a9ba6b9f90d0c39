/**
 * Decisions of an engine's owner: which instances may use which load, which loads are evicted, and which adapter is
 * loaded into a free slot.
 *
 * @packageDocumentation
 */
import {
    type EngineIncarnation,
    type EngineReport,
    formatAdapterName,
    type ListedEngine,
    type OrderError,
} from "../backends/index.js";
import type { InstanceId, Milliseconds, Result } from "../shared/index.js";
import { type AdapterSlot, createAdapterSlot, mergeReport, parseLoadName } from "./adapterSlots.js";
import type { EngineOwner, EngineOwnerContext, OwnerEffect } from "./engineOwnerTypes.js";
import {
    addAnswer,
    createEvictionIntent,
    type EvictionIntent,
    isUnloadSafe,
    listBlockingInstances,
} from "./evictionIntents.js";
import { createLoadHolders } from "./loadHolders.js";
import type { AdapterVersionKey, EngineTable, FailedLoad, LoadName, PlacementMessage } from "./messages.js";
import { createTakeover } from "./ownershipTakeover.js";
import { createPendingLoads, type PendingLoad } from "./pendingLoads.js";
import { diffTables } from "./tableChanges.js";
import type { MessageOf } from "./useLeases.js";

const maximumReportedFailures = 8;
/** Time after which a further load is evicted for a pending load if the first eviction isn't complete. */
const victimTimeoutMilliseconds = 1_000;

/**
 * Creates the owner of an engine at the start of its takeover.
 *
 * @param engine - the engine
 * @param context - what the owner depends on
 * @returns an owner that first asks the other instances for their uses of the engine and for evictions
 */
export function createEngineOwner(engine: ListedEngine, context: EngineOwnerContext): EngineOwner {
    const { times, fencingNumber, self } = context;
    const takeover = createTakeover(context);
    const loadHolders = createLoadHolders(times);
    const pending = createPendingLoads();
    const slots = new Map<LoadName, AdapterSlot>();
    const intents = new Map<LoadName, EvictionIntent>();
    // recently removed loads, since a delayed report may still contain them
    const removed = new Map<LoadName, Milliseconds>();
    const loadsWithPermit = new Set<LoadName>();
    let failed: readonly FailedLoad[] = [];
    let failureCount = 0;
    let incarnation: EngineIncarnation | undefined;
    let takeoverReport: { readonly report: EngineReport; readonly askedAt: Milliseconds; } | undefined;
    let tableSequence = 0;
    let tableChanged = true;
    let tableSentAt = Number.NEGATIVE_INFINITY;
    let fullTablesSentAt = Number.NEGATIVE_INFINITY;
    let lastTable: EngineTable | undefined;
    // instances that have been sent the last table, in full or as a change
    let tableReceivers: ReadonlySet<InstanceId> = new Set();
    let noFreeSlotUntil: Milliseconds = 0;

    const listRecipients = (): readonly InstanceId[] => [
        ...new Set([...context.listMembers(), ...context.listLiveInstances(), self]),
    ];
    const withdrawPermit = (key: AdapterVersionKey): OwnerEffect => ({
        kind: "withdrawPermit",
        engine: engine.id,
        key,
    });
    const removeSlot = (name: LoadName, now: Milliseconds): void => {
        slots.delete(name);
        intents.delete(name);
        loadHolders.remove(name);
        removed.set(name, now);
        tableChanged = true;
    };
    const releasePermit = (name: LoadName): readonly OwnerEffect[] =>
        loadsWithPermit.delete(name) ? [{ kind: "releasePermit", name }] : [];
    const startEviction = (name: LoadName, now: Milliseconds): void => {
        const slot = slots.get(name);
        if (slot && !intents.has(name)) {
            slots.set(name, { ...slot, state: "retiring", since: now });
            intents.set(name, createEvictionIntent(name, now));
            tableChanged = true;
        }
    };
    const resetForIncarnation = (report: EngineReport): readonly OwnerEffect[] => {
        const effects = [...loadsWithPermit].flatMap(releasePermit);
        slots.clear();
        intents.clear();
        loadHolders.clear();
        loadsWithPermit.clear();
        removed.clear();
        incarnation = report.incarnation;
        noFreeSlotUntil = 0;
        tableChanged = true;
        return effects;
    };
    const listHolders = (slot: AdapterSlot | undefined, now: Milliseconds): ReadonlyMap<InstanceId, Milliseconds> => {
        const known = loadHolders.list(slot?.name ?? "");
        return slot?.isInherited ? new Map([...takeover.listSilentInstances(now), ...known]) : known;
    };

    const requestRetirement = (intent: EvictionIntent, now: Milliseconds): readonly OwnerEffect[] => {
        if (now - intent.lastRequestedAt < times.retryInterval) {
            return [];
        }
        intents.set(intent.name, { ...intent, lastRequestedAt: now });
        const message: PlacementMessage = { kind: "retire", engine: engine.id, fencingNumber, name: intent.name };
        const holders = listHolders(slots.get(intent.name), now).keys();
        return [...new Set([...listRecipients(), ...holders])]
            .filter(to => intent.answers.get(to) !== false)
            .map(to => ({ kind: "send", to, message }));
    };
    const advanceEviction = (intent: EvictionIntent, now: Milliseconds): readonly OwnerEffect[] => {
        if (intent.isUnloadInFlight || incarnation === undefined) {
            return [];
        }
        if (!isUnloadSafe(intent, listHolders(slots.get(intent.name), now), context.listMembers(), now)) {
            return requestRetirement(intent, now);
        }
        if (now - (intent.unloadOrderedAt ?? Number.NEGATIVE_INFINITY) < times.retryInterval) {
            return [];
        }
        intents.set(intent.name, { ...intent, unloadOrderedAt: now, isUnloadInFlight: true });
        const adapter = parseLoadName(intent.name);
        return [{ kind: "unload", engine, name: intent.name, adapter, incarnation, fencingNumber }];
    };
    const chooseVictim = (load: PendingLoad, now: Milliseconds): LoadName | undefined => {
        const isFree = (name: LoadName): boolean =>
            slots.get(name)?.state === "resident" && !loadHolders.isRunning(name, now)
            && !(slots.get(name)!.isInherited && takeover.listSilentInstances(now).size > 0);
        return load.victims.find(isFree)
            ?? [...slots.keys()].filter(isFree).sort((left, right) =>
                loadHolders.readLastUsedAt(left) - loadHolders.readLastUsedAt(right)
            )[0];
    };
    const requestSlot = (load: PendingLoad, free: number, now: Milliseconds): readonly OwnerEffect[] => {
        if (free > 0) {
            pending.reserveSlot(load.key);
            return [{ kind: "acquirePermit", engine: engine.id, key: load.key, priority: load.priority }];
        }
        const intent = intents.get(load.victim ?? "");
        const isInUse = [...intent?.answers.values() ?? []].includes(true);
        const isWaiting = intent !== undefined && !isInUse && now - intent.startedAt < victimTimeoutMilliseconds;
        const victim = isWaiting ? undefined : chooseVictim(load, now);
        if (victim !== undefined) {
            pending.setVictim(load.key, victim);
            startEviction(victim, now);
        }
        return [];
    };
    const advancePendingLoads = (now: Milliseconds): readonly OwnerEffect[] => {
        const effects: OwnerEffect[] = [];
        for (const load of pending.listExpired(now - times.demandTimeout)) {
            pending.remove(load.key);
            effects.push(withdrawPermit(load.key));
        }
        let free = engine.adapterSlots - slots.size - pending.countReserved();
        for (const load of pending.listUnreserved()) {
            const isFree = free > 0 && now >= noFreeSlotUntil;
            effects.push(...requestSlot(load, isFree ? free : 0, now));
            free -= isFree ? 1 : 0;
        }
        return effects;
    };
    const sendTable = (now: Milliseconds): readonly OwnerEffect[] => {
        const table = tableChanged || now - tableSentAt >= times.tableInterval ? createTable() : undefined;
        if (!table) {
            return [];
        }
        const isFullTableDue = lastTable?.incarnation !== table.incarnation
            || now - fullTablesSentAt >= times.fullTableInterval;
        if (isFullTableDue) {
            tableReceivers = new Set();
            fullTablesSentAt = now;
        }
        const whole: PlacementMessage = { kind: "table", table };
        const change: PlacementMessage = lastTable
            ? { kind: "tableChange", change: diffTables(lastTable, table) }
            : whole;
        const recipients = listRecipients();
        const effects = recipients.map((to): OwnerEffect => ({
            kind: "send",
            to,
            message: tableReceivers.has(to) ? change : whole,
        }));
        tableReceivers = new Set(recipients);
        lastTable = table;
        tableChanged = false;
        tableSentAt = now;
        return effects;
    };
    const sendFullTable = (to: InstanceId): readonly OwnerEffect[] =>
        lastTable ? [{ kind: "send", to, message: { kind: "table", table: lastTable } }] : [];
    const createTable = (): EngineTable | undefined => {
        if (incarnation === undefined || !takeover.isDone()) {
            return undefined;
        }
        const listNames = (state: AdapterSlot["state"]): LoadName[] =>
            [...slots.values()].flatMap(slot => slot.state === state ? [slot.name] : []);
        return {
            engine: engine.id,
            incarnation,
            fencingNumber,
            sequence: ++tableSequence,
            resident: listNames("resident"),
            retiring: listNames("retiring"),
            loading: [
                ...pending.listKeys(),
                ...[...listNames("loading"), ...listNames("uncertain")].map(name => slots.get(name)!.key),
            ],
            failed,
            running: loadHolders.listRunning(),
            inFlight: loadHolders.countInFlight(),
        };
    };
    const advanceAll = (now: Milliseconds): readonly OwnerEffect[] => {
        if (!takeover.isDone()) {
            return advanceTakeover(now);
        }
        for (const [name, at] of removed) {
            if (now - at > 2 * times.maximumReportLag) {
                removed.delete(name);
            }
        }
        const loads = incarnation === undefined ? [] : advancePendingLoads(now);
        const evictions = [...intents.values()].flatMap(intent => advanceEviction(intent, now));
        return [...loads, ...evictions, ...sendTable(now)];
    };
    const advanceTakeover = (now: Milliseconds): readonly OwnerEffect[] => {
        const step = takeover.advance(takeoverReport !== undefined, now);
        if (step.kind === "ask") {
            const message: PlacementMessage = { kind: "collect", engine: engine.id, fencingNumber };
            return step.instances.map(to => ({ kind: "send", to, message }));
        }
        if (step.kind === "wait" || !takeoverReport) {
            return [];
        }
        const effects = resetForIncarnation(takeoverReport.report);
        for (const adapter of takeoverReport.report.resident) {
            const slot = createAdapterSlot(formatAdapterName(adapter), "resident", takeoverReport.askedAt, true);
            slots.set(slot.name, slot);
            takeover.listHolders(slot.name).forEach(instance => loadHolders.grant(slot.name, instance, now));
            if (!step.mayUseInherited || adapter.generation === undefined || takeover.isRetired(slot.name)) {
                startEviction(slot.name, now);
            }
        }
        return [...effects, ...handleReport(takeoverReport.report, takeoverReport.askedAt, now)];
    };
    const handleReport = (
        report: EngineReport,
        askedAt: Milliseconds,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        if (!takeover.isDone()) {
            takeoverReport = { report, askedAt };
            return advanceAll(now);
        }
        const effects: OwnerEffect[] = report.incarnation === incarnation ? [] : [...resetForIncarnation(report)];
        const merge = mergeReport(slots, report, askedAt, times.maximumReportLag, new Set(removed.keys()));
        for (const { name, isResident } of merge.settled) {
            effects.push(...releasePermit(name));
            if (isResident) {
                slots.set(name, merge.table.get(name)!);
                tableChanged = true;
            }
            else {
                removeSlot(name, now);
            }
        }
        for (const name of merge.unknownLoads) {
            slots.set(name, merge.table.get(name)!);
            takeover.listHolders(name).forEach(instance => loadHolders.grant(name, instance, now));
            startEviction(name, now);
        }
        return [...effects, ...advanceAll(now)];
    };
    const handleRenew = (
        from: InstanceId,
        message: MessageOf<"useRenew">,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        if (!takeover.isDone() || !context.listMembers().includes(from)) {
            return [];
        }
        loadHolders.recordUsage(from, message.running, message.inFlight, now);
        const names = message.names.filter(name => slots.get(name)?.state === "resident");
        names.forEach(name => loadHolders.grant(name, from, now));
        const { sentAt } = message;
        const grant: PlacementMessage = {
            kind: "useGrant",
            engine: engine.id,
            fencingNumber,
            sentAt,
            names,
            duration: times.leaseDuration,
        };
        return [{ kind: "send", to: from, message: grant }];
    };
    const handleRetired = (from: InstanceId, message: MessageOf<"retired">, now: Milliseconds): void => {
        const intent = intents.get(message.name);
        if (!intent || message.fencingNumber !== fencingNumber) {
            return;
        }
        intents.set(message.name, addAnswer(intent, from, message.inUse));
        if (message.inUse) {
            loadHolders.recordRunning(message.name, from, now);
        }
    };
    const handleCollected = (from: InstanceId, message: MessageOf<"collected">, now: Milliseconds): void => {
        if (message.fencingNumber !== fencingNumber || !takeover.addAnswer(from, message)) {
            return;
        }
        if (takeover.isDone()) {
            message.held.filter(name => slots.has(name)).forEach(name => loadHolders.grant(name, from, now));
            message.retired.filter(name => slots.get(name)?.state === "resident").forEach(name =>
                startEviction(name, now)
            );
        }
    };
    const handleMessage = (
        from: InstanceId,
        message: PlacementMessage,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        switch (message.kind) {
            case "useRenew":
                return handleRenew(from, message, now);
            case "retired":
                handleRetired(from, message, now);
                return advanceAll(now);
            case "collected":
                handleCollected(from, message, now);
                return advanceAll(now);
            case "left":
                loadHolders.removeInstance(from);
                takeover.removeInstance(from);
                return [];
            case "loadWanted":
                if (![...slots.values()].some(slot => slot.key === message.key && slot.state !== "retiring")) {
                    tableChanged ||= pending.add(message, now);
                }
                return advanceAll(now);
            case "tableWanted":
                return sendFullTable(from);
            case "useGrant":
            case "retire":
            case "collect":
            case "table":
            case "tableChange":
            case "demand":
            case "loadGivenUp":
                return [];
        }
    };
    const handleLoadResult = (
        slot: AdapterSlot,
        result: Result<void, OrderError>,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        if (result.ok) {
            slots.set(slot.name, { ...slot, state: "resident", since: now });
            tableChanged = true;
            return releasePermit(slot.name);
        }
        if (result.error.kind === "unknownOutcome") {
            slots.set(slot.name, { ...slot, state: "uncertain", since: now });
            return [];
        }
        if (result.error.kind === "loadFailed") {
            const failure = { key: slot.key, number: ++failureCount, detail: result.error.detail };
            failed = [...failed, failure].slice(-maximumReportedFailures);
        }
        if (result.error.kind === "noFreeSlot") {
            // a delayed order, for instance of an earlier owner, took the slot; the next report shows the load
            noFreeSlotUntil = now + times.maximumReportLag;
        }
        removeSlot(slot.name, now);
        return releasePermit(slot.name);
    };
    return {
        fencingNumber,
        handleMessage,
        handleReport,
        handleOrderResult: (kind, name, result, now) => {
            const slot = slots.get(name);
            if (!slot) {
                return releasePermit(name);
            }
            if (kind === "load") {
                return [...handleLoadResult(slot, result, now), ...advanceAll(now)];
            }
            const intent = intents.get(name);
            if (result.ok) {
                removeSlot(name, now);
            }
            else if (intent) {
                intents.set(name, { ...intent, isUnloadInFlight: false });
            }
            return advanceAll(now);
        },
        handlePermit: (key, startBy, now) => {
            const load = pending.take(key);
            if (!load || now > startBy || incarnation === undefined) {
                return [withdrawPermit(key)];
            }
            const slot = createAdapterSlot(`${key}#${context.createGeneration()}`, "loading", now);
            slots.set(slot.name, slot);
            loadsWithPermit.add(slot.name);
            tableChanged = true;
            const { name, adapter } = slot;
            return [{ kind: "load", engine, name, adapter, incarnation, fencingNumber }];
        },
        tick: advanceAll,
        close: () => pending.listKeys().map(withdrawPermit),
        createTable,
        listBlockedEvictions: now =>
            [...intents.values()].map(intent => ({
                name: intent.name,
                instances: listBlockingInstances(intent, listHolders(slots.get(intent.name), now), now),
            })),
    };
}
