/**
 * Membership task: polls the platform's instance list, exchanges heartbeats with other instances, and runs the part
 * that manages shard ownership.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { InstanceList, ListedInstance, Listing, LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import type { BackendServerId, Clock, InstanceId, LogOffset, Milliseconds, SeededRandom } from "../shared/index.js";
import { callWithTimeout } from "../streams/index.js";
import { startTask, type Task } from "../supervision/index.js";
import { createWatchRing, decideRemovals, type WatchRing } from "./failureDetection.js";
import { terminatedAfterUnlistedMilliseconds } from "./lease.js";
import { advanceMembershipState, createMembershipState, type MembershipStateEvent } from "./membershipState.js";
import { createOwnershipTask, type OwnershipSettings, type OwnershipStatus } from "./ownershipTask.js";
import type { EpochView, MembershipSnapshot, MembershipView, OwnershipView, ShardId } from "./types.js";

/** Options of a membership task. */
export interface MembershipTaskOptions extends OwnershipSettings {
    readonly self: ListedInstance;
    readonly instanceList: InstanceList;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Pause between two reads of the instance list. @default 1_000 */
    readonly pollInterval?: Milliseconds;
}

/** Status of membership and ownership on one instance. */
export interface MembershipStatus extends OwnershipStatus {
    readonly revision: number;
    readonly instances: number;
    readonly backendServers: number;
    /** Time since the latest response of the instance list; `undefined` before the first. */
    readonly sinceListed: Milliseconds | undefined;
}

/** The membership task. */
export interface MembershipTask extends Task {
    readonly membership: MembershipView;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    /** Makes this instance compete for a shard that doesn't belong to an engine of the region. */
    readonly claim: (shard: ShardId) => void;
    /** Gives up a shard that this instance owns, and undoes an earlier `claim` of it. */
    readonly release: (shard: ShardId) => void;
    /**
     * Stops acting as owner, and ends the membership by a record that frees all shards of this instance. Resolves when
     * the log holds the record, or after about ten seconds if it can't be appended.
     */
    readonly leave: () => Promise<void>;
    readonly readStatus: (now: Milliseconds) => MembershipStatus;
}

interface MembershipEvents {
    readonly membership: MembershipSnapshot;
}

const defaultPollIntervalMilliseconds = 1_000;
const heartbeatIntervalMilliseconds = 1_000;
const listTimeoutMilliseconds = 2_000;
const listFreshnessMilliseconds = 5_000;

/**
 * Formats the name of the shard that belongs to an engine.
 *
 * @param engine - id of the engine
 * @returns name of the shard, such as `engine/e1`, whose owner decides which adapters the engine loads
 */
export function formatEngineShard(engine: BackendServerId): ShardId {
    return `engine/${engine}`;
}

