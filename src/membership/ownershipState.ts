/**
 * Members and shard owners of a region. Every reader computes the same state from the records of the ownership stream.
 *
 * @packageDocumentation
 */
import { compareText, type FailureDomainId, type InstanceId, type LogOffset } from "../shared/index.js";
import type { RecordPosition, StreamModel } from "../streams/index.js";
import {
    absentVersion,
    type OwnershipChange,
    ownershipChangeSchema,
    ownershipFormat,
    type OwnershipPart,
    ownershipPartSchema,
    type ShardVersion,
} from "./ownershipRecords.js";
import type { ShardId } from "./types.js";
import { chooseWitnesses } from "./witnesses.js";

/** A member of the region. */
export interface OwnershipMember {
    readonly instance: InstanceId;
    readonly failureDomain: FailureDomainId;
    /** Offset of its join record. */
    readonly joinedAt: LogOffset;
}

/** Owner of a shard, and what the latest record about the shard determines. */
export interface ShardEntry {
    readonly owner: InstanceId | undefined;
    /** Offset of the latest record that changed the shard; it is the fencing number of the owner if there is one. */
    readonly version: LogOffset;
    /** Offset of the epoch change that must be in effect before the owner may act. */
    readonly guard: LogOffset;
}

/** A change of epoch. */
export interface EpochTransition {
    readonly offset: LogOffset;
    /** Witnesses of the epoch that ended. */
    readonly witnesses: readonly InstanceId[];
    /** The member that left by its own record, and that has confirmed no lease since; `undefined` for other changes. */
    readonly left?: InstanceId | undefined;
}

/** An epoch as computed from the log. */
export interface AgreedEpoch {
    /** Offset of the record that began the epoch. */
    readonly number: LogOffset;
    /** Offset of the epoch change that must be in effect before any instance uses what it gains by this epoch. */
    readonly guard: LogOffset;
    readonly members: readonly OwnershipMember[];
    /**
     * Members of the previous epoch, sorted by id: empty for the first epoch of the stream, `undefined` if they are
     * not known or if the previous epoch had no member.
     */
    readonly previousMembers: readonly InstanceId[] | undefined;
}

/** Effects of one record on the state. */
export interface OwnershipEvent {
    /** The change of epoch, if the record made one. */
    readonly transition: EpochTransition | undefined;
    /** The epoch that the record began, if it began one. */
    readonly epoch?: AgreedEpoch;
    /** Shards whose owner the record changed. */
    readonly shards: readonly ShardId[];
}

/** Members and shard owners as one reader has computed them; the reader changes the state in place. */
export interface OwnershipState {
    appliedOffset: LogOffset;
    readonly members: Map<InstanceId, OwnershipMember>;
    /**
     * Offset of the latest departure of each instance, in the order of the offsets. Instances that have joined again
     * are included; departures before the retention window are not.
     */
    readonly departed: Map<InstanceId, LogOffset>;
    readonly shards: Map<ShardId, ShardEntry>;
    /**
     * Offset of the latest change of members, and offset of the epoch change that must be in effect before any instance
     * uses what it gains by that change.
     */
    epoch: { readonly number: LogOffset; readonly guard: LogOffset; };
    /** Witnesses of the current epoch. */
    witnesses: readonly InstanceId[];
    /** Highest guard of the shards whose entries were deleted; it guards the next claim of such a shard. */
    forgottenGuard: LogOffset;
    /**
     * Changes of epoch up to this offset are in effect as far as this reader knows. Readers may differ in it, so the
     * effect of a record never depends on it.
     */
    effective: LogOffset;
    /** Changes of epoch after `effective`, in the order of the log. */
    transitions: readonly EpochTransition[];
}

/** Number of records for which departures and unowned shards are kept; a change based on an older record is ignored. */
const retentionWindowOffsets = 10_000;
const shardsPerPart = 500;
const noEffect: OwnershipEvent = { transition: undefined, shards: [] };

/**
 * Creates the stream model of a region's ownership stream.
 *
 * @param stream - name of the stream
 * @returns schemas of the records, and functions that apply, save and restore the state
 */
export function createOwnershipModel(
    stream: `ownership-${string}`,
): StreamModel<OwnershipState, OwnershipChange, OwnershipPart, OwnershipEvent> {
    return {
        stream,
        format: ownershipFormat,
        changeSchema: ownershipChangeSchema,
        partSchema: ownershipPartSchema,
        createState: createOwnershipState,
        applyChange: applyOwnershipChange,
        advanceOffset,
        listParts,
        restoreState,
    };
}

