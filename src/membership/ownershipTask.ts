/**
 * Ownership part of the membership task: follows the ownership stream of the region, renews the lease on it, and
 * appends this instance's own changes.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { ListedInstance, LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import { type Clock, type InstanceId, type LogOffset, type Milliseconds, type SeededRandom } from "../shared/index.js";
import {
    callWithTimeout,
    clockRateMargin,
    createRecordCodec,
    createStreamFollower,
    type FollowerSettings,
    type FollowerStatus,
    type StreamMessage,
} from "../streams/index.js";
import { startTask } from "../supervision/index.js";
import { type ClaimDecision, createDesiredOwners, decideClaims } from "./claims.js";
import { advanceEpochEffect, createEpochEffectState, type EpochEffectEvent, readEffectiveAt } from "./epochEffect.js";
import { hasMajority, isEligibleToConfirm, type LeaseState, renewLease, type WitnessConfirmation } from "./lease.js";
import { createMemberEpoch } from "./memberEpoch.js";
import type { MembershipMessage, WitnessAnswer } from "./messages.js";
import { absentVersion, type OwnershipChange, type OwnershipPart } from "./ownershipRecords.js";
import {
    type AgreedEpoch,
    createOwnershipModel,
    describeEpoch,
    type OwnershipState,
    readShard,
} from "./ownershipState.js";
import type { EpochView, MemberEpoch, OwnershipLease, OwnershipView, ShardId } from "./types.js";

/** Settings that the membership task and its ownership part share. */
export interface OwnershipSettings extends FollowerSettings {
    /** Duration of a lease on the ownership stream; must be the same on all instances. @default 5_000 */
    readonly leaseDuration?: Milliseconds;
    /** Pause between two checks for changes to append, and between two rounds of requests to witnesses. @default 250 */
    readonly controlInterval?: Milliseconds;
}

/** Options of the ownership part. */
export interface OwnershipTaskOptions extends OwnershipSettings {
    readonly self: ListedInstance;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Lists the live instances of this instance's region, itself included. */
    readonly listRegionPeers: () => readonly InstanceId[];
    /** Lists the shards of the region's engines. */
    readonly listShards: () => readonly ShardId[];
    /** Finds the members that this instance watches and considers failed. */
    readonly findFailedMembers: (now: Milliseconds) => readonly InstanceId[];
    /** Returns the send time of the latest request to the instance list whose response contained this instance. */
    readonly readSelfListedAsOf: () => Milliseconds | undefined;
}

/** Status of ownership on one instance. */
export interface OwnershipStatus {
    readonly stream: FollowerStatus;
    readonly isMember: boolean;
    readonly epoch: LogOffset;
    readonly members: number;
    /** Number of epoch changes that this instance has read and that aren't known to be in effect. */
    readonly pendingEpochs: number;
    /** Remaining time of the lease; zero or less if it has expired, `-Infinity` if the instance has none. */
    readonly leaseLeft: Milliseconds;
    readonly leaseSource: "log" | "witnesses" | "none";
    readonly ownedShards: number;
}

/** The ownership part of a membership task. */
export interface OwnershipTask {
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    readonly claim: (shard: ShardId) => void;
    readonly release: (shard: ShardId) => void;
    readonly leave: () => Promise<void>;
    /** Records that an instance has certainly terminated. */
    readonly recordTerminated: (instance: InstanceId) => void;
    readonly serve: (message: MembershipMessage) => Promise<MembershipMessage | undefined>;
    readonly readStatus: (now: Milliseconds) => OwnershipStatus;
    /** Lists the members of the epoch, and the witnesses whose acknowledgement of a later epoch is missing. */
    readonly listTrackedInstances: () => readonly InstanceId[];
}

interface OwnershipEvents {
    readonly epoch: MemberEpoch;
    readonly owner: { readonly shard: ShardId; readonly owner: InstanceId | undefined; };
}

const defaultLeaseMilliseconds = 5_000;
const defaultControlIntervalMilliseconds = 250;
const appliedOffsetPollMilliseconds = 50;
const witnessTimeoutMilliseconds = 750;
/** Age of the lease above which the witnesses are asked to renew it, and age above which a log confirmation is old. */
const maximumLogConfirmationAgeMilliseconds = 3_500;
/** Age of its lease above which a witness renews it while the log is unavailable. */
const maximumWitnessLeaseAgeMilliseconds = 1_000;
/** Age of a witness's lease above which another instance doesn't adopt its start. */
const maximumSharedLeaseAgeMilliseconds = 2_000;
const appendTimeoutMilliseconds = 2_000;
const appendRetryDelayMilliseconds = 500;
const leaveTimeoutMilliseconds = 10_000;
/** Number of witnesses that an instance that isn't a witness itself asks about pending epochs in one round. */
const witnessesPerRound = 2;
/** Pending time of an epoch above which every instance asks all witnesses that haven't acknowledged it. */
const pendingEpochLimitMilliseconds = 10_000;

