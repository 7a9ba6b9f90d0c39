/**
 * Backend servers that may get work. Entries that vanish while the store is away, or just after its return, keep their
 * servers for a short time: the store may have dropped entries of servers that live.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** What changed in the list. */
export interface ServerListChange {
    readonly added: readonly BackendServer[];
    readonly removed: readonly BackendServer[];
}

/** Backend servers by id. */
export interface ServerList {
    /** Servers of a service that may get new work. */
    readonly listUsable: (service: string) => readonly BackendServer[];
    readonly listAll: () => readonly BackendServer[];
    readonly find: (run: ServerRunId) => BackendServer | undefined;
    readonly put: (server: BackendServer) => ServerListChange;
    readonly remove: (id: string, now: Milliseconds) => ServerListChange;
    /** Takes all entries that exist; servers without one are removed. */
    readonly replaceAll: (servers: readonly BackendServer[], now: Milliseconds) => ServerListChange;
    readonly markStoreFailure: (now: Milliseconds) => void;
    /** Drops servers whose time after a vanished entry is over. */
    readonly expire: (now: Milliseconds) => ServerListChange;
}

/** Time after the store's return in which lapsed entries come back. */
const entryGraceMilliseconds = 2_000;
const noChange: ServerListChange = { added: [], removed: [] };

/**
 * Creates an empty list.
 *
 * @returns the list
 */
export function createServerList(): ServerList {
    const servers = new Map<string, BackendServer>();
    const removalDueAt = new Map<string, Milliseconds>();
    let byService = new Map<string, readonly BackendServer[]>();
    let byRun = new Map<ServerRunId, BackendServer>();
    let storeFailedAt = Number.NEGATIVE_INFINITY;

    const refreshIndexes = (): void => {
        const all = [...servers.values()];
        byRun = new Map(all.map(server => [formatServerRunId(server), server]));
        const usable = all.filter(server => !server.isDraining);
        byService = new Map(
            [...new Set(usable.map(server => server.service))].map(
                service => [service, usable.filter(server => server.service === service)],
            ),
        );
    };
    const put = (server: BackendServer): ServerListChange => {
        const previous = servers.get(server.id);
        removalDueAt.delete(server.id);
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
        const mayReturn = now - storeFailedAt < entryGraceMilliseconds;
        if (!server || server.isDraining || !mayReturn) {
            return removeEntry(id);
        }
        if (!removalDueAt.has(id)) {
            removalDueAt.set(id, now + entryGraceMilliseconds);
        }
        return noChange;
    };
    return {
        listUsable: service => byService.get(service) ?? [],
        listAll: () => [...servers.values()],
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
        expire: now => {
            const due = [...removalDueAt].filter(([, until]) => until <= now).map(([id]) => id);
            return mergeChanges(due.map(removeEntry));
        },
    };
}

function mergeChanges(changes: readonly ServerListChange[]): ServerListChange {
    return { added: changes.flatMap(change => change.added), removed: changes.flatMap(change => change.removed) };
}
