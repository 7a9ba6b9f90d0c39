/**
 * Protocol for requests that must run at most once: this instance coordinates the claims of its own requests, and
 * stores replicas of the records of all instances' claims.
 *
 * @packageDocumentation
 */
import type { EpochView, MembershipView } from "../membership/index.js";
import type { PeerNetwork } from "../peers/index.js";
import { type Clock, createLogger, type InstanceId, type Milliseconds, type SeededRandom } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import {
    type AtMostOnceMessage,
    type ClaimResult,
    type ExecutionClaim,
    parseAtMostOnceMessage,
} from "./atMostOnceMessages.js";
import { isSettledNotRun, mergeClaims } from "./executionClaims.js";
import { type ClaimRoundResult, createGrantTally } from "./grantTally.js";
import { createRecordReplica, type Handover, type RecordReplicaStatus } from "./recordReplica.js";
import { chooseReplicaGroup, countReadQuorum, countWriteQuorum, findPartition } from "./replicaGroups.js";

/** Dependencies and settings of the protocol. */
export interface AtMostOnceProtocolOptions {
    readonly self: InstanceId;
    readonly peers: PeerNetwork;
    readonly epochs: EpochView;
    readonly membership: MembershipView;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Milliseconds after which a record expires. @default 15 minutes */
    readonly recordLifetime?: Milliseconds;
}

/** Claim that won a majority of grants: its request is the only one that may run under the key. */
export interface WonClaim {
    /** Must be checked right before the request is sent; false once the record might expire before it is settled. */
    readonly mayDispatch: (now: Milliseconds) => boolean;
    /** Sends the result to the replicas; must be called exactly once. */
    readonly settle: (result: ClaimResult) => void;
}

/** Outcome of an attempt to claim a key. */
export type ClaimOutcome =
    | { readonly kind: "won"; readonly claim: WonClaim; }
    /** Another request with the key has ended; its result is returned to the caller. */
    | { readonly kind: "replay"; readonly result: ClaimResult; }
    /** The key was used with a request that has a different fingerprint. */
    | { readonly kind: "mismatch"; }
    /** The key could not be claimed in time; nothing has run for this call. */
    | { readonly kind: "unavailable"; }
    /** Another request with the key may have run; its result is not known before the deadline or can't be found. */
    | { readonly kind: "unknown"; };

/** Protocol that lets at most one request run under an idempotency key. */
export interface AtMostOnceProtocol {
    /** Claims a key; if another request has it, waits for the result of that request until the deadline. */
    readonly claim: (
        key: string,
        fingerprint: string,
        deadline: Milliseconds,
        signal: AbortSignal,
    ) => Promise<ClaimOutcome>;
    /** Expires records and sends handovers periodically until the signal is aborted. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly readStatus: () => AtMostOnceStatus;
    /** Whether results or records still have to reach other replicas. */
    readonly hasPendingWork: () => boolean;
}

/** Counts of the protocol for the status page. */
export interface AtMostOnceStatus extends RecordReplicaStatus {
    readonly pendingSettlements: number;
    readonly malformedMessages: number;
}

/** Default time after which a record expires. */
export const defaultRecordLifetimeMilliseconds = 15 * 60 * 1_000;
const responseTimeoutMilliseconds = 250;
const claimTimeLimitMilliseconds = 2_000;
const initialRetryDelayMilliseconds = 20;
const maximumRetryDelayMilliseconds = 500;
const workIntervalMilliseconds = 200;
const expiryIntervalMilliseconds = 2_000;
const settlementTimeLimitMilliseconds = 30_000;
const handoverRecordsPerMessage = 200;
const debug = createLogger("outcomes");

interface LocalClaim {
    readonly claim: ExecutionClaim;
    readonly expiresAt: Milliseconds;
}

/**
 * Creates the protocol of one instance, and registers it as the handler of its peer messages.
 *
 * @param options - dependencies and settings
 * @returns the protocol; the caller must call `run` for its periodic work
 */
