/**
 * Instances that may have used engines lately: those that are or were members, until their last request must have ended.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";

/** Instances seen lately. */
export interface Participants {
    readonly add: (instances: readonly InstanceId[], now: Milliseconds) => void;
    /** Removes one that has said that it ended its requests. */
    readonly remove: (instance: InstanceId) => void;
    readonly list: (now: Milliseconds) => readonly InstanceId[];
}

/**
 * Creates the set.
 *
 * @param self - this instance, always part of it
 * @param window - how long an instance counts after it was seen last
 * @returns the set
 */
export function createParticipants(self: InstanceId, window: Milliseconds): Participants {
    const lastSeen = new Map<InstanceId, Milliseconds>();
    const left = new Set<InstanceId>();
    return {
        add: (instances, now) => {
            instances.filter(instance => !left.has(instance)).forEach(instance => lastSeen.set(instance, now));
            for (const [instance, at] of lastSeen) {
                if (now - at > window) {
                    lastSeen.delete(instance);
                }
            }
        },
        remove: instance => {
            lastSeen.delete(instance);
            left.add(instance);
        },
        list: now => [...new Set([self, ...[...lastSeen].flatMap(([name, at]) => now - at <= window ? [name] : [])])],
    };
}
