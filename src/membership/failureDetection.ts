/**
 * Failure detection: which members an instance watches by their heartbeats, and which of them it removes from the
 * epoch.
 *
 * @packageDocumentation
 */
import { compareText, hashForPlacement, type InstanceId, type Milliseconds } from "../shared/index.js";

/** Number of instances that watch each member. */
export const watchersPerMember = 3;

/**
 * Time without a heartbeat after which an unlisted member has failed. A member with a more recent heartbeat counts as
 * heard when a watcher checks whether it is cut off itself.
 */
const unlistedSilenceLimitMilliseconds = 3_000;
/** Time without a heartbeat after which a listed member has failed. */
const listedSilenceLimitMilliseconds = 10_000;
/** Additional time per rank, so that normally only the first watcher appends the removal. */
const removalDelayPerRankMilliseconds = 1_500;

/** A member that another member watches. */
export interface WatchAssignment {
    readonly instance: InstanceId;
    /** Rank of the watcher among all watchers of this member, from 0; a higher rank waits longer before a removal. */
    readonly rank: number;
}

/** Assignment of watchers to members: each member is watched by the next members on a ring sorted by hash. */
export interface WatchRing {
    readonly listWatchers: (member: InstanceId) => readonly InstanceId[];
    readonly listWatched: (watcher: InstanceId) => readonly WatchAssignment[];
}

/**
 * Creates the watch ring of an epoch.
 *
 * @param members - members of the epoch
 * @returns the ring; an instance that isn't a member watches no member and has no watchers
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

/** A watched member with what its watcher knows of it. */
export interface WatchedMember extends WatchAssignment {
    /** Monotonic time of its latest heartbeat; before the first one, time at which this instance began to watch it. */
    readonly lastHeartbeatAt: Milliseconds;
    /** Whether the instance list contains the member; true while the list isn't known. */
    readonly isListed: boolean;
}

/**
 * Decides which watched members have failed. A missing heartbeat of a listed member counts only while this instance
 * receives heartbeats from at least half of the members that it watches; otherwise this instance itself may be cut off.
 *
 * @param watched - members that this instance watches
 * @param now - current monotonic time
 * @returns ids of the members to remove from the epoch
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
