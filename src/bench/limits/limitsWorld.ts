/**
 * Many instances' deciding parts in one seeded history, with drifting clocks and the contract of membership.
 *
 * @packageDocumentation
 */
import { Packr } from "msgpackr";
import {
    createLimiterCore,
    defaultLimitTimes,
    type DrawRefusalCause,
    type LimiterCore,
    type LimitsMessage,
    type LimitTimes,
    type ResourceId,
    type ResourceLimits,
} from "../../limits/index.js";
import type { MemberEpoch } from "../../membership/index.js";
import type { InstanceId, Milliseconds } from "../../shared/index.js";
import { createHistory, type History, type HistoryOptions } from "../../testing/index.js";
import { createLeaseAuthority, type LeaseAuthority, renewalIntervalMilliseconds } from "./leases.js";

/** How a draw ended; times are true time. */
export type DrawEnd =
    | { readonly kind: "granted"; readonly at: Milliseconds; readonly release: (unspent: number) => void; }
    | {
        readonly kind: "refused";
        readonly at: Milliseconds;
        readonly retryAfter: Milliseconds;
        readonly cause: DrawRefusalCause | "late" | "crashed";
    };

/** Settings of a world. */
export interface LimitsWorldOptions extends HistoryOptions {
    readonly instances: number;
    readonly limits: ReadonlyMap<ResourceId, ResourceLimits>;
    readonly times?: Partial<LimitTimes>;
    /** Most time by which a grant is used late, as by a pause between decision and use. @default 0 */
    readonly longestUseDelay?: Milliseconds;
    /** Whether bytes are counted. @default false */
    readonly countsBytes?: boolean;
    /** Called with every grant, by true time. */
    readonly onGrant?: (resource: ResourceId, amount: number, now: Milliseconds) => void;
}

/** A world. */
export interface LimitsWorld {
    readonly history: History<LimitsMessage>;
    readonly authority: LeaseAuthority;
    /** Instances that run now, in the order of their places. */
    readonly listInstances: () => readonly InstanceId[];
    readonly draw: (
        instance: InstanceId,
        request: {
            readonly resource: ResourceId;
            readonly amount: number;
            readonly mayReturn: number;
            readonly wait: Milliseconds;
        },
        onEnd: (end: DrawEnd) => void,
    ) => void;
    /** Crashes an instance; an empty one with a new name takes its place and asks to join. */
    readonly restart: (instance: InstanceId, downFor: Milliseconds) => void;
    /** Keeps an instance from renewing its lease for a time. */
    readonly isolate: (instance: InstanceId, duration: Milliseconds) => void;
    readonly countMessages: () => number;
    readonly countBytes: () => number;
    readonly readCore: (instance: InstanceId) => LimiterCore | undefined;
}

interface WorldNode {
    readonly id: InstanceId;
    readonly core: LimiterCore;
    readonly clockRate: number;
    readonly clockOffset: Milliseconds;
    epoch: MemberEpoch;
    validUntil: Milliseconds;
    isolatedUntil: Milliseconds;
    tickAt: Milliseconds;
    readonly pending: Map<number, PendingDraw>;
}

interface PendingDraw {
    readonly resource: ResourceId;
    readonly amount: number;
    readonly mayReturn: number;
    readonly onEnd: (end: DrawEnd) => void;
}

const clockDrift = 0.0005;
const largestOffsetMilliseconds = 1_000_000;
const shortestTickMilliseconds = 1;
const longestTickMilliseconds = 250;
const detectionMilliseconds = 2_000;

/**
 * Creates a world in which all instances are members from the start.
 *
 * @param options - size, limits and faults
 * @returns the world
 */
