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
    readonly listHeard: (now: Milliseconds) => readonly InstanceId[];
    readonly listOthers: () => readonly InstanceId[];
    readonly findAddress: (id: InstanceId) => string | undefined;
    readonly applyRecord: (record: KeyedRecord, now: Milliseconds) => void;
    readonly replaceAll: (records: readonly KeyedRecord[], now: Milliseconds) => void;
    /** Tells whether the instance was out of hearing before. */
    readonly markHeard: (id: InstanceId, now: Milliseconds) => boolean;
    /**
     * Part of all instances, this one included, that are in hearing. One that has just been entered counts as half, as it
     * could not be heard yet.
     */
    readonly computeShare: (now: Milliseconds) => number;
    readonly countAll: () => number;
    /** Whether the list has been read. */
    readonly isKnown: () => boolean;
}

/** Silence after which an instance counts as out of hearing. */
const hearingMilliseconds = 1_200;
/** Time in which a new instance makes its connections. */
const introductionMilliseconds = 700;
const introductionPart = 0.5;
const entrySchema = z.object({ id: z.string(), address: z.string() });

/**
 * Creates the directory.
 *
 * @param self - this instance's own entry
 * @returns a directory of no others
 */
export function createInstanceDirectory(self: InstanceEntry): InstanceDirectory {
    const entries = new Map<string, InstanceEntry>();
    const heardAt = new Map<InstanceId, Milliseconds>();
    const enteredAt = new Map<InstanceId, Milliseconds>();
    let isKnown = false;
    const applyRecord = (record: KeyedRecord, now: Milliseconds): void => {
        if (record.key === self.name) {
            return;
        }
        const entry = record.value && decodeEntry(record.key, record.value);
        if (entry) {
            entries.set(record.key, entry);
            enteredAt.set(entry.id, enteredAt.get(entry.id) ?? now);
        }
        else {
            entries.delete(record.key);
        }
    };
    const isHeard = (id: InstanceId, now: Milliseconds): boolean =>
        now - (heardAt.get(id) ?? Number.NEGATIVE_INFINITY) < hearingMilliseconds;
    const listOthers = (): readonly InstanceId[] => [...entries.values()].map(entry => entry.id);
    const listHeard = (now: Milliseconds): readonly InstanceId[] => listOthers().filter(id => isHeard(id, now));
    return {
        listHeard,
        listOthers,
        findAddress: id => [...entries.values()].find(entry => entry.id === id)?.address,
        applyRecord,
        replaceAll: (records, now) => {
            isKnown = true;
            entries.clear();
            records.forEach(record => applyRecord(record, now));
        },
        markHeard: (id, now) => {
            const wasHeard = isHeard(id, now);
            heardAt.set(id, now);
            return !wasHeard;
        },
        computeShare: now => {
            const heard = listHeard(now);
            const isNew = (id: InstanceId): boolean =>
                now - (enteredAt.get(id) ?? Number.NEGATIVE_INFINITY) < introductionMilliseconds;
            const unheardNew = listOthers().filter(id => isNew(id) && !heard.includes(id));
            return (1 + heard.length + unheardNew.length * introductionPart) / (entries.size + 1);
        },
        countAll: () => entries.size + 1,
        isKnown: () => isKnown,
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
