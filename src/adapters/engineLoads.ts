/**
 * Loads of the engines whose shards this instance holds: feeds `routing/engineLoad` with places, answers and reports.
 *
 * @packageDocumentation
 */
import {
    addPlaced,
    type AnswerObservation,
    computeSlowness,
    countUnreadTokens,
    createEngineLoad,
    createPromptCache,
    createUsualSpeed,
    type EngineDemand,
    type EngineLoadState,
    markBegan,
    markUnknown,
    type PlacedDemand,
    recordObservation,
    recordToldLoad,
    removePlaced,
    setMemory,
    type UsualSpeed,
} from "../routing/index.js";
import type { EngineRecord, ServerRecords } from "../serving/serverRecords.js";
import {
    type AnswerReport,
    type BackendServer,
    formatServerRunId,
    type ModelChoice,
    type PlaceOutcome,
    type ServerRunId,
} from "../serving/types.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { formatAdapterKey, type PlaceDemand } from "./messages.js";
import type { EngineReportLoad } from "./types.js";

/** What a place takes of its engine. */
export interface PlaceLoad extends PlacedDemand {
    readonly service: string;
    /** Whether the engine's load can't wait for the request's end to learn that its prompt has been read. */
    readonly isLongPrompt: boolean;
}

/**
 * Why a place counts as it does on its engine: it has many tokens to read (`long`), or few as the beginning of its prompt
 * is `cached` there or the prompt is `short`; `unknown` where the request names no tokens.
 */
export type PlacementReason = "cached" | "long" | "short" | "unknown";

/** State of the engines whose shards this instance holds. */
export interface EngineLoadStatus {
    readonly engines: readonly { readonly slowness: number; readonly unreadTokens: number; }[];
    /** Places that were given since the start, by reason. */
    readonly placements: ReadonlyMap<PlacementReason, number>;
}

/** Loads of engines. */
export interface EngineLoads {
    /** Begins to count an engine; `isNew` when it has just started, so that no earlier holder can have used it. */
    readonly open: (server: BackendServer, memoryTokens: number, isNew: boolean) => void;
    /** Counts a request that was placed on an engine; `undefined` when the engine isn't held here. */
    readonly place: (run: ServerRunId, choice: ModelChoice, demand: PlaceDemand) => PlaceLoad | undefined;
    /** Records that the first event of a request has arrived. */
    readonly begin: (run: ServerRunId, place: PlaceLoad, report: AnswerReport) => void;
    /** Takes a request that has ended off its engine. */
    readonly end: (run: ServerRunId, place: PlaceLoad, outcome: PlaceOutcome, report: AnswerReport) => void;
    /** Records what an engine's own report says; its age is the time by which reports lag at most. */
    readonly handleReport: (run: ServerRunId, load: EngineReportLoad) => void;
    /** State of the engines, for metrics. */
    readonly readStatus: () => EngineLoadStatus;
    readonly remove: (run: ServerRunId) => void;
}

/** Prompt tokens from which on the first event is reported: an engine reads fewer within one piece and one step. */
const longPromptTokens = 1_024;
/** Part of an engine's slots and memory that is taken to be in use until the engine states its load. */
const unknownFraction = 0.5;
/** Time by which an engine's report lags behind its state. */
const reportAgeMilliseconds = 250;
/** Slowness from which on an engine is logged as slow, and below which it is logged as slow no longer. */
const slowSlowness = 1.75;
const usualSlowness = 1.3;
const log = createLogger("adapters");

/**
 * Describes what a request asks of an engine.
 *
 * @param engine - the engine
 * @param choice - model and adapter of the request
 * @param demand - tokens and parts that the request names; without them it counts as one without tokens
 * @returns the demand
 */
export function describeEngineDemand(engine: EngineRecord, choice: ModelChoice, demand: PlaceDemand): EngineDemand {
    const { tokens, parts } = demand;
    const key = formatAdapterKey(choice.model, choice.adapter ?? "");
    return {
        promptTokens: tokens?.prompt ?? 0,
        outputTokens: tokens?.output ?? 0,
        cachedTokens: tokens && parts ? Math.min(tokens.prompt, engine.cache.countCached(key, parts)) : 0,
    };
}

/**
 * Creates the loads without engines.
 *
 * @param clock - time
 * @param records - records of the servers, which hold the loads for the choice of an engine
 * @returns the loads
 */
