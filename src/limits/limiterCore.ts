/**
 * The deciding part of the limits: takes events and the present time, and answers with effects.
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

/** Settings of the deciding part. */
export interface LimiterCoreOptions {
    readonly self: InstanceId;
    readonly times: LimitTimes;
    /** First number of an exchange; differs between lives of an instance. */
    readonly firstExchangeNumber: ExchangeNumber;
}

/** The deciding part; `observe` is called before the others at each moment, `takeEffects` after. */
export interface LimiterCore {
    readonly setLimits: (limits: ReadonlyMap<ResourceId, ResourceLimits>, now: Milliseconds) => void;
    /** Takes note of the epoch and the lease as they stand. */
    readonly updateMembership: (epoch: MemberEpoch, validUntil: Milliseconds, now: Milliseconds) => void;
    /** Asks for units; a grant or a refusal follows as an effect. */
    readonly draw: (request: DrawRequest, now: Milliseconds) => ExchangeNumber;
    readonly cancel: (draw: ExchangeNumber) => void;
    /** Ends the use of drawn units; the unspent ones come back. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    readonly confirmUse: BucketSet["confirmUse"];
    readonly addOverrun: BucketSet["addOverrun"];
    readonly handleMessage: (from: InstanceId, message: LimitsMessage, now: Milliseconds) => void;
    /** Does what is due by now. */
    readonly advance: (now: Milliseconds) => void;
    readonly takeEffects: () => readonly LimitEffect[];
    /** Time at which `advance` has something to do. */
    readonly readNextDeadline: () => Milliseconds;
    readonly hasUsableShare: (now: Milliseconds) => boolean;
    readonly findLimits: (resource: ResourceId) => ResourceLimits | undefined;
    readonly readBucket: (resource: ResourceId, now: Milliseconds) => LocalBucket | undefined;
    readonly countWaiting: (resource: ResourceId) => number;
    readonly listSilentMembers: (now: Milliseconds) => readonly InstanceId[];
}

/**
 * Creates the deciding part of one instance, without limits and without an epoch.
 *
 * @param options - its settings
 * @returns the deciding part
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
        buckets: buckets,
        emit,
        answer: sendAnswer,
        createExchangeNumber: createExchangeNumber,
    });
    const drawClient = createDrawClient({
        self,
        times,
        buckets: buckets,
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
        handleMessage: handleMessage,
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
