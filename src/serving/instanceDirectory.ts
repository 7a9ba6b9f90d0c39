/**
 * The other instances, as they enter themselves in the platform's store, and which of them are in hearing.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { KeyedRecord } from "./types.js";

/** An instance's entry. */
export interface InstanceEntry {
    /** Name that stays the same over restarts. */
    readonly name: string;
    /** Names one run of the process. */
    readonly id: InstanceId;
    readonly address: string;
}

/** Directory of instances. */
export interface InstanceDirectory {
    /** Other instances that were heard a moment ago, or are new. */
    readonly listReachable: (now: Milliseconds) => readonly InstanceId[];
    readonly listOthers: () => readonly InstanceId[];
    readonly findAddress: (id: InstanceId) => string | undefined;
    readonly applyRecord: (record: KeyedRecord, now: Milliseconds) => void;
    readonly replaceAll: (records: readonly KeyedRecord[], now: Milliseconds) => void;
    /** Tells whether the instance was out of hearing before. */
    readonly markReachable: (id: InstanceId, now: Milliseconds) => boolean;
    /**
     * Part of all instances, this one included, that are in hearing. One that has just been entered counts as half, as it
     * could not be heard yet.
     */
    readonly computeReachableShare: (now: Milliseconds) => number;
    readonly countInstances: () => number;
    /** Whether the list has been read. */
    readonly isLoaded: () => boolean;
}

/** Silence after which an instance counts as out of hearing. */
const reachabilityTimeoutMilliseconds = 1_200;
/** Time in which a new instance makes its connections. */
const joinPeriodMilliseconds = 700;
const joiningWeight = 0.5;
const entrySchema = z.object({ id: z.string(), address: z.string() });

/**
 * Creates the directory.
 *
 * @param self - this instance's own entry
 * @returns a directory of no others
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
        listReachable: listReachable,
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
 * Encodes an instance's own entry.
 *
 * @param entry - the entry
 * @returns the value of its record
 */
export function encodeInstanceEntry(entry: InstanceEntry): Uint8Array {
    return Buffer.from(JSON.stringify({ id: entry.id, address: entry.address }), "utf8");
}

function decodeEntry(name: string, value: Uint8Array): InstanceEntry | undefined {
    try {
        return { name, ...entrySchema.parse(JSON.parse(Buffer.from(value).toString("utf8"))) };
    }
    catch {
        // an entry that can't be read names no instance
        return undefined;
    }
}
