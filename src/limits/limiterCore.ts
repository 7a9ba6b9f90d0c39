/**
 * State machine of one instance's limits. It takes events together with the present time and returns effects; it
 * performs no I/O and reads no clock.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { type BucketSet, createBucketSet } from "./bucketSet.js";
import { createDrawClient, type DrawAnswer, type DrawRequest } from "./drawClient.js";
import type { LimitEffect } from "./effects.js";
import type { LimitTimes } from "./limitTimes.js";
import type { LocalBucket, ResourceLimits } from "./localBucket.js";
import type { ExchangeNumber, LimitsMessage, ResourceId } from "./messages.js";
import { createPoolCoordinator } from "./poolCoordinator.js";

/** Options of the limiter core. */
export interface LimiterCoreOptions {
    readonly self: InstanceId;
    readonly times: LimitTimes;
    /**
     * Number from which draws and loans are counted. Must differ between restarts of an instance, so that late messages
     * of an earlier run are not taken for answers.
     */
    readonly firstExchangeNumber: ExchangeNumber;
}

/**
 * State machine of one instance's limits. Each time the clock has advanced, `updateMembership` must be called before
 * any other method, and `takeEffects` after.
 */
export interface LimiterCore {
    readonly setLimits: (limits: ReadonlyMap<ResourceId, ResourceLimits>, now: Milliseconds) => void;
    /** Applies the current epoch and lease. */
    readonly updateMembership: (epoch: MemberEpoch, validUntil: Milliseconds, now: Milliseconds) => void;
    /** Requests units. The result follows as a grant or refuse effect. */
    readonly draw: (request: DrawRequest, now: Milliseconds) => ExchangeNumber;
    /** Cancels a draw that has neither been granted nor refused; no effect follows for it. */
    readonly cancel: (draw: ExchangeNumber) => void;
    /** Ends the use of drawn units and returns the `unspent` ones. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    /** Confirms at the moment of use that drawn units are being used, and how many of them may be returned. */
    readonly confirmUse: BucketSet["confirmUse"];
    /** Charges units that were spent beyond a reservation to this instance's local bucket. */
    readonly addOverrun: BucketSet["addOverrun"];
    readonly handleMessage: (from: InstanceId, message: LimitsMessage, now: Milliseconds) => void;
    /** Handles all deadlines that have been reached. */
    readonly advance: (now: Milliseconds) => void;
    /** Returns the effects since the last call and forgets them. */
    readonly takeEffects: () => readonly LimitEffect[];
    /** Monotonic time at which `advance` must next be called; `Infinity` if nothing is pending. */
    readonly readNextDeadline: () => Milliseconds;
    /** Whether this instance may spend units of its own local buckets. */
    readonly hasUsableShare: (now: Milliseconds) => boolean;
    readonly findLimits: (resource: ResourceId) => ResourceLimits | undefined;
    readonly readBucket: (resource: ResourceId, now: Milliseconds) => LocalBucket | undefined;
    /** Number of draws queued at this instance as coordinator. */
    readonly countWaiting: (resource: ResourceId) => number;
    /** Members that recently failed to answer a draw as coordinator. */
    readonly listSilentMembers: (now: Milliseconds) => readonly InstanceId[];
}

/**
 * Creates the limiter core of one instance, without limits and without an epoch.
 *
 * @param options - identity, durations and first number of an exchange
 * @returns the limiter core
 */
