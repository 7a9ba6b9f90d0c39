/**
 * HTTP stand-in for the platform's instance list, which shows changes with a lag.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { InstanceList, ListedBackendServer, ListedInstance, ListedState, Listing } from "../backends/index.js";
import { type Clock, type Milliseconds, wrapError, wrapValue } from "../shared/index.js";
import { createStandinServer, sendJson, type StandinRequest, type StandinServer } from "./standinServer.js";

/** Options of {@link createInstanceListStandin}. */
export interface InstanceListStandinOptions {
    readonly clock: Clock;
    /** Time until a change becomes visible to readers. @default 0 */
    readonly lag?: Milliseconds;
    readonly entries?: readonly (ListedInstance | ListedBackendServer)[];
}

/** An instance list that listens on a local address. */
export interface InstanceListStandin extends StandinServer {
    readonly putEntry: (entry: ListedInstance | ListedBackendServer) => void;
    readonly removeEntry: (id: string) => void;
    readonly setEntryState: (id: string, state: ListedState) => void;
    /** Answers every read with `unavailable` for a time; changes are still accepted. */
    readonly startOutage: (duration: Milliseconds) => void;
    readonly setLag: (lag: Milliseconds) => void;
    /** Client that reads the same list without HTTP, for tests in virtual time. */
    readonly list: InstanceList;
}

interface ListVersion {
    readonly since: Milliseconds;
    readonly entries: ReadonlyMap<string, ListedInstance | ListedBackendServer>;
}

const entryPath = /^\/instances\/([^/]+)$/;

/**
 * Creates an HTTP stand-in for the instance list. `GET /instances` returns the list; `PUT` and `DELETE /instances/ID`
 * change it.
 *
 * @param options - initial entries, lag and clock
 * @returns the stand-in, not yet listening
 */
export function createInstanceListStandin(options: InstanceListStandinOptions): InstanceListStandin {
    const { clock } = options;
    let lag = options.lag ?? 0;
    let outageUntil: Milliseconds = -Infinity;
    const first = new Map((options.entries ?? []).map(entry => [entry.id, entry]));
    let versions: readonly ListVersion[] = [{ since: -Infinity, entries: first }];

    const readNewest = (): ListVersion => versions.at(-1)!;
    const applyChange = (entries: ListVersion["entries"]): void => {
        versions = [...pruneVersions(versions, clock.now() - lag), { since: clock.now(), entries }];
    };
    const putEntry: InstanceListStandin["putEntry"] = entry =>
        applyChange(new Map([...readNewest().entries, [entry.id, entry]]));
    const removeEntry = (id: string): void =>
        applyChange(new Map([...readNewest().entries].filter(([known]) => known !== id)));
    const setEntryState = (id: string, state: ListedState): void => {
        const entry = readNewest().entries.get(id);
        if (entry) {
            putEntry({ ...entry, state });
        }
    };
    const readListing = (): Listing => {
        const seen = versions.filter(version => version.since <= clock.now() - lag).at(-1) ?? versions[0]!;
        const entries = [...seen.entries.values()];
        return {
            instances: entries.filter(entry => entry.kind === "instance"),
            backendServers: entries.filter(entry => entry.kind !== "instance"),
        };
    };
    const isDown = (): boolean => clock.now() < outageUntil;
    const handle = (request: StandinRequest, response: ServerResponse): void => {
        const id = entryPath.exec(request.path)?.[1];
        if (request.method === "PUT" && id !== undefined) {
            putEntry(JSON.parse(request.body.toString("utf8")) as ListedInstance | ListedBackendServer);
            return sendJson(response, 200, {});
        }
        if (request.method === "DELETE" && id !== undefined) {
            removeEntry(id);
            return sendJson(response, 200, {});
        }
        if (request.method !== "GET" || request.path !== "/instances") {
            return sendJson(response, 404, { message: "no such endpoint; use GET /instances" });
        }
        return isDown()
            ? sendJson(response, 503, { message: "the instance list is unavailable" })
            : sendJson(response, 200, readListing());
    };
    return {
        ...createStandinServer(handle),
        putEntry,
        removeEntry,
        setEntryState,
        startOutage: duration => outageUntil = clock.now() + duration,
        setLag: wanted => lag = wanted,
        list: {
            list: async () =>
                isDown()
                    ? wrapError({ kind: "unavailable", detail: "the instance list is unavailable" })
                    : wrapValue(readListing()),
        },
    };
}

// drops every version older than the newest one that is already visible
function pruneVersions(versions: readonly ListVersion[], visibleAt: Milliseconds): readonly ListVersion[] {
    const needed = versions.findLastIndex(version => version.since <= visibleAt);
    return versions.slice(Math.max(0, needed));
}
