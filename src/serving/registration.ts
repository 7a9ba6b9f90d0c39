/**
 * Holds the entry of an instance in the list of instances: it stands, with its value, as long as the instance runs, and goes
 * when the instance stops. A write that got no answer may be done seconds later, after a newer one, also one of the process
 * that had this name before; so that what stands in the list is looked at again and again, and not only written.
 *
 * @packageDocumentation
 */
import { type Clock, createLogger, type Milliseconds, type SeededRandom } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { readClocks } from "./freshness.js";
import { encodeInstanceEntry, type InstanceDirectory, type InstanceEntry } from "./instanceDirectory.js";
import type { StoreEras } from "./storeEras.js";
import type { KeyedLog } from "./types.js";

/** Dependencies of the registration. */
export interface RegistrationOptions {
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** The platform's store. */
    readonly log: Pick<KeyedLog, "append">;
    readonly eras: StoreEras;
    /** The list of instances as read from the store. */
    readonly directory: Pick<InstanceDirectory, "isLoaded" | "isRegistered" | "findOwn" | "countOwnEntries">;
    /** Entry of this instance, without what changes while it runs. */
    readonly self: InstanceEntry;
    /** Whether this instance is about to remove its entry. */
    readonly isStopping: () => boolean;
}

/** The entry of this instance. */
export interface Registration {
    /** Writes the entry, and holds it; once the instance stops, holds that there is none. */
    readonly task: Task;
    /** Removes the entry; the task follows up a removal that got no answer. */
    readonly remove: () => Promise<void>;
    /** Returns for how long the list has lacked the entry, or had another one; 0 while it stands there. */
    readonly measureMissing: () => Milliseconds;
}

/** What this instance wrote last of its entry. */
interface LastWrite {
    readonly kind: "entry" | "removal";
    /** Rises of the store's era when it was sent: what the store took in an earlier era may be lost. */
    readonly rises: number;
    readonly isAnswered: boolean;
    /** Entries of this instance that had been read when it was sent. */
    readonly readEntries: number;
}

const checkMilliseconds: Milliseconds = 100;
/** Time over which instances spread the repeat of their entries, as when the store has come back. */
const spreadMilliseconds: Milliseconds = 500;
/** Time in which an instance reads what it has written, also through others. */
const readBackMilliseconds: Milliseconds = 2_000;
/** Repeats after which the pauses double: a process leaves but a few late writes behind. */
const promptRepeats = 3;
const maximumPauseMilliseconds: Milliseconds = 60_000;
/** Repeats against an entry with another value, after which a second process of this name is assumed. */
const maximumDisputes = 4;
/** Time for which the entry stands after which a repeat counts as the first one again. */
const calmMilliseconds: Milliseconds = 60_000;
const log = createLogger("serving");

/**
 * Creates the registration of an instance that has written nothing.
 *
 * @param options - the store and this instance
 * @returns the registration, whose task the caller runs
 */
export function createRegistration(options: RegistrationOptions): Registration {
    const { clock, directory, eras, self } = options;
    let lastWrite: LastWrite | undefined;
    let repeats = 0;
    let disputes = 0;
    let stoodSince: Milliseconds | undefined;
    let missingSince: Milliseconds | undefined;
    /** Rises of the store's era when the list last had the entry. */
    let stoodAtRises: number | undefined;
    /** Whether the list has had what was written last, and has it no more. */
    let isGone = false;
    /** Time from which on the last write is repeated if the list doesn't show it. */
    let repeatAt: Milliseconds = 0;
    let pendingRemoval: Promise<void> | undefined;

    const computePause = (initial: Milliseconds): Milliseconds =>
        Math.min(maximumPauseMilliseconds, initial * 2 ** Math.max(0, repeats - promptRepeats));
    const write = async (entry: InstanceEntry | undefined): Promise<void> => {
        const rises = eras.countRises();
        const readEntries = directory.countOwnEntries();
        const isAnswered = (await options.log.append("instances", self.id, entry && encodeInstanceEntry(entry))).ok;
        lastWrite = { kind: entry ? "entry" : "removal", rises, isAnswered, readEntries };
        isGone = false;
        repeatAt = clock.now() + computePause(readBackMilliseconds) * (1 + options.random.next());
    };
    // what was sent in an era that is over tells nothing of what stands there now
    const isSent = (kind: LastWrite["kind"]): boolean =>
        lastWrite?.kind === kind && lastWrite.rises === eras.countRises();
    const recordStanding = (now: Milliseconds): void => {
        if (missingSince !== undefined && repeats > 0) {
            log.info("entry in the list of instances again", { missing: Math.round(now - missingSince), repeats });
        }
        missingSince = undefined;
        isGone = false;
        stoodSince ??= now;
        stoodAtRises = eras.countRises();
        if (now - stoodSince >= calmMilliseconds) {
            repeats = 0;
            disputes = 0;
        }
    };
    const renewEntry = async (entry: InstanceEntry, now: Milliseconds): Promise<void> => {
        const found = directory.findOwn();
        if (found && disputes >= maximumDisputes) {
            return;
        }
        log.warn("entry not in the list of instances", {
            missing: Math.round(now - (missingSince ?? now)),
            found: found?.address,
            repeats,
        });
        repeats++;
        await write(entry);
        if (found && lastWrite?.isAnswered) {
            disputes++;
            if (disputes === maximumDisputes) {
                log.error("another process holds this instance's name", { found: found.address });
            }
        }
    };
    const keepEntry = async (): Promise<void> => {
        if (!directory.isLoaded()) {
            return;
        }
        const now = clock.now();
        const entry = describeEntry(self, directory.findOwn(), eras);
        if (directory.isRegistered(entry)) {
            recordStanding(now);
            return;
        }
        missingSince ??= now;
        // it stood at the last look, or came and went between two looks
        const wasRead = stoodSince !== undefined || directory.countOwnEntries() > (lastWrite?.readEntries ?? 0);
        if (wasRead && !isGone) {
            isGone = true;
            // instances whose entries went at once don't all write at once
            repeatAt = now + computePause(spreadMilliseconds) * options.random.next();
        }
        stoodSince = undefined;
        // the store has taken it in this era, whatever stands there now
        const isTaken = isSent("entry") && lastWrite?.isAnswered || stoodAtRises === eras.countRises();
        if (!isTaken) {
            await write(entry);
        }
        else if (now >= repeatAt) {
            await renewEntry(entry, now);
        }
    };
    const remove = (): Promise<void> => {
        pendingRemoval ??= write(undefined).finally(() => {
            pendingRemoval = undefined;
        });
        return pendingRemoval;
    };
    // an entry that this process wrote, or the store's copy, may be there again after it was removed
    const keepRemoved = async (): Promise<void> => {
        const isDue = clock.now() >= repeatAt && (!lastWrite?.isAnswered || directory.findOwn() !== undefined);
        if (!isSent("removal") || isDue) {
            await remove();
        }
    };
    return {
        task: {
            name: "registration",
            run: async signal => {
                for (let rises = eras.countRises(); !signal.aborted; rises = eras.countRises()) {
                    await (options.isStopping() ? keepRemoved() : keepEntry());
                    await clock.sleep(checkMilliseconds, signal);
                    // the first era that is named tells of no return
                    if (eras.countRises() > Math.max(rises, 1) && !options.isStopping()) {
                        await clock.sleep(options.random.next() * spreadMilliseconds, signal);
                    }
                }
            },
        },
        remove,
        measureMissing: () => missingSince === undefined ? 0 : clock.now() - missingSince,
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