/**
 * Creates the state before the first record.
 *
 * @returns a state without members and shards, which the caller owns and changes
 */
export function createOwnershipState(): OwnershipState {
    return {
        appliedOffset: absentVersion,
        members: new Map(),
        departed: new Map(),
        shards: new Map(),
        epoch: { number: absentVersion, guard: absentVersion },
        witnesses: [],
        forgottenGuard: absentVersion,
        effective: absentVersion,
        transitions: [],
    };
}

/**
 * Reads the entry of a shard.
 *
 * @param state - members and shard owners
 * @param shard - name of the shard
 * @returns its entry; for an unknown shard an entry without an owner, guarded by the highest guard of deleted entries
 */
export function readShard(state: OwnershipState, shard: ShardId): ShardEntry {
    return state.shards.get(shard) ?? { owner: undefined, version: absentVersion, guard: state.forgottenGuard };
}

/**
 * Describes the current epoch of a state.
 *
 * @param state - members and shard owners
 * @returns the epoch, copied so that later records don't change it
 */
export function describeEpoch(state: OwnershipState): AgreedEpoch {
    const { number, guard } = state.epoch;
    const members = [...state.members.values()];
    return { number, guard, members, previousMembers: findPreviousMembers(state) };
}

function findPreviousMembers(state: OwnershipState): readonly InstanceId[] | undefined {
    const { number } = state.epoch;
    if (number < state.appliedOffset - retentionWindowOffsets) {
        return undefined;
    }
    const remainingMembers = [...state.members.values()].filter(member => member.joinedAt !== number);
    const gone = [...state.departed].filter(([, at]) => at === number);
    const previous = [...remainingMembers.map(member => member.instance), ...gone.map(([instance]) => instance)];
    // if the previous epoch had no member, no instance can say what the members before it held
    const isUnknown = previous.length === 0 && state.departed.size > 0;
    return isUnknown ? undefined : previous.sort(compareText);
}

function applyOwnershipChange(
    state: OwnershipState,
    position: RecordPosition,
    change: OwnershipChange,
): OwnershipEvent {
    const { offset } = position;
    const isRecent = change.basedOn >= offset - retentionWindowOffsets && change.basedOn < offset;
    const event = isRecent ? applyRecentChange(state, offset, change) : noEffect;
    advanceOffset(state, offset);
    return event;
}

function applyRecentChange(state: OwnershipState, offset: LogOffset, change: OwnershipChange): OwnershipEvent {
    switch (change.kind) {
        case "join":
            return applyJoin(state, offset, change);
        case "leave":
            return applyDepartures(state, offset, [change], change.instance);
        case "remove":
            return applyDepartures(state, offset, change.members, undefined);
        case "claim":
            return applyClaim(state, offset, change.instance, change.shards);
        case "release":
            return applyRelease(state, offset, change.instance, change.shards);
    }
}

function applyJoin(
    state: OwnershipState,
    offset: LogOffset,
    change: Extract<OwnershipChange, { kind: "join"; }>,
): OwnershipEvent {
    const { instance, failureDomain } = change;
    const expected = state.departed.get(instance) ?? absentVersion;
    if (state.members.has(instance) || change.after !== expected) {
        return noEffect;
    }
    state.members.set(instance, { instance, failureDomain, joinedAt: offset });
    const transition = beginEpoch(state, offset, undefined);
    return { transition, epoch: describeEpoch(state), shards: [] };
}

function applyDepartures(
    state: OwnershipState,
    offset: LogOffset,
    departures: readonly { readonly instance: InstanceId; readonly joinedAt: LogOffset; }[],
    left: InstanceId | undefined,
): OwnershipEvent {
    const gone = new Set(
        departures
            .filter(({ instance, joinedAt }) => state.members.get(instance)?.joinedAt === joinedAt)
            .map(({ instance }) => instance),
    );
    if (gone.size === 0) {
        return noEffect;
    }
    for (const instance of gone) {
        state.members.delete(instance);
        // deleted first, because the map is kept in the order of departures
        state.departed.delete(instance);
        state.departed.set(instance, offset);
    }
    const freedShards = [...state.shards].filter(([, entry]) => entry.owner !== undefined && gone.has(entry.owner));
    for (const [shard, entry] of freedShards) {
        // an instance that left has stopped acting; one that was removed may act until its lease ends
        state.shards.set(shard, {
            owner: undefined,
            version: offset,
            guard: left === undefined ? offset : entry.guard,
        });
    }
    const transition = beginEpoch(state, offset, left);
    return { transition, epoch: describeEpoch(state), shards: freedShards.map(([shard]) => shard) };
}

