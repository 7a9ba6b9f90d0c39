/**
 * Draws that this instance makes. Each is served from the local bucket if possible, otherwise by the resource's
 * coordinator, and by this instance's own pool if the coordinator does not answer.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, rankByRendezvous } from "../shared/index.js";
import type { BucketSet } from "./bucketSet.js";
import type { DrawRefusalCause, EffectSink } from "./effects.js";
import { computeValidUntil, type LimitTimes } from "./limitTimes.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";

/** Request for units of a resource. */
export interface DrawRequest {
    readonly resource: ResourceId;
    readonly amount: number;
    /** Largest number of the units that may be returned after use. */
    readonly mayReturn: number;
    /** Draws with a lower number are served first. */
    readonly priority: number;
    /** Monotonic time after which the draw is refused. */
    readonly waitUntil: Milliseconds;
}

interface OpenDraw extends DrawRequest {
    readonly draw: ExchangeNumber;
    readonly coordinator: InstanceId;
    readonly sentAt: Milliseconds;
    /** Monotonic time at which the coordinator counts as silent and this instance's own pool is used instead. */
    timeoutAt: Milliseconds;
}

/** Answer of a coordinator to a draw. */
export type DrawAnswer =
    | { readonly kind: "granted"; readonly validFor: Milliseconds; }
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; readonly cause: DrawRefusalCause; }
    | { readonly kind: "queued"; };

/** Makes draws and releases their units. */
export interface DrawClient {
    readonly draw: (request: DrawRequest, number: ExchangeNumber, now: Milliseconds) => void;
    readonly cancel: (draw: ExchangeNumber) => void;
    /** Ends the use of drawn units and returns the `unspent` ones. */
    readonly release: (resource: ResourceId, draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
    readonly handleAnswer: (from: InstanceId, draw: ExchangeNumber, answer: DrawAnswer, now: Milliseconds) => void;
    readonly advance: (now: Milliseconds) => void;
    /** Discards the cached coordinator candidates; called when the members have changed. */
    readonly forgetCoordinators: () => void;
    /** Monotonic time at which `advance` must next be called; `Infinity` if no draw is open. */
    readonly readNextDeadline: () => Milliseconds;
    /** Members that recently failed to answer a draw as coordinator. */
    readonly listSilentMembers: (now: Milliseconds) => readonly InstanceId[];
}

/** Dependencies of the draw client. */
export interface DrawClientOptions {
    readonly self: InstanceId;
    readonly times: LimitTimes;
    readonly buckets: BucketSet;
    readonly emit: EffectSink;
    /** Queues a draw in this instance's own pool, which answers through `handleAnswer`. */
    readonly drawFromOwnPool: (request: DrawRequest, draw: ExchangeNumber, now: Milliseconds) => void;
    readonly cancelInOwnPool: (draw: ExchangeNumber) => void;
    readonly releaseInOwnPool: (draw: ExchangeNumber, unspent: number, now: Milliseconds) => void;
}

const coordinatorCandidateCount = 3;

/**
 * Creates a client without open draws.
 *
 * @param options - dependencies
 * @returns the client; its owner must call `advance` when the next deadline is reached
 */
export function createDrawClient(options: DrawClientOptions): DrawClient {
    const { self, times, buckets, emit } = options;
    const open = new Map<ExchangeNumber, OpenDraw>();
    const candidatesByResource = new Map<ResourceId, readonly InstanceId[]>();
    const silentUntil = new Map<InstanceId, Milliseconds>();
    // coordinators whose granted units may still be in use; without `consumed` units, which are never returned
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
        open.set(draw, { ...request, draw, coordinator, sentAt: now, timeoutAt });
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
            // the grant expired on its way and its units are lost; this instance's own pool may have others
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
                // a grant without an open draw is released, but not a duplicate of one whose units are in use
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
