/**
 * Small tasks of an instance: its registration in the list of instances, and regular maintenance.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import { type Task, waitForAbort } from "../supervision/index.js";
import { encodeInstanceEntry, type InstanceDirectory, type InstanceEntry } from "./instanceDirectory.js";
import type { LoopDelay } from "./loopDelay.js";
import type { KeyedLog } from "./types.js";

const registrationRetryMilliseconds = 100;

/**
 * Creates the task that calls `maintain` again and again.
 *
 * @param clock - source of the pauses
 * @param loop - learns from the pauses whether the event loop is late
 * @param maintain - does what is due, gets the lateness of its call, and returns the time until the next one
 * @returns the task, which the caller runs
 */
export function createMaintenanceTask(
    clock: Clock,
    loop: LoopDelay,
    maintain: (delay: Milliseconds) => Milliseconds,
): Task {
    return {
        name: "maintenance",
        run: async signal => {
            let delay = 0;
            while (!signal.aborted) {
                const pause = maintain(delay);
                loop.recordTimer(clock.now(), clock.now() + pause);
                await clock.sleep(pause, signal);
                delay = loop.recordTimer(clock.now(), Number.POSITIVE_INFINITY);
            }
        },
    };
}

/**
 * Creates the task that registers an instance in the list of instances, unless the store already lists it from before a
 * restart.
 *
 * @param clock - source of the pauses between retries
 * @param log - the platform's store
 * @param directory - the list of instances as read from the store
 * @param self - entry of this instance
 * @returns the task, which the caller runs
 */
export function createRegistrationTask(
    clock: Clock,
    log: KeyedLog,
    directory: InstanceDirectory,
    self: InstanceEntry,
): Task {
    return {
        name: "registration",
        run: async signal => {
            const register = async (): Promise<boolean> =>
                directory.isLoaded() &&
                (directory.isRegistered() || (await log.append("instances", self.id, encodeInstanceEntry(self))).ok);
            while (!signal.aborted && !await register()) {
                await clock.sleep(registrationRetryMilliseconds, signal);
            }
            await waitForAbort(signal);
        },
    };
}
