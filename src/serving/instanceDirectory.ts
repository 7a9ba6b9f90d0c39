/**
 * Directory of the other instances, as registered in the platform's store, and which of them can be reached.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { KeyedRecord } from "./types.js";

/** Entry of an instance in the platform's store. */
export interface InstanceEntry {
    /** Name that is kept over restarts; the key of the entry. */
    readonly name: string;
    /** Identifier of one run of the process. */
    readonly id: InstanceId;
    /** IP and port for connections between instances. */
    readonly address: string;
}

/** Directory of instances. */
export interface InstanceDirectory {
    /** Returns the other instances from which a message arrived recently. */
    readonly listReachable: (now: Milliseconds) => readonly InstanceId[];
    /** Returns all other instances. */
    readonly listOthers: () => readonly InstanceId[];
    /** Returns the address of an instance; `undefined` when it isn't registered. */
    readonly findAddress: (id: InstanceId) => string | undefined;
    /** Adds, replaces or removes the instance of a record. */
    readonly applyRecord: (record: KeyedRecord, now: Milliseconds) => void;
    /** Replaces all entries by those of a snapshot. */
    readonly replaceAll: (records: readonly KeyedRecord[], now: Milliseconds) => void;
    /** Records that a message arrived from an instance; returns whether it was unreachable before. */
    readonly markReachable: (id: InstanceId, now: Milliseconds) => boolean;
    /**
     * Returns the share of all instances, this one included, that can be reached, 0 to 1. One that has just registered
     * and has not sent a message yet counts as half.
     */
    readonly computeReachableShare: (now: Milliseconds) => number;
    /** Returns the number of all instances, this one included. */
    readonly countInstances: () => number;
    /** Returns whether a snapshot has been read. */
    readonly isLoaded: () => boolean;
}

/** Time without a message after which an instance counts as unreachable. */
const reachabilityTimeoutMilliseconds = 1_200;
/** Time after its registration in which an instance opens its connections to the others. */
const joinPeriodMilliseconds = 700;
/** Weight of an instance that is still in its join period and has sent no message, in the share that can be reached. */
const joiningWeight = 0.5;
const entrySchema = z.object({ id: z.string(), address: z.string() });

/**
 * Creates a directory without other instances.
 *
 * @param self - entry of this instance, whose record in the store is skipped
 * @returns the directory, of which an instance needs one object
 */
export function createInstanceDirectory(self: InstanceEntry): InstanceDirectory {
    const entries = new Map<string, InstanceEntry>();
    const lastMessageAt = new Map<InstanceId, Milliseconds>();
    const registeredAt = new Map<InstanceId, Milliseconds>();
    let isLoaded = false;
    const applyRecord = (record: KeyedRecord, now: Milliseconds): void => {
        if (record.key === self.name) {
            return;
        }
        const entry = record.value && decodeEntry(record.key, record.value);
        if (entry) {
            entries.set(record.key, entry);
            registeredAt.set(entry.id, registeredAt.get(entry.id) ?? now);
        }
        else {
            entries.delete(record.key);
        }
    };
    const isReachable = (id: InstanceId, now: Milliseconds): boolean =>
        now - (lastMessageAt.get(id) ?? Number.NEGATIVE_INFINITY) < reachabilityTimeoutMilliseconds;
    const listOthers = (): readonly InstanceId[] => [...entries.values()].map(entry => entry.id);
    const listReachable = (now: Milliseconds): readonly InstanceId[] => listOthers().filter(id => isReachable(id, now));
    return {
        listReachable,
        listOthers,
        findAddress: id => [...entries.values()].find(entry => entry.id === id)?.address,
        applyRecord,
        replaceAll: (records, now) => {
            isLoaded = true;
            entries.clear();
            records.forEach(record => applyRecord(record, now));
        },
        markReachable: (id, now) => {
            const wasReachable = isReachable(id, now);
            lastMessageAt.set(id, now);
            return !wasReachable;
        },
        computeReachableShare: now => {
            const reachable = listReachable(now);
            const isRecent = (id: InstanceId): boolean =>
                now - (registeredAt.get(id) ?? Number.NEGATIVE_INFINITY) < joinPeriodMilliseconds;
            const joining = listOthers().filter(id => isRecent(id) && !reachable.includes(id));
            return (1 + reachable.length + joining.length * joiningWeight) / (entries.size + 1);
        },
        countInstances: () => entries.size + 1,
        isLoaded: () => isLoaded,
    };
}

/**
 * Encodes the entry of an instance as JSON without its name, which is the key of the record.
 *
 * @param entry - the entry
 * @returns value of the record
 */
export function encodeInstanceEntry(entry: InstanceEntry): Uint8Array {
    return Buffer.from(JSON.stringify({ id: entry.id, address: entry.address }), "utf8");
}

function decodeEntry(name: string, value: Uint8Array): InstanceEntry | undefined {
    try {
        return { name, ...entrySchema.parse(JSON.parse(Buffer.from(value).toString("utf8"))) };
    }
    catch {
        // an unreadable entry is treated as a missing one
        return undefined;
    }
}
