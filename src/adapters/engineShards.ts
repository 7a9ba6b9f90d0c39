/**
 * Divides the engines into shards and ranks the shards for an adapter. Every instance ranks them in the same order, so
 * that requests for one adapter meet at the same instance. Hashes of engines are computed once for each list of engines.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRunId } from "../serving/types.js";
import { hashForPlacement, hashForRendezvous, scoreRendezvous } from "../shared/index.js";

/** A shard, and the engine in it that an adapter prefers. */
export interface RankedShard {
    readonly shard: number;
    readonly engine: BackendServer;
}

/** Division of engines into shards. */
export interface EngineShards {
    readonly findShard: (serverId: string) => number;
    /**
     * Ranks the shards of the given engines for a key, most preferred first. The list of engines must not be changed
     * after the call, because its hashes are kept.
     */
    readonly rank: (engines: readonly BackendServer[], key: string, count: number) => readonly RankedShard[];
}

interface HashedEngine {
    readonly engine: BackendServer;
    readonly hash: number;
    readonly shard: number;
}

interface ScoredShard extends RankedShard {
    readonly score: number;
}

/**
 * Creates the division.
 *
 * @param shardCount - number of shards
 * @returns the division, which keeps the hashes of each list of engines as long as the list is in use
 */
export function createEngineShards(shardCount: number): EngineShards {
    const hashedLists = new WeakMap<readonly BackendServer[], readonly HashedEngine[]>();
    const findShard = (serverId: string): number => Number(hashForPlacement(serverId) % BigInt(shardCount));
    const hashEngines = (engines: readonly BackendServer[]): readonly HashedEngine[] => {
        const known = hashedLists.get(engines);
        if (known) {
            return known;
        }
        const hashed = engines.map(engine => ({
            engine,
            hash: hashForRendezvous(formatServerRunId(engine)),
            shard: findShard(engine.id),
        }));
        hashedLists.set(engines, hashed);
        return hashed;
    };
    return {
        findShard,
        rank: (engines, key, count) => {
            const keyHash = hashForRendezvous(key);
            const best = new Map<number, ScoredShard>();
            for (const { engine, hash, shard } of hashEngines(engines)) {
                const score = scoreRendezvous(keyHash, hash);
                if (score > (best.get(shard)?.score ?? -1)) {
                    best.set(shard, { shard, engine, score });
                }
            }
            return [...best.values()].sort((left, right) => right.score - left.score).slice(0, count);
        },
    };
}
