/**
 * Places on engines that the holder of their shards has given to requests of all instances. A place counts as in use
 * until its instance reports the end of the request, or until the request's deadline has passed.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import type { AnswerReport, ModelChoice, PlaceOutcome, ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { EngineLoads, PlaceLoad } from "./engineLoads.js";
import type { PlaceDemand } from "./messages.js";

/** Place of one request on an engine. */
export interface EnginePlace {
    readonly run: ServerRunId;
    readonly choice: ModelChoice;
    /** Time after which the place is free even without a report. */
    readonly expiresAt: Milliseconds;
    /** Whether it took one of the few permits of a cold engine. */
    readonly isPaced: boolean;
    /** Service and priority of a request that names its route. @default the place isn't counted by priority */
    readonly service?: string | undefined;
    readonly priority?: number | undefined;
    /** @default the duration of the request isn't measured */
    readonly takenAt?: Milliseconds;
}

/** All places given by this instance. */
export interface EnginePlaces {
    /** Counts a place as in use; returns whether the first event of its answer is to be reported. */
    readonly take: (id: string, place: EnginePlace, demand?: PlaceDemand) => boolean;
    /** Records that the answer to a place's request has begun. */
    readonly begin: (id: string, report: AnswerReport) => void;
    /** Frees a place; returns `undefined` when it isn't known or was freed before. */
    readonly free: (id: string, outcome?: PlaceOutcome, report?: AnswerReport) => EnginePlace | undefined;
    /** Frees the places whose time has passed. */
    readonly expire: (now: Milliseconds) => void;
    /** Forgets the places on an engine that was removed or given up. */
    readonly removeEngine: (run: ServerRunId) => void;
}

interface TakenPlace {
    readonly place: EnginePlace;
    readonly load: PlaceLoad | undefined;
}

/** Callbacks with each place that is taken or freed. */
export interface EnginePlaceListeners {
    readonly onTaken: (place: EnginePlace) => void;
    readonly onFreed: (place: EnginePlace) => void;
}

/**
 * Creates an empty set of places.
 *
 * @param records - records of the engines, whose requests in flight are counted here
 * @param loads - loads of the engines
 * @param listeners - callbacks
 * @returns the places, owned by the caller
 */
export function createEnginePlaces(
    records: ServerRecords,
    loads: EngineLoads,
    listeners: EnginePlaceListeners,
): EnginePlaces {
    const places = new Map<string, TakenPlace>();
    const release: EnginePlaces["free"] = (id, outcome = "unknown", report = {}) => {
        const taken = places.get(id);
        if (!taken) {
            return undefined;
        }
        const { place, load } = taken;
        places.delete(id);
        records.getRecord(place.run).inFlight--;
        if (load) {
            loads.end(place.run, load, outcome, report);
        }
        listeners.onFreed(place);
        return place;
    };
    const listIds = (isIncluded: (place: EnginePlace) => boolean): readonly string[] =>
        [...places].filter(([, { place }]) => isIncluded(place)).map(([id]) => id);
    return {
        take: (id, place, demand = {}) => {
            const load = loads.place(place.run, place.choice, demand);
            places.set(id, { place, load });
            records.getRecord(place.run).inFlight++;
            listeners.onTaken(place);
            return load?.isLongPrompt ?? false;
        },
        begin: (id, report) => {
            const taken = places.get(id);
            if (taken?.load) {
                loads.begin(taken.place.run, taken.load, report);
            }
        },
        free: release,
        expire: now => listIds(place => place.expiresAt <= now).forEach(id => release(id)),
        removeEngine: run => listIds(place => place.run === run).forEach(id => release(id)),
    };
}
