/**
 * List of the backend servers that may receive requests. A server whose entry disappears while the store can't be
 * reached, or shortly afterwards, stays in the list for a short time, because the store may have expired the entries of
 * live servers. A run of a server that has announced itself that it leaves gets no more requests, whatever its entry says.
 * Servers of evacuated failure domains get none while the evacuation is in force.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { FailureDomainId, Milliseconds } from "../shared/index.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** Settings of the list. */
export interface ServerListOptions {
    /**
     * Shortest time for which servers must have been unable to write to the store before the entry of a live one can lapse.
     * After shorter failures an entry that is missing belongs to a server that is gone. @default 0
     */
    readonly shortestLapsingOutage?: Milliseconds;
}

/** Servers that a call added to the list or removed from it; a restarted server counts as both. */
export interface ServerListChange {
    readonly added: readonly BackendServer[];
    readonly removed: readonly BackendServer[];
}

/** Backend servers by id; every change returns what was added and removed. */
export interface ServerList {
    /** Returns the servers of a service that accept new requests. */
    readonly listUsable: (service: string) => readonly BackendServer[];
    /** Returns all servers; the same list as before while nothing has changed. */
    readonly listAll: () => readonly BackendServer[];
    /** Replaces the failure domains whose servers get nothing. */
    readonly setEvacuated: (domains: ReadonlySet<FailureDomainId>) => void;
    /** Whether a server is in an evacuated failure domain. */
    readonly isEvacuated: (server: Pick<BackendServer, "failureDomain">) => boolean;
    /** Whether a service has no usable server, but servers in evacuated failure domains. */
    readonly isWithheld: (service: string) => boolean;
    /** Whether a run takes requests: it is listed, neither draining nor leaving, and not evacuated. */
    readonly isServing: (run: ServerRunId) => boolean;
    /** Whether a run may receive a request now: it takes requests, and has not asked to be left alone for a time. */
    readonly mayReceive: (run: ServerRunId, now: Milliseconds) => boolean;
    /** Records that a run wants no requests before a time; a later time replaces an earlier one. */
    readonly markShedding: (run: ServerRunId, until: Milliseconds) => void;
    /** Runs that want no requests now, with the times until which they don't. */
    readonly listShedding: (now: Milliseconds) => ReadonlyMap<ServerRunId, Milliseconds>;
    /** Whether a run has announced that it is about to stop. */
    readonly isLeaving: (run: ServerRunId) => boolean;
    /** Records such an announcement, which holds until the run has ended; returns whether it was news. */
    readonly markLeaving: (run: ServerRunId) => boolean;
    /** Returns the server of a run; `undefined` when that run isn't listed. */
    readonly find: (run: ServerRunId) => BackendServer | undefined;
    /** Adds a server or replaces its entry. */
    readonly put: (server: BackendServer) => ServerListChange;
    /**
     * Removes a server whose entry was deleted: at once if it was draining or the store has been back for some time,
     * otherwise after the time in which its entry may come back.
     */
    readonly remove: (id: string, now: Milliseconds) => ServerListChange;
    /** Replaces the list by a snapshot of all entries; other servers are treated as in `remove`. */
    readonly replaceAll: (servers: readonly BackendServer[], now: Milliseconds) => ServerListChange;
    /** Records a failed read of the store. */
    readonly markStoreFailure: (now: Milliseconds) => void;
    /** Records a read of the store that was answered; one that was sent before a failure doesn't end it. */
    readonly markStoreAnswer: (sentAt: Milliseconds, now: Milliseconds) => void;
    /** Records that the store has come back from an older copy, which may lack entries of live servers. */
    readonly markRestored: (now: Milliseconds) => void;
    /** Removes the servers whose entries have not come back in time. */
    readonly expire: (now: Milliseconds) => ServerListChange;
}

/**
 * Time from the return of the store in which live servers write the entries again that lapsed meanwhile. Entries that are
 * missing after it belong to servers that are gone.
 */
const entryGraceMilliseconds = 2_000;
/** Runs whose announcements are kept, also when they aren't listed: the newest ones, as older ones have ended. */
const maximumAnnouncingRuns = 16_384;
const noChange: ServerListChange = { added: [], removed: [] };

/**
 * Creates an empty list.
 *
 * @param options - times of the store
 * @returns the list, of which an instance needs one object
 */
