/**
 * Model of an inference engine with continuous batching, a prefix cache, adapter slots, and load and unload orders. It
 * has no sockets or timers: its owner reads `nextEventAt` and calls `advance`. Tests verify against its record, which
 * holds what the engine has actually done.
 *
 * @packageDocumentation
 */
import {
    type AdapterOrder,
    type AdapterReference,
    type BackendError,
    type EngineIncarnation,
    type EngineReport,
    formatAdapterName,
    type GenerationRequest,
    type OrderError,
} from "../backends/index.js";
import { hashForPlacement, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { EngineModel, EngineModelEvent, EngineModelOptions } from "./engineModelTypes.js";
import { createEngineRecord } from "./engineRecord.js";
import { createPrefixCache, type PrefixCache } from "./prefixCacheModel.js";
import type { StoreLoad } from "./weightStoreModel.js";

interface Sequence {
    readonly request: GenerationRequest;
    readonly name: string;
    readonly promptText: string;
    readonly promptTokens: number;
    readonly lastToken: number;
    readonly endReason: "stop" | "length";
    slot: Slot | undefined;
    nextToken: number;
    isPrefilled: boolean;
}

interface Slot {
    adapter: AdapterReference | undefined;
    /** Set while the weights are being loaded. */
    load: StoreLoad | undefined;
}

const charactersPerToken = 4;
const shortestAnswerTokens = 8;
const answerSpreadTokens = 64n;
const tokenTextLength = 4;
const tokenTextRadix = 36;
const baseModelName = "base";

/**
 * Makes the text of one token. It depends on the adapter and version, so that tokens from the wrong one are detectable.
 *
 * @param promptText - the prompt as text
 * @param name - `ADAPTER@VERSION`, or `base` for the base model without an adapter
 * @param index - position of the token in the answer, from 0
 * @returns the text, which ends with a space
 */
export function makeTokenText(promptText: string, name: string, index: number): string {
    return `${hashForPlacement(`${name}\n${promptText}\n${index}`).toString(tokenTextRadix).slice(-tokenTextLength)} `;
}

/**
 * Formats the prompt of a request as one string.
 *
 * @param request - request with a text or chat prompt
 * @returns the text prompt, or one line `ROLE: CONTENT` for each chat message
 */
export function formatPrompt(request: Pick<GenerationRequest, "prompt">): string {
    return request.prompt.kind === "text"
        ? request.prompt.text
        : request.prompt.messages.map(message => `${message.role}: ${message.content}`).join("\n");
}

/**
 * Creates an engine model.
 *
 * @param options - capacity, step times and weight store of the engine
 * @returns the engine, without requests or adapters
 */
export function createEngineModel(options: EngineModelOptions): EngineModel {
    const record = createEngineRecord();
    const stepBase = options.stepBase ?? 20;
    const stepPerSequence = options.stepPerSequence ?? 0.4;
    const prefillPerToken = options.prefillPerToken ?? 0.05;
    const faults = { loads: new Map<string, number>(), requests: 0, leaving: false };
    let prefixCache: PrefixCache = createPrefixCache(options.prefixCacheTokens ?? 50_000);
    let slots: Slot[] = [];
    let waiting: Sequence[] = [];
    let running: Sequence[] = [];
    let pendingEvents: EngineModelEvent[] = [];
    let restarts = 0;
    let reportSequence = 0;
    let newestFencingNumber = -1;
    let stepEndsAt: Milliseconds | undefined;
    let reports: { readonly at: Milliseconds; readonly report: EngineReport; }[] = [];

    const readIncarnation = (): EngineIncarnation => `${options.id}-${restarts}`;
    const resetState = (): void => {
        slots = Array.from({ length: options.adapterSlots }, () => ({ adapter: undefined, load: undefined }));
        prefixCache = createPrefixCache(options.prefixCacheTokens ?? 50_000);
        waiting = [];
        running = [];
        newestFencingNumber = -1;
        stepEndsAt = undefined;
        reports = [];
    };
    resetState();

    const findSlot = (name: string): Slot | undefined =>
        slots.find(slot => slot.adapter !== undefined && formatAdapterName(slot.adapter) === name);
    const findResident = (name: string): Slot | undefined => {
        const slot = findSlot(name);
        return slot?.load === undefined ? slot : undefined;
    };
    const countUses = (name: string): number =>
        running.filter(entry => entry.name === name).length + waiting.filter(entry => entry.name === name).length;
    const checkOrder = (order: AdapterOrder): OrderError | undefined => {
        if (order.incarnation !== readIncarnation()) {
            return { kind: "wrongIncarnation", incarnation: readIncarnation() };
        }
        if (options.fencing === "checked" && order.fencingNumber < newestFencingNumber) {
            return { kind: "fenced", newest: newestFencingNumber };
        }
        newestFencingNumber = Math.max(newestFencingNumber, order.fencingNumber);
        return undefined;
    };
    const readActualName = (sequence: Sequence): string => {
        const actual = sequence.slot?.adapter;
        return actual === undefined ? baseModelName : `${actual.adapter}@${actual.version}`;
    };
    const startWaiting = (now: Milliseconds): void => {
        while (running.length < options.batchLimit && waiting.length > 0) {
            const sequence = waiting.shift()!;
            if (sequence.request.adapter !== undefined) {
                sequence.slot = findResident(sequence.name);
                if (sequence.slot === undefined) {
                    record.addLost(sequence.request.requestId, sequence.name, now);
                    pendingEvents.push({ kind: "failed", requestId: sequence.request.requestId, detail: "evicted" });
                    continue;
                }
            }
            record.addStart(sequence.request.requestId, sequence.request.adapter, sequence.slot?.adapter, now);
            running.push(sequence);
        }
    };
    const beginStep = (now: Milliseconds): void => {
        startWaiting(now);
        if (running.length === 0) {
            stepEndsAt = undefined;
            return;
        }
        let prefillTokens = 0;
        for (const sequence of running.filter(entry => !entry.isPrefilled)) {
            const key = `${sequence.name}\n`;
            prefillTokens += sequence.promptTokens - prefixCache.use(key, sequence.promptText, sequence.promptTokens);
            sequence.isPrefilled = true;
        }
        const duration = stepBase + running.length * stepPerSequence + prefillTokens * prefillPerToken;
        record.addStep(running.length, duration);
        stepEndsAt = now + duration;
    };
    const emitToken = (sequence: Sequence): void => {
        const index = sequence.nextToken++;
        const actual = readActualName(sequence);
        const asked = sequence.request.adapter;
        if (actual !== (asked === undefined ? baseModelName : `${asked.adapter}@${asked.version}`)) {
            record.addWrongToken(sequence.request.requestId, actual);
        }
        const text = options.writeText === false ? "" : makeTokenText(sequence.promptText, actual, index);
        pendingEvents.push({ kind: "token", requestId: sequence.request.requestId, index, text });
    };
    const endStep = (): void => {
        for (const sequence of running) {
            if (faults.requests > 0) {
                faults.requests--;
                sequence.nextToken = Number.POSITIVE_INFINITY;
                pendingEvents.push({ kind: "failed", requestId: sequence.request.requestId, detail: "injected fault" });
                continue;
            }
            emitToken(sequence);
            if (sequence.nextToken >= sequence.lastToken) {
                pendingEvents.push({
                    kind: "end",
                    requestId: sequence.request.requestId,
                    reason: sequence.endReason,
                    promptTokens: sequence.promptTokens,
                    outputTokens: sequence.lastToken,
                });
            }
        }
        running = running.filter(sequence => sequence.nextToken < sequence.lastToken);
    };
    const endLoads = (now: Milliseconds): void => {
        options.store.advance(now);
        for (const slot of slots) {
            if (slot.load?.endedAt === undefined || slot.adapter === undefined) {
                continue;
            }
            const adapter = slot.adapter;
            const failures = faults.loads.get(adapter.adapter) ?? 0;
            record.addLoad(formatAdapterName(adapter), slot.load.askedAt, slot.load.endedAt, failures === 0);
            slot.load = undefined;
            if (failures > 0) {
                faults.loads.set(adapter.adapter, failures - 1);
                slot.adapter = undefined;
            }
            const result = failures > 0
                ? wrapError<OrderError>({ kind: "loadFailed", detail: "injected fault" })
                : wrapValue(undefined);
            pendingEvents.push({ kind: "loadEnded", adapter, result });
        }
    };
    const createSequence = (request: GenerationRequest): Sequence => {
        const promptText = formatPrompt(request);
        const natural = options.naturalTokens
            ?? shortestAnswerTokens + Number(hashForPlacement(promptText) % answerSpreadTokens);
        return {
            request,
            name: request.adapter === undefined ? baseModelName : formatAdapterName(request.adapter),
            promptText,
            promptTokens: Math.ceil(promptText.length / charactersPerToken),
            lastToken: Math.min(natural, request.maximumOutputTokens),
            endReason: natural <= request.maximumOutputTokens ? "stop" : "length",
            slot: undefined,
            nextToken: request.resumeAfterTokens,
            isPrefilled: false,
        };
    };
    const makeReport = (): EngineReport => ({
        engine: options.id,
        incarnation: readIncarnation(),
        sequence: ++reportSequence,
        running: running.length,
        waiting: waiting.length,
        resident: slots.flatMap(slot => slot.adapter !== undefined && slot.load === undefined ? [slot.adapter] : []),
        loading: slots.flatMap(slot => slot.adapter !== undefined && slot.load !== undefined ? [slot.adapter] : []),
    });
    return {
        readIncarnation,
        record,
        submit: (request, now) => {
            const refuse = (
                reason: Extract<BackendError, { kind: "refused"; }>["reason"],
            ): Result<void, BackendError> => wrapError({ kind: "refused", reason, detail: `${options.id}: ${reason}` });
            if (faults.leaving) {
                return refuse("leaving");
            }
            if (request.incarnation !== readIncarnation()) {
                return refuse("wrongIncarnation");
            }
            if (request.adapter !== undefined && findResident(formatAdapterName(request.adapter)) === undefined) {
                return refuse("adapterAbsent");
            }
            if (waiting.length >= (options.waitingLimit ?? 1_000)) {
                return refuse("overloaded");
            }
            const position = waiting.findIndex(entry => entry.request.priority > request.priority);
            waiting.splice(position < 0 ? waiting.length : position, 0, createSequence(request));
            if (stepEndsAt === undefined) {
                beginStep(now);
            }
            return wrapValue(undefined);
        },
        cancel: requestId => {
            waiting = waiting.filter(entry => entry.request.requestId !== requestId);
            running = running.filter(entry => entry.request.requestId !== requestId);
        },
        load: (order, now) => {
            const refusal = checkOrder(order);
            if (refusal) {
                return wrapError(refusal);
            }
            const known = findSlot(formatAdapterName(order.adapter));
            if (known) {
                return wrapValue(known.load === undefined);
            }
            const free = slots.find(slot => slot.adapter === undefined);
            if (!free) {
                return wrapError({ kind: "noFreeSlot" });
            }
            free.adapter = order.adapter;
            free.load = options.store.start(formatAdapterName(order.adapter), now);
            return wrapValue(false);
        },
        unload: (order, now) => {
            const refusal = checkOrder(order);
            const name = formatAdapterName(order.adapter);
            const slot = findSlot(name);
            if (refusal || !slot) {
                return refusal ? wrapError(refusal) : wrapValue(undefined);
            }
            const uses = countUses(name);
            // an engine that ignores fencing numbers also evicts adapters in use; callers must prevent both themselves
            if (uses > 0 && options.fencing === "checked") {
                return wrapError({ kind: "inUse" });
            }
            record.addEviction(name, uses, order.fencingNumber, now);
            if (slot.load) {
                options.store.cancel(slot.load);
                pendingEvents.push({
                    kind: "loadEnded",
                    adapter: order.adapter,
                    result: wrapError({ kind: "loadFailed", detail: "unloaded during the load" }),
                });
            }
            slot.adapter = undefined;
            slot.load = undefined;
            return wrapValue(undefined);
        },
        restart: now => {
            for (const slot of slots) {
                if (slot.load) {
                    options.store.cancel(slot.load);
                }
            }
            pendingEvents = [];
            restarts++;
            reportSequence = 0;
            record.addRestart(now);
            resetState();
        },
        readReport: now => {
            const lag = options.reportLag ?? 0;
            // drop reports older than twice the lag, since the previous read may have been long ago
            const kept = reports.filter(entry => entry.at >= now - 2 * lag);
            reports = [...kept, { at: now, report: makeReport() }];
            const newestDue = reports.findLastIndex(entry => entry.at <= now - lag);
            reports = reports.slice(Math.max(0, newestDue));
            return reports[0]!.report;
        },
        setFault: fault => {
            switch (fault.kind) {
                case "failLoads":
                    faults.loads.set(fault.adapter, fault.times);
                    return;
                case "failRequests":
                    faults.requests = fault.times;
                    return;
                case "leave":
                    faults.leaving = true;
            }
        },
        nextEventAt: () => {
            const loads = slots.some(slot => slot.load !== undefined) ? options.store.nextEventAt() : undefined;
            if (pendingEvents.length > 0 || slots.some(slot => slot.load?.endedAt !== undefined)) {
                return 0;
            }
            return loads === undefined ? stepEndsAt : Math.min(loads, stepEndsAt ?? loads);
        },
        advance: now => {
            while (stepEndsAt !== undefined && stepEndsAt <= now) {
                const endedAt = stepEndsAt;
                endLoads(endedAt);
                endStep();
                beginStep(endedAt);
            }
            endLoads(now);
            return pendingEvents.splice(0);
        },
    };
}
