/**
 * Answers requests for places on the engines whose shards this instance holds. A request that isn't decided soon gets a
 * first response, so that its sender can tell an instance that works on it from one that is silent.
 *
 * @packageDocumentation
 */
import type { ServerRecords } from "../serving/serverRecords.js";
import { type AnswerReport, formatServerRunId, type PlaceOutcome, type ServerRunId } from "../serving/types.js";
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
    readonly end: (id: string, outcome: PlaceOutcome, report?: AnswerReport) => void;
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
    /** Takes a permit for a request to a server; `undefined` when its limit or its coldness leaves no room for it. */
    readonly takePermit: (run: ServerRunId) => TakenPermit | undefined;
    /** Returns the permit of a request that a paced server has not taken. */
    readonly returnPermit: (run: ServerRunId) => void;
    /** Records whether a request reached its server. */
    readonly recordReached: (run: ServerRunId, isReached: boolean) => void;
}

/** Permit for a place. */
export interface TakenPermit {
    /** Whether the server is cold or was so a moment ago; `undefined` where servers of its service are never cold. */
    readonly isPaced: boolean | undefined;
}

interface UndecidedRequest {
    readonly response: Promise<PlaceResponse>;
    readonly expiresAt: Milliseconds;
    readonly cancel: AbortController;
    /** Time at which a place was given. */
    decidedAt: Milliseconds;
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
        const permit = options.takePermit(formatServerRunId(found.server));
        if (!permit) {
            return { kind: "unavailable" };
        }
        const { id, startedAt, address } = found.server;
        const isFirstEventWanted = places.take(request.id, {
            run: formatServerRunId(found.server),
            choice: { model: request.model, adapter: request.adapter },
            expiresAt: clock.now() + request.deadline,
            isPaced: permit.isPaced === true,
            takenAt: clock.now(),
            ...request.route === undefined ? {} : { service: request.service, priority: request.priority },
        }, request);
        entry.decidedAt = clock.now();
        return {
            kind: "placed",
            server: { id, startedAt, address },
            version: found.version,
            ...permit.isPaced !== undefined && { permit: { isPaced: permit.isPaced, age: 0 } },
            ...isFirstEventWanted && { isFirstEventWanted },
        };
    };
    // the sender may ask again only some time after the decision
    const describeAge = (response: PlaceResponse, entry: UndecidedRequest): PlaceResponse =>
        response.kind === "placed" && response.permit
            ? { ...response, permit: { ...response.permit, age: Math.max(0, clock.now() - entry.decidedAt) } }
            : response;
    const recordOutcome = ({ run, choice, isPaced }: EnginePlace, outcome: PlaceOutcome): void => {
        if (outcome !== "unknown") {
            options.recordReached(run, outcome !== "unreachable");
        }
        if (outcome === "missing" && isPaced) {
            options.returnPermit(run);
        }
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
            decidedAt: clock.now(),
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
            return describeAge(response, entry);
        },
        end: (id, outcome, report) => {
            const entry = requests.get(id);
            if (entry) {
                entry.cancel.abort();
                requests.delete(id);
            }
            const place = places.free(id, outcome, report);
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
