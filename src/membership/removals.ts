/**
 * Which members an instance takes out of the epoch because they have failed.
 *
 * @packageDocumentation
 */
import { compareText, hashForPlacement, type InstanceId, type Milliseconds } from "../shared/index.js";

/** Instances that watch each member. */
export const watchersPerMember = 3;

const unlistedSilenceLimitMilliseconds = 3_000;
const listedSilenceLimitMilliseconds = 10_000;
const removalDelayPerRankMilliseconds = 1_500;

/** A member that another one watches. */
export interface WatchAssignment {
    readonly instance: InstanceId;
    /** Place of the watcher among those of this member; the first acts first. */
    readonly rank: number;
}

/** Who watches whom: each member is watched by those behind it on a ring of hashes. */
export interface WatchRing {
    readonly listWatchers: (member: InstanceId) => readonly InstanceId[];
    readonly listWatched: (watcher: InstanceId) => readonly WatchAssignment[];
}

/**
 * Creates the ring of an epoch.
 *
 * @param members - its members
 * @returns the ring; an instance that is no member watches none and is watched by none
 */
export function createWatchRing(members: readonly InstanceId[]): WatchRing {
    const ring = members
        .map(instance => ({ instance, position: hashForPlacement(`watch\n${instance}`) }))
        .sort((left, right) =>
            left.position === right.position
                ? compareText(left.instance, right.instance)
                : left.position < right.position
                ? -1
                : 1
        )
        .map(entry => entry.instance);
    const count = Math.min(watchersPerMember, ring.length - 1);
    const listNeighbors = (instance: InstanceId, direction: 1 | -1): readonly InstanceId[] => {
        const index = ring.indexOf(instance);
        return index < 0 ? [] : Array.from(
            { length: count },
            (unused, step) => ring[(index + direction * (step + 1) + ring.length) % ring.length]!,
        );
    };
    return {
        listWatchers: member => listNeighbors(member, 1),
        listWatched: watcher => listNeighbors(watcher, -1).map((instance, rank) => ({ instance, rank })),
    };
}

/** A member as its watcher sees it. */
export interface WatchedMember extends WatchAssignment {
    /** When it was heard last, or when this instance began to watch it. */
    readonly lastHeartbeatAt: Milliseconds;
    readonly isListed: boolean;
}

/**
 * Decides which watched members have failed. Silence alone counts only while most of the watched are heard: else it is
 * the watcher that is cut off.
 *
 * @param watched - the members that this instance watches
 * @param now - present time
 * @returns ids of those to remove
 */
export function decideRemovals(watched: readonly WatchedMember[], now: Milliseconds): readonly InstanceId[] {
    const recentlyHeardCount =
        watched.filter(member => now - member.lastHeartbeatAt < unlistedSilenceLimitMilliseconds).length;
    const isWatcherConnected = recentlyHeardCount * 2 >= watched.length;
    return watched
        .filter(member => {
            const silenceLimit = member.isListed ? listedSilenceLimitMilliseconds : unlistedSilenceLimitMilliseconds;
            const isOverdue =
                now - member.lastHeartbeatAt >= silenceLimit + member.rank * removalDelayPerRankMilliseconds;
            return isOverdue && (isWatcherConnected || !member.isListed);
        })
        .map(member => member.instance);
}