export function createEngineLoads(clock: Clock, records: ServerRecords): EngineLoads {
    const services = new Map<ServerRunId, string>();
    const placements = new Map<PlacementReason, number>();
    const usualSpeeds = new Map<string, UsualSpeed>();
    const update = (run: ServerRunId, apply: (state: EngineLoadState, now: Milliseconds) => EngineLoadState): void => {
        const { engine } = records.getRecord(run);
        if (engine) {
            engine.load = apply(engine.load, clock.now());
        }
    };
    const slowEngines = new Set<ServerRunId>();
    const trackSlowness = (run: ServerRunId, slowness: number): void => {
        const wasSlow = slowEngines.has(run);
        const isSlow = slowness >= (wasSlow ? usualSlowness : slowSlowness);
        if (isSlow === wasSlow) {
            return;
        }
        if (isSlow) {
            slowEngines.add(run);
        }
        else {
            slowEngines.delete(run);
        }
        log.info(isSlow ? "engine slow" : "engine no longer slow", { run, slowness });
    };
    const recordSpeed = (run: ServerRunId, place: PlaceLoad, observation: AnswerObservation): void =>
        update(run, (state, now) => {
            const usual = usualSpeeds.get(place.service) ?? createUsualSpeed(now);
            const recorded = recordObservation(state, usual, place, observation, now);
            usualSpeeds.set(place.service, recorded.usual);
            trackSlowness(run, recorded.state.slowness);
            return recorded.state;
        });
    const recordReport = (run: ServerRunId, place: PlaceLoad, report: AnswerReport): void => {
        const { load } = report;
        if (load) {
            update(run, (state, now) => recordToldLoad(state, load, now));
        }
        if (report.firstEventAfter !== undefined || report.eventGap !== undefined) {
            recordSpeed(run, place, report);
        }
    };
    return {
        open: (server, memoryTokens, isNew) => {
            const run = formatServerRunId(server);
            const now = clock.now();
            const load = createEngineLoad(server.slots, memoryTokens, now);
            services.set(run, server.service);
            records.getRecord(run).engine = {
                load: isNew ? load : markUnknown(load, unknownFraction, now),
                cache: createPromptCache(memoryTokens),
            };
        },
        place: (run, choice, request) => {
            const { engine } = records.getRecord(run);
            const service = services.get(run);
            if (!engine || service === undefined) {
                return undefined;
            }
            const demand = describeEngineDemand(engine, choice, request);
            const { state, placed } = addPlaced(engine.load, demand, clock.now());
            const isLongPrompt = demand.promptTokens - demand.cachedTokens >= longPromptTokens;
            const reason = describeReason(demand, isLongPrompt);
            engine.load = state;
            placements.set(reason, (placements.get(reason) ?? 0) + 1);
            if (request.parts) {
                engine.cache.add(formatAdapterKey(choice.model, choice.adapter ?? ""), request.parts);
            }
            return { ...placed, service, isLongPrompt };
        },
        begin: (run, place, report) => {
            update(run, (state, now) => markBegan(state, place, now));
            recordReport(run, place, report);
        },
        end: (run, place, outcome, report) => {
            recordReport(run, place, report);
            update(run, (state, now) => removePlaced(state, place, outcome === "answered", now));
        },
        handleReport: (run, { running, queued, usedTokens, totalTokens }) =>
            update(run, (state, now) =>
                recordToldLoad(
                    setMemory(state, totalTokens),
                    { running, waiting: queued, memoryTokens: usedTokens, age: reportAgeMilliseconds },
                    now,
                )),
        readStatus: () => {
            const now = clock.now();
            const engines = [...services.keys()].flatMap(run => {
                const load = records.getRecord(run).engine?.load;
                return load
                    ? [{ slowness: computeSlowness(load, now), unreadTokens: countUnreadTokens(load, now) }]
                    : [];
            });
            return { engines, placements };
        },
        remove: run => {
            services.delete(run);
            slowEngines.delete(run);
        },
    };
}

function describeReason({ promptTokens, cachedTokens }: EngineDemand, isLongPrompt: boolean): PlacementReason {
    if (promptTokens === 0) {
        return "unknown";
    }
    return isLongPrompt ? "long" : cachedTokens > 0 ? "cached" : "short";
}