export function createLimitsWorld(options: LimitsWorldOptions): LimitsWorld {
    const history = createHistory<LimitsMessage>(options);
    const { random } = history;
    const times = { ...defaultLimitTimes, ...options.times };
    const founders = Array.from({ length: options.instances }, (unused, index) => formatName(index, 0));
    const authority = createLeaseAuthority([...founders].sort());
    const nodes = new Map<InstanceId, WorldNode>();
    const places: InstanceId[] = [...founders];
    let lives = 0;
    let messages = 0;
    let bytes = 0;

    const readLocal = (node: WorldNode, at = history.now()): Milliseconds => node.clockOffset + at * node.clockRate;
    const updateCore = (node: WorldNode): Milliseconds => {
        const now = readLocal(node);
        node.core.updateMembership(node.epoch, node.validUntil, now);
        return now;
    };
    const useGrant = (node: WorldNode, draw: number, validUntil: Milliseconds): void => {
        const pending = node.pending.get(draw);
        if (!pending || !nodes.has(node.id)) {
            return;
        }
        if (history.isPaused(node.id)) {
            history.scheduleOn(node.id, 0, () => useGrant(node, draw, validUntil));
            return;
        }
        node.pending.delete(draw);
        const at = history.now();
        const release = (unspent: number): void => {
            if (nodes.has(node.id)) {
                node.core.release(pending.resource, draw, unspent, updateCore(node));
                flush(node);
            }
        };
        if (readLocal(node) >= validUntil) {
            pending.onEnd({ kind: "refused", at, retryAfter: 0, cause: "late" });
            return;
        }
        node.core.confirmUse(pending.resource, draw, pending.mayReturn, updateCore(node));
        options.onGrant?.(pending.resource, pending.amount, at);
        pending.onEnd({ kind: "granted", at, release });
    };
    const flush = (node: WorldNode): void => {
        for (const effect of node.core.takeEffects()) {
            switch (effect.kind) {
                case "send":
                    messages++;
                    bytes += options.countsBytes ? measureBytes(effect.message) : 0;
                    history.send(node.id, effect.to, effect.message);
                    break;
                case "grant": {
                    const delay = random.between(0, options.longestUseDelay ?? 0);
                    if (delay === 0) {
                        useGrant(node, effect.draw, effect.validUntil);
                    }
                    else {
                        history.scheduleOn(node.id, delay, () => useGrant(node, effect.draw, effect.validUntil));
                    }
                    break;
                }
                case "refuse": {
                    const pending = node.pending.get(effect.draw);
                    node.pending.delete(effect.draw);
                    const { retryAfter, cause } = effect;
                    pending?.onEnd({ kind: "refused", at: history.now(), retryAfter, cause });
                    break;
                }
            }
        }
        scheduleTick(node);
    };
    const scheduleTick = (node: WorldNode): void => {
        const now = history.now();
        const due = (node.core.readNextDeadline() - node.clockOffset) / node.clockRate;
        const delay = Math.max(shortestTickMilliseconds, Math.min(longestTickMilliseconds, due - now));
        if (node.tickAt > now && node.tickAt <= now + delay) {
            return;
        }
        const at = now + delay;
        node.tickAt = at;
        history.scheduleOn(node.id, delay, () => {
            if (node.tickAt === at) {
                node.tickAt = 0;
                node.core.advance(updateCore(node));
                flush(node);
            }
        });
    };
    const renew = (node: WorldNode): void => {
        if (history.now() >= node.isolatedUntil) {
            const reading = authority.renew(history.now());
            node.epoch = { ...reading.epoch, gainsAllowedAt: readLocal(node, reading.epoch.gainsAllowedAt) };
            node.validUntil = readLocal(node, reading.validUntil);
            // a pause may come between the renewal and the next event
            if (random.chance(0.5)) {
                node.core.advance(updateCore(node));
                flush(node);
            }
        }
        history.scheduleOn(node.id, renewalIntervalMilliseconds * (0.5 + random.next()), () => renew(node));
    };
    const start = (id: InstanceId): void => {
        const node: WorldNode = {
            id,
            core: createLimiterCore({ self: id, times, firstExchangeNumber: random.between(0, 1_000) }),
            clockRate: 1 + clockDrift * (2 * random.next() - 1),
            clockOffset: random.between(0, largestOffsetMilliseconds),
            epoch: { number: -1, members: [], gainsAllowedAt: 0 },
            validUntil: 0,
            isolatedUntil: 0,
            tickAt: 0,
            pending: new Map(),
        };
        nodes.set(id, node);
        node.core.setLimits(options.limits, readLocal(node));
        history.setHandler(id, (from, message) => {
            node.core.handleMessage(from, message, updateCore(node));
            flush(node);
        });
        renew(node);
        scheduleTick(node);
    };
    const isReachable = (id: InstanceId): boolean =>
        nodes.get(id)!.isolatedUntil <= history.now() && !history.isPaused(id);
    // membership notices who runs and who doesn't after a while; while the log is down it can't say so
    const updateMembers = (): void => {
        const running = [...nodes.keys()].filter(isReachable).sort();
        if (running.length > 0 && running.join() !== authority.readMembers().join()) {
            authority.append(running, history.now());
        }
        history.schedule(detectionMilliseconds, updateMembers);
    };

    founders.forEach(start);
    history.schedule(detectionMilliseconds, updateMembers);
    return {
        history,
        authority,
        listInstances: () => places.filter(id => nodes.has(id)),
        draw: (instance, request, onEnd) => {
            const node = nodes.get(instance);
            if (!node) {
                onEnd({ kind: "refused", at: history.now(), retryAfter: 0, cause: "crashed" });
                return;
            }
            history.scheduleOn(instance, 0, () => {
                const now = updateCore(node);
                const { resource, amount, mayReturn } = request;
                const waitUntil = now + request.wait;
                const draw = node.core.draw({ resource, amount, mayReturn, priority: 0, waitUntil }, now);
                node.pending.set(draw, { resource, amount, mayReturn, onEnd });
                flush(node);
            });
        },
        restart: (instance, downFor) => {
            const node = nodes.get(instance);
            if (!node) {
                return;
            }
            history.crash(instance);
            nodes.delete(instance);
            for (const pending of node.pending.values()) {
                pending.onEnd({ kind: "refused", at: history.now(), retryAfter: 0, cause: "crashed" });
            }
            const place = places.indexOf(instance);
            history.schedule(downFor, () => {
                places[place] = formatName(place, ++lives);
                start(places[place]);
            });
        },
        isolate: (instance, duration) => {
            const node = nodes.get(instance);
            if (node) {
                node.isolatedUntil = history.now() + duration;
            }
        },
        countMessages: () => messages,
        countBytes: () => bytes,
        readCore: instance => nodes.get(instance)?.core,
    };
}

function formatName(place: number, life: number): InstanceId {
    return `i${place}-${life}`;
}

const packr = new Packr();

function measureBytes(message: LimitsMessage): number {
    const frameBytes = 8;
    return frameBytes + packr.pack(message).length;
}
