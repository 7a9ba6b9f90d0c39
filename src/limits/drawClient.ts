/**
 * The asking side: spends of the own slice, or draws from the pooling instance, and from its own pool when that is silent.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, rankByRendezvous } from "../shared/index.js";
import type { BucketSet } from "./bucketSet.js";
import type { DrawRefusalCause, EffectSink } from "./effects.js";
import { computeValidUntil, type LimitTimes } from "./limitTimes.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";

/** Asks for units. */
export interface DrawRequest {
    readonly resource: ResourceId;
    readonly amount: number;
    /** How many of them may come back after their use. */
    readonly mayReturn: number;
    readonly priority: number;
    readonly waitUntil: Milliseconds;
}

interface OpenDraw extends DrawRequest {
    readonly draw: ExchangeNumber;
    readonly coordinator: InstanceId;
    readonly sentAt: Milliseconds;
    /** Time at which the pooling instance is given up. */
    timeoutAt: Milliseconds;
}

/** What a peer answered to a draw. */
export type DrawAnswer =
    | { readonly kind: "granted"; readonly validFor: Milliseconds; }
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; readonly cause: DrawRefusalCause; }
    | { readonly kind: "queued"; };

/** Draws of this instance. */
export interface DrawClient {
    readonly draw: (request: DrawRequest, number: ExchangeNumber, now: Milliseconds) => void;
    readonly cancel: (draw: ExchangeNumber) => void;
    /** Ends the use of drawn units; the unspent ones come back. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    readonly handleAnswer: (from: InstanceId, draw: ExchangeNumber, answer: DrawAnswer, now: Milliseconds) => void;
    readonly advance: (now: Milliseconds) => void;
    readonly forgetCoordinators: () => void;
    readonly readNextDeadline: () => Milliseconds;
    readonly listSilentMembers: (now: Milliseconds) => readonly InstanceId[];
}

/** What the desk needs. */
export interface DrawClientOptions {
    readonly self: InstanceId;
    readonly times: LimitTimes;
    readonly buckets: BucketSet;
    readonly emit: EffectSink;
    /** Puts a draw into this instance's own pool; its answer comes by `handleAnswer`. */
    readonly drawFromOwnPool: (request: DrawRequest, draw: ExchangeNumber, now: Milliseconds) => void;
    readonly cancelInOwnPool: (draw: ExchangeNumber) => void;
    readonly releaseInOwnPool: (draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
}

const coordinatorCandidateCount = 3;

/**
 * Creates the desk.
 *
 * @param options - its surroundings
 * @returns a desk without draws
 */
export function createDrawClient(options: DrawClientOptions): DrawClient {
    const { self, times, buckets: buckets, emit } = options;
    const open = new Map<ExchangeNumber, OpenDraw>();
    const candidatesByResource = new Map<ResourceId, readonly InstanceId[]>();
    const silentUntil = new Map<InstanceId, Milliseconds>();
    /** Who granted units that are still in use. */
    const granterByDraw = new Map<ExchangeNumber, InstanceId>();

    const findCoordinator = (resource: ResourceId, now: Milliseconds): InstanceId => {
        let candidates = candidatesByResource.get(resource);
        if (!candidates) {
            candidates = rankByRendezvous(resource, buckets.readEpoch()?.members ?? [self], coordinatorCandidateCount);
            candidatesByResource.set(resource, candidates);
        }
        return candidates.find(member => member === self || (silentUntil.get(member) ?? 0) <= now) ?? self;
    };
    const openDraw = (request: DrawRequest, draw: ExchangeNumber, coordinator: InstanceId, now: Milliseconds): void => {
        const isSelf = coordinator === self;
        const timeoutAt = isSelf ? Infinity : now + times.drawTimeout;
        open.set(draw, { ...request, draw, coordinator: coordinator, sentAt: now, timeoutAt: timeoutAt });
        if (isSelf) {
            options.drawFromOwnPool(request, draw, now);
            return;
        }
        const wait = Math.max(0, request.waitUntil - now);
        const { resource, amount, mayReturn, priority } = request;
        emit({
            kind: "send",
            to: coordinator,
            message: { kind: "draw", draw, resource, amount, mayReturn, priority, wait },
        });
    };
    const retryInOwnPool = (entry: OpenDraw, now: Milliseconds): void => {
        silentUntil.set(entry.coordinator, now + times.silentMemberBackoff);
        open.delete(entry.draw);
        const waitUntil = Math.max(entry.waitUntil, now + times.borrowTimeout);
        openDraw({ ...entry, waitUntil }, entry.draw, self, now);
    };
    const acceptGrant = (entry: OpenDraw, validFor: Milliseconds, now: Milliseconds): void => {
        const validUntil = computeValidUntil(entry.sentAt, validFor, times.clockDrift);
        if (now >= validUntil) {
            // the tokens are lost; there may be others
            open.delete(entry.draw);
            openDraw(entry, entry.draw, self, now);
            return;
        }
        open.delete(entry.draw);
        if (buckets.findLimits(entry.resource)?.kind !== "consumed") {
            granterByDraw.set(entry.draw, entry.coordinator);
        }
        emit({ kind: "grant", draw: entry.draw, validUntil, source: "pool" });
    };

    return {
        draw: (request, draw, now) => {
            const validUntil = buckets.spend(request.resource, draw, request.amount, now);
            if (validUntil !== undefined) {
                emit({ kind: "grant", draw, validUntil, source: "slice" });
                return;
            }
            openDraw(request, draw, findCoordinator(request.resource, now), now);
        },
        cancel: draw => {
            const entry = open.get(draw);
            open.delete(draw);
            if (entry?.coordinator === self) {
                options.cancelInOwnPool(draw);
            }
            else if (entry) {
                emit({ kind: "send", to: entry.coordinator, message: { kind: "cancelled", draw } });
            }
        },
        release: (resource, draw, unspent, now) => {
            const granter = granterByDraw.get(draw);
            granterByDraw.delete(draw);
            if (granter === undefined) {
                buckets.release(resource, draw, unspent, now);
            }
            else if (granter === self) {
                options.releaseInOwnPool(draw, unspent, now);
            }
            else {
                emit({ kind: "send", to: granter, message: { kind: "released", draw, unspent } });
            }
        },
        handleAnswer: (from, draw, answer, now) => {
            const entry = open.get(draw);
            if (!entry || entry.coordinator !== from) {
                // a doubled answer must not free what the first one gave
                if (answer.kind === "granted" && from !== self && granterByDraw.get(draw) !== from) {
                    emit({ kind: "send", to: from, message: { kind: "released", draw, unspent: Infinity } });
                }
                return;
            }
            silentUntil.delete(from);
            switch (answer.kind) {
                case "granted":
                    acceptGrant(entry, answer.validFor, now);
                    return;
                case "refused":
                    open.delete(draw);
                    emit({ kind: "refuse", draw, retryAfter: answer.retryAfter, cause: answer.cause });
                    return;
                case "queued":
                    entry.timeoutAt = entry.waitUntil + times.drawTimeout;
                    return;
            }
        },
        advance: now => {
            for (const entry of open.values()) {
                if (entry.timeoutAt <= now) {
                    retryInOwnPool(entry, now);
                }
            }
        },
        forgetCoordinators: () => candidatesByResource.clear(),
        readNextDeadline: () => Math.min(Infinity, ...[...open.values()].map(entry => entry.timeoutAt)),
        listSilentMembers: now => [...silentUntil].filter(([, until]) => until > now).map(([member]) => member),
    };
}
