/**
 * Records of requests that may run once only, as one holder keeps them. No sockets and no clock: events in, answers
 * and handovers out.
 *
 * A claim runs only after a majority of its partition's group has granted it, and a holder never grants a key to a
 * second claim while the first may run. When the group changes, a holder of the old group grants nothing more and
 * hands its records over; a holder of the new group grants nothing before so many of the old one have handed over that
 * every claim which won there is among the records. So no two claims of a key ever win, whoever crashes, pauses or is
 * cut off, and without a clock or the log.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { AtMostOnceMessage, ClaimRecordCopy, ExecutionClaim } from "./atMostOnceMessages.js";
import { isSettledNotRun, mergeClaims } from "./executionClaims.js";
import { chooseReplicaGroup, countReadQuorum, findPartition, partitionCount } from "./replicaGroups.js";

/** Records to be handed over to a holder of the next group. */
export interface Handover {
    readonly to: InstanceId;
    readonly partition: number;
    readonly epoch: number;
    readonly previousGroup: readonly InstanceId[];
    readonly records: readonly ClaimRecordCopy[];
}

/** The records that one instance holds. */
export interface RecordReplica {
    /** Takes an epoch; epochs come in order. */
    readonly acceptEpoch: (epoch: MemberEpoch, now: Milliseconds) => void;
    /** Grants only within the epoch's lease, so that an old group surely stops. */
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
    /** Handovers that no ack has come for yet, without those to itself. */
    readonly listHandovers: (now: Milliseconds) => readonly Handover[];
    readonly finishHandover: (handover: Pick<Handover, "to" | "partition" | "epoch">) => void;
    /** Drops expired records, and makes partitions ready for which all earlier records have expired. */
    readonly expire: (now: Milliseconds) => void;
    readonly readStatus: () => RecordReplicaStatus;
}

/** What operators may want to know of a holder. */
export interface RecordReplicaStatus {
    readonly records: number;
    /** Partitions that this instance should hold and can't decide on yet. */
    readonly waitingPartitions: number;
    readonly pendingHandovers: number;
}

interface ClaimRecord {
    readonly createdAt: Milliseconds;
    readonly claims: readonly ExecutionClaim[];
}

// a partition under one group; the last stage is the one in force
interface GroupAssignment {
    readonly epoch: number;
    readonly group: readonly InstanceId[];
    /** Group of the stage before; `undefined` when it is not known. */
    previousGroup: readonly InstanceId[] | undefined;
    readonly completedSenders: Set<InstanceId>;
    readonly pendingTargets: Set<InstanceId>;
    /** When everything that an earlier group may have granted has expired. */
    earlierGrantsExpireAt: Milliseconds;
    readonly createdAt: Milliseconds;
    ready: boolean;
}

// from a holder that has read an epoch which this instance has yet to read
interface EarlyHandover {
    readonly epoch: number;
    readonly previousGroup: readonly InstanceId[];
    readonly completedSenders: Set<InstanceId>;
}

/**
 * Creates an empty holder.
 *
 * @param self - this instance
 * @param recordLifetime - how long a record is kept
 * @returns the holder
 */
export function createRecordReplica(self: InstanceId, recordLifetime: Milliseconds): RecordReplica {
    const records: Map<string, ClaimRecord>[] = Array.from({ length: partitionCount }, () => new Map());
    const assignments: GroupAssignment[][] = Array.from({ length: partitionCount }, () => []);
    // partitions that still have something to hand over; few, while the epochs are calm
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
        // a holder that missed an epoch can't vouch for what was granted in it
        const hasMissedEpoch = currentEpoch !== undefined &&
            !isSameList(epoch.previousMembers ?? [], currentEpoch.members);
        for (let partition = 0; partition < partitionCount; partition++) {
            const group = chooseReplicaGroup(partition, epoch);
            const last = findLastAssignment(partition);
            if (last && !hasMissedEpoch && isSameList(last.group, group)) {
                continue;
            }
            if (hasMissedEpoch) {
                // the stage to hand over to is among those that were missed
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
    // when an old group surely stopped is often known only later
    const updateGrantExpiry = (epoch: MemberEpoch): void => {
        for (const list of assignments) {
            const assignment = list.at(-1);
            if (assignment && assignment.epoch === epoch.number) {
                assignment.earlierGrantsExpireAt = Math.max(assignment.createdAt, epoch.growAt) + recordLifetime;
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
            earlierGrantsExpireAt: Math.max(now, epoch.growAt) + recordLifetime,
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
        // of a fleet that was wholly gone nobody can vouch
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
    // a stage before the last one goes when it has nothing left to hand over
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
        const rivals = claims.filter(other => other !== known && !isSettledNotRun(other));
        if (rivals.length > 0 || known?.result) {
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
    // nobody can wait for a member that the agreed epoch no longer has
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
