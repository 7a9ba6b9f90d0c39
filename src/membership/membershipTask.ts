/**
 * The task that follows the platform's list and the members' heartbeats, and runs the ownership part.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { InstanceList, ListedInstance, Listing, LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import type { BackendServerId, Clock, InstanceId, LogOffset, Milliseconds, SeededRandom } from "../shared/index.js";
import { limitTime } from "../streams/index.js";
import type { Task } from "../supervision/index.js";
import { goneAfterMilliseconds } from "./lease.js";
import { advanceListing, createListingState, type ListingEvent } from "./listing.js";
import { createOwnershipTask, type OwnershipSettings, type OwnershipStatus } from "./ownershipTask.js";
import { createWatchRing, decideRemovals, type WatchRing } from "./removals.js";
import type { EpochView, MembershipSnapshot, MembershipView, OwnershipView, ShardId } from "./types.js";

/** What a membership task needs. */
export interface MembershipTaskOptions extends OwnershipSettings {
    readonly self: ListedInstance;
    readonly instanceList: InstanceList;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Time between two reads of the list. @default 1_000 */
    readonly pollInterval?: Milliseconds;
}

/** How membership and ownership of an instance are. */
export interface MembershipStatus extends OwnershipStatus {
    readonly revision: number;
    readonly instances: number;
    readonly backendServers: number;
    /** Time since the platform's list was read. */
    readonly sinceListed: Milliseconds | undefined;
}

/** The membership task. */
export interface MembershipTask extends Task {
    readonly membership: MembershipView;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    /** Asks for a shard besides the engines of the region. */
    readonly claim: (shard: ShardId) => void;
    /** Gives a shard up; one that was asked for is asked for no more. */
    readonly release: (shard: ShardId) => void;
    /** Stops acting and hands everything over; resolves when that stands in the log, or can't within ten seconds. */
    readonly leave: () => Promise<void>;
    readonly readStatus: (now: Milliseconds) => MembershipStatus;
}

interface MembershipEvents {
    readonly membership: MembershipSnapshot;
}

const defaultPollMilliseconds = 1_000;
const heartbeatMilliseconds = 1_000;
const listTimeoutMilliseconds = 2_000;
const listFreshMilliseconds = 5_000;

/**
 * Names the shard of an engine.
 *
 * @param engine - the engine
 * @returns the shard whose owner orders the engine's loads
 */
export function formatEngineShard(engine: BackendServerId): ShardId {
    return `engine/${engine}`;
}

