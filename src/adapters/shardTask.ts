/**
 * Keeps this instance in the group among which the store deals the shards of engines. A shard's fencing number is the
 * generation of the answer that dealt it.
 *
 * @packageDocumentation
 */
import { type Clock, createDebug, type Milliseconds } from "../shared/index.js";
import { type Task, waitForAbort } from "../supervision/index.js";
import type { ShardGroup, ShardMembership } from "./types.js";

/** A shard that this instance holds. */
export interface HeldShard {
    readonly fencingNumber: number;
    /** Orders of the holder before may still count until then. */
    readonly activeAt: Milliseconds;
}

/** What changes of the membership are told to. */
export interface ShardListeners {
    readonly onShardGained: (shard: number) => void;
    readonly onShardLost: (shard: number, generation: number) => void;
    readonly onMembershipChange: () => void;
}

/** Settings of the membership. */
export interface ShardTaskOptions extends ShardListeners {
    readonly group: ShardGroup;
    readonly member: string;
    readonly ttl: Milliseconds;
    /** Time between the orders of two holders to one engine. */
    readonly orderLease: Milliseconds;
    /** Whether engines refuse orders with an old fencing number. */
    readonly isFenced: boolean;
    readonly clock: Clock;
    readonly startedAt: Milliseconds;
    /** Time at which a shard was last seen to change its holder. */
    readonly findHolderChangedAt: (shard: number) => Milliseconds | undefined;
}

/** The task and what it knows. */
export interface ShardTask extends Task {
    readonly find: (shard: number) => HeldShard | undefined;
    readonly list: () => readonly number[];
    /** The holder before has told when its last order was sent. */
    readonly markReleased: (shard: number, generation: number, lastOrderAt: Milliseconds) => void;
    /** Gives up all shards after an engine has refused an old fencing number. */
    readonly markFenced: () => void;
    readonly leave: () => Promise<void>;
}

const joinsPerTtl = 3;
/** Joins follow one another quickly until the dealing after a start or a change has settled. */
const settlingJoinIntervalMilliseconds = 80;
const settlingPeriodMilliseconds = 600;
const log = createDebug("adapters");

/**
 * Creates the task.
 *
 * @param options - the group and this member
 * @returns the task
 */
export function createShardTask(options: ShardTaskOptions): ShardTask {
    const { clock } = options;
    const held = new Map<number, HeldShard>();
    let generation = 0;
    let hasFailed = false;
    let isLeaving = false;

    // where old fencing numbers are refused a shard may be taken over at once; but holders must not take turns within the lease
    const computeActiveAt = (shard: number, now: Milliseconds): Milliseconds => {
        const changedAt = options.isFenced ? options.findHolderChangedAt(shard) ?? Number.NEGATIVE_INFINITY : now;
        const hasJustStarted = now - options.startedAt < options.orderLease;
        return hasJustStarted ? now : Math.max(now, changedAt + options.orderLease);
    };
    const removeShard = (shard: number): void => {
        held.delete(shard);
        options.onShardLost(shard, generation);
    };
    const applyMembership = (membership: ShardMembership, now: Milliseconds): boolean => {
        const listed = new Set(membership.shards);
        const lost = [...held.keys()].filter(shard => !listed.has(shard));
        const gained = membership.shards.filter(shard => !held.has(shard));
        const hasChanged = membership.generation !== generation || lost.length + gained.length > 0;
        generation = membership.generation;
        lost.forEach(removeShard);
        for (const [shard, known] of held) {
            held.set(shard, { ...known, fencingNumber: generation });
        }
        for (const shard of gained) {
            held.set(shard, { fencingNumber: generation, activeAt: computeActiveAt(shard, now) });
            options.onShardGained(shard);
        }
        if (hasChanged) {
            log.info("shards", { generation, shards: membership.shards, gained, lost });
            options.onMembershipChange();
        }
        return hasChanged;
    };
    const joinOnce = async (): Promise<boolean> => {
        const answer = await options.group.join(options.member, generation, options.ttl);
        if (isLeaving) {
            return false;
        }
        if (answer.ok) {
            hasFailed = false;
            return applyMembership(answer.value, clock.now());
        }
        if (!hasFailed) {
            log.warn("shard group unreachable", { ...answer.error });
        }
        hasFailed = true;
        return false;
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        let changedAt = clock.now();
        while (!signal.aborted && !isLeaving) {
            changedAt = await joinOnce() ? clock.now() : changedAt;
            const isSettling = clock.now() - changedAt < settlingPeriodMilliseconds;
            await clock.sleep(isSettling ? settlingJoinIntervalMilliseconds : options.ttl / joinsPerTtl, signal);
        }
        await waitForAbort(signal);
    };
    return {
        name: "shards",
        run,
        find: shard => held.get(shard),
        list: () => [...held.keys()],
        markReleased: (shard, releasedGeneration, lastOrderAt) => {
            const known = held.get(shard);
            if (known && releasedGeneration <= known.fencingNumber) {
                held.set(shard, { ...known, activeAt: Math.min(known.activeAt, lastOrderAt + options.orderLease) });
            }
        },
        markFenced: () => {
            [...held.keys()].forEach(removeShard);
        },
        leave: async () => {
            isLeaving = true;
            [...held.keys()].forEach(removeShard);
            const answer = await options.group.leave(options.member);
            if (!answer.ok) {
                log.warn("leaving the shard group failed", { ...answer.error });
            }
        },
    };
}
