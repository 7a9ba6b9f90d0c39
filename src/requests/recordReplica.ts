/**
 * One instance's replicas of the records of requests that must run at most once. This module uses no sockets and no
 * clock: it takes messages and epochs, and returns responses and handovers.
 *
 * A claim wins only if a majority of its partition's replica group grants it, and a replica does not grant a key to a
 * second claim while the first one may run. When the group changes, the replicas of the old group stop granting and
 * hand over their records. A replica of the new group grants nothing until a read quorum of the old group has handed
 * over, so that its records include every claim that won there. Therefore two claims on a key can't both win, no matter
 * which instances crash, pause or are disconnected, and no synchronized clock or access to the log is needed.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { AtMostOnceMessage, ClaimRecordCopy, ExecutionClaim } from "./atMostOnceMessages.js";
import { isSettledNotRun, mergeClaims } from "./executionClaims.js";
import { chooseReplicaGroup, countReadQuorum, findPartition, partitionCount } from "./replicaGroups.js";

/** Records of a partition that must be sent to a replica of the next group. */
export interface Handover {
    readonly to: InstanceId;
    readonly partition: number;
    readonly epoch: number;
    readonly previousGroup: readonly InstanceId[];
    readonly records: readonly ClaimRecordCopy[];
}

/** The record replicas of one instance, over all partitions. */
export interface RecordReplica {
    /** Applies an epoch; epochs must be passed in order. */
    readonly acceptEpoch: (epoch: MemberEpoch, now: Milliseconds) => void;
    /**
     * Grants a claim or returns the claims that block it. Nothing is granted from `leaseValidUntil` on, so that an
     * instance that has not read a newer epoch stops granting when its lease ends.
     */
    readonly acceptClaim: (
        message: Extract<AtMostOnceMessage, { kind: "claim"; }>,
        now: Milliseconds,
        leaseValidUntil: Milliseconds,
    ) => AtMostOnceMessage;
    readonly acceptSettlement: (
        message: Extract<AtMostOnceMessage, { kind: "settle"; }>,
        now: Milliseconds,
    ) => AtMostOnceMessage;
    readonly acceptHandover: (
        from: InstanceId,
        message: Extract<AtMostOnceMessage, { kind: "handover"; }>,
        now: Milliseconds,
    ) => AtMostOnceMessage;
    readonly findClaims: (key: string, now: Milliseconds) => readonly ExecutionClaim[];
    /** Lists the handovers that other instances have not acknowledged yet. */
    readonly listHandovers: (now: Milliseconds) => readonly Handover[];
    readonly finishHandover: (handover: Pick<Handover, "to" | "partition" | "epoch">) => void;
    /** Removes expired records, and allows grants in partitions for which all earlier grants have expired. */
    readonly expire: (now: Milliseconds) => void;
    readonly readStatus: () => RecordReplicaStatus;
}

/** Counts of the record replicas for the status page. */
export interface RecordReplicaStatus {
    readonly records: number;
    /** Partitions of which this instance is a replica, but in which it can't grant claims yet. */
    readonly waitingPartitions: number;
    readonly pendingHandovers: number;
}

interface ClaimRecord {
    readonly createdAt: Milliseconds;
    readonly claims: readonly ExecutionClaim[];
}

// replica group of a partition from one epoch on; the last assignment in a partition's list is the current one
interface GroupAssignment {
    readonly epoch: number;
    readonly group: readonly InstanceId[];
    /** Group of the previous assignment; `undefined` while it is not known. */
    previousGroup: readonly InstanceId[] | undefined;
    /** Members of the previous group that have handed over all their records. */
    readonly completedSenders: Set<InstanceId>;
    /** Members of the next group that have not acknowledged this instance's handover. */
    readonly pendingTargets: Set<InstanceId>;
    /** Time at which all grants of earlier groups have expired. */
    earlierGrantsExpireAt: Milliseconds;
    readonly createdAt: Milliseconds;
    /** Whether this instance may grant claims under the assignment. */
    ready: boolean;
}

