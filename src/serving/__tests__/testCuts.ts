/**
 * Cuts of single instances of the tests: off from the store, held up in following it, or off from the other instances.
 */
import { wrapError, wrapValue } from "../../shared/index.js";
import type { KeyedRecord } from "../types.js";
import { testHost } from "./testHost.js";
import { createServerLinks, type ServerLinks } from "./testServers.js";
import { type MemoryStore, pause } from "./testStore.js";

/**
 * How an instance follows the store: `away` fails all its calls, `listAway` its reads of the servers only, `still` answers the reads that follow the servers when that
 * ends, as for a process that stood still, and `stale` answers them from the state at the beginning.
 */
export type TestStoreCut = "none" | "away" | "listAway" | "still" | "stale";

/** The store as one instance reaches it. */
export interface InstanceStore {
    readonly store: MemoryStore;
    readonly setCut: (cut: TestStoreCut) => void;
}

/** Links between the instances. */
export interface InstanceLinks {
    /** Returns a record of the instances as this instance reads it, with the addresses of its links. */
    readonly translate: (reader: number, record: KeyedRecord) => KeyedRecord;
    /** Cuts the links between two instances, in both directions, or ends that. */
    readonly setCut: (first: number, second: number, isCut: boolean) => Promise<void>;
    readonly close: () => void;
}

const pollMilliseconds = 10;

/**
 * Creates the store as one instance reaches it.
 *
 * @param store - the whole store
 * @param translate - returns a record of the instances as this instance reads it
 * @returns the store, which isn't cut
 */
export function createInstanceStore(
    store: MemoryStore,
    translate: (record: KeyedRecord) => KeyedRecord,
): InstanceStore {
    let cut: TestStoreCut = "none";
    const away = { kind: "unreachable", detail: "cut" } as const;
    const callStore = async <Result>(call: () => Promise<Result>) => {
        const result = cut === "away" ? wrapError(away) : await call();
        return cut === "away" ? wrapError(away) : result;
    };
    const translateRead = async (
        topic: string,
        read: ReturnType<MemoryStore["readNewest"]>,
    ): ReturnType<MemoryStore["readNewest"]> => {
        const result = await read;
        return result.ok && topic === "instances"
            ? wrapValue({ ...result.value, records: result.value.records.map(translate) })
            : result;
    };
    return {
        setCut: next => cut = next,
        store: {
            ...store,
            readNewest: topic => callStore(() => translateRead(topic, store.readNewest(topic))),
            readFrom: async (topic, offset, wait) => {
                if (topic === "servers" && cut === "listAway") {
                    return wrapError(away);
                }
                const until = performance.now() + wait;
                const read = await callStore(() => translateRead(topic, store.readFrom(topic, offset, wait)));
                if (topic !== "servers" || wait === 0) {
                    return read;
                }
                while (cut === "still") {
                    await pause(pollMilliseconds);
                }
                if (cut === "stale") {
                    await pause(Math.max(pollMilliseconds, until - performance.now()));
                    return wrapValue({ records: [], endOffset: offset });
                }
                return read;
            },
            append: (topic, key, value) => callStore(() => store.append(topic, key, value)),
            streams: {
                append: record => callStore(() => store.streams.append(record)),
                readAll: () => callStore(() => store.streams.readAll()),
            },
            group: {
                join: (...parameters) => callStore(() => store.group.join(...parameters)),
                leave: (...parameters) => callStore(() => store.group.leave(...parameters)),
                listOwners: () => callStore(() => store.group.listOwners()),
            },
        },
    };
}

/**
 * Creates the links between all instances.
 *
 * @param count - number of instances
 * @param formatName - name of an instance
 * @param readPort - present port of an instance for connections between instances
 * @returns the links
 */
export async function createInstanceLinks(
    count: number,
    formatName: (instance: number) => string,
    readPort: (instance: number) => number | undefined,
): Promise<InstanceLinks> {
    const instances = Array.from({ length: count }, (unused, instance) => instance);
    const createLink = (instance: number): Promise<ServerLinks> =>
        createServerLinks([() => readPort(instance)], testHost);
    const links = await Promise.all(instances.map(() => Promise.all(instances.map(createLink))));
    const cutPairs = new Set<string>();
    const translateAddress = (reader: number, named: number): string => links[reader]![named]!.translate("server:0");
    return {
        translate: (reader, record) => {
            const named = instances.findIndex(instance => formatName(instance) === record.key);
            if (!record.value || named < 0 || named === reader) {
                return record;
            }
            const entry = JSON.parse(Buffer.from(record.value).toString()) as object;
            return {
                ...record,
                value: Buffer.from(JSON.stringify({ ...entry, address: translateAddress(reader, named) })),
            };
        },
        setCut: async (first, second, isCut) => {
            const pair = [first, second].sort().join();
            if (cutPairs.has(pair) !== isCut) {
                cutPairs[isCut ? "add" : "delete"](pair);
                const cut = isCut ? "frozen" : "none";
                await Promise.all([links[first]![second]!.setCut(cut), links[second]![first]!.setCut(cut)]);
            }
        },
        close: () => links.flat().forEach(link => link.close()),
    };
}
