/**
 * The store's part in the group of holders, in virtual time: a shard moves when the member that holds it has learned of the
 * change, has left, or has been silent for its ttl.
 */
import type { ShardGroup } from "../../adapters/types.js";
import { type Clock, type Milliseconds, wrapError, wrapValue } from "../../shared/index.js";

interface Member {
    at: Milliseconds;
    ttl: Milliseconds;
    generation: number;
}

/** Group as the store keeps it. */
export interface QuotaStore extends ShardGroup {
    /** Members whose calls fail. */
    readonly cut: Set<string>;
    /** The store deals all shards anew without any request. */
    readonly dealAnew: () => void;
    readonly findOwner: (shard: number) => string | undefined;
}

const callMilliseconds = 6;

export function createQuotaStore(clock: Clock, shardCount: number): QuotaStore {
    const members = new Map<string, Member>();
    const owners = new Map<number, string | undefined>();
    const targets = new Map<number, string | undefined>();
    const cut = new Set<string>();
    const allShards = Array.from({ length: shardCount }, (unused, shard) => shard);
    let generation = 0;
    let turn = 0;
    const settle = (): void => {
        for (const shard of allShards) {
            const known = members.get(owners.get(shard) ?? "");
            if (!known || known.generation >= generation) {
                owners.set(shard, targets.get(shard));
            }
        }
    };
    const moveShards = (): void => {
        generation++;
        const names = [...members.keys()].sort();
        allShards.forEach(shard => targets.set(shard, names[(shard + turn) % Math.max(1, names.length)]));
        settle();
    };
    const expire = (): void => {
        const gone = [...members].filter(([, member]) => clock.now() - member.at > member.ttl);
        gone.forEach(([name]) => members.delete(name));
        if (gone.length > 0) {
            moveShards();
        }
    };
    return {
        cut,
        dealAnew: () => {
            turn++;
            moveShards();
        },
        findOwner: shard => owners.get(shard),
        join: async (member, known, ttl) => {
            await clock.sleep(callMilliseconds);
            if (cut.has(member)) {
                return wrapError({ kind: "unreachable", detail: "cut" });
            }
            const isNew = !members.has(member);
            members.set(member, { at: clock.now(), ttl, generation: known });
            expire();
            if (isNew) {
                moveShards();
            }
            settle();
            const shards = allShards.filter(shard => owners.get(shard) === member && targets.get(shard) === member);
            return wrapValue({ generation, shards });
        },
        leave: async member => {
            await clock.sleep(callMilliseconds);
            if (!cut.has(member) && members.delete(member)) {
                moveShards();
            }
            return wrapValue(undefined);
        },
        listOwners: async () => {
            await clock.sleep(callMilliseconds);
            expire();
            return wrapValue(
                [...owners].filter(([, member]) => member !== undefined).map(([shard, member]) => ({
                    shard,
                    member: member!,
                })),
            );
        },
    };
}
