/**
 * Instances that may have used engines recently: current and former members, until all their requests must have ended.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";

/** Instances that were seen recently. */
export interface Participants {
    /** Records that the instances were seen. An instance that was removed is not added again. */
    readonly add: (instances: readonly InstanceId[], now: Milliseconds) => void;
    /** Removes an instance that has announced the end of its requests. */
    readonly remove: (instance: InstanceId) => void;
    /** Lists this instance and those seen within the retention time. */
    readonly list: (now: Milliseconds) => readonly InstanceId[];
}

/**
 * Creates a set that holds only this instance.
 *
 * @param self - this instance, always part of the set
 * @param window - how long an instance is listed after it was last seen
 * @returns the set, owned by the caller
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