function beginEpoch(state: OwnershipState, offset: LogOffset, left: InstanceId | undefined): EpochTransition {
    const ended: EpochTransition = { offset, witnesses: state.witnesses, left };
    state.epoch = { number: offset, guard: left === undefined ? offset : state.epoch.guard };
    state.witnesses = chooseWitnesses(state.members.values());
    state.transitions = [...state.transitions, ended];
    return ended;
}

function applyClaim(
    state: OwnershipState,
    offset: LogOffset,
    instance: InstanceId,
    claimedShards: readonly ShardVersion[],
): OwnershipEvent {
    const taken = claimedShards.filter(({ shard, version }) => {
        const entry = readShard(state, shard);
        return entry.owner === undefined && entry.version === version;
    });
    if (!state.members.has(instance)) {
        return noEffect;
    }
    for (const { shard } of taken) {
        state.shards.set(shard, { owner: instance, version: offset, guard: readShard(state, shard).guard });
    }
    return { transition: undefined, shards: taken.map(({ shard }) => shard) };
}

function applyRelease(
    state: OwnershipState,
    offset: LogOffset,
    instance: InstanceId,
    offeredShards: readonly ShardVersion[],
): OwnershipEvent {
    const freedShards = offeredShards.filter(({ shard, version }) => {
        const entry = readShard(state, shard);
        return entry.owner === instance && entry.version === version;
    });
    for (const { shard } of freedShards) {
        state.shards.set(shard, { owner: undefined, version: offset, guard: readShard(state, shard).guard });
    }
    return { transition: undefined, shards: freedShards.map(({ shard }) => shard) };
}

function advanceOffset(state: OwnershipState, offset: LogOffset): void {
    state.appliedOffset = offset;
    const oldestRetained = offset - retentionWindowOffsets;
    for (const [instance, at] of state.departed) {
        if (at >= oldestRetained) {
            break;
        }
        state.departed.delete(instance);
    }
    // pruned at fixed offsets, so that every reader deletes the same entries, and rarely, because it visits all shards
    if (offset % retentionWindowOffsets === 0) {
        pruneShards(state, oldestRetained);
    }
}

function pruneShards(state: OwnershipState, oldestRetained: LogOffset): void {
    for (const [shard, entry] of state.shards) {
        if (entry.owner === undefined && entry.version < oldestRetained) {
            state.shards.delete(shard);
            state.forgottenGuard = Math.max(state.forgottenGuard, entry.guard);
        }
    }
}

function listParts(state: OwnershipState): readonly OwnershipPart[] {
    const shards = [...state.shards]
        .sort(([left], [right]) => compareText(left, right))
        .map(([shard, entry]) =>
            entry.owner === undefined ? { shard, ...describeUnownedShard(entry) } : { shard, ...entry }
        );
    const first: OwnershipPart = {
        members: [...state.members.values()],
        departed: [...state.departed].map(([instance, at]) => ({ instance, at })),
        shards: shards.slice(0, shardsPerPart),
        epoch: state.epoch,
        forgottenGuard: state.forgottenGuard,
        effective: state.effective,
        transitions: state.transitions.map(({ offset, witnesses, left }) =>
            left === undefined ? { offset, witnesses: [...witnesses] } : { offset, witnesses: [...witnesses], left }
        ),
    };
    const parts = [first];
    for (let start = shardsPerPart; start < shards.length; start += shardsPerPart) {
        const rest = { members: [], departed: [], transitions: [] };
        parts.push({ ...first, ...rest, shards: shards.slice(start, start + shardsPerPart) });
    }
    return parts;
}

function describeUnownedShard(entry: ShardEntry): Omit<ShardEntry, "owner"> {
    return { version: entry.version, guard: entry.guard };
}

function restoreState(parts: Iterable<OwnershipPart>, offset: LogOffset): OwnershipState {
    const state = createOwnershipState();
    for (const part of parts) {
        part.members.forEach(member => state.members.set(member.instance, member));
        part.departed.forEach(({ instance, at }) => state.departed.set(instance, at));
        part.shards.forEach(({ shard, owner, version, guard }) => state.shards.set(shard, { owner, version, guard }));
        state.epoch = part.epoch;
        state.forgottenGuard = part.forgottenGuard;
        state.effective = part.effective;
        state.transitions = [...state.transitions, ...part.transitions];
    }
    state.witnesses = chooseWitnesses(state.members.values());
    state.appliedOffset = offset;
    return state;
}
