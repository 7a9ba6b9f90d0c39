/**
 * The part of the membership task that follows the ownership stream of its region, holds the lease on it, and writes
 * this instance's own records.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { ListedInstance, LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import { type Clock, type InstanceId, type LogOffset, type Milliseconds, type SeededRandom } from "../shared/index.js";
import {
    clockRateMargin,
    createRecordCodec,
    createStreamFollower,
    type FollowerSettings,
    type FollowerStatus,
    limitTime,
    type StreamMessage,
} from "../streams/index.js";
import { type ClaimDecision, createDesiredOwners, decideClaims } from "./claims.js";
import { advanceEffect, createEffectState, type EffectEvent, readEffectiveAt } from "./effect.js";
import { type Confirmation, hasMajority, isConfirming, type LeaseState, renewLease } from "./lease.js";
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

/** What both membership tasks let their users set. */
export interface OwnershipSettings extends FollowerSettings {
    /** Time for which a confirmed read of the ownership stream holds; the same on all instances. @default 5_000 */
    readonly leaseDuration?: Milliseconds;
    /** Time between two looks at what is to be claimed, given up, removed and asked. @default 250 */
    readonly controlInterval?: Milliseconds;
}

/** What the ownership part needs. */
export interface OwnershipTaskOptions extends OwnershipSettings {
    readonly self: ListedInstance;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Live instances of this instance's region. */
    readonly listRegionPeers: () => readonly InstanceId[];
    readonly listShards: () => readonly ShardId[];
    /** Members that this instance, as their watcher, takes for failed. */
    readonly findFailed: (now: Milliseconds) => readonly InstanceId[];
    /** When the question was sent whose answer showed this instance in the platform's list. */
    readonly readListedAskedAt: () => Milliseconds | undefined;
}

/** How ownership is on an instance. */
export interface OwnershipStatus {
    readonly stream: FollowerStatus;
    readonly isMember: boolean;
    readonly epoch: LogOffset;
    readonly members: number;
    /** Changes of epoch that are not in effect yet. */
    readonly pendingEpochs: number;
    /** Time left of the lease; zero or less when it has lapsed. */
    readonly leaseLeft: Milliseconds;
    readonly leaseSource: "log" | "witnesses" | "none";
    readonly ownedShards: number;
}

/** The ownership part. */
export interface OwnershipTask {
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    readonly claim: (shard: ShardId) => void;
    readonly release: (shard: ShardId) => void;
    readonly leave: () => Promise<void>;
    /** Notes that an instance has surely ended. */
    readonly recordGone: (instance: InstanceId) => void;
    readonly serve: (message: MembershipMessage) => Promise<MembershipMessage | undefined>;
    readonly readStatus: (now: Milliseconds) => OwnershipStatus;
    /** Members of the epoch, and the witnesses whose word is still awaited. */
    readonly listInvolved: () => readonly InstanceId[];
}

interface OwnershipEvents {
    readonly epoch: MemberEpoch;
    readonly owner: { readonly shard: ShardId; readonly owner: InstanceId | undefined; };
}

const defaultLeaseMilliseconds = 5_000;
const defaultControlMilliseconds = 250;
const ownRecordMilliseconds = 50;
const witnessTimeoutMilliseconds = 750;
/** Without a confirmed read for this long, the witnesses are asked to renew the lease. */
const confirmationAgeMilliseconds = 3_500;
const sourceAgeMilliseconds = 1_000;
const sharedAgeMilliseconds = 2_000;
const appendTimeoutMilliseconds = 2_000;
const appendPauseMilliseconds = 500;
const leaveLimitMilliseconds = 10_000;
const factAsks = 2;
const pendingLimitMilliseconds = 10_000;

/**
 * Creates the ownership part.
 *
 * @param options - what it needs
 * @returns its views and its loops
 */
