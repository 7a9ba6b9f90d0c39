/**
 * Decisions of an engine's owner: who may use which load, what is evicted, and what is loaded into which slot.
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
import { addAnswer, type EvictionIntent, isEvictable, listBlockers, startIntent } from "./evictionIntents.js";
import { createHolds } from "./holds.js";
import type { AdapterKey, EngineTable, FailedLoad, LoadName, PlacementMessage } from "./messages.js";
import type { EngineOwner, OwnerContext, OwnerEffect } from "./ownerTypes.js";
import { createPendingLoads, type PendingLoad } from "./pendingLoads.js";
import { makeSlot, mergeReport, parseLoadName, type Slot } from "./slotTable.js";
import { diffTables } from "./tableChanges.js";
import { createTakeover } from "./takeover.js";
import type { MessageOf } from "./useLeases.js";

const failuresKept = 8;
const victimWaitMilliseconds = 1_000;

/**
 * Creates the owner of an engine at the moment of taking over.
 *
 * @param engine - the engine
 * @param context - what it needs to know
 * @returns an owner that first collects uses and intents from the members
 */
export function createEngineOwner(engine: ListedEngine, context: OwnerContext): EngineOwner {
    const { times, fencingNumber, self } = context;
    const takeover = createTakeover(context);
    const holds = createHolds(times);
    const pending = createPendingLoads();
    const slots = new Map<LoadName, Slot>();
    const intents = new Map<LoadName, EvictionIntent>();
    const removed = new Map<LoadName, Milliseconds>();
    const permits = new Set<LoadName>();
    let failed: readonly FailedLoad[] = [];
    let failures = 0;
    let incarnation: EngineIncarnation | undefined;
    let firstReport: { readonly report: EngineReport; readonly askedAt: Milliseconds; } | undefined;
    let tableSequence = 0;
    let tableChanged = true;
    let tableSentAt = Number.NEGATIVE_INFINITY;
    let wholeTablesSentAt = Number.NEGATIVE_INFINITY;
    let lastTable: EngineTable | undefined;
    // instances that have been sent the last table, whole or as changes
    let informed: ReadonlySet<InstanceId> = new Set();
    let fullUntil: Milliseconds = 0;

    const listTargets = (): readonly InstanceId[] => [
        ...new Set([...context.listMembers(), ...context.listLive(), self]),
    ];
    const withdrawPermit = (key: AdapterKey): OwnerEffect => ({ kind: "withdrawPermit", engine: engine.id, key });
    const removeSlot = (name: LoadName, now: Milliseconds): void => {
        slots.delete(name);
        intents.delete(name);
        holds.remove(name);
        removed.set(name, now);
        tableChanged = true;
    };
    const settlePermit = (name: LoadName): readonly OwnerEffect[] =>
        permits.delete(name) ? [{ kind: "releasePermit", name }] : [];
    const beginIntent = (name: LoadName, now: Milliseconds): void => {
        const slot = slots.get(name);
        if (slot && !intents.has(name)) {
            slots.set(name, { ...slot, state: "retiring", since: now });
            intents.set(name, startIntent(name, now));
            tableChanged = true;
        }
    };
    const beginIncarnation = (report: EngineReport): readonly OwnerEffect[] => {
        const effects = [...permits].flatMap(settlePermit);
        slots.clear();
        intents.clear();
        holds.clear();
        permits.clear();
        removed.clear();
        incarnation = report.incarnation;
        fullUntil = 0;
        tableChanged = true;
        return effects;
    };
    const listHolders = (slot: Slot | undefined, now: Milliseconds): ReadonlyMap<InstanceId, Milliseconds> => {
        const known = holds.list(slot?.name ?? "");
        return slot?.inherited ? new Map([...takeover.listSilent(now), ...known]) : known;
    };

    const requestRetirement = (intent: EvictionIntent, now: Milliseconds): readonly OwnerEffect[] => {
        if (now - intent.lastAskedAt < times.repeatInterval) {
            return [];
        }
        intents.set(intent.name, { ...intent, lastAskedAt: now });
        const message: PlacementMessage = { kind: "retire", engine: engine.id, fencingNumber, name: intent.name };
        const holders = listHolders(slots.get(intent.name), now).keys();
        return [...new Set([...listTargets(), ...holders])]
            .filter(to => intent.answers.get(to) !== false)
            .map(to => ({ kind: "send", to, message }));
    };
    const advanceIntent = (intent: EvictionIntent, now: Milliseconds): readonly OwnerEffect[] => {
        if (intent.isOrdering || incarnation === undefined) {
            return [];
        }
        if (!isEvictable(intent, listHolders(slots.get(intent.name), now), context.listMembers(), now)) {
            return requestRetirement(intent, now);
        }
        if (now - (intent.orderedAt ?? Number.NEGATIVE_INFINITY) < times.repeatInterval) {
            return [];
        }
        intents.set(intent.name, { ...intent, orderedAt: now, isOrdering: true });
        const adapter = parseLoadName(intent.name);
        return [{ kind: "unload", engine, name: intent.name, adapter, incarnation, fencingNumber }];
    };
    const chooseVictim = (load: PendingLoad, now: Milliseconds): LoadName | undefined => {
        const isFree = (name: LoadName): boolean =>
            slots.get(name)?.state === "resident" && !holds.isRunning(name, now)
            && !(slots.get(name)!.inherited && takeover.listSilent(now).size > 0);
        return load.victims.find(isFree)
            ?? [...slots.keys()].filter(isFree).sort((left, right) =>
                holds.readLastUse(left) - holds.readLastUse(right)
            )[0];
    };
    const findSlotFor = (load: PendingLoad, free: number, now: Milliseconds): readonly OwnerEffect[] => {
        if (free > 0) {
            pending.reserve(load.key);
            return [{ kind: "acquirePermit", engine: engine.id, key: load.key, priority: load.priority }];
        }
        const intent = intents.get(load.victim ?? "");
        const isInUse = [...intent?.answers.values() ?? []].includes(true);
        const isWaiting = intent !== undefined && !isInUse && now - intent.startedAt < victimWaitMilliseconds;
        const victim = isWaiting ? undefined : chooseVictim(load, now);
        if (victim !== undefined) {
            pending.setVictim(load.key, victim);
            beginIntent(victim, now);
        }
        return [];
    };
    const advancePending = (now: Milliseconds): readonly OwnerEffect[] => {
        const effects: OwnerEffect[] = [];
        for (const load of pending.listExpired(now - times.demandTimeout)) {
            pending.remove(load.key);
            effects.push(withdrawPermit(load.key));
        }
        let free = engine.adapterSlots - slots.size - pending.countReserved();
        for (const load of pending.listUnreserved()) {
            const isFree = free > 0 && now >= fullUntil;
            effects.push(...findSlotFor(load, isFree ? free : 0, now));
            free -= isFree ? 1 : 0;
        }
        return effects;
    };
    const sendTable = (now: Milliseconds): readonly OwnerEffect[] => {
        const table = tableChanged || now - tableSentAt >= times.tableInterval ? makeTable() : undefined;
        if (!table) {
            return [];
        }
        const isWholeDue = lastTable?.incarnation !== table.incarnation
            || now - wholeTablesSentAt >= times.wholeTableInterval;
        if (isWholeDue) {
            informed = new Set();
            wholeTablesSentAt = now;
        }
        const whole: PlacementMessage = { kind: "table", table };
        const change: PlacementMessage = lastTable
            ? { kind: "tableChange", change: diffTables(lastTable, table) }
            : whole;
        const targets = listTargets();
        const effects = targets.map((to): OwnerEffect => ({
            kind: "send",
            to,
            message: informed.has(to) ? change : whole,
        }));
        informed = new Set(targets);
        lastTable = table;
        tableChanged = false;
        tableSentAt = now;
        return effects;
    };
    const sendWholeTable = (to: InstanceId): readonly OwnerEffect[] =>
        lastTable ? [{ kind: "send", to, message: { kind: "table", table: lastTable } }] : [];
    const makeTable = (): EngineTable | undefined => {
        if (incarnation === undefined || !takeover.isDone()) {
            return undefined;
        }
        const listNames = (state: Slot["state"]): LoadName[] =>
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
            running: holds.listRunning(),
            inFlight: holds.countInFlight(),
        };
    };
    const advanceAll = (now: Milliseconds): readonly OwnerEffect[] => {
        if (!takeover.isDone()) {
            return advanceTakeover(now);
        }
        for (const [name, at] of removed) {
            if (now - at > 2 * times.longestReportLag) {
                removed.delete(name);
            }
        }
        const loads = incarnation === undefined ? [] : advancePending(now);
        const evictions = [...intents.values()].flatMap(intent => advanceIntent(intent, now));
        return [...loads, ...evictions, ...sendTable(now)];
    };
    const advanceTakeover = (now: Milliseconds): readonly OwnerEffect[] => {
        const step = takeover.advance(firstReport !== undefined, now);
        if (step.kind === "ask") {
            const message: PlacementMessage = { kind: "collect", engine: engine.id, fencingNumber };
            return step.instances.map(to => ({ kind: "send", to, message }));
        }
        if (step.kind === "wait" || !firstReport) {
            return [];
        }
        const effects = beginIncarnation(firstReport.report);
        for (const adapter of firstReport.report.resident) {
            const slot = makeSlot(formatAdapterName(adapter), "resident", firstReport.askedAt, true);
            slots.set(slot.name, slot);
            takeover.listHolds(slot.name).forEach(instance => holds.grant(slot.name, instance, now));
            if (!step.keepInherited || adapter.generation === undefined || takeover.isRetired(slot.name)) {
                beginIntent(slot.name, now);
            }
        }
        return [...effects, ...handleReport(firstReport.report, firstReport.askedAt, now)];
    };
    const handleReport = (
        report: EngineReport,
        askedAt: Milliseconds,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        if (!takeover.isDone()) {
            firstReport = { report, askedAt };
            return advanceAll(now);
        }
        const effects: OwnerEffect[] = report.incarnation === incarnation ? [] : [...beginIncarnation(report)];
        const merge = mergeReport(slots, report, askedAt, times.longestReportLag, new Set(removed.keys()));
        for (const { name, isResident } of merge.settled) {
            effects.push(...settlePermit(name));
            if (isResident) {
                slots.set(name, merge.table.get(name)!);
                tableChanged = true;
            }
            else {
                removeSlot(name, now);
            }
        }
        for (const name of merge.strangers) {
            slots.set(name, merge.table.get(name)!);
            takeover.listHolds(name).forEach(instance => holds.grant(name, instance, now));
            beginIntent(name, now);
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
        holds.declare(from, message.running, message.inFlight, now);
        const names = message.names.filter(name => slots.get(name)?.state === "resident");
        names.forEach(name => holds.grant(name, from, now));
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
            holds.extend(message.name, from, now);
        }
    };
    const handleCollected = (from: InstanceId, message: MessageOf<"collected">, now: Milliseconds): void => {
        if (message.fencingNumber !== fencingNumber || !takeover.addAnswer(from, message)) {
            return;
        }
        if (takeover.isDone()) {
            message.held.filter(name => slots.has(name)).forEach(name => holds.grant(name, from, now));
            message.retired.filter(name => slots.get(name)?.state === "resident").forEach(name =>
                beginIntent(name, now)
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
                holds.removeInstance(from);
                takeover.removeSilent(from);
                return [];
            case "loadWanted":
                if (![...slots.values()].some(slot => slot.key === message.key && slot.state !== "retiring")) {
                    tableChanged ||= pending.add(message, now);
                }
                return advanceAll(now);
            case "tableWanted":
                return sendWholeTable(from);
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
    const handleLoadEnd = (
        slot: Slot,
        result: Result<void, OrderError>,
        now: Milliseconds,
    ): readonly OwnerEffect[] => {
        if (result.ok) {
            slots.set(slot.name, { ...slot, state: "resident", since: now });
            tableChanged = true;
            return settlePermit(slot.name);
        }
        if (result.error.kind === "unknownOutcome") {
            slots.set(slot.name, { ...slot, state: "uncertain", since: now });
            return [];
        }
        if (result.error.kind === "loadFailed") {
            const failure = { key: slot.key, number: ++failures, detail: result.error.detail };
            failed = [...failed, failure].slice(-failuresKept);
        }
        if (result.error.kind === "noFreeSlot") {
            // someone's late order took the slot; the next report shows which
            fullUntil = now + times.longestReportLag;
        }
        removeSlot(slot.name, now);
        return settlePermit(slot.name);
    };
    return {
        fencingNumber,
        handleMessage,
        handleReport,
        handleOrderEnd: (kind, name, result, now) => {
            const slot = slots.get(name);
            if (!slot) {
                return settlePermit(name);
            }
            if (kind === "load") {
                return [...handleLoadEnd(slot, result, now), ...advanceAll(now)];
            }
            const intent = intents.get(name);
            if (result.ok) {
                removeSlot(name, now);
            }
            else if (intent) {
                intents.set(name, { ...intent, isOrdering: false });
            }
            return advanceAll(now);
        },
        handlePermit: (key, startBy, now) => {
            const load = pending.take(key);
            if (!load || now > startBy || incarnation === undefined) {
                return [withdrawPermit(key)];
            }
            const slot = makeSlot(`${key}#${context.makeGeneration()}`, "loading", now);
            slots.set(slot.name, slot);
            permits.add(slot.name);
            tableChanged = true;
            const { name, adapter } = slot;
            return [{ kind: "load", engine, name, adapter, incarnation, fencingNumber }];
        },
        tick: advanceAll,
        close: () => pending.listKeys().map(withdrawPermit),
        makeTable,
        listBlocked: now =>
            [...intents.values()].map(intent => ({
                name: intent.name,
                instances: listBlockers(intent, listHolders(slots.get(intent.name), now), now),
            })),
    };
}