export function createLimiterCore(options: LimiterCoreOptions): LimiterCore {
    const { self, times } = options;
    let effects: LimitEffect[] = [];
    let lastExchangeNumber = options.firstExchangeNumber;
    const emit = (effect: LimitEffect): void => {
        effects.push(effect);
    };
    const createExchangeNumber = (): ExchangeNumber => ++lastExchangeNumber;
    const buckets = createBucketSet(self, times);

    const sendAnswer = (to: InstanceId, draw: ExchangeNumber, message: DrawAnswer, now: Milliseconds): void => {
        if (to === self) {
            drawClient.handleAnswer(self, draw, message, now);
            return;
        }
        emit({ kind: "send", to, message: convertToMessage(draw, message) });
    };
    const poolCoordinator = createPoolCoordinator({
        self,
        times,
        buckets,
        emit,
        answer: sendAnswer,
        createExchangeNumber,
    });
    const drawClient = createDrawClient({
        self,
        times,
        buckets,
        emit,
        drawFromOwnPool: (request, draw, now) => poolCoordinator.receiveDraw(self, draw, request, now),
        cancelInOwnPool: draw => poolCoordinator.cancelDraw(self, draw),
        releaseInOwnPool: (draw, unspent, now) => poolCoordinator.releaseDraw(self, draw, unspent, now),
    });
    const advance = (now: Milliseconds): void => {
        drawClient.advance(now);
        poolCoordinator.advance(now);
    };
    const handleMessage = (from: InstanceId, message: LimitsMessage, now: Milliseconds): void => {
        switch (message.kind) {
            case "draw": {
                const waitUntil = now + message.wait;
                poolCoordinator.receiveDraw(from, message.draw, { ...message, waitUntil }, now);
                return;
            }
            case "cancelled":
                poolCoordinator.cancelDraw(from, message.draw);
                return;
            case "released":
                poolCoordinator.releaseDraw(from, message.draw, message.unspent, now);
                return;
            case "granted":
            case "queued":
                drawClient.handleAnswer(from, message.draw, message, now);
                return;
            case "refused": {
                const cause = message.partial ? "partial" : "overLimit";
                drawClient.handleAnswer(from, message.draw, { ...message, cause }, now);
                return;
            }
            case "borrow": {
                const lent = buckets.lend(message.resource, from, message, now);
                if (lent) {
                    emit({ kind: "send", to: from, message: { kind: "lent", loan: message.loan, ...lent } });
                }
                return;
            }
            case "lent":
                poolCoordinator.receiveLoan(from, message.loan, message, now);
                return;
            case "returned":
                buckets.takeBack(message.resource, from, message.loan, message.amount, now);
                return;
            case "served":
                // the limits task passes these counters to fair queueing
                return;
        }
    };

    return {
        setLimits: buckets.setLimits,
        updateMembership: (epoch, validUntil, now) => {
            const isNew = buckets.readEpoch()?.number !== epoch.number;
            buckets.updateMembership(epoch, validUntil, now);
            if (isNew) {
                drawClient.forgetCoordinators();
            }
        },
        draw: (request, now) => {
            const draw = createExchangeNumber();
            drawClient.draw(request, draw, now);
            return draw;
        },
        cancel: drawClient.cancel,
        release: (resource, draw, unspent, now) => {
            drawClient.release(resource, draw, unspent, now);
            poolCoordinator.handleLocalReturn(resource, now);
        },
        confirmUse: buckets.confirmUse,
        addOverrun: buckets.addOverrun,
        handleMessage,
        advance,
        takeEffects: () => {
            const taken = effects;
            effects = [];
            return taken;
        },
        readNextDeadline: () =>
            Math.min(
                drawClient.readNextDeadline(),
                poolCoordinator.readNextDeadline(),
                buckets.readNextShareChangeAt() ?? Infinity,
            ),
        hasUsableShare: buckets.hasUsableShare,
        findLimits: buckets.findLimits,
        readBucket: buckets.readBucket,
        countWaiting: poolCoordinator.countWaiting,
        listSilentMembers: drawClient.listSilentMembers,
    };
}

function convertToMessage(draw: ExchangeNumber, answer: DrawAnswer): LimitsMessage {
    switch (answer.kind) {
        case "granted":
            return { kind: "granted", draw, validFor: answer.validFor };
        case "queued":
            return { kind: "queued", draw };
        case "refused":
            return { kind: "refused", draw, retryAfter: answer.retryAfter, partial: answer.cause !== "overLimit" };
    }
}