// completed handovers for an epoch that the sender has read already and this instance has not
interface EarlyHandover {
    readonly epoch: number;
    readonly previousGroup: readonly InstanceId[];
    readonly completedSenders: Set<InstanceId>;
}

/**
 * Creates the record replicas of an instance, without records and before the first epoch.
 *
 * @param self - id of this instance
 * @param recordLifetime - milliseconds after which a record expires
 * @returns the replicas
 */
export function createRecordReplica(self: InstanceId, recordLifetime: Milliseconds): RecordReplica {
    const records: Map<string, ClaimRecord>[] = Array.from({ length: partitionCount }, () => new Map());
    const assignments: GroupAssignment[][] = Array.from({ length: partitionCount }, () => []);
    // partitions that still have records to hand over; few or none while the members do not change
    const partitionsHandingOver = new Set<number>();
    const earlyHandovers = new Map<string, EarlyHandover>();
    let currentEpoch: MemberEpoch | undefined;

    const findLastAssignment = (partition: number): GroupAssignment | undefined => assignments[partition]!.at(-1);
    const readRecord = (key: string, now: Milliseconds): ClaimRecord | undefined => {
        const record = records[findPartition(key)]!.get(key);
        return record && now - record.createdAt < recordLifetime ? record : undefined;
    };
    const collectRecords = (partition: number, now: Milliseconds): readonly ClaimRecordCopy[] =>
        [...records[partition]!]
            .filter(([, record]) => now - record.createdAt < recordLifetime)
            .map(([key, record]) => ({ key, age: Math.max(0, now - record.createdAt), claims: [...record.claims] }));

    const acceptEpoch = (epoch: MemberEpoch, now: Milliseconds): void => {
        if (epoch.number < 0 || (currentEpoch && epoch.number < currentEpoch.number)) {
            return;
        }
        if (epoch.number === currentEpoch?.number) {
            updateGrantExpiry(epoch);
            return;
        }
        // a replica that missed an epoch does not know the grants of that epoch, so its handover would be incomplete
        const hasMissedEpoch = currentEpoch !== undefined &&
            !isSameList(epoch.previousMembers ?? [], currentEpoch.members);
        for (let partition = 0; partition < partitionCount; partition++) {
            const group = chooseReplicaGroup(partition, epoch);
            const last = findLastAssignment(partition);
            if (last && !hasMissedEpoch && isSameList(last.group, group)) {
                continue;
            }
            if (hasMissedEpoch) {
                // the assignment that should get the handover is among the missed ones
                assignments[partition] = [];
                partitionsHandingOver.delete(partition);
            }
            addAssignment(partition, createAssignment(partition, epoch, group, hasMissedEpoch ? undefined : last, now));
        }
        for (const [name, handover] of earlyHandovers) {
            if (handover.epoch < epoch.number) {
                earlyHandovers.delete(name);
            }
        }
        currentEpoch = epoch;
    };
    // the time by which the old group has stopped granting is often known only after the epoch was applied
    const updateGrantExpiry = (epoch: MemberEpoch): void => {
        for (const list of assignments) {
            const assignment = list.at(-1);
            if (assignment && assignment.epoch === epoch.number) {
                assignment.earlierGrantsExpireAt = Math.max(assignment.createdAt, epoch.gainsAllowedAt) +
                    recordLifetime;
            }
        }
    };
    const createAssignment = (
        partition: number,
        epoch: MemberEpoch,
        group: readonly InstanceId[],
        last: GroupAssignment | undefined,
        now: Milliseconds,
    ): GroupAssignment => {
        const isFirst = epoch.previousMembers?.length === 0;
        const earlyHandover = earlyHandovers.get(`${partition}/${epoch.number}`);
        earlyHandovers.delete(`${partition}/${epoch.number}`);
        return {
            epoch: epoch.number,
            group,
            previousGroup: last?.group ?? earlyHandover?.previousGroup,
            completedSenders: earlyHandover?.completedSenders ?? new Set(),
            pendingTargets: new Set(),
            createdAt: now,
            earlierGrantsExpireAt: Math.max(now, epoch.gainsAllowedAt) + recordLifetime,
            ready: isFirst,
        };
    };
    const addAssignment = (partition: number, assignment: GroupAssignment): void => {
        const list = assignments[partition]!;
        const before = list.at(-1);
        list.push(assignment);
        if (before) {
            partitionsHandingOver.add(partition);
        }
        if (before?.ready) {
            startHandover(partition, before, assignment);
        }
        checkReady(partition, assignment);
        pruneAssignments(partition);
    };
    const startHandover = (partition: number, before: GroupAssignment, next: GroupAssignment): void => {
        if (!before.group.includes(self)) {
            return;
        }
        for (const member of next.group) {
            if (member !== self) {
                before.pendingTargets.add(member);
            }
        }
        if (next.group.includes(self)) {
            next.completedSenders.add(self);
            checkReady(partition, next);
        }
    };
    const checkReady = (partition: number, assignment: GroupAssignment): void => {
        const { previousGroup } = assignment;
        // without a known previous group nobody hands over, and the replica waits until all earlier grants have expired
        if (assignment.ready || !previousGroup?.length || !assignment.group.includes(self)) {
            return;
        }
        const completedCount = previousGroup.filter(member => assignment.completedSenders.has(member)).length;
        if (completedCount >= countReadQuorum(previousGroup.length)) {
            makeReady(partition, assignment);
        }
    };
    const makeReady = (partition: number, assignment: GroupAssignment): void => {
        assignment.ready = true;
        const list = assignments[partition]!;
        const next = list[list.indexOf(assignment) + 1];
        if (next) {
            startHandover(partition, assignment, next);
        }
    };
    // an assignment before the last one is removed once it has nothing left to hand over
    const pruneAssignments = (partition: number): void => {
        const list = assignments[partition]!;
        while (list.length > 1 && isFinished(list[0]!)) {
            list.shift();
        }
        if (list.length <= 1) {
            partitionsHandingOver.delete(partition);
        }
        if (list.length === 1 && !list[0]!.group.includes(self)) {
            records[partition]!.clear();
        }
    };
    const isFinished = (assignment: GroupAssignment): boolean => {
        const isReplica = assignment.group.includes(self);
        return !isReplica || (assignment.ready && assignment.pendingTargets.size === 0);
    };

    const findAssignmentForEpoch = (key: string, epoch: number): GroupAssignment | undefined => {
        const last = findLastAssignment(findPartition(key));
        const isCurrent = last && currentEpoch && last.group.includes(self) && epoch >= last.epoch
            && epoch <= currentEpoch.number;
        return isCurrent ? last : undefined;
    };
    const refuse = (): AtMostOnceMessage => ({ kind: "notReady", epoch: currentEpoch?.number ?? -1 });
    const acceptClaim: RecordReplica["acceptClaim"] = ({ key, epoch, claim }, now, leaseValidUntil) => {
        if (now >= leaseValidUntil || !findAssignmentForEpoch(key, epoch)?.ready) {
            return refuse();
        }
        const record = readRecord(key, now);
        const claims = record?.claims ?? [];
        const known = claims.find(other => other.claimId === claim.claimId);
        const competingClaims = claims.filter(other => other !== known && !isSettledNotRun(other));
        if (competingClaims.length > 0 || known?.result) {
            return { kind: "held", claims: [...claims] };
        }
        if (!known) {
            records[findPartition(key)]!.set(key, { createdAt: now, claims: [claim] });
        }
        return { kind: "granted" };
    };
    const acceptSettlement: RecordReplica["acceptSettlement"] = ({ key, epoch, claim }, now) => {
        if (!findAssignmentForEpoch(key, epoch)) {
            return refuse();
        }
        const record = readRecord(key, now);
        const claims = mergeClaims(record?.claims ?? [], [claim]);
        records[findPartition(key)]!.set(key, { createdAt: record?.createdAt ?? now, claims });
        return { kind: "stored" };
    };
    const acceptHandover: RecordReplica["acceptHandover"] = (from, message, now) => {
        const { partition, epoch, previousGroup } = message;
        if (partition >= partitionCount || !previousGroup.includes(from)) {
            return refuse();
        }
        for (const copy of message.records) {
            if (findPartition(copy.key) === partition) {
                storeCopy(copy, now);
            }
        }
        if (message.isLast) {
            addCompletedSender(partition, epoch, previousGroup, from);
        }
        return { kind: "stored" };
    };
    const storeCopy = (copy: ClaimRecordCopy, now: Milliseconds): void => {
        const partition = records[findPartition(copy.key)]!;
        const record = partition.get(copy.key);
        const createdAt = Math.max(now - copy.age, record?.createdAt ?? -Infinity);
        partition.set(copy.key, { createdAt, claims: mergeClaims(record?.claims ?? [], copy.claims) });
    };
    const addCompletedSender = (
        partition: number,
        epoch: number,
        previousGroup: readonly InstanceId[],
        from: InstanceId,
    ): void => {
        const assignment = assignments[partition]!.find(candidate => candidate.epoch === epoch);
        if (!assignment) {
            const name = `${partition}/${epoch}`;
            const earlyHandover = earlyHandovers.get(name) ??
                { epoch, previousGroup, completedSenders: new Set<InstanceId>() };
            earlyHandover.completedSenders.add(from);
            earlyHandovers.set(name, earlyHandover);
            return;
        }
        assignment.previousGroup ??= previousGroup;
        if (!isSameList(assignment.previousGroup, previousGroup)) {
            return;
        }
        assignment.completedSenders.add(from);
        checkReady(partition, assignment);
        pruneAssignments(partition);
    };
    const listHandovers = (now: Milliseconds): readonly Handover[] => {
        const handovers: Handover[] = [];
        for (const partition of partitionsHandingOver) {
            const list = assignments[partition]!;
            list.slice(0, -1).forEach((assignment, index) => {
                for (const to of assignment.pendingTargets) {
                    const { epoch } = list[index + 1]!;
                    const copies = collectRecords(partition, now);
                    handovers.push({ to, partition, epoch, previousGroup: assignment.group, records: copies });
                }
            });
        }
        return handovers;
    };
    const finishHandover: RecordReplica["finishHandover"] = ({ to, partition, epoch }) => {
        const list = assignments[partition]!;
        const index = list.findIndex(assignment => assignment.epoch === epoch);
        list[index - 1]?.pendingTargets.delete(to);
        pruneAssignments(partition);
    };
    const expire = (now: Milliseconds): void => {
        for (let partition = 0; partition < partitionCount; partition++) {
            pruneExpired(records[partition]!, now - recordLifetime);
            for (const assignment of [...assignments[partition]!]) {
                if (!assignment.ready && now >= assignment.earlierGrantsExpireAt) {
                    makeReady(partition, assignment);
                }
            }
        }
        for (const partition of [...partitionsHandingOver]) {
            removeDepartedTargets(partition);
            pruneAssignments(partition);
        }
    };
    // a member that has left the agreed epoch does not need the handover any more
    const removeDepartedTargets = (partition: number): void => {
        for (const assignment of assignments[partition]!) {
            for (const target of assignment.pendingTargets) {
                if (!currentEpoch?.members.includes(target)) {
                    assignment.pendingTargets.delete(target);
                }
            }
        }
    };
    const readStatus = (): RecordReplicaStatus => ({
        records: records.reduce((sum, partition) => sum + partition.size, 0),
        waitingPartitions: assignments.filter(list => {
            const last = list.at(-1);
            return last && last.group.includes(self) && !last.ready;
        }).length,
        pendingHandovers: assignments.flat().reduce((sum, assignment) => sum + assignment.pendingTargets.size, 0),
    });
    return {
        acceptEpoch,
        acceptClaim,
        acceptSettlement,
        acceptHandover,
        findClaims: (key, now) => readRecord(key, now)?.claims ?? [],
        listHandovers,
        finishHandover,
        expire,
        readStatus,
    };
}

function pruneExpired(partition: Map<string, ClaimRecord>, before: Milliseconds): void {
    for (const [key, record] of partition) {
        if (record.createdAt <= before) {
            partition.delete(key);
        }
    }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every((item, index) => item === right[index]);
}
