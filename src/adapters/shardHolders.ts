/**
 * Knows which instance holds each shard. The map is refreshed when a request to a holder fails: from another holder if
 * one responds, otherwise from the platform's store. No message is needed while the holders stay the same.
 *
 * @packageDocumentation
 */
import { type Clock, createLogger, type InstanceId, type Milliseconds, type SeededRandom } from "../shared/index.js";

/** Why an instance gave no response. `unreachable` is found at once, as when its process is restarting. */
export type SilenceReason = "timeout" | "unreachable";

/** Holder of one shard. */
export type ShardHolder = readonly [shard: number, holder: InstanceId];

/** Dependencies of the map of holders. */
export interface ShardHoldersOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Asks another instance for its map; `undefined` when it doesn't respond. */
    readonly askInstance: (instance: InstanceId) => Promise<readonly ShardHolder[] | undefined>;
    /** Reads the holders from the platform's store; `undefined` when it doesn't respond. */
    readonly readStore: () => Promise<readonly ShardHolder[] | undefined>;
    /** Called when a shard has moved to another instance. */
    readonly onMoved: (shard: number, holder: InstanceId) => void;
}

/** Map from shards to the instances that hold them. */
export interface ShardHolders {
    /** Holder of a shard, also one that doesn't respond now; `undefined` when none is known. */
    readonly find: (shard: number) => InstanceId | undefined;
    readonly list: () => readonly ShardHolder[];
    /** The other instances that hold a shard and respond, each once. */
    readonly listOthers: () => readonly InstanceId[];
    /** Time of the last observed change of a shard's holder; `undefined` when none was observed. */
    readonly findChangedAt: (shard: number) => Milliseconds | undefined;
    /** Another instance that held a shard until a moment ago; `undefined` when none is known. */
    readonly findFormer: (shard: number) => InstanceId | undefined;
    /** Records that this instance has released a shard. */
    readonly markReleased: (shard: number) => void;
    /** Records that an instance didn't respond in time, or that it can't be reached; it isn't asked for a while. */
    readonly markSilent: (instance: InstanceId, reason: SilenceReason) => void;
    /** Records that an instance responded. */
    readonly markResponsive: (instance: InstanceId) => void;
    readonly isSilent: (instance: InstanceId) => boolean;
    /** Refreshes the map unless that was done just before; calls at the same time share one refresh. */
    readonly refresh: () => Promise<void>;
    /** Reads the map from the platform's store, after this instance learned of a change in the group. */
    readonly reload: () => Promise<void>;
}

interface Silence {
    readonly until: Milliseconds;
    readonly duration: Milliseconds;
}

/** Time for which an instance that didn't respond isn't asked again; it doubles while the instance stays silent. */
const initialSilenceMilliseconds = 150;
const maximumSilenceMilliseconds = 600;
const minimumRefreshIntervalMilliseconds = 200;
/** Time for which the previous holder of a shard may still know what the next one doesn't. */
const formerHolderMilliseconds = 2_000;
const log = createLogger("adapters");

/**
 * Creates an empty map.
 *
 * @param options - sources of the map and callbacks
 * @returns the map, of which an instance needs one object
 */
export function createShardHolders(options: ShardHoldersOptions): ShardHolders {
    const { clock, self } = options;
    const holders = new Map<number, InstanceId>();
    const changedAt = new Map<number, Milliseconds>();
    const silences = new Map<InstanceId, Silence>();
    const former = new Map<number, { readonly holder: InstanceId; readonly until: Milliseconds; }>();
    let refreshedAt = Number.NEGATIVE_INFINITY;
    let pendingRefresh: Promise<void> | undefined;

    const isSilent = (instance: InstanceId): boolean => (silences.get(instance)?.until ?? 0) > clock.now();
    // requests that were sent together fail together, and count as one failure
    const markSilent = (instance: InstanceId, reason: SilenceReason): void => {
        if (isSilent(instance)) {
            return;
        }
        const previous = silences.get(instance)?.duration ?? initialSilenceMilliseconds / 2;
        const duration = reason === "unreachable"
            ? initialSilenceMilliseconds
            : Math.min(maximumSilenceMilliseconds, previous * 2);
        silences.set(instance, { until: clock.now() + duration, duration });
    };
    const listOthers = (): readonly InstanceId[] =>
        [...new Set(holders.values())].filter(instance => instance !== self && !isSilent(instance));
    const markFormer = (shard: number): void => {
        const holder = holders.get(shard);
        if (holder !== undefined && holder !== self) {
            former.set(shard, { holder, until: clock.now() + formerHolderMilliseconds });
        }
    };
    const setHolder = (shard: number, holder: InstanceId): void => {
        const previous = holders.get(shard);
        if (previous === holder) {
            return;
        }
        markFormer(shard);
        holders.set(shard, holder);
        if (previous !== undefined) {
            changedAt.set(shard, clock.now());
        }
        options.onMoved(shard, holder);
    };
    const apply = (entries: readonly ShardHolder[]): void => {
        const listed = new Set(entries.map(([shard]) => shard));
        for (const shard of [...holders.keys()].filter(known => !listed.has(known))) {
            markFormer(shard);
            holders.delete(shard);
        }
        entries.forEach(([shard, holder]) => setHolder(shard, holder));
        log.debug("shard holders", { holders: entries });
    };
    const readHolders = async (): Promise<void> => {
        refreshedAt = clock.now();
        const entries = await options.readStore();
        if (entries) {
            apply(entries);
        }
    };
    const refreshOnce = async (): Promise<void> => {
        refreshedAt = clock.now();
        const others = listOthers();
        const asked = others[Math.floor(options.random.next() * others.length)];
        const entries = asked === undefined ? undefined : await options.askInstance(asked);
        if (entries && entries.length > 0) {
            apply(entries);
            return;
        }
        if (asked !== undefined) {
            markSilent(asked, "timeout");
        }
        await readHolders();
    };
    return {
        find: shard => holders.get(shard),
        list: () => [...holders],
        listOthers,
        findChangedAt: shard => changedAt.get(shard),
        findFormer: shard => {
            const known = former.get(shard);
            return known && clock.now() < known.until ? known.holder : undefined;
        },
        markReleased: shard => {
            changedAt.set(shard, clock.now());
            holders.delete(shard);
        },
        markSilent,
        markResponsive: instance => void silences.delete(instance),
        isSilent,
        refresh: () => {
            if (!pendingRefresh && clock.now() - refreshedAt < minimumRefreshIntervalMilliseconds) {
                return Promise.resolve();
            }
            pendingRefresh ??= refreshOnce().finally(() => {
                pendingRefresh = undefined;
            });
            return pendingRefresh;
        },
        reload: readHolders,
    };
}