/**
 * Creates the membership task.
 *
 * @param options - what it needs
 * @returns a task to supervise, and the views that the other parts read
 */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
    const { clock, self, peers } = options;
    const events = new Emittery<MembershipEvents>();
    const heardAt = new Map<InstanceId, Milliseconds>();
    const missingSince = new Map<InstanceId, Milliseconds>();
    let state = createListingState(self);
    let ring: { readonly epoch: LogOffset; readonly ring: WatchRing; } | undefined;
    let listedAt: Milliseconds | undefined;
    let listedAskedAt: Milliseconds | undefined;

    const advance = (event: ListingEvent): void => {
        const previous = state.snapshot;
        state = advanceListing(state, event, clock.now());
        if (state.snapshot !== previous) {
            void events.emit("membership", state.snapshot);
        }
    };
    const listRegionPeers = (): readonly InstanceId[] =>
        state.snapshot.instances
            .filter(instance => instance.state === "live" && instance.region === self.region)
            .map(instance => instance.id);
    const listShards = (): readonly ShardId[] =>
        state.snapshot.backendServers
            .filter(server => server.kind === "engine" && server.region === self.region)
            .map(server => formatEngineShard(server.id));
    const isListed = (instance: InstanceId, now: Milliseconds): boolean => {
        const known = listedAt !== undefined && now - listedAt < listFreshMilliseconds;
        return !known || (state.listing?.instances.some(entry => entry.id === instance) ?? true);
    };
    const readRing = (): WatchRing => {
        const epoch = ownership.epochs.read();
        if (ring?.epoch !== epoch.number) {
            ring = { epoch: epoch.number, ring: createWatchRing(epoch.members) };
        }
        return ring.ring;
    };
    const findFailed = (now: Milliseconds): readonly InstanceId[] => {
        const places = readRing().listWatched(self.id);
        const watchedIds = new Set(places.map(place => place.instance));
        for (const instance of [...heardAt.keys()].filter(known => !watchedIds.has(known))) {
            heardAt.delete(instance);
        }
        const watched = places.map(place => {
            const heard = heardAt.get(place.instance) ?? now;
            heardAt.set(place.instance, heard);
            return { ...place, heardAt: heard, listed: isListed(place.instance, now) };
        });
        return decideRemovals(watched, now);
    };
    const ownership = createOwnershipTask({
        ...options,
        listRegionPeers,
        listShards,
        findFailed,
        readListedAskedAt: () => listedAskedAt,
    });
    const recordMissing = (listing: Listing, now: Milliseconds): void => {
        const listed = new Set(listing.instances.map(entry => entry.id));
        const involved = new Set(ownership.listInvolved());
        for (const instance of [...missingSince.keys()]) {
            if (listed.has(instance) || !involved.has(instance)) {
                missingSince.delete(instance);
            }
        }
        for (const instance of involved) {
            if (listed.has(instance) || instance === self.id) {
                continue;
            }
            const since = missingSince.get(instance) ?? now;
            missingSince.set(instance, since);
            if (now - since >= goneAfterMilliseconds) {
                ownership.recordGone(instance);
            }
        }
    };
    const poll = async (signal: AbortSignal): Promise<void> => {
        const askedAt = clock.now();
        const answer = await limitTime(
            clock,
            listTimeoutMilliseconds,
            signal,
            inner => options.instanceList.list(inner),
        );
        if (!answer?.ok) {
            // an instance that came back meanwhile would not have been seen
            missingSince.clear();
            return;
        }
        listedAt = clock.now();
        if (answer.value.instances.some(entry => entry.id === self.id)) {
            listedAskedAt = askedAt;
        }
        advance({ kind: "listed", listing: answer.value });
        recordMissing(answer.value, listedAt);
    };
    const runPolls = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await poll(signal);
            await clock.sleep(options.pollInterval ?? defaultPollMilliseconds, signal);
        }
    };
    const sendHeartbeats = (): void => {
        const message = { kind: "heartbeat", instance: self.id, state: state.leaving ? "leaving" : "live" } as const;
        // that it leaves is of interest to everybody, that it lives only to those who watch it
        const others = listRegionPeers().filter(peer => peer !== self.id);
        const receivers = state.leaving ? others : readRing().listWatchers(self.id);
        for (const receiver of receivers) {
            peers.send(receiver, "membership", message);
        }
    };
    const runHeartbeats = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            sendHeartbeats();
            await clock.sleep(heartbeatMilliseconds, signal);
        }
    };
    peers.handle("membership", (from, message) => {
        if (message.kind === "heartbeat") {
            heardAt.set(from, clock.now());
            advance({ kind: "heard", instance: from, state: message.state });
            return undefined;
        }
        return ownership.serve(message);
    });
    return {
        name: "membership",
        run: async signal => {
            await Promise.all([runPolls(signal), runHeartbeats(signal), ownership.run(signal)]);
        },
        membership: { read: () => state.snapshot, subscribe: listener => events.on("membership", listener) },
        epochs: ownership.epochs,
        ownership: ownership.ownership,
        claim: ownership.claim,
        release: ownership.release,
        leave: async () => {
            advance({ kind: "selfLeaving" });
            sendHeartbeats();
            await ownership.leave();
        },
        readStatus: now => ({
            ...ownership.readStatus(now),
            revision: state.snapshot.revision,
            instances: state.snapshot.instances.length,
            backendServers: state.snapshot.backendServers.length,
            sinceListed: listedAt === undefined ? undefined : now - listedAt,
        }),
    };
}
