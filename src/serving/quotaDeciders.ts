/**
 * Knows which instance decides for the accounts of each shard. That is the shard's holder, or its previous holder while the
 * next one hasn't asked for what that has; instances that are asked in vain name the one that they know of. What they
 * name counts for quotas only: the map of holders stays what the store and other holders say.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";

/** Dependencies of the map of deciding instances. */
export interface QuotaDecidersOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly holders: Pick<ShardHolders, "find" | "findFormer" | "list">;
}

/** Map from shards to the other instances that decide for their accounts. */
export interface QuotaDeciders {
    /** The other instances that may decide for a shard, most likely first. */
    readonly listLikely: (shard: number) => readonly InstanceId[];
    /** Records that another instance named the one that decides. */
    readonly markNamed: (shard: number, holder: InstanceId) => void;
    /** Records that an instance has decided. */
    readonly markDecided: (shard: number, holder: InstanceId) => void;
    /** Records that an instance doesn't decide for a shard, or is gone. */
    readonly markWrong: (shard: number, holder: InstanceId) => void;
    /** Each shard with the instance that decides for it, this one included. */
    readonly list: () => ReadonlyMap<number, InstanceId>;
}

interface NamedInstance {
    readonly holder: InstanceId;
    readonly at: Milliseconds;
}

/** Time after which an instance that was named counts no longer, unless it has decided since. */
const namedMilliseconds: Milliseconds = 4_000;

/**
 * Creates the map; nobody is named.
 *
 * @param options - clock and the map of holders
 * @returns the map, of which an instance needs one object
 */
export function createQuotaDeciders(options: QuotaDecidersOptions): QuotaDeciders {
    const { clock, holders, self } = options;
    const named = new Map<number, NamedInstance>();
    const findNamed = (shard: number): InstanceId | undefined => {
        const known = named.get(shard);
        return known && clock.now() - known.at < namedMilliseconds ? known.holder : undefined;
    };
    const mark = (shard: number, holder: InstanceId): void => {
        if (holder !== self) {
            named.set(shard, { holder, at: clock.now() });
        }
    };
    return {
        listLikely: shard =>
            [...new Set([findNamed(shard), holders.find(shard), holders.findFormer(shard)])]
                .filter((instance): instance is InstanceId => instance !== undefined && instance !== self),
        markNamed: mark,
        markDecided: (shard, holder) => {
            if (named.get(shard)?.holder === holder) {
                mark(shard, holder);
            }
        },
        markWrong: (shard, holder) => {
            if (named.get(shard)?.holder === holder) {
                named.delete(shard);
            }
        },
        list: () => new Map(holders.list().map(([shard, holder]) => [shard, findNamed(shard) ?? holder])),
    };
}
