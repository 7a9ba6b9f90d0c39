/**
 * The platform's store in memory, for tests over whole instances.
 */
import type { ShardGroup } from "../../adapters/types.js";
import { wrapError, wrapValue } from "../../shared/index.js";
import type { ExpiringLog, KeyedLog, KeyedRecord, KeyedTopic } from "../types.js";

/** Store in memory: keyed topics with delayed reads, and shards dealt to its members in turn. */
export interface MemoryStore extends KeyedLog {
    readonly put: (topic: KeyedTopic, key: string, value: Uint8Array | undefined) => void;
    readonly group: ShardGroup;
    /** Log without keys, whose records don't expire; a write fails while the store is away. */
    readonly streams: ExpiringLog;
    readonly setAway: (isAway: boolean) => void;
    /** Deals each shard to the next member, under a new generation. */
    readonly moveShards: () => void;
}

/**
 * Creates an empty store.
 *
 * @param shardCount - shards that are dealt to the members
 * @returns the store
 */
export function createMemoryStore(shardCount: number): MemoryStore {
    const topics = new Map<KeyedTopic, { readonly records: Map<string, KeyedRecord>; end: number; }>();
    const getTopic = (topic: KeyedTopic) => {
        const state = topics.get(topic) ?? { records: new Map<string, KeyedRecord>(), end: 0 };
        topics.set(topic, state);
        return state;
    };
    const members: string[] = [];
    const streamRecords: Uint8Array[] = [];
    let isAway = false;
    let generation = 0;
    let moves = 0;
    const findOwner = (shard: number): string => members[(shard + moves) % members.length]!;
    const listShards = (): readonly number[] => Array.from({ length: shardCount }, (unused, shard) => shard);
    const put: MemoryStore["put"] = (topic, key, value) => {
        const state = getTopic(topic);
        state.records.set(key, { key, value, offset: state.end });
        state.end++;
    };
    return {
        put,
        moveShards: () => {
            moves++;
            generation++;
        },
        readNewest: async topic => {
            const { records, end } = getTopic(topic);
            return wrapValue({ records: [...records.values()].filter(({ value }) => value), endOffset: end });
        },
        readFrom: async (topic, offset, wait) => {
            const until = performance.now() + wait;
            while (getTopic(topic).end <= offset && performance.now() < until) {
                await pause(10);
            }
            const { records, end } = getTopic(topic);
            return wrapValue({ records: [...records.values()].filter(each => each.offset >= offset), endOffset: end });
        },
        append: async (topic, key, value) => {
            put(topic, key, value);
            return wrapValue(undefined);
        },
        setAway: next => isAway = next,
        streams: {
            append: async record => {
                if (isAway) {
                    return wrapError({ kind: "unreachable", detail: "away" });
                }
                streamRecords.push(record);
                return wrapValue(undefined);
            },
            readAll: async () => isAway ? wrapError({ kind: "unreachable", detail: "away" }) : wrapValue(streamRecords),
        },
        group: {
            join: async member => {
                if (!members.includes(member)) {
                    members.push(member);
                    generation++;
                }
                return wrapValue({ generation, shards: listShards().filter(shard => findOwner(shard) === member) });
            },
            leave: async () => wrapValue(undefined),
            listOwners: async () => wrapValue(listShards().map(shard => ({ shard, member: findOwner(shard) }))),
        },
    };
}

/**
 * Waits.
 *
 * @param duration - time in milliseconds
 * @returns when it has passed
 */
export function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