export function createOwnershipTask(options: OwnershipTaskOptions): OwnershipTask {
    const { clock, log, random } = options;
    const self = options.self.id;
    const leaseDuration = options.leaseDuration ?? defaultLeaseMilliseconds;
    const controlInterval = options.controlInterval ?? defaultControlMilliseconds;
    const effectWait = leaseDuration * clockRateMargin;
    const model = createOwnershipModel(`ownership-${options.self.region}`);
    const codec = createRecordCodec(model);
    const events = new Emittery<OwnershipEvents>();
    const desired = createDesiredOwners();
    const extraShards = new Set<ShardId>();
    const releasing = new Set<ShardId>();
    // shards that this instance may still own in the log but acts on no more
    const givenUp = new Set<ShardId>();
    let unwantedSince: ClaimDecision["unwantedSince"] = new Map();
    let changedShards = new Set<ShardId>();
    let effect = createEffectState(absentVersion);
    let lease: LeaseState = { startedAt: undefined };
    let logConfirmedAt: Milliseconds | undefined;
    let leaving = false;
    let epoch: MemberEpoch = { number: absentVersion, members: [], growAt: Infinity };
    let announced: MemberEpoch | undefined;
    let passedEpochs: AgreedEpoch[] = [];

    const readState = (): OwnershipState | undefined => follower.readState();
    const readValidUntil = (): Milliseconds => {
        const isMember = readState()?.members.has(self) ?? false;
        return isMember && !leaving && lease.startedAt !== undefined ? lease.startedAt + leaseDuration : -Infinity;
    };
    const readEpoch = (): MemberEpoch => {
        const state = readState();
        const number = state?.epoch.number ?? absentVersion;
        const growAt = readEffectiveAt(effect, state?.epoch.guard ?? absentVersion);
        if (state && number !== epoch.number) {
            epoch = createMemberEpoch(describeEpoch(state), growAt);
        }
        else if (growAt !== epoch.growAt) {
            epoch = { ...epoch, growAt };
        }
        return epoch;
    };
    // an epoch that another one ends in the same batch of records is told of too: its members count for what follows
    const emitPassedEpochs = (): void => {
        const passed = passedEpochs;
        passedEpochs = [];
        for (const agreed of passed) {
            if (agreed.number < (readState()?.epoch.number ?? absentVersion)) {
                void events.emit("epoch", createMemberEpoch(agreed, readEffectiveAt(effect, agreed.guard)));
            }
        }
    };
    const emitEpoch = (): void => {
        const current = readEpoch();
        if (current !== announced) {
            announced = current;
            void events.emit("epoch", current);
        }
    };
    const applyEffect = (event: EffectEvent): void => {
        const before = effect.effective;
        effect = advanceEffect(effect, event, clock.now(), effectWait);
        const state = readState();
        if (state && effect.effective > before) {
            state.effective = effect.effective;
            state.transitions = state.transitions.filter(transition => transition.offset > effect.effective);
        }
    };
    const recordEffect = (event: EffectEvent): void => {
        applyEffect(event);
        emitEpoch();
    };
    const isLogFresh = (now: Milliseconds): boolean =>
        logConfirmedAt !== undefined && now - logConfirmedAt <= confirmationAgeMilliseconds;
    const readLeaseSource = (now: Milliseconds): OwnershipStatus["leaseSource"] => {
        if (now >= readValidUntil()) {
            return "none";
        }
        return isLogFresh(now) ? "log" : "witnesses";
    };
    const takeState = (state: OwnershipState): void => {
        applyEffect({ kind: "answered", witness: "", epoch: absentVersion, effective: state.effective });
        for (const transition of state.transitions) {
            applyEffect({ kind: "read", transition, self });
        }
        emitPassedEpochs();
        emitEpoch();
        const shards = changedShards;
        changedShards = new Set();
        for (const shard of shards) {
            const { owner } = readShard(state, shard);
            if (owner !== self) {
                givenUp.delete(shard);
                releasing.delete(shard);
            }
            void events.emit("owner", { shard, owner });
        }
    };
    const follower = createStreamFollower({
        ...options,
        model,
        instance: self,
        listPeers: options.listRegionPeers,
        ask: async (peer, message, timeout) => {
            const answer = await options.peers.request(peer, "membership", message, timeout);
            return answer.ok && isStreamMessage(answer.value) ? answer.value : undefined;
        },
        decided: event => {
            event.shards.forEach(shard => changedShards.add(shard));
            if (event.epoch) {
                passedEpochs.push(event.epoch);
            }
        },
        advanced: takeState,
        confirmed: askedAt => {
            lease = renewLease(lease, askedAt);
            logConfirmedAt = Math.max(logConfirmedAt ?? askedAt, askedAt);
        },
    });
    const isWitnessing = (): boolean =>
        isConfirming({ leaving, listedAskedAt: options.readListedAskedAt() }, clock.now());

    const append = async (change: OwnershipChange, signal: AbortSignal): Promise<"stands" | "lost" | "unknown"> => {
        const payload = codec.encode({ kind: "change", change });
        const appended = await limitTime(
            clock,
            appendTimeoutMilliseconds,
            signal,
            inner => log.append(model.stream, payload, inner),
        );
        if (appended?.ok) {
            await waitForOffset(appended.value, signal);
            return "stands";
        }
        await clock.sleep(appendPauseMilliseconds + random.between(0, appendPauseMilliseconds), signal);
        return !appended || appended.error.kind === "unknownOutcome" ? "unknown" : "lost";
    };
    // decisions are based on what was read, so one's own record is read before the next
    const waitForOffset = async (offset: LogOffset, signal: AbortSignal): Promise<void> => {
        const until = clock.now() + appendTimeoutMilliseconds;
        while ((readState()?.appliedOffset ?? offset) < offset && clock.now() < until && !signal.aborted) {
            await clock.sleep(ownRecordMilliseconds, signal);
        }
    };
    const removeFailed = async (state: OwnershipState, signal: AbortSignal): Promise<void> => {
        const failed = options.findFailed(clock.now());
        const members = failed.flatMap(instance => {
            const member = state.members.get(instance);
            return member ? [{ instance, joinedAt: member.joinedAt }] : [];
        });
        if (members.length > 0) {
            await append({ kind: "remove", basedOn: state.appliedOffset, members }, signal);
        }
    };
    const moveShards = async (state: OwnershipState, signal: AbortSignal): Promise<void> => {
        const live = new Set(options.listRegionPeers());
        const members = new Set([...state.members.keys()].filter(member => live.has(member) || member === self));
        const shards = new Set([...options.listShards(), ...extraShards]);
        desired.update(members, shards);
        const given = new Set([...releasing, ...givenUp]);
        const inputs = { self, state, shards, desired, releasing: given, unwantedSince };
        const decision = decideClaims(inputs, clock.now());
        unwantedSince = decision.unwantedSince;
        const base = { basedOn: state.appliedOffset, instance: self };
        if (decision.releases.length > 0) {
            // stops acting first, so that the next owner may act at once
            const fresh = decision.releases.filter(({ shard }) => !givenUp.has(shard));
            fresh.forEach(({ shard }) => givenUp.add(shard));
            const result = await append({ kind: "release", ...base, shards: decision.releases }, signal);
            if (result === "lost") {
                // an earlier record whose answer was lost may still free the others
                fresh.forEach(({ shard }) => givenUp.delete(shard));
            }
        }
        if (decision.claims.length > 0) {
            await append({ kind: "claim", ...base, shards: decision.claims }, signal);
        }
    };
    const updateOwn = async (signal: AbortSignal): Promise<void> => {
        const state = readState();
        if (!state || leaving) {
            return;
        }
        if (!state.members.has(self)) {
            const after = state.departed.get(self) ?? absentVersion;
            const { failureDomain } = options.self;
            const base = { basedOn: state.appliedOffset, instance: self };
            await append({ kind: "join", ...base, failureDomain, after }, signal);
            return;
        }
        await removeFailed(state, signal);
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
        recordEffect({ kind: "answered", witness, epoch, effective });
        if (epoch > (readState()?.epoch.number ?? absentVersion)) {
            await follower.readFromPeer(witness);
        }
        return answer.value;
    };
    const renewByWitnesses = async (state: OwnershipState): Promise<void> => {
        const askedAt = clock.now();
        const { witnesses } = state;
        const { number } = state.epoch;
        const answers: Confirmation[] = [{ witness: self, epoch: number, mayConfirm: isWitnessing() }];
        await Promise.all(
            witnesses.filter(witness => witness !== self).map(async witness => {
                const answer = await requestWitness(witness);
                if (answer) {
                    answers.push({ witness, epoch: answer.epoch, mayConfirm: answer.mayConfirm });
                }
                const unchanged = readState()?.epoch.number === number;
                if (unchanged && hasMajority(witnesses, number, answers)) {
                    lease = renewLease(lease, askedAt);
                }
            }),
        );
        if (witnesses.length === 1 && hasMajority(witnesses, number, answers)) {
            lease = renewLease(lease, askedAt);
        }
    };
    // what a majority has told one witness holds for all of its epoch, so that not everybody has to ask them all
    const renewByOne = async (state: OwnershipState): Promise<boolean> => {
        const askedAt = clock.now();
        const { number } = state.epoch;
        const answer = await requestWitness(random.choose(state.witnesses));
        const isSame = answer?.epoch === number && readState()?.epoch.number === number;
        if (!isSame || answer.leaseAge === undefined || answer.leaseAge > sharedAgeMilliseconds) {
            return false;
        }
        lease = renewLease(lease, askedAt - answer.leaseAge * clockRateMargin);
        return true;
    };
    const renewWithoutLog = async (state: OwnershipState): Promise<void> => {
        const isShared = !state.witnesses.includes(self) && await renewByOne(state);
        if (!isShared) {
            await renewByWitnesses(state);
        }
    };
    const listAwaited = (): readonly InstanceId[] => [
        ...new Set(effect.pending.flatMap(transition =>
            transition.effectiveAt === undefined
                ? transition.witnesses.filter(witness => !transition.acknowledged.has(witness))
                : []
        )),
    ];
    // a few witnesses collect every acknowledgement, the others ask them what came of it
    const settleEpochs = async (state: OwnershipState): Promise<void> => {
        const oldest = effect.pending[0];
        if (!oldest) {
            return;
        }
        recordEffect({ kind: "answered", witness: "", epoch: absentVersion, effective: absentVersion });
        const late = clock.now() - oldest.readAt > pendingLimitMilliseconds;
        const collects = late || state.witnesses.includes(self);
        const start = state.witnesses.length > 0 ? random.between(0, state.witnesses.length - 1) : 0;
        const few = [...state.witnesses.slice(start), ...state.witnesses.slice(0, start)].slice(0, factAsks);
        const asked = collects ? listAwaited() : few;
        await Promise.all(asked.filter(witness => witness !== self).map(requestWitness));
    };
    const runWitnesses = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const state = readState();
            const age = clock.now() - (lease.startedAt ?? -Infinity);
            // others begin their leases where a witness's began, so that one's has to be young
            const isSource = !isLogFresh(clock.now()) && (state?.witnesses.includes(self) ?? false);
            const limit = isSource ? sourceAgeMilliseconds : confirmationAgeMilliseconds;
            if (state?.members.has(self) && !leaving && age > limit) {
                await renewWithoutLog(state);
            }
            else if (state) {
                await settleEpochs(state);
            }
            await clock.sleep(controlInterval, signal);
        }
    };
    const runControl = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(controlInterval, signal);
            if (!signal.aborted) {
                await updateOwn(signal);
            }
        }
    };
    const releaseAll = async (): Promise<void> => {
        // from here on this instance neither acts nor confirms, so its record may free its shards at once
        leaving = true;
        const until = clock.now() + leaveLimitMilliseconds;
        const never = new AbortController().signal;
        for (let state = readState(); state && clock.now() < until; state = readState()) {
            const member = state.members.get(self);
            if (!member) {
                return;
            }
            const base = { basedOn: state.appliedOffset, instance: self };
            const result = await append({ kind: "leave", ...base, joinedAt: member.joinedAt }, never);
            if (result === "stands") {
                return;
            }
        }
    };
    const createWitnessAnswer = (): WitnessAnswer => ({
        kind: "witnessAnswer",
        epoch: readState()?.epoch.number ?? absentVersion,
        effective: effect.effective,
        mayConfirm: isWitnessing(),
        // rounded up, for an older lease ends earlier
        leaseAge: lease.startedAt === undefined ? undefined : Math.ceil(clock.now() - lease.startedAt),
    });
    const findLease = (shard: ShardId, now: Milliseconds): OwnershipLease | undefined => {
        const state = readState();
        const entry = state?.shards.get(shard);
        const validUntil = readValidUntil();
        if (entry?.owner !== self || givenUp.has(shard) || now >= validUntil) {
            return undefined;
        }
        if (now < readEffectiveAt(effect, entry.guard)) {
            return undefined;
        }
        return { shard, owner: self, fencingNumber: entry.version, validUntil };
    };
    return {
        run: async signal => {
            await Promise.all([follower.run(signal), runControl(signal), runWitnesses(signal)]);
        },
        epochs: { read: readEpoch, readValidUntil, subscribe: listener => events.on("epoch", listener) },
        ownership: {
            findOwner: shard => readState()?.shards.get(shard)?.owner,
            findLease,
            subscribe: listener => events.on("owner", ({ shard, owner }) => listener(shard, owner)),
        },
        claim: shard => {
            extraShards.add(shard);
            releasing.delete(shard);
        },
        release: shard => {
            extraShards.delete(shard);
            releasing.add(shard);
        },
        leave: releaseAll,
        recordGone: instance => recordEffect({ kind: "gone", instance }),
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
            pendingEpochs: effect.pending.length,
            leaseLeft: readValidUntil() - now,
            leaseSource: readLeaseSource(now),
            ownedShards: [...readState()?.shards.values() ?? []].filter(entry => entry.owner === self).length,
        }),
        listInvolved: () => [...new Set([...readState()?.members.keys() ?? [], ...listAwaited()])],
    };
}

function isStreamMessage(message: MembershipMessage): message is StreamMessage<OwnershipPart> {
    return message.kind !== "heartbeat" && message.kind !== "witnessRequest" && message.kind !== "witnessAnswer";
}