/**
 * Creates the ownership part.
 *
 * @param options - this instance, the services and peers that it uses, and what membership knows of other instances
 * @returns the part, whose `run` the membership task calls
 */
export function createOwnershipTask(options: OwnershipTaskOptions): OwnershipTask {
    const { clock, log, random } = options;
    const self = options.self.id;
    const leaseDuration = options.leaseDuration ?? defaultLeaseMilliseconds;
    const controlInterval = options.controlInterval ?? defaultControlIntervalMilliseconds;
    const epochEffectDelay = leaseDuration * clockRateMargin;
    const model = createOwnershipModel(`ownership-${options.self.region}`);
    const codec = createRecordCodec(model);
    const events = new Emittery<OwnershipEvents>();
    const desiredOwners = createDesiredOwners();
    const requestedShards = new Set<ShardId>();
    const shardsToRelease = new Set<ShardId>();
    // shards that this instance may still own according to the log, but on which it no longer acts as owner
    const relinquishedShards = new Set<ShardId>();
    let misplacedSince: ClaimDecision["misplacedSince"] = new Map();
    let changedShards = new Set<ShardId>();
    let epochEffect = createEpochEffectState(absentVersion);
    let lease: LeaseState = { startedAt: undefined };
    let logConfirmedAt: Milliseconds | undefined;
    let leaving = false;
    let epoch: MemberEpoch = { number: absentVersion, members: [], gainsAllowedAt: Infinity };
    let emittedEpoch: MemberEpoch | undefined;
    let appliedEpochs: AgreedEpoch[] = [];

    const readState = (): OwnershipState | undefined => follower.readState();
    const readValidUntil = (): Milliseconds => {
        const isMember = readState()?.members.has(self) ?? false;
        return isMember && !leaving && lease.startedAt !== undefined ? lease.startedAt + leaseDuration : -Infinity;
    };
    const readEpoch = (): MemberEpoch => {
        const state = readState();
        const number = state?.epoch.number ?? absentVersion;
        const gainsAllowedAt = readEffectiveAt(epochEffect, state?.epoch.guard ?? absentVersion);
        if (state && number !== epoch.number) {
            epoch = createMemberEpoch(describeEpoch(state), gainsAllowedAt);
        }
        else if (gainsAllowedAt !== epoch.gainsAllowedAt) {
            epoch = { ...epoch, gainsAllowedAt };
        }
        return epoch;
    };
    // subscribers also need epochs that ended within one batch of records, because their members count for later ones
    const emitIntermediateEpochs = (): void => {
        const epochsToEmit = appliedEpochs;
        appliedEpochs = [];
        for (const agreed of epochsToEmit) {
            if (agreed.number < (readState()?.epoch.number ?? absentVersion)) {
                const epoch = createMemberEpoch(agreed, readEffectiveAt(epochEffect, agreed.guard));
                startTask("listeners of the epoch", () => events.emit("epoch", epoch));
            }
        }
    };
    const emitCurrentEpoch = (): void => {
        const current = readEpoch();
        if (current !== emittedEpoch) {
            emittedEpoch = current;
            startTask("listeners of the epoch", () => events.emit("epoch", current));
        }
    };
    const applyEpochEffect = (event: EpochEffectEvent): void => {
        const before = epochEffect.effective;
        epochEffect = advanceEpochEffect(epochEffect, event, clock.now(), epochEffectDelay);
        const state = readState();
        if (state && epochEffect.effective > before) {
            state.effective = epochEffect.effective;
            state.transitions = state.transitions.filter(transition => transition.offset > epochEffect.effective);
        }
    };
    const recordEpochEffect = (event: EpochEffectEvent): void => {
        applyEpochEffect(event);
        emitCurrentEpoch();
    };
    const isLogConfirmationRecent = (now: Milliseconds): boolean =>
        logConfirmedAt !== undefined && now - logConfirmedAt <= maximumLogConfirmationAgeMilliseconds;
    const readLeaseSource = (now: Milliseconds): OwnershipStatus["leaseSource"] => {
        if (now >= readValidUntil()) {
            return "none";
        }
        return isLogConfirmationRecent(now) ? "log" : "witnesses";
    };
    const applyState = (state: OwnershipState): void => {
        // a state fetched from a peer includes the changes that the peer knows to be in effect
        applyEpochEffect({ kind: "answered", witness: "", epoch: absentVersion, effective: state.effective });
        for (const transition of state.transitions) {
            applyEpochEffect({ kind: "read", transition, self });
        }
        emitIntermediateEpochs();
        emitCurrentEpoch();
        const shards = changedShards;
        changedShards = new Set();
        for (const shard of shards) {
            const { owner } = readShard(state, shard);
            if (owner !== self) {
                relinquishedShards.delete(shard);
                shardsToRelease.delete(shard);
            }
            startTask("listeners of owners", () => events.emit("owner", { shard, owner }));
        }
    };
    const follower = createStreamFollower({
        ...options,
        model,
        instance: self,
        listPeers: options.listRegionPeers,
        requestFromPeer: async (peer, message, timeout) => {
            const answer = await options.peers.request(peer, "membership", message, timeout);
            return answer.ok && isStreamMessage(answer.value) ? answer.value : undefined;
        },
        handleEvent: event => {
            event.shards.forEach(shard => changedShards.add(shard));
            if (event.epoch) {
                appliedEpochs.push(event.epoch);
            }
        },
        handleState: applyState,
        handleConfirmation: requestSentAt => {
            lease = renewLease(lease, requestSentAt);
            logConfirmedAt = Math.max(logConfirmedAt ?? requestSentAt, requestSentAt);
        },
    });
    const isEligibleWitness = (): boolean =>
        isEligibleToConfirm({ leaving, selfListedAsOf: options.readSelfListedAsOf() }, clock.now());

    // "stands": the log holds the record; "lost": it doesn't; "unknown": no response has shown whether it does
    const appendChange = async (
        change: OwnershipChange,
        signal: AbortSignal,
    ): Promise<"stands" | "lost" | "unknown"> => {
        const payload = codec.encode({ kind: "change", change });
        const appended = await callWithTimeout(
            clock,
            appendTimeoutMilliseconds,
            signal,
            inner => log.append(model.stream, payload, inner),
        );
        if (appended?.ok) {
            await waitForOffset(appended.value, signal);
            return "stands";
        }
        await clock.sleep(appendRetryDelayMilliseconds + random.between(0, appendRetryDelayMilliseconds), signal);
        return !appended || appended.error.kind === "unknownOutcome" ? "unknown" : "lost";
    };
    // the next decision must be based on this instance's own record, so it waits until that record is applied
    const waitForOffset = async (offset: LogOffset, signal: AbortSignal): Promise<void> => {
        const until = clock.now() + appendTimeoutMilliseconds;
        while ((readState()?.appliedOffset ?? offset) < offset && clock.now() < until && !signal.aborted) {
            await clock.sleep(appliedOffsetPollMilliseconds, signal);
        }
    };
    const removeFailedMembers = async (state: OwnershipState, signal: AbortSignal): Promise<void> => {
        const failed = options.findFailedMembers(clock.now());
        const members = failed.flatMap(instance => {
            const member = state.members.get(instance);
            return member ? [{ instance, joinedAt: member.joinedAt }] : [];
        });
        if (members.length > 0) {
            await appendChange({ kind: "remove", basedOn: state.appliedOffset, members }, signal);
        }
    };
    const moveShards = async (state: OwnershipState, signal: AbortSignal): Promise<void> => {
        const live = new Set(options.listRegionPeers());
        const members = new Set([...state.members.keys()].filter(member => live.has(member) || member === self));
        const shards = new Set([...options.listShards(), ...requestedShards]);
        desiredOwners.update(members, shards);
        const shardsToGiveUp = new Set([...shardsToRelease, ...relinquishedShards]);
        const inputs = { self, state, shards, desiredOwners, shardsToRelease: shardsToGiveUp, misplacedSince };
        const decision = decideClaims(inputs, clock.now());
        misplacedSince = decision.misplacedSince;
        const base = { basedOn: state.appliedOffset, instance: self };
        if (decision.releases.length > 0) {
            // stops acting before the record is appended, because the next owner may act as soon as it has claimed
            const newReleases = decision.releases.filter(({ shard }) => !relinquishedShards.has(shard));
            newReleases.forEach(({ shard }) => relinquishedShards.add(shard));
            const result = await appendChange({ kind: "release", ...base, shards: decision.releases }, signal);
            if (result === "lost") {
                // only the new ones: an earlier append without a response may still have released the other shards
                newReleases.forEach(({ shard }) => relinquishedShards.delete(shard));
            }
        }
        if (decision.claims.length > 0) {
            await appendChange({ kind: "claim", ...base, shards: decision.claims }, signal);
        }
    };
    const appendOwnChanges = async (signal: AbortSignal): Promise<void> => {
        const state = readState();
        if (!state || leaving) {
            return;
        }
        if (!state.members.has(self)) {
            const after = state.departed.get(self) ?? absentVersion;
            const { failureDomain } = options.self;
            const base = { basedOn: state.appliedOffset, instance: self };
            await appendChange({ kind: "join", ...base, failureDomain, after }, signal);
            return;
        }
        await removeFailedMembers(state, signal);
        if (!leaving) {
            await moveShards(state, signal);
        }
    };
    const requestWitness = async (witness: InstanceId): Promise<WitnessAnswer | undefined> => {
        const request = { kind: "witnessRequest" } as const;
        const answer = await options.peers.request(witness, "membership", request, witnessTimeoutMilliseconds);
        if (!answer.ok || answer.value.kind !== "witnessAnswer") {
            return undefined;
        }
        const { epoch, effective } = answer.value;
        recordEpochEffect({ kind: "answered", witness, epoch, effective });
        if (epoch > (readState()?.epoch.number ?? absentVersion)) {
            await follower.readFromPeer(witness);
        }
        return answer.value;
    };
    const renewFromMajority = async (state: OwnershipState): Promise<void> => {
        const requestSentAt = clock.now();
        const { witnesses } = state;
        const { number } = state.epoch;
        const answers: WitnessConfirmation[] = [{ witness: self, epoch: number, mayConfirm: isEligibleWitness() }];
        await Promise.all(
            witnesses.filter(witness => witness !== self).map(async witness => {
                const answer = await requestWitness(witness);
                if (answer) {
                    answers.push({ witness, epoch: answer.epoch, mayConfirm: answer.mayConfirm });
                }
                const isSameEpoch = readState()?.epoch.number === number;
                if (isSameEpoch && hasMajority(witnesses, number, answers)) {
                    lease = renewLease(lease, requestSentAt);
                }
            }),
        );
        if (witnesses.length === 1 && hasMajority(witnesses, number, answers)) {
            lease = renewLease(lease, requestSentAt);
        }
    };
    // the lease of a witness is proof for every instance in the same epoch, so most instances ask only one witness
    const renewFromOneWitness = async (state: OwnershipState): Promise<boolean> => {
        const requestSentAt = clock.now();
        const { number } = state.epoch;
        const answer = await requestWitness(random.choose(state.witnesses));
        const isSameEpoch = answer?.epoch === number && readState()?.epoch.number === number;
        if (!isSameEpoch || answer.leaseAge === undefined || answer.leaseAge > maximumSharedLeaseAgeMilliseconds) {
            return false;
        }
        lease = renewLease(lease, requestSentAt - answer.leaseAge * clockRateMargin);
        return true;
    };
    const renewFromWitnesses = async (state: OwnershipState): Promise<void> => {
        const isRenewed = !state.witnesses.includes(self) && await renewFromOneWitness(state);
        if (!isRenewed) {
            await renewFromMajority(state);
        }
    };
    const listAwaitedWitnesses = (): readonly InstanceId[] => [
        ...new Set(epochEffect.pending.flatMap(transition =>
            transition.effectiveAt === undefined
                ? transition.witnesses.filter(witness => !transition.acknowledged.has(witness))
                : []
        )),
    ];
    // the current witnesses collect all acknowledgements; other instances ask a few of them for the result
    const pollPendingEpochs = async (state: OwnershipState): Promise<void> => {
        const oldestPending = epochEffect.pending[0];
        if (!oldestPending) {
            return;
        }
        // an event without a witness only applies the passage of time
        recordEpochEffect({ kind: "answered", witness: "", epoch: absentVersion, effective: absentVersion });
        const late = clock.now() - oldestPending.readAt > pendingEpochLimitMilliseconds;
        const asksAllAwaited = late || state.witnesses.includes(self);
        const start = state.witnesses.length > 0 ? random.between(0, state.witnesses.length - 1) : 0;
        const sampledWitnesses = [...state.witnesses.slice(start), ...state.witnesses.slice(0, start)].slice(
            0,
            witnessesPerRound,
        );
        const asked = asksAllAwaited ? listAwaitedWitnesses() : sampledWitnesses;
        await Promise.all(asked.filter(witness => witness !== self).map(requestWitness));
    };
    const runWitnessRequests = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const state = readState();
            const age = clock.now() - (lease.startedAt ?? -Infinity);
            // without the log, others adopt the start of a witness's lease, so a witness renews its own lease earlier
            const isLeaseSource = !isLogConfirmationRecent(clock.now()) && (state?.witnesses.includes(self) ?? false);
            const limit = isLeaseSource ? maximumWitnessLeaseAgeMilliseconds : maximumLogConfirmationAgeMilliseconds;
            if (state?.members.has(self) && !leaving && age > limit) {
                await renewFromWitnesses(state);
            }
            else if (state) {
                await pollPendingEpochs(state);
            }
            await clock.sleep(controlInterval, signal);
        }
    };
    const runOwnChanges = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(controlInterval, signal);
            if (!signal.aborted) {
                await appendOwnChanges(signal);
            }
        }
    };
    const withdrawMembership = async (): Promise<void> => {
        // from here on this instance neither acts as owner nor confirms leases, so its shards may be reassigned at once
        leaving = true;
        const until = clock.now() + leaveTimeoutMilliseconds;
        const never = new AbortController().signal;
        for (let state = readState(); state && clock.now() < until; state = readState()) {
            const member = state.members.get(self);
            if (!member) {
                return;
            }
            const base = { basedOn: state.appliedOffset, instance: self };
            const result = await appendChange({ kind: "leave", ...base, joinedAt: member.joinedAt }, never);
            if (result === "stands") {
                return;
            }
        }
    };
    const createWitnessAnswer = (): WitnessAnswer => ({
        kind: "witnessAnswer",
        epoch: readState()?.epoch.number ?? absentVersion,
        effective: epochEffect.effective,
        mayConfirm: isEligibleWitness(),
        // rounded up, because the receiver's lease then ends earlier rather than later
        leaseAge: lease.startedAt === undefined ? undefined : Math.ceil(clock.now() - lease.startedAt),
    });
    const findLease = (shard: ShardId, now: Milliseconds): OwnershipLease | undefined => {
        const state = readState();
        const entry = state?.shards.get(shard);
        const validUntil = readValidUntil();
        if (entry?.owner !== self || relinquishedShards.has(shard) || now >= validUntil) {
            return undefined;
        }
        if (now < readEffectiveAt(epochEffect, entry.guard)) {
            return undefined;
        }
        return { shard, owner: self, fencingNumber: entry.version, validUntil };
    };
    return {
        run: async signal => {
            await Promise.all([follower.run(signal), runOwnChanges(signal), runWitnessRequests(signal)]);
        },
        epochs: { read: readEpoch, readValidUntil, subscribe: listener => events.on("epoch", listener) },
        ownership: {
            findOwner: shard => readState()?.shards.get(shard)?.owner,
            findLease,
            subscribe: listener => events.on("owner", ({ shard, owner }) => listener(shard, owner)),
        },
        claim: shard => {
            requestedShards.add(shard);
            shardsToRelease.delete(shard);
        },
        release: shard => {
            requestedShards.delete(shard);
            shardsToRelease.add(shard);
        },
        leave: withdrawMembership,
        recordTerminated: instance => recordEpochEffect({ kind: "gone", instance }),
        serve: async message => {
            if (isStreamMessage(message)) {
                return follower.serve(message);
            }
            return message.kind === "witnessRequest" ? createWitnessAnswer() : undefined;
        },
        readStatus: now => ({
            stream: follower.readStatus(now),
            isMember: readState()?.members.has(self) ?? false,
            epoch: readState()?.epoch.number ?? absentVersion,
            members: readState()?.members.size ?? 0,
            pendingEpochs: epochEffect.pending.length,
            leaseLeft: readValidUntil() - now,
            leaseSource: readLeaseSource(now),
            ownedShards: [...readState()?.shards.values() ?? []].filter(entry => entry.owner === self).length,
        }),
        listTrackedInstances: () => [...new Set([...readState()?.members.keys() ?? [], ...listAwaitedWitnesses()])],
    };
}

function isStreamMessage(message: MembershipMessage): message is StreamMessage<OwnershipPart> {
    return message.kind !== "heartbeat" && message.kind !== "witnessRequest" && message.kind !== "witnessAnswer";
}
