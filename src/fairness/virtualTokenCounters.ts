/**
 * Virtual token counters: the tokens divided by weight that all instances together have served to each flow. A flow is
 * a client account and a class of requests.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { ClientAccountId, InstanceId, Milliseconds } from "../shared/index.js";
import type { ServedTokenCounters } from "./types.js";

/** Key of a flow, such as `interactive/acme`. */
export type FlowKey = string;

/** Counters that one instance keeps. */
export interface VirtualTokenCounters {
    /** Tokens divided by weight that count for a flow; the flow with the lowest counter goes first. */
    readonly read: (key: FlowKey) => number;
    /** Adds tokens that this instance served; negative when a request spent less than its estimate. */
    readonly add: (key: FlowKey, weightedTokens: number) => void;
    /**
     * Raises the counter of a flow that was idle to the previous virtual time of its class, so that idle time earns
     * little credit.
     */
    readonly activate: (key: FlowKey, requestClass: string) => void;
    /** Advances the virtual time of the class to the counter of the flow that is served now. */
    readonly advanceVirtualTime: (key: FlowKey, requestClass: string, now: Milliseconds) => void;
    /** Returns counters that have changed, those with the most tokens first, and marks them as sent. */
    readonly takeChanges: () => ServedTokenCounters;
    /** Adds what another instance served since its last message; ignores late and repeated messages. */
    readonly merge: (counters: ServedTokenCounters) => void;
}

/** Virtual time of a class: the highest counter at which one of its flows was served. */
interface VirtualTime {
    current: number;
    /** Value that `current` had at the last rotation. */
    previous: number;
    rotatedAt: Milliseconds;
}

interface ReceivedCounters {
    /** Sequence number of the newest message. */
    sequence: number;
    /** Served tokens of each flow, as last received from that instance. */
    readonly served: LRUCache<FlowKey, number>;
}

// minimum time between two rotations of a virtual time. An account that was idle restarts from the previous virtual
// time, which gives it credit for the rotation interval: counters of other instances arrive late, and without the
// credit the account would have to wait for the length of that delay
const idleCreditMilliseconds = 1_000;
const maximumFlows = 20_000;
const maximumClasses = 256;
const maximumInstances = 4_096;
const maximumChangesPerMessage = 64;

/**
 * Formats the key of a flow.
 *
 * @param account - client account
 * @param requestClass - class of the account's requests
 * @returns the class and the account with a slash between them
 */
export function formatFlowKey(account: ClientAccountId, requestClass: string): FlowKey {
    return `${requestClass}/${account}`;
}

// names of classes have no slash
function parseClass(key: FlowKey): string {
    return key.slice(0, key.indexOf("/"));
}

function createVirtualTime(): VirtualTime {
    return { current: 0, previous: 0, rotatedAt: 0 };
}

/**
 * Creates counters at zero.
 *
 * @param self - instance that keeps the counters and sends its own changes to the others
 * @returns the counters; beyond a fixed number of flows they drop those that were used least recently
 */
export function createVirtualTokenCounters(self: InstanceId): VirtualTokenCounters {
    // tokens that all instances have served to a flow
    const counts = new LRUCache<FlowKey, number>({ max: maximumFlows });
    // tokens that this instance has served to a flow
    const served = new LRUCache<FlowKey, number>({ max: maximumFlows });
    const receivedByInstance = new LRUCache<InstanceId, ReceivedCounters>({ max: maximumInstances });
    const changed = new Set<FlowKey>();
    const virtualTimes = new LRUCache<string, VirtualTime>({ max: maximumClasses });
    let sequence = 0;

    const getVirtualTime = (requestClass: string): VirtualTime => {
        const time = virtualTimes.get(requestClass) ?? createVirtualTime();
        virtualTimes.set(requestClass, time);
        return time;
    };
    const read = (key: FlowKey): number => counts.get(key) ?? getVirtualTime(parseClass(key)).previous;
    const listMostServedChanges = (): readonly FlowKey[] => {
        const keys = [...changed].sort((left, right) => (served.get(right) ?? 0) - (served.get(left) ?? 0));
        return keys.slice(0, maximumChangesPerMessage);
    };
    const getReceived = (
        instance: InstanceId,
    ): { readonly entry: ReceivedCounters; readonly isNew: boolean; } => {
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
            counts.set(key, Math.max(read(key), getVirtualTime(requestClass).previous));
        },
        advanceVirtualTime: (key, requestClass, now) => {
            const time = getVirtualTime(requestClass);
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
            // an instance that was running before its first message here sends totals that include earlier tokens; they
            // are not added, as the counters here don't include that time either
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
