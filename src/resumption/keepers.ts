/**
 * The instances that keep a stream: holders of shards, so that no connections are needed but those that are there anyway.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import { hashForRendezvous, type InstanceId } from "../shared/index.js";
import type { StreamKey } from "./streamKey.js";

/**
 * Lists the instances that keep a stream, preferred first: different holders that respond, from the stream's shard on.
 *
 * @param holders - holders of the shards
 * @param shardCount - number of shards
 * @param key - the stream
 * @param count - most instances to list
 * @returns the instances, which may include this one
 */
export function listKeepers(
    holders: Pick<ShardHolders, "find" | "isSilent">,
    shardCount: number,
    key: StreamKey,
    count: number,
): readonly InstanceId[] {
    const keepers = new Set<InstanceId>();
    const first = hashForRendezvous(key) % shardCount;
    for (let step = 0; step < shardCount && keepers.size < count; step++) {
        const holder = holders.find((first + step) % shardCount);
        if (holder !== undefined && !holders.isSilent(holder)) {
            keepers.add(holder);
        }
    }
    return [...keepers];
}
