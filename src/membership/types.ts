/**
 * What the other parts need of membership and ownership.
 *
 * One lease carries everything: an instance holds a lease on a prefix of the ownership stream. While the lease is
 * valid, no record behind that prefix is in effect anywhere. A record takes effect for those who gain by it only after
 * every lease on a shorter prefix has lapsed; those who lose by it obey it as soon as they read it.
 *
 * @packageDocumentation
 */
import type { ListedBackendServer, ListedInstance } from "../backends/index.js";
import type { FailureDomainId, FencingNumber, InstanceId, LogOffset, Milliseconds } from "../shared/index.js";

/** Instances and backend servers as one instance sees them. */
export interface MembershipSnapshot {
    /** Grows with each change that this instance sees. */
    readonly revision: number;
    /** Instances that are believed to run, this one included, sorted by id. */
    readonly instances: readonly ListedInstance[];
    /** Backend servers, leaving ones included (their `state` says so), sorted by id. */
    readonly backendServers: readonly ListedBackendServer[];
}

/** What the other parts need of the membership task. */
export interface MembershipView {
    readonly read: () => MembershipSnapshot;
    readonly subscribe: (listener: (snapshot: MembershipSnapshot) => void) => () => void;
}

/** The agreed members of a region from one record of the ownership stream on. */
export interface MemberEpoch {
    /** Offset of the record that began the epoch; -1 before the first. */
    readonly number: LogOffset;
    /** Sorted by id. */
    readonly members: readonly InstanceId[];
    /** Members of the epoch before: empty for the first of the stream, `undefined` when not known or nobody was left. */
    readonly previousMembers?: readonly InstanceId[];
    /** Failure domain of each member, agreed with the epoch; must be the same on every instance. */
    readonly failureDomains?: ReadonlyMap<InstanceId, FailureDomainId>;
    /**
     * Monotonic time of this process from which on no instance acts under an earlier epoch. What an instance gains by
     * this epoch (a larger share) it uses only from then on; what it loses, it gives up at once. `Infinity` until
     * enough members are known to have read the record; then the same epoch is told of again, with the time.
     */
    readonly gainsAllowedAt: Milliseconds;
}

/** What the other parts need of the agreed epochs. */
export interface EpochView {
    /** The epoch in force, as read by this instance. */
    readonly read: () => MemberEpoch;
    /** Monotonic time up to which this instance may act under that epoch; renewed while all is well. */
    readonly readValidUntil: () => Milliseconds;
    /** Tells of each epoch in order, and again of the latest when its `growAt` becomes known. */
    readonly subscribe: (listener: (epoch: MemberEpoch) => void) => () => void;
}

/** Name of a shard that has one owner at a time, such as `engine/e1`. */
export type ShardId = string;

/** A right to act as owner, checked immediately before each effect. */
export interface OwnershipLease {
    readonly shard: ShardId;
    readonly owner: InstanceId;
    readonly fencingNumber: FencingNumber;
    /** Monotonic time after which the owner must not act. */
    readonly validUntil: Milliseconds;
}

/** What the other parts need of the ownership task. */
export interface OwnershipView {
    /** The instance believed to own the shard, or `undefined` while there is none. */
    readonly findOwner: (shard: ShardId) => InstanceId | undefined;
    /** This instance's own valid lease of the shard, or `undefined`. */
    readonly findLease: (shard: ShardId, now: Milliseconds) => OwnershipLease | undefined;
    /** Tells of each change of a shard's owner. */
    readonly subscribe: (listener: (shard: ShardId, owner: InstanceId | undefined) => void) => () => void;
}