/**
 * Creates the membership task.
 *
 * @param options - this instance, the services and peers that it uses, and intervals
 * @returns a task for the supervisor to run, with the interfaces that the other parts read
 */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
    const { clock, self, peers } = options;
    const events = new Emittery<MembershipEvents>();
    const lastHeartbeats = new Map<InstanceId, Milliseconds>();
    const unlistedSince = new Map<InstanceId, Milliseconds>();
    let state = createMembershipState(self);
    let ring: { readonly epoch: LogOffset; readonly ring: WatchRing; } | undefined;
    let listReceivedAt: Milliseconds | undefined;
    let selfListedAsOf: Milliseconds | undefined;

    const advanceState = (event: MembershipStateEvent): void => {
        const previous = state.snapshot;
        state = advanceMembershipState(state, event, clock.now());
        if (state.snapshot !== previous) {
            startTask("listeners of the membership", () => events.emit("membership", state.snapshot));
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
    const isPossiblyListed = (instance: InstanceId, now: Milliseconds): boolean => {
        const isListFresh = listReceivedAt !== undefined && now - listReceivedAt < listFreshnessMilliseconds;
        return !isListFresh || (state.listing?.instances.some(entry => entry.id === instance) ?? true);
    };
    const readRing = (): WatchRing => {
        const epoch = ownership.epochs.read();
        if (ring?.epoch !== epoch.number) {
            ring = { epoch: epoch.number, ring: createWatchRing(epoch.members) };
        }
        return ring.ring;
    };
    const findFailedMembers = (now: Milliseconds): readonly InstanceId[] => {
        const assignments = readRing().listWatched(self.id);
        const watchedIds = new Set(assignments.map(place => place.instance));
        for (const instance of [...lastHeartbeats.keys()].filter(known => !watchedIds.has(known))) {
            lastHeartbeats.delete(instance);
        }
        const watched = assignments.map(assignment => {
            const lastHeartbeatAt = lastHeartbeats.get(assignment.instance) ?? now;
            lastHeartbeats.set(assignment.instance, lastHeartbeatAt);
            return { ...assignment, lastHeartbeatAt, isListed: isPossiblyListed(assignment.instance, now) };
        });
        return decideRemovals(watched, now);
    };
    const ownership = createOwnershipTask({
        ...options,
        listRegionPeers,
        listShards,
        findFailedMembers,
        readSelfListedAsOf: () => selfListedAsOf,
    });
    const updateUnlistedSince = (listing: Listing, now: Milliseconds): void => {
        const listedInstances = new Set(listing.instances.map(entry => entry.id));
        const trackedInstances = new Set(ownership.listTrackedInstances());
        for (const instance of [...unlistedSince.keys()]) {
            if (listedInstances.has(instance) || !trackedInstances.has(instance)) {
                unlistedSince.delete(instance);
            }
        }
        for (const instance of trackedInstances) {
            if (listedInstances.has(instance) || instance === self.id) {
                continue;
            }
            const since = unlistedSince.get(instance) ?? now;
            unlistedSince.set(instance, since);
            if (now - since >= terminatedAfterUnlistedMilliseconds) {
                ownership.recordTerminated(instance);
            }
        }
    };
    const pollInstanceList = async (signal: AbortSignal): Promise<void> => {
        const requestSentAt = clock.now();
        const answer = await callWithTimeout(
            clock,
            listTimeoutMilliseconds,
            signal,
            inner => options.instanceList.list(inner),
        );
        if (!answer?.ok) {
            // an instance may have been listed meanwhile, so the time for which it is omitted counts from zero again
            unlistedSince.clear();
            return;
        }
        listReceivedAt = clock.now();
        if (answer.value.instances.some(entry => entry.id === self.id)) {
            selfListedAsOf = requestSentAt;
        }
        advanceState({ kind: "listed", listing: answer.value });
        updateUnlistedSince(answer.value, listReceivedAt);
    };
    const runInstanceListPolls = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await pollInstanceList(signal);
            await clock.sleep(options.pollInterval ?? defaultPollIntervalMilliseconds, signal);
        }
    };
    const sendHeartbeats = (): void => {
        const message = { kind: "heartbeat", instance: self.id, state: state.leaving ? "leaving" : "live" } as const;
        // every live instance of the region must learn of a leave; only the watchers need the other heartbeats
        const others = listRegionPeers().filter(peer => peer !== self.id);
        const receivers = state.leaving ? others : readRing().listWatchers(self.id);
        for (const receiver of receivers) {
            peers.send(receiver, "membership", message);
        }
    };
    const runHeartbeats = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            sendHeartbeats();
            await clock.sleep(heartbeatIntervalMilliseconds, signal);
        }
    };
    peers.handle("membership", (from, message) => {
        if (message.kind === "heartbeat") {
            lastHeartbeats.set(from, clock.now());
            advanceState({ kind: "heard", instance: from, state: message.state });
            return undefined;
        }
        return ownership.serve(message);
    });
    return {
        name: "membership",
        run: async signal => {
            await Promise.all([runInstanceListPolls(signal), runHeartbeats(signal), ownership.run(signal)]);
        },
        membership: { read: () => state.snapshot, subscribe: listener => events.on("membership", listener) },
        epochs: ownership.epochs,
        ownership: ownership.ownership,
        claim: ownership.claim,
        release: ownership.release,
        leave: async () => {
            advanceState({ kind: "selfLeaving" });
            sendHeartbeats();
            await ownership.leave();
        },
        readStatus: now => ({
            ...ownership.readStatus(now),
            revision: state.snapshot.revision,
            instances: state.snapshot.instances.length,
            backendServers: state.snapshot.backendServers.length,
            sinceListed: listReceivedAt === undefined ? undefined : now - listReceivedAt,
        }),
    };
}
