/**
 * Places on engines that the holder of their shards has given to requests of all instances. A place counts as in use
 * until its instance reports the end of the request, or until the request's deadline has passed.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import type { ModelChoice, ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";

/** Place of one request on an engine. */
export interface EnginePlace {
    readonly run: ServerRunId;
    readonly choice: ModelChoice;
    /** Time after which the place is free even without a report. */
    readonly expiresAt: Milliseconds;
    /** Service and priority of a request that names its route. @default the place isn't counted by priority */
    readonly service?: string | undefined;
    readonly priority?: number | undefined;
    /** @default the duration of the request isn't measured */
    readonly takenAt?: Milliseconds;
}

/** All places given by this instance. */
export interface EnginePlaces {
    /** Counts a place as in use. */
    readonly take: (id: string, place: EnginePlace) => void;
    /** Frees a place; returns `undefined` when it isn't known or was freed before. */
    readonly free: (id: string) => EnginePlace | undefined;
    /** Frees the places whose time has passed. */
    readonly expire: (now: Milliseconds) => void;
    /** Forgets the places on an engine that was removed or given up. */
    readonly removeEngine: (run: ServerRunId) => void;
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
 * @param listeners - callbacks
 * @returns the places, owned by the caller
 */
export function createEnginePlaces(records: ServerRecords, listeners: EnginePlaceListeners): EnginePlaces {
    const places = new Map<string, EnginePlace>();
    const release = (id: string): EnginePlace | undefined => {
        const place = places.get(id);
        if (place) {
            places.delete(id);
            records.getRecord(place.run).inFlight--;
            listeners.onFreed(place);
        }
        return place;
    };
    const listIds = (isIncluded: (place: EnginePlace) => boolean): readonly string[] =>
        [...places].filter(([, place]) => isIncluded(place)).map(([id]) => id);
    return {
        take: (id, place) => {
            places.set(id, place);
            records.getRecord(place.run).inFlight++;
            listeners.onTaken(place);
        },
        free: release,
        expire: now => listIds(place => place.expiresAt <= now).forEach(release),
        removeEngine: run => listIds(place => place.run === run).forEach(release),
    };
}
