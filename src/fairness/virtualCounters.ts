/**
 * Weighted virtual token counters of client accounts and classes, over all instances.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, InstanceId, Milliseconds } from "../shared/index.js";
import type { ServedTokenCounters } from "./types.js";

/** Name of an account and class, as in `interactive/acme`. */
export type FlowKey = string;

/** Counters of one instance. */
export interface VirtualTokenCounters {
    /** Weighted tokens that count against a flow; the flow with the fewest goes first. */
    readonly read: (key: FlowKey) => number;
    /** Adds tokens served here; below zero when a request spent less than was estimated. */
    readonly add: (key: FlowKey, weightedTokens: number) => void;
    /** Brings a flow that was idle up to where the others of its class were lately, so that idling earns little credit. */
    readonly activate: (key: FlowKey, requestClass: RequestClass) => void;
    /** Takes note of the counter of the flow that is served now. */
    readonly advanceVirtualTime: (key: FlowKey, requestClass: RequestClass, now: Milliseconds) => void;
    readonly takeChanges: () => ServedTokenCounters;
    readonly merge: (counters: ServedTokenCounters) => void;
}

// counters of the flow served last, now and a little earlier
interface VirtualTime {
    current: number;
    previous: number;
    rotatedAt: Milliseconds;
}

interface ReceivedCounters {
    sequence: number;
    readonly served: LRUCache<FlowKey, number>;
}

// others' counters arrive with a lag: without this much credit an account that was idle would wait for it
const idleCreditMilliseconds = 1_000;
const maximumFlows = 20_000;
const maximumInstances = 4_096;
const maximumChangesPerMessage = 64;

/**
 * Names a flow.
 *
 * @param account - client account
 * @param requestClass - class
 * @returns the key
 */
export function formatFlowKey(account: ClientAccountId, requestClass: RequestClass): FlowKey {
    return `${requestClass}/${account}`;
}

function createVirtualTime(): VirtualTime {
    return { current: 0, previous: 0, rotatedAt: 0 };
}

/**
 * Creates counters at zero.
 *
 * @param self - this instance
 * @returns the counters
 */
export function createVirtualTokenCounters(self: InstanceId): VirtualTokenCounters {
    const counts = new LRUCache<FlowKey, number>({ max: maximumFlows });
    const served = new LRUCache<FlowKey, number>({ max: maximumFlows });
    const receivedByInstance = new LRUCache<InstanceId, ReceivedCounters>({ max: maximumInstances });
    const changed = new Set<FlowKey>();
    const virtualTimes: Record<RequestClass, VirtualTime> = {
        interactive: createVirtualTime(),
        overnight: createVirtualTime(),
    };
    let sequence = 0;

    const parseClass = (key: FlowKey): RequestClass => key.startsWith("overnight/") ? "overnight" : "interactive";
    const read = (key: FlowKey): number => counts.get(key) ?? virtualTimes[parseClass(key)].previous;
    const listMostServedChanges = (): readonly FlowKey[] => {
        const keys = [...changed].sort((left, right) => (served.get(right) ?? 0) - (served.get(left) ?? 0));
        return keys.slice(0, maximumChangesPerMessage);
    };
    const getReceived = (instance: InstanceId): { readonly entry: ReceivedCounters; readonly isNew: boolean; } => {
        const known = receivedByInstance.get(instance);
        if (known) {
            return { entry: known, isNew: false };
        }
        const entry = { sequence: 0, served: new LRUCache<FlowKey, number>({ max: maximumFlows }) };
        receivedByInstance.set(instance, entry);
        return { entry, isNew: true };
    };

    return {
        read,
        add: (key, weightedTokens) => {
            counts.set(key, read(key) + weightedTokens);
            served.set(key, (served.get(key) ?? 0) + weightedTokens);
            changed.add(key);
        },
        activate: (key, requestClass) => {
            counts.set(key, Math.max(read(key), virtualTimes[requestClass].previous));
        },
        advanceVirtualTime: (key, requestClass, now) => {
            const time = virtualTimes[requestClass];
            if (now - time.rotatedAt >= idleCreditMilliseconds) {
                time.previous = time.current;
                time.rotatedAt = now;
            }
            time.current = Math.max(time.current, read(key));
        },
        takeChanges: () => {
            const keys = listMostServedChanges();
            keys.forEach(key => changed.delete(key));
            return { instance: self, sequence: ++sequence, served: new Map(keys.map(key => [key, served.get(key)!])) };
        },
        merge: counters => {
            const { entry, isNew } = getReceived(counters.instance);
            if (counters.instance === self || (!isNew && counters.sequence <= entry.sequence)) {
                return;
            }
            // what was served before the first message is history that the counters here know nothing of either
            const hasMissedHistory = isNew && counters.sequence > 1;
            entry.sequence = counters.sequence;
            for (const [key, total] of counters.served) {
                const difference = hasMissedHistory ? 0 : total - (entry.served.get(key) ?? 0);
                entry.served.set(key, total);
                counts.set(key, read(key) + difference);
            }
        },
    };
}
