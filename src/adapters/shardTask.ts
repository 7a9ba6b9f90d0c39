/**
 * Keeps this instance a member of the shard group, among whose members the store distributes the shards of engines. The
 * fencing number of a held shard is that of the latest assignment that includes the shard.
 *
 * @packageDocumentation
 */
import type { StoreEra, StoreEras } from "../serving/storeEras.js";
import type { ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { type Task, waitForAbort } from "../supervision/index.js";
import { computeFencingNumber } from "./fencingNumbers.js";
import type { ShardGroup, ShardMembership } from "./types.js";

/** A shard that this instance holds. */
export interface HeldShard {
    readonly fencingNumber: number;
    /** Time from which this instance may send orders; until then orders of the previous holder may still be valid. */
    readonly activeAt: Milliseconds;
}

/** A shard that this instance has just lost. */
export interface ReleasedShard {
    readonly fencingNumber: number;
    /** Latest time at which the holder before this one may have sent an order, as far as it is known. */
    readonly previousOrderAt: Milliseconds;
}

/** Callbacks for changes of the shards that this instance holds. */
export interface ShardListeners {
    readonly onShardGained: (shard: number) => void;
    readonly onShardLost: (shard: number, released: ReleasedShard) => void;
    /** Called after the generation or the set of held shards has changed. */
    readonly onMembershipChange: () => void;
}

/** Options of the shard task. */
export interface ShardTaskOptions extends ShardListeners {
    readonly group: ShardGroup;
    /** Name of this member. */
    readonly member: string;
    /** Time after which the store drops a member that hasn't joined again. */
    readonly ttl: Milliseconds;
    /** Minimum time between the last order of one holder and the first order of the next. */
    readonly orderLease: Milliseconds;
    /** Whether engines refuse orders with an outdated fencing number. */
    readonly isFenced: boolean;
    readonly clock: Clock;
    /** Eras of the store: a rise tells that the assignment may be void. @default that of the group's answers */
    readonly eras?: Pick<StoreEras, "read" | "onRise">;
    /** Start of this instance. */
    readonly startedAt: Milliseconds;
    /** Time of the last observed change of a shard's holder; `undefined` when none was observed. */
    readonly findHolderChangedAt: (shard: number) => Milliseconds | undefined;
    /** Whether this instance should be a member of the group now. */
    readonly isMember: () => boolean;
}

/** Task that keeps the membership, with access to the held shards. */
export interface ShardTask extends Task {
    /** A held shard; `undefined` when this instance doesn't hold it. */
    readonly find: (shard: number) => HeldShard | undefined;
    /** Numbers of the held shards. */
    readonly list: () => readonly number[];
    /** Records when the previous holder sent its last order, so that this instance may send orders earlier. */
    readonly markReleased: (shard: number, fencingNumber: number, lastOrderAt: Milliseconds) => void;
    /** Releases all shards after an engine has refused an outdated fencing number. */
    readonly markFenced: (run: ServerRunId) => void;
    /**
     * Whether the store has confirmed the membership so recently that it can't have assigned the held shards to another
     * member.
     */
    readonly isConfirmed: () => boolean;
    /** Time of the first join in the present era of the store: a copy may deal out again what another member still holds. */
    readonly readEraJoinedAt: () => Milliseconds;
    /** Releases all shards and leaves the group for good. */
    readonly leave: () => Promise<void>;
}

/** Why an instance gives up all its shards. */
type ReleaseReason = "instance stops" | "no member any more" | "refused by an engine";

const joinsPerTtl = 3;
/** Interval between joins after a start or a change, until the assignment has settled. */
const settlingJoinIntervalMilliseconds = 80;
const settlingPeriodMilliseconds = 600;
const log = createLogger("adapters");

/**
 * Creates the task without held shards.
 *
 * @param options - the group, this member and the callbacks
 * @returns the task, to be run by a supervisor
 */
export function createShardTask(options: ShardTaskOptions): ShardTask {
    const { clock } = options;
    const held = new Map<number, HeldShard>();
    let era: StoreEra = 0;
    let generation = 0;
    const readEra = (): StoreEra => Math.max(era, options.eras?.read() ?? 0);
    let hasLastJoinFailed = false;
    let isLeaving = false;
    let hasJoined = false;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    let eraJoinedAt = Number.NEGATIVE_INFINITY;

    // with fencing a shard may be taken over at once, but its holder must not change again and again within one lease
    const computeActiveAt = (shard: number, now: Milliseconds): Milliseconds => {
        const changedAt = options.isFenced ? options.findHolderChangedAt(shard) ?? Number.NEGATIVE_INFINITY : now;
        const hasJustStarted = now - options.startedAt < options.orderLease;
        return hasJustStarted ? now : Math.max(now, changedAt + options.orderLease);
    };
    const removeShard = (shard: number): void => {
        const { activeAt = Number.NEGATIVE_INFINITY } = held.get(shard) ?? {};
        held.delete(shard);
        options.onShardLost(shard, {
            fencingNumber: computeFencingNumber({ era, generation }),
            previousOrderAt: activeAt - options.orderLease,
        });
    };
    const removeAll = (reason: ReleaseReason, run?: ServerRunId): void => {
        const lost = [...held.keys()];
        if (lost.length > 0) {
            log.info("shards", { era, generation, shards: [], gained: [], lost, reason, run });
        }
        lost.forEach(removeShard);
    };
    const isPresent = (membership: ShardMembership): boolean =>
        computeFencingNumber(membership) === computeFencingNumber({ era, generation });
    // an answer from before the store came back tells nothing of the present
    const isOutdated = (membership: ShardMembership): boolean => (membership.era ?? 0) < readEra();
    const applyMembership = (membership: ShardMembership, now: Milliseconds): boolean => {
        const listed = new Set(membership.shards);
        const lost = [...held.keys()].filter(shard => !listed.has(shard));
        const gained = membership.shards.filter(shard => !held.has(shard));
        const hasChanged = !isPresent(membership) || lost.length + gained.length > 0;
        era = membership.era ?? 0;
        generation = membership.generation;
        lost.forEach(removeShard);
        const fencingNumber = computeFencingNumber({ era, generation });
        for (const [shard, known] of held) {
            held.set(shard, { ...known, fencingNumber });
        }
        for (const shard of gained) {
            held.set(shard, { fencingNumber, activeAt: computeActiveAt(shard, now) });
            try {
                options.onShardGained(shard);
            }
            catch (error) {
                // a shard without its engines would be held for nothing; the next join gains it again
                held.delete(shard);
                throw error;
            }
        }
        if (hasChanged) {
            const reason = lost.length > 0 ? "dealt to others" : undefined;
            log.info("shards", { era, generation, shards: membership.shards, gained, lost, reason });
            options.onMembershipChange();
        }
        return hasChanged;
    };
    const withdraw = async (): Promise<void> => {
        hasJoined = false;
        removeAll(isLeaving ? "instance stops" : "no member any more");
        const answer = await options.group.leave(options.member);
        if (!answer.ok) {
            log.warn("leaving the shard group failed", { ...answer.error });
        }
    };
    const joinOnce = async (): Promise<boolean> => {
        const sentAt = clock.now();
        hasJoined = true;
        // a generation of an earlier era would tell the store that this member has learned of changes that are still to come
        const lastGeneration = readEra() === era ? generation : 0;
        const answer = await options.group.join(options.member, lastGeneration, options.ttl);
        if (isLeaving) {
            return false;
        }
        if (answer.ok && isOutdated(answer.value)) {
            const { era: answerEra = 0, generation: answerGeneration } = answer.value;
            log.warn("assignment outdated", {
                era: answerEra,
                generation: answerGeneration,
                present: [era, generation],
            });
            return false;
        }
        if (answer.ok) {
            hasLastJoinFailed = false;
            confirmedAt = sentAt;
            eraJoinedAt = (answer.value.era ?? 0) > era ? clock.now() : eraJoinedAt;
            return applyMembership(answer.value, clock.now());
        }
        if (!hasLastJoinFailed) {
            log.warn("shard group unreachable", { ...answer.error });
        }
        hasLastJoinFailed = true;
        return false;
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        let changedAt = clock.now();
        while (!signal.aborted && !isLeaving) {
            const eraBefore = readEra();
            if (options.isMember()) {
                changedAt = await joinOnce() ? clock.now() : changedAt;
            }
            else if (hasJoined) {
                await withdraw();
            }
            const isSettling = clock.now() - changedAt < settlingPeriodMilliseconds;
            const hasRisen = readEra() > Math.max(era, eraBefore);
            if (!hasRisen && !signal.aborted) {
                await sleepUntilRise(isSettling ? settlingJoinIntervalMilliseconds : options.ttl / joinsPerTtl, signal);
            }
        }
        await waitForAbort(signal);
    };
    // when the store has come back, another member may have been dealt what this one holds
    const sleepUntilRise = async (duration: Milliseconds, signal: AbortSignal): Promise<void> => {
        const wake = new AbortController();
        const abort = (): void => wake.abort();
        signal.addEventListener("abort", abort, { once: true });
        const forget = options.eras?.onRise(abort);
        await clock.sleep(duration, wake.signal);
        forget?.();
        signal.removeEventListener("abort", abort);
    };
    return {
        name: "shards",
        run,
        find: shard => held.get(shard),
        list: () => [...held.keys()],
        markReleased: (shard, fencingNumber, lastOrderAt) => {
            const known = held.get(shard);
            if (known && fencingNumber <= known.fencingNumber) {
                held.set(shard, { ...known, activeAt: Math.min(known.activeAt, lastOrderAt + options.orderLease) });
            }
        },
        markFenced: run => removeAll("refused by an engine", run),
        readEraJoinedAt: () => eraJoinedAt,
        isConfirmed: () => clock.now() - confirmedAt < options.ttl && readEra() === era,
        leave: async () => {
            isLeaving = true;
            if (hasJoined) {
                await withdraw();
            }
        },
    };
}