export function createServerList({ shortestLapsingOutage = 0 }: ServerListOptions = {}): ServerList {
    const servers = new Map<string, BackendServer>();
    const removalDueAt = new Map<string, Milliseconds>();
    let all: readonly BackendServer[] = [];
    let byService = new Map<string, readonly BackendServer[]>();
    let byRun = new Map<ServerRunId, BackendServer>();
    const sheddingUntil = new LRUCache<ServerRunId, Milliseconds>({ max: maximumAnnouncingRuns });
    const leavingRuns = new LRUCache<ServerRunId, true>({ max: maximumAnnouncingRuns });
    let evacuated: ReadonlySet<FailureDomainId> = new Set();
    let withheld = new Set<string>();
    // `undefined` while the store is reachable
    let storeFailedAt: Milliseconds | undefined;
    // last return after an outage in which entries can have lapsed
    let storeReturnedAt = Number.NEGATIVE_INFINITY;
    // when the last read was sent that the store has answered
    let answeredReadAt = Number.NEGATIVE_INFINITY;

    const findReturn = (now: Milliseconds): Milliseconds =>
        storeFailedAt !== undefined && now - answeredReadAt >= shortestLapsingOutage ? now : storeReturnedAt;
    const isLeaving = (run: ServerRunId): boolean => leavingRuns.has(run);
    const isEvacuated: ServerList["isEvacuated"] = ({ failureDomain }) => evacuated.has(failureDomain);
    const isStaying = (server: BackendServer): boolean => !server.isDraining && !isLeaving(formatServerRunId(server));
    const isUsable = (server: BackendServer): boolean => isStaying(server) && !isEvacuated(server);
    const isServing = (run: ServerRunId): boolean => {
        const server = byRun.get(run);
        return server !== undefined && isUsable(server);
    };
    const refreshIndexes = (): void => {
        all = [...servers.values()];
        byRun = new Map(all.map(server => [formatServerRunId(server), server]));
        const usable = all.filter(isUsable);
        byService = new Map(
            [...new Set(usable.map(server => server.service))].map(
                service => [service, usable.filter(server => server.service === service)],
            ),
        );
        withheld = new Set(
            all.filter(isEvacuated).map(({ service }) => service).filter(service => !byService.has(service)),
        );
    };
    const put = (server: BackendServer): ServerListChange => {
        const previous = servers.get(server.id);
        removalDueAt.delete(server.id);
        if (previous && isSameEntry(previous, server)) {
            return noChange;
        }
        servers.set(server.id, server);
        refreshIndexes();
        if (previous && formatServerRunId(previous) === formatServerRunId(server)) {
            return noChange;
        }
        return { added: [server], removed: previous ? [previous] : [] };
    };
    const removeEntry = (id: string): ServerListChange => {
        const server = servers.get(id);
        removalDueAt.delete(id);
        if (!server) {
            return noChange;
        }
        servers.delete(id);
        refreshIndexes();
        return { added: [], removed: [server] };
    };
    const remove = (id: string, now: Milliseconds): ServerListChange => {
        const server = servers.get(id);
        const dueAt = findReturn(now) + entryGraceMilliseconds;
        // an evacuated server gets requests again when the evacuation is withdrawn
        if (!server || !isStaying(server) || dueAt <= now) {
            return removeEntry(id);
        }
        if (!removalDueAt.has(id)) {
            removalDueAt.set(id, dueAt);
        }
        return noChange;
    };
    return {
        listUsable: service => byService.get(service) ?? [],
        listAll: () => all,
        setEvacuated: domains => {
            evacuated = domains;
            refreshIndexes();
        },
        isEvacuated,
        isWithheld: service => withheld.has(service),
        isServing,
        mayReceive: (run, now) => isServing(run) && (sheddingUntil.get(run) ?? 0) <= now,
        markShedding: (run, until) =>
            void sheddingUntil.set(run, Math.max(until, sheddingUntil.get(run) ?? Number.NEGATIVE_INFINITY)),
        listShedding: now => {
            [...sheddingUntil].filter(([, until]) => until <= now).forEach(([run]) => sheddingUntil.delete(run));
            return new Map(sheddingUntil.entries());
        },
        isLeaving,
        markLeaving: run => {
            const isNews = !isLeaving(run);
            leavingRuns.set(run, true);
            if (isNews) {
                refreshIndexes();
            }
            return isNews;
        },
        find: run => byRun.get(run),
        put,
        remove,
        replaceAll: (entries, now) => {
            const present = new Set(entries.map(server => server.id));
            const missing = [...servers.keys()].filter(id => !present.has(id));
            return mergeChanges([...entries.map(put), ...missing.map(id => remove(id, now))]);
        },
        markStoreFailure: now => {
            storeFailedAt = now;
        },
        markStoreAnswer: (sentAt, now) => {
            if (storeFailedAt === undefined || sentAt >= storeFailedAt) {
                storeReturnedAt = findReturn(now);
                storeFailedAt = undefined;
                answeredReadAt = sentAt;
            }
        },
        markRestored: now => {
            storeReturnedAt = now;
        },
        expire: now => {
            const due = [...removalDueAt].filter(([, until]) => until <= now).map(([id]) => id);
            return mergeChanges(due.map(removeEntry));
        },
    };
}

/**
 * Compares two entries of a server. Its models don't count: they are only read when the server is new.
 *
 * @param left - one entry
 * @param right - another entry with the same id
 * @returns whether both mean the same for requests
 */
export function isSameEntry(left: BackendServer, right: BackendServer): boolean {
    return left.startedAt === right.startedAt && left.service === right.service && left.address === right.address &&
        left.failureDomain === right.failureDomain && left.isDraining === right.isDraining &&
        left.softwareVersion === right.softwareVersion && left.slots === right.slots;
}

function mergeChanges(changes: readonly ServerListChange[]): ServerListChange {
    return { added: changes.flatMap(change => change.added), removed: changes.flatMap(change => change.removed) };
}
