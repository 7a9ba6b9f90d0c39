/**
 * Registers an instance in the list of instances, and again when the store has come back from an older copy, which may have
 * lost the entry.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds, SeededRandom } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { readClocks } from "./freshness.js";
import { encodeInstanceEntry, type InstanceDirectory, type InstanceEntry } from "./instanceDirectory.js";
import { type StoreEras, waitForRise } from "./storeEras.js";
import type { KeyedLog } from "./types.js";

/** Dependencies of the registration. */
export interface RegistrationOptions {
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** The platform's store. */
    readonly log: Pick<KeyedLog, "append">;
    readonly eras: StoreEras;
    /** The list of instances as read from the store. */
    readonly directory: Pick<InstanceDirectory, "isLoaded" | "isRegistered" | "findOwn">;
    /** Entry of this instance, without what changes while it runs. */
    readonly self: InstanceEntry;
    /** Whether this instance is about to remove its entry. */
    readonly isStopping: () => boolean;
}

const retryMilliseconds: Milliseconds = 100;
/** Time over which instances spread the repeat of their entries. */
const repeatSpreadMilliseconds: Milliseconds = 500;

/**
 * Creates the task that writes the entry once in each era. It writes nothing where the store already lists the same entry,
 * as after a restart within the era.
 *
 * @param options - the store and this instance
 * @returns the task, which the caller runs
 */
export function createRegistrationTask(options: RegistrationOptions): Task {
    const { clock, directory, eras, self } = options;
    const registerOnce = async (): Promise<boolean> => {
        if (!directory.isLoaded()) {
            return false;
        }
        const entry = describeEntry(self, directory.findOwn(), eras);
        return directory.isRegistered(entry) ||
            (await options.log.append("instances", self.id, encodeInstanceEntry(entry))).ok;
    };
    // an entry that the store took in an era that is over may be lost
    const register = async (rises: number, signal: AbortSignal): Promise<void> => {
        while (!signal.aborted && !options.isStopping() && eras.countRises() === rises && !await registerOnce()) {
            await clock.sleep(retryMilliseconds, signal);
        }
    };
    // an entry that was removed, or is about to be, may be there again
    const removeAgain = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted && !(await options.log.append("instances", self.id, undefined)).ok) {
            await clock.sleep(retryMilliseconds, signal);
        }
    };
    return {
        name: "registration",
        run: async signal => {
            for (let rises = eras.countRises(); !signal.aborted; rises = eras.countRises()) {
                await register(rises, signal);
                await waitForRise(eras, rises, signal);
                if (options.isStopping() && !signal.aborted) {
                    await removeAgain(signal);
                }
                // the first era that is named tells of no return
                if (eras.countRises() > 1) {
                    await clock.sleep(options.random.next() * repeatSpreadMilliseconds, signal);
                }
            }
        },
    };
}

function describeEntry(self: InstanceEntry, own: InstanceEntry | undefined, eras: StoreEras): InstanceEntry {
    const era = eras.read();
    if (era === 0) {
        return self;
    }
    const now = readClocks();
    const seenAt = own?.storeEra === era ? own.storeEraSeenAt : undefined;
    return {
        ...self,
        storeEra: era,
        storeEraSeenAt: seenAt ?? Math.round(now.timeOfDay - Math.max(0, now.monotonic - eras.readSeenAt())),
    };
}
