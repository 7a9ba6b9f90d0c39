/**
 * Model of the platform's store for the fleet bench: keyed topics that grow, and the group among whose members shards
 * are distributed.
 *
 * @packageDocumentation
 */
import type { ShardGroup } from "../../adapters/types.js";
import type { KeyedLog, KeyedRecord, KeyedTopic } from "../../serving/types.js";
import { type Clock, type Milliseconds, wrapError, wrapValue } from "../../shared/index.js";

/** Model of the store, and the calls that it has received. */
export interface StoreModel {
    readonly log: KeyedLog;
    readonly group: ShardGroup;
    readonly append: (topic: KeyedTopic, key: string, value: Uint8Array | undefined) => void;
    /** Reads of topics, and joins of the group, which count as a tenth of a call. */
    readonly counts: { reads: number; joins: number; };
    /** Instances whose joins fail; after their lifetime their shards are dealt to other members. */
    readonly cutMembers: Set<string>;
}

interface TopicState {
    readonly records: Map<string, KeyedRecord>;
    endOffset: number;
}

const callMilliseconds: Milliseconds = 4;
/** Interval at which a delayed read looks for new records. */
const checkMilliseconds: Milliseconds = 20;

/**
 * Creates an empty store.
 *
 * @param clock - virtual time
 * @param shardCount - shards that the group distributes
 * @returns the store
 */
export function createStoreModel(clock: Clock, shardCount: number): StoreModel {
    const counts = { reads: 0, joins: 0 };
    const createTopic = (): TopicState => ({ records: new Map(), endOffset: 0 });
    const topics: Record<KeyedTopic, TopicState> = {
        configuration: createTopic(),
        servers: createTopic(),
        instances: createTopic(),
        quarantines: createTopic(),
    };
    const members: string[] = [];
    const joinedAt = new Map<string, Milliseconds>();
    const cutMembers = new Set<string>();
    let generation = 0;
    const removeMember = (member: string): void => {
        members.splice(members.indexOf(member), 1);
        joinedAt.delete(member);
        generation++;
    };
    const expireMembers = (ttl: Milliseconds): void =>
        members.filter(member => clock.now() - joinedAt.get(member)! > ttl).forEach(removeMember);
    const append: StoreModel["append"] = (topic, key, value) => {
        const state = topics[topic];
        state.records.set(key, { key, value, offset: state.endOffset });
        state.endOffset++;
    };
    const findOwner = (shard: number): string | undefined => members[shard % Math.max(1, members.length)];
    const listShards = (member: string): readonly number[] =>
        Array.from({ length: shardCount }, (unused, shard) => shard).filter(shard => findOwner(shard) === member);
    return {
        counts,
        cutMembers,
        append,
        log: {
            readNewest: async topic => {
                counts.reads++;
                await clock.sleep(callMilliseconds);
                return wrapValue({ records: [...topics[topic].records.values()], endOffset: topics[topic].endOffset });
            },
            readFrom: async (topic, offset, wait) => {
                counts.reads++;
                await clock.sleep(callMilliseconds);
                const state = topics[topic];
                for (const end = clock.now() + wait; clock.now() < end && state.endOffset <= offset;) {
                    await clock.sleep(checkMilliseconds);
                }
                const records = [...state.records.values()].filter(record => record.offset >= offset);
                return wrapValue({ records, endOffset: state.endOffset });
            },
            append: async (topic, key, value) => {
                await clock.sleep(callMilliseconds);
                append(topic, key, value);
                return wrapValue(undefined);
            },
        },
        group: {
            join: async (member, known, ttl) => {
                counts.joins++;
                await clock.sleep(callMilliseconds);
                if (cutMembers.has(member)) {
                    return wrapError({ kind: "unreachable", detail: "cut" });
                }
                joinedAt.set(member, clock.now());
                if (!members.includes(member)) {
                    members.push(member);
                    generation++;
                }
                expireMembers(ttl);
                return wrapValue({ generation, shards: listShards(member) });
            },
            leave: () => Promise.resolve(wrapValue(undefined)),
            listOwners: async () => {
                counts.reads++;
                await clock.sleep(callMilliseconds);
                return wrapValue(
                    Array.from({ length: shardCount }, (unused, shard) => ({ shard, member: findOwner(shard)! })),
                );
            },
        },
    };
}
