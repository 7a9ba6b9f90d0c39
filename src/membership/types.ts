/**
 * Interfaces through which the other parts read membership and ownership.
 *
 * Each instance holds one lease on a prefix of the ownership stream. While that lease is valid, no record after the
 * prefix is in effect on any instance. An instance that gains shards or a larger share of a limit by a record uses them
 * only after every lease on a prefix without that record has expired. An instance that loses something by a record
 * gives it up as soon as it reads the record.
 *
 * @packageDocumentation
 */
import type { ListedBackendServer, ListedInstance } from "../backends/index.js";
import type { FailureDomainId, FencingNumber, InstanceId, LogOffset, Milliseconds } from "../shared/index.js";

/** Instances and backend servers that one instance knows of. */
export interface MembershipSnapshot {
    /** Number of changes to this snapshot since the instance started. */
    readonly revision: number;
    /** Instances that the instance list contains, leaving ones included, and always this one; sorted by id. */
    readonly instances: readonly ListedInstance[];
    /** Backend servers that the instance list contains, those with `state: "leaving"` included; sorted by id. */
    readonly backendServers: readonly ListedBackendServer[];
}

/** Read access to the instances and backend servers. */
export interface MembershipView {
    readonly read: () => MembershipSnapshot;
    /** Calls the listener with each changed snapshot; the returned function ends the subscription. */
    readonly subscribe: (listener: (snapshot: MembershipSnapshot) => void) => () => void;
}

/** The members of a region from one record of the ownership stream until the next epoch; the same on every instance. */
export interface MemberEpoch {
    /** Offset of the record that began the epoch; -1 before the first. */
    readonly number: LogOffset;
    /** Ids of the members, sorted. */
    readonly members: readonly InstanceId[];
    /**
     * Members of the previous epoch, sorted by id: empty for the first epoch of the stream, `undefined` if they are
     * not known or if the previous epoch had no member.
     */
    readonly previousMembers?: readonly InstanceId[];
    /** Failure domain of each member, as its join record states it and therefore the same on every instance. */
    readonly failureDomains?: ReadonlyMap<InstanceId, FailureDomainId>;
    /**
     * Monotonic time of this process after which no instance still uses, under an earlier epoch, what this epoch gives
     * to another one. An instance uses what it gains by this epoch, such as a larger share of a limit, only from this
     * time on; it gives up what it loses at once. `Infinity` until enough members are known to have read the record;
     * subscribers then receive the same epoch again with the time.
     */
    readonly gainsAllowedAt: Milliseconds;
}

/** Read access to the epochs. */
export interface EpochView {
    /** Returns the latest epoch that this instance has read; an epoch without members before the first. */
    readonly read: () => MemberEpoch;
    /**
     * Returns the monotonic time until which this instance may act under that epoch, which moves on with each renewal
     * of the lease. `-Infinity` while the instance has no lease, isn't a member or is leaving.
     */
    readonly readValidUntil: () => Milliseconds;
    /**
     * Calls the listener with each epoch in order, and with the latest one again when its `gainsAllowedAt` changes. The
     * returned function ends the subscription.
     */
    readonly subscribe: (listener: (epoch: MemberEpoch) => void) => () => void;
}

/** Name of a shard, which has at most one owner at a time, such as `engine/e1`. */
export type ShardId = string;

/** The right to act as owner of a shard. The owner checks it immediately before each action that others can observe. */
export interface OwnershipLease {
    readonly shard: ShardId;
    readonly owner: InstanceId;
    readonly fencingNumber: FencingNumber;
    /** Monotonic time from which on the owner must not act. */
    readonly validUntil: Milliseconds;
}

/** Read access to shard ownership. */
export interface OwnershipView {
    /** Returns the owner of the shard as far as this instance has read the stream; `undefined` if there is none. */
    readonly findOwner: (shard: ShardId) => InstanceId | undefined;
    /** Returns the valid lease of this instance on the shard; `undefined` if it may not act as owner now. */
    readonly findLease: (shard: ShardId, now: Milliseconds) => OwnershipLease | undefined;
    /**
     * Calls the listener with the present owner of each shard whose owner newly read records have changed. The returned
     * function ends the subscription.
     */
    readonly subscribe: (listener: (shard: ShardId, owner: InstanceId | undefined) => void) => () => void;
}
