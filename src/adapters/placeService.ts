/**
 * Answers requests for places on the engines whose shards this instance holds. A request that isn't decided soon gets a
 * first response, so that its sender can tell an instance that works on it from one that is silent.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { formatServerRunId, type PlaceOutcome, type ServerRunId } from "../serving/types.js";
import type { Clock, Milliseconds } from "../shared/index.js";
import type { EngineFinder, FoundEngine } from "./engineFinder.js";
import type { EnginePlace, EnginePlaces } from "./enginePlaces.js";
import type { EngineRoom } from "./engineRoom.js";
import type { PlaceRequest, PlaceResponse } from "./messages.js";

/** Service for places. */
export interface PlaceService {
    /** Decides a request, or returns `waiting` when that takes longer. */
    readonly handle: (request: PlaceRequest) => Promise<PlaceResponse>;
    /** Ends a request: frees its place, or stops its wait. */
    readonly end: (id: string, outcome: PlaceOutcome) => void;
    /** Forgets the requests that were not sent again after they were decided. */
    readonly expire: (now: Milliseconds) => void;
}

/** Dependencies of the service. */
export interface PlaceServiceOptions {
    readonly clock: Clock;
    readonly finder: EngineFinder;
    readonly places: EnginePlaces;
    readonly records: ServerRecords;
    readonly room: Pick<EngineRoom, "release" | "recordDuration">;
    /** Takes a permit for a request to a server, and returns whether its limit has room for it. */
    readonly takePermit: (run: ServerRunId) => boolean;
}

interface UndecidedRequest {
    readonly response: Promise<PlaceResponse>;
    readonly expiresAt: Milliseconds;
    readonly cancel: AbortController;
}

/** Time after which an undecided request gets its first response. */
const firstResponseMilliseconds = 200;
/** Time for which a decision is kept for a sender that asks again. */
const decisionLifetimeMilliseconds = 1_000;

/**
 * Creates the service without requests.
 *
 * @param options - finder and places
 * @returns the service
 */
export function createPlaceService(options: PlaceServiceOptions): PlaceService {
    const { clock, finder, places, records, room } = options;
    const requests = new Map<string, UndecidedRequest>();
    const takePlace = (request: PlaceRequest, found: FoundEngine, entry: UndecidedRequest): PlaceResponse => {
        if (found.kind !== "found") {
            return found;
        }
        if (entry.cancel.signal.aborted) {
            return { kind: "unavailable" };
        }
        // another request may have taken the last permit since the engine was selected
        if (!options.takePermit(formatServerRunId(found.server))) {
            return { kind: "unavailable" };
        }
        const { id, startedAt, address } = found.server;
        places.take(request.id, {
            run: formatServerRunId(found.server),
            choice: { model: request.model, adapter: request.adapter },
            expiresAt: clock.now() + request.deadline,
            takenAt: clock.now(),
            ...request.route === undefined ? {} : { service: request.service, priority: request.priority },
        });
        return { kind: "placed", server: { id, startedAt, address }, version: found.version };
    };
    const recordOutcome = ({ run, choice }: EnginePlace, outcome: PlaceOutcome): void => {
        switch (outcome) {
            case "answered":
                records.markSuccess(run, clock.now());
                break;
            case "failed":
            case "unreachable":
                records.markFailure(run, outcome === "unreachable", clock.now());
                break;
            case "missing":
                if (choice.adapter !== undefined) {
                    finder.markDenied(run, choice.model, choice.adapter);
                }
                break;
            case "unknown":
                break;
        }
    };
    const start = (request: PlaceRequest): UndecidedRequest => {
        const entry = {
            expiresAt: clock.now() + request.patience + decisionLifetimeMilliseconds,
            cancel: new AbortController(),
            response: Promise.resolve<PlaceResponse>({ kind: "unavailable" }),
        };
        entry.response = finder.find(request, entry.cancel.signal)
            .then(found => takePlace(request, found, entry))
            .finally(() => room.release(request.id));
        requests.set(request.id, entry);
        return entry;
    };
    const waitFor = async (response: Promise<PlaceResponse>): Promise<PlaceResponse> => {
        const cancel = new AbortController();
        const waiting = clock.sleep(firstResponseMilliseconds, cancel.signal)
            .then((): PlaceResponse => ({ kind: "waiting" }));
        const first = await Promise.race([response, waiting]);
        cancel.abort();
        return first;
    };
    return {
        handle: async request => {
            const entry = requests.get(request.id) ?? start(request);
            const response = await waitFor(entry.response);
            if (response.kind !== "waiting") {
                requests.delete(request.id);
            }
            return response;
        },
        end: (id, outcome) => {
            const entry = requests.get(id);
            if (entry) {
                entry.cancel.abort();
                requests.delete(id);
            }
            const place = places.free(id);
            if (place) {
                recordOutcome(place, outcome);
                // failures end early and would make the engines look fast
                if (outcome === "answered" && place.service !== undefined && place.takenAt !== undefined) {
                    room.recordDuration(place.service, clock.now() - place.takenAt);
                }
            }
        },
        expire: now => {
            for (const [id, entry] of requests) {
                if (entry.expiresAt <= now) {
                    entry.cancel.abort();
                    requests.delete(id);
                }
            }
            places.expire(now);
        },
    };
}
