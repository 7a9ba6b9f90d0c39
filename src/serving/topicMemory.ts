/**
 * Remembers the newest records of a topic that an instance has read. When the store has come back from an older copy, they
 * tell what the copy has lost; what was known then doesn't go back, while its writers write again.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { KeyedRecord } from "./types.js";

/** What is known of a key, and what the store's copy has. */
export interface KeyHistory {
    /** Newest record that was read before; `undefined` when there is none, or the key was deleted. */
    readonly known: KeyedRecord | undefined;
    /** Whether the last thing that was read of the key is its deletion. */
    readonly wasDeleted: boolean;
    readonly copied: KeyedRecord | undefined;
}

/** What of a topic doesn't go back. */
export interface RestoreRules {
    /** Chooses what holds of a key until its writer has written again; `undefined`: the key has no record. */
    readonly choose: (history: KeyHistory) => KeyedRecord | undefined;
    /**
     * Whether what comes later is older than the known record of the key, by what it says; `undefined`: nothing is there any
     * more. @default never
     */
    readonly isOlder?: (known: KeyedRecord, later: KeyedRecord | undefined) => boolean;
    /** Whether `isOlder` counts only while the store's copy may lack records. @default it always counts */
    readonly isHeldUntilSettled?: boolean;
    /** Whether all records are read once more when their writers have had the time to write again. @default false */
    readonly needsSecondRead?: boolean;
}

/** Records to deliver in place of those that were read. */
export interface RememberedSnapshot {
    readonly records: readonly KeyedRecord[];
    /** Records that were known and that the store's copy has lost. */
    readonly lost: readonly KeyedRecord[];
}

/** Memory of one topic. */
export interface TopicMemory {
    /** Takes the newest records of all keys; `isRestored` where the store has come back since the last ones. */
    readonly takeSnapshot: (
        records: readonly KeyedRecord[],
        endOffset: number,
        isRestored: boolean,
    ) => RememberedSnapshot;
    /**
     * Takes later records; returns those that are not older than what is known. `isSettled` where the store's copy lacks
     * none any more.
     */
    readonly takeRecords: (records: readonly KeyedRecord[], isSettled: boolean) => readonly KeyedRecord[];
    /** Returns the size of the known values. */
    readonly measureBytes: () => number;
}

/** Rules of a topic of which the store's copy is taken as it is. */
export const plainRules: RestoreRules = { choose: ({ copied }) => copied };
/** Deleted keys that are remembered. */
const rememberedDeletions = 1_000;

/**
 * Creates an empty memory.
 *
 * @param rules - what of the topic doesn't go back
 * @returns the memory, which its follower owns
 */
export function createTopicMemory(rules: RestoreRules): TopicMemory {
    const { isHeldUntilSettled = false, isOlder = () => false } = rules;
    const known = new Map<string, KeyedRecord>();
    const deleted = new LRUCache<string, true>({ max: rememberedDeletions });
    const forget = (key: string): void => {
        if (known.delete(key)) {
            deleted.set(key, true);
        }
    };
    const put = (record: KeyedRecord): void => {
        if (record.value === undefined) {
            forget(record.key);
            return;
        }
        known.set(record.key, record);
        deleted.delete(record.key);
    };
    const chooseRestored = (key: string, copied: KeyedRecord | undefined): KeyedRecord | undefined => {
        const newest = known.get(key);
        return newest && isOlder(newest, copied)
            ? newest
            : rules.choose({ known: newest, wasDeleted: deleted.has(key), copied });
    };
    // without a return the copy is the present, but for what says of itself that it is older
    const choosePresent = (key: string, copied: KeyedRecord | undefined): KeyedRecord | undefined => {
        const newest = known.get(key);
        return newest && !isHeldUntilSettled && isOlder(newest, copied) ? newest : copied;
    };
    return {
        takeSnapshot: (records, endOffset, isRestored) => {
            const copies = new Map(records.map(record => [record.key, record]));
            const choose = isRestored ? chooseRestored : choosePresent;
            // one that the copy lacks may be there again with the next one
            const removeKey = isRestored ? (key: string): void => void known.delete(key) : forget;
            const lost = isRestored ? [...known.values()].filter(({ key }) => !copies.has(key)) : [];
            const chosen = [...new Set([...known.keys(), ...copies.keys()])]
                .map(key => choose(key, copies.get(key)))
                .filter(record => record !== undefined)
                // offsets of before mean nothing in the store's copy
                .map(record => record === copies.get(record.key) ? record : moveRecord(record, endOffset));
            const present = new Set(chosen.map(record => record.key));
            [...known.keys()].filter(key => !present.has(key)).forEach(removeKey);
            chosen.forEach(put);
            return { records: chosen, lost };
        },
        takeRecords: (records, isSettled) => {
            const taken: KeyedRecord[] = [];
            for (const record of records) {
                const newest = known.get(record.key);
                const isHeld = !(isHeldUntilSettled && isSettled);
                // a deletion that is read was written, unlike a key that a copy lacks
                if (!newest || !isHeld || record.value === undefined || !isOlder(newest, record)) {
                    put(record);
                    taken.push(record);
                }
            }
            return taken;
        },
        measureBytes: () => [...known.values()].reduce((sum, { value }) => sum + (value?.length ?? 0), 0),
    };
}

function moveRecord(record: KeyedRecord, endOffset: number): KeyedRecord {
    return { ...record, offset: Math.max(0, endOffset - 1) };
}