export function createAtMostOnceProtocol(options: AtMostOnceProtocolOptions): AtMostOnceProtocol {
    const { self, peers, epochs, clock, random } = options;
    const recordLifetime = options.recordLifetime ?? defaultRecordLifetimeMilliseconds;
    const replica = createRecordReplica(self, recordLifetime);
    const localClaims = new Map<string, readonly LocalClaim[]>();
    let claimCount = 0;
    let pendingSettlements = 0;
    let malformedMessages = 0;
    let isHandingOver = false;
    let nextExpiryAt = 0;

    const handleMessage = (from: InstanceId, message: AtMostOnceMessage): AtMostOnceMessage | undefined => {
        switch (message.kind) {
            case "claim":
                return replica.acceptClaim(message, clock.now(), epochs.readValidUntil());
            case "settle":
                return replica.acceptSettlement(message, clock.now());
            case "inquire":
                return { kind: "held", claims: [...findKnownClaims(message.key)] };
            case "handover":
                return replica.acceptHandover(from, message, clock.now());
            case "granted":
            case "held":
            case "stored":
            case "notReady":
                // these kinds are valid only as responses to a request
                return undefined;
        }
    };
    const findKnownClaims = (key: string): readonly ExecutionClaim[] => {
        const own = localClaims.get(key) ?? [];
        return mergeClaims(replica.findClaims(key, clock.now()), own.map(entry => entry.claim));
    };
    const sendRequest = async (
        to: InstanceId,
        message: AtMostOnceMessage,
    ): Promise<AtMostOnceMessage | undefined> => {
        if (to === self) {
            return handleMessage(self, message);
        }
        const answer = await peers.request(to, "outcomes", message, responseTimeoutMilliseconds);
        return answer.ok ? parseAtMostOnceMessage(answer.value) : undefined;
    };
    const readReplicaGroup = (key: string): { readonly epoch: number; readonly group: readonly InstanceId[]; } => {
        const epoch = epochs.read();
        return { epoch: epoch.number, group: epoch.number < 0 ? [] : chooseReplicaGroup(findPartition(key), epoch) };
    };

    const claimKey = async (
        key: string,
        fingerprint: string,
        deadline: Milliseconds,
        signal: AbortSignal,
    ): Promise<ClaimOutcome> => {
        const claimUntil = Math.min(deadline, clock.now() + claimTimeLimitMilliseconds);
        while (clock.now() < deadline && !signal.aborted) {
            const own = createClaim(key, fingerprint);
            const attempt = await tryClaim(key, own, claimUntil, signal);
            if (attempt.kind === "won") {
                return { kind: "won", claim: createWonClaim(key, own) };
            }
            settleClaim(key, own, createLostClaimResult());
            if (attempt.kind === "undecided") {
                return { kind: "unavailable" };
            }
            const competingOutcome = await waitForCompetingClaims(key, fingerprint, attempt.claims, deadline, signal);
            if (competingOutcome) {
                return competingOutcome;
            }
        }
        return { kind: "unavailable" };
    };
    const createClaim = (key: string, fingerprint: string): ExecutionClaim => {
        const claim = { claimId: `${self}/${claimCount++}`, coordinator: self, fingerprint };
        storeLocalClaim(key, claim);
        return claim;
    };
    const storeLocalClaim = (key: string, claim: ExecutionClaim): void => {
        const others = (localClaims.get(key) ?? []).filter(entry => entry.claim.claimId !== claim.claimId);
        localClaims.set(key, [...others, { claim, expiresAt: clock.now() + recordLifetime }]);
    };
    const tryClaim = async (
        key: string,
        claim: ExecutionClaim,
        until: Milliseconds,
        signal: AbortSignal,
    ): Promise<ClaimRoundResult> => {
        for (let attempt = 0;; attempt++) {
            const round = await requestGrants(key, claim);
            const mustYield = round.kind === "held" &&
                (round.isLost || round.claims.some(other => hasPriorityOver(other, claim)));
            if (round.kind === "won" || mustYield) {
                return round;
            }
            const wait = computeRetryDelay(attempt);
            if (signal.aborted || clock.now() + wait >= until) {
                return round.kind === "held" ? round : { kind: "undecided" };
            }
            await clock.sleep(wait, signal);
        }
    };
    const computeRetryDelay = (attempt: number): Milliseconds =>
        Math.min(maximumRetryDelayMilliseconds, initialRetryDelayMilliseconds * 2 ** attempt) *
        (0.5 + random.next() / 2);
    const requestGrants = (key: string, claim: ExecutionClaim): Promise<ClaimRoundResult> => {
        const { epoch, group } = readReplicaGroup(key);
        if (group.length === 0) {
            return Promise.resolve({ kind: "undecided" });
        }
        const message: AtMostOnceMessage = { kind: "claim", key, epoch, claim };
        return new Promise(resolve => {
            const tally = createGrantTally(group.length);
            for (const member of group) {
                const addAnswer = (answer: Awaited<ReturnType<typeof sendRequest>>): void => {
                    const round = tally.add(answer);
                    if (round) {
                        resolve(round);
                    }
                };
                startTask(
                    "claim of a request",
                    async () => addAnswer(await sendRequest(member, message)),
                    () => addAnswer(undefined),
                );
            }
        });
    };
    const createWonClaim = (key: string, claim: ExecutionClaim): WonClaim => {
        const wonAt = clock.now();
        return {
            // half the lifetime, so that the result is stored before the replicas may expire the claim
            mayDispatch: now => now - wonAt < recordLifetime / 2,
            settle: result => settleClaim(key, claim, result),
        };
    };
    const settleClaim = (key: string, claim: ExecutionClaim, result: ClaimResult): void => {
        const settled = { ...claim, result };
        storeLocalClaim(key, settled);
        startTask("settlement of a claim", () => sendSettlement(key, settled));
    };
    const sendSettlement = async (key: string, claim: ExecutionClaim): Promise<void> => {
        pendingSettlements++;
        const until = clock.now() + settlementTimeLimitMilliseconds;
        for (let attempt = 0; clock.now() < until; attempt++) {
            const { epoch, group } = readReplicaGroup(key);
            const message: AtMostOnceMessage = { kind: "settle", key, epoch, claim };
            const answers = await Promise.all(group.map(member => sendRequest(member, message)));
            const stored = answers.filter(answer => answer?.kind === "stored").length;
            if (stored >= countWriteQuorum(group.length)) {
                break;
            }
            await clock.sleep(computeRetryDelay(attempt));
        }
        pendingSettlements--;
    };

    // resolves to undefined when all competing claims ended without running, so that the key can be claimed again
    const waitForCompetingClaims = async (
        key: string,
        fingerprint: string,
        competingClaims: readonly ExecutionClaim[],
        deadline: Milliseconds,
        signal: AbortSignal,
    ): Promise<ClaimOutcome | undefined> => {
        let claims = competingClaims;
        for (let attempt = 0; !signal.aborted; attempt++) {
            if (claims.some(claim => claim.fingerprint !== fingerprint)) {
                return { kind: "mismatch" };
            }
            const settled = claims.find(claim => claim.result !== undefined && !isSettledNotRun(claim));
            if (settled?.result) {
                return { kind: "replay", result: settled.result };
            }
            if (claims.every(isSettledNotRun)) {
                await clock.sleep(computeRetryDelay(0), signal);
                return undefined;
            }
            const wait = computeRetryDelay(attempt);
            if (clock.now() + wait >= deadline) {
                return { kind: "unknown" };
            }
            await clock.sleep(wait, signal);
            const collected = await collectClaimResults(key, claims);
            if (collected.isUnresolvable) {
                return { kind: "unknown" };
            }
            claims = collected.claims;
        }
        return { kind: "unknown" };
    };
    const collectClaimResults = async (
        key: string,
        claims: readonly ExecutionClaim[],
    ): Promise<{ readonly claims: readonly ExecutionClaim[]; readonly isUnresolvable: boolean; }> => {
        const { group } = readReplicaGroup(key);
        const open = claims.filter(claim => claim.result === undefined);
        const coordinators = [...new Set(open.map(claim => claim.coordinator))];
        const asked = [...new Set([...group, ...coordinators])];
        const answers = await Promise.all(asked.map(member => sendRequest(member, { kind: "inquire", key })));
        const answered = answers.filter(answer => answer?.kind === "held").length;
        const found = answers.flatMap(answer => answer?.kind === "held" ? answer.claims : []);
        const updated = claims.map(claim =>
            found.find(other => other.claimId === claim.claimId && other.result) ?? claim
        );
        // a coordinator may know a result that has not reached the replicas, so it is sent to them from here too
        const ended = updated.filter((claim, index) => claim.result && !claims[index]!.result);
        for (const claim of ended) {
            startTask("settlement of a claim", () => sendSettlement(key, claim));
        }
        // a result that only departed coordinators knew can't be learned any more
        const gone = coordinators.filter(coordinator => !isKnownInstance(coordinator));
        const isUnresolvable = gone.length > 0 && gone.length === coordinators.length
            && updated.every(claim => claim.result === undefined) && answered >= countReadQuorum(group.length);
        return { claims: updated, isUnresolvable };
    };
    const isKnownInstance = (instance: InstanceId): boolean =>
        instance === self || epochs.read().members.includes(instance)
        || options.membership.read().instances.some(listed => listed.id === instance);

    const runPeriodicWork = async (): Promise<void> => {
        const now = clock.now();
        if (now >= nextExpiryAt) {
            nextExpiryAt = now + expiryIntervalMilliseconds;
            expireRecords(now);
        }
        if (!isHandingOver) {
            isHandingOver = true;
            await sendAllHandovers().finally(() => isHandingOver = false);
        }
    };
    const expireRecords = (now: Milliseconds): void => {
        replica.expire(now);
        for (const [key, own] of localClaims) {
            if (own.every(entry => entry.expiresAt <= now)) {
                localClaims.delete(key);
            }
        }
    };
    const sendAllHandovers = async (): Promise<void> => {
        const byTarget = groupByTarget(replica.listHandovers(clock.now()));
        await Promise.all([...byTarget.values()].map(sendHandovers));
    };
    const sendHandovers = async (handovers: readonly Handover[]): Promise<void> => {
        for (const handover of handovers) {
            if (!await sendHandover(handover)) {
                return;
            }
            replica.finishHandover(handover);
        }
    };
    const sendHandover = async (handover: Handover): Promise<boolean> => {
        const { partition, epoch, to } = handover;
        const previousGroup = [...handover.previousGroup];
        for (let start = 0; start === 0 || start < handover.records.length; start += handoverRecordsPerMessage) {
            const end = start + handoverRecordsPerMessage;
            const answer = await sendRequest(to, {
                kind: "handover",
                partition,
                epoch,
                previousGroup,
                records: handover.records.slice(start, end),
                isLast: end >= handover.records.length,
            });
            if (answer?.kind !== "stored") {
                return false;
            }
        }
        return true;
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await runPeriodicWork();
            await clock.sleep(workIntervalMilliseconds, signal);
        }
    };

    peers.handle("outcomes", (from, message) => {
        const parsed = parseAtMostOnceMessage(message);
        if (!parsed) {
            malformedMessages++;
            debug.warn("malformed message", { from });
            return undefined;
        }
        return handleMessage(from, parsed);
    });
    replica.acceptEpoch(epochs.read(), clock.now());
    epochs.subscribe(epoch => {
        replica.acceptEpoch(epoch, clock.now());
        startTask("upkeep of claims", runPeriodicWork);
    });
    return {
        claim: claimKey,
        run,
        readStatus: () => ({ ...replica.readStatus(), pendingSettlements, malformedMessages }),
        hasPendingWork: () => pendingSettlements > 0 || replica.readStatus().pendingHandovers > 0,
    };
}

function createLostClaimResult(): ClaimResult {
    const message = "the claim on the Idempotency-Key did not win a majority of its replicas";
    return { outcome: { kind: "notRun", reason: "recordUnavailable", message, retryAfter: undefined } };
}

// the lower claim id has priority, so that competing claims without a majority agree on which of them gives up
function hasPriorityOver(other: ExecutionClaim, own: ExecutionClaim): boolean {
    return other.result === undefined && other.claimId < own.claimId;
}

function groupByTarget(handovers: readonly Handover[]): ReadonlyMap<InstanceId, readonly Handover[]> {
    const grouped = new Map<InstanceId, Handover[]>();
    for (const handover of handovers) {
        const list = grouped.get(handover.to) ?? [];
        list.push(handover);
        grouped.set(handover.to, list);
    }
    return grouped;
}
