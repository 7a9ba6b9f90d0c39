/**
 * Copy of a keyed topic that this instance follows, from which it answers reads of other instances. Deleted keys are
 * remembered for a while, so that a reader learns of them too.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { type ClockReading, measureAge, readClocks } from "./freshness.js";
import type { RelayMessage } from "./relayMessages.js";
import type { StoreEra } from "./storeEras.js";
import type { KeyedRecord } from "./types.js";

/** Copy of one topic. */
export interface TopicCache {
    /** Replaces all records by those of a snapshot, whose offsets hold in the given era of the store. @default era 0 */
    readonly replaceAll: (records: readonly KeyedRecord[], endOffset: number, era?: StoreEra) => void;
    /** Applies later records. */
    readonly apply: (records: readonly KeyedRecord[], endOffset: number) => void;
    /** Records that all writes before the given time have been applied. */
    readonly markConfirmed: (at: ClockReading) => void;
    /** Records that the last read of the topic failed. */
    readonly markFailed: () => void;
    /** Whether the last read of the topic failed. */
    readonly isFailing: () => boolean;
    /** Returns the time since the last confirmation, infinite before the first one. */
    readonly readAge: () => Milliseconds;
    /** Returns the number of confirmations so far. */
    readonly countConfirmations: () => number;
    /**
     * Response to a read from an offset, or of all keys; `undefined` while there is nothing new. The offset was given out in
     * the given era, by default in that of the copy.
     */
    readonly read: (offset: number | undefined, era?: StoreEra) => RelayMessage | undefined;
    /** Response that says that there is nothing new. */
    readonly describeUnchanged: () => RelayMessage;
    /** Calls back once after the next change, confirmation or failure, unless the returned function is called before. */
    readonly onChange: (callback: () => void) => () => void;
}

/** Number of deleted keys that are remembered. */
const rememberedDeletions = 1_000;

/** Options of a copy. */
export interface TopicCacheOptions {
    /** Reads the clocks. @default those of the process */
    readonly readNow?: () => ClockReading;
    /**
     * Whether a new value of a key means the same to readers as the previous one, so that it isn't passed on.
     *
     * @default none does
     */
    readonly isSameValue?: (key: string, previous: Uint8Array, next: Uint8Array) => boolean;
}

/**
 * Creates an empty copy.
 *
 * @param options - clocks and comparison of values
 * @returns the copy, owned by the caller
 */
export function createTopicCache(options: TopicCacheOptions = {}): TopicCache {
    const { readNow = readClocks, isSameValue = () => false } = options;
    const records = new Map<string, KeyedRecord>();
    const listeners = new Set<() => void>();
    // keys without a value, oldest first
    const deletions = new Map<string, number>();
    let endOffset: number | undefined;
    // era of the store in which the offsets hold
    let era: StoreEra = 0;
    // deletions before this offset are no longer known
    let forgottenBefore = 0;
    // offsets between the last read and the snapshot after it: deletions of keys that came meanwhile aren't known
    let skipped: { readonly after: number; readonly before: number; } = { after: 0, before: 0 };
    let confirmedAt: ClockReading | undefined;
    let confirmations = 0;
    let isFailing = false;
    const forgetOldDeletions = (): void => {
        for (const [key, offset] of deletions) {
            if (deletions.size <= rememberedDeletions) {
                return;
            }
            deletions.delete(key);
            records.delete(key);
            forgottenBefore = Math.max(forgottenBefore, offset + 1);
        }
    };
    const isSame = (previous: KeyedRecord | undefined, next: KeyedRecord): boolean =>
        previous?.value !== undefined && next.value !== undefined &&
        isSameValue(next.key, previous.value, next.value);
    const put = (record: KeyedRecord): void => {
        if (isSame(records.get(record.key), record)) {
            return;
        }
        records.set(record.key, record);
        deletions.delete(record.key);
        if (record.value === undefined) {
            deletions.set(record.key, record.offset);
        }
    };
    const callListeners = (): void => {
        const woken = [...listeners];
        listeners.clear();
        woken.forEach(listener => listener());
    };
    const endChange = (): void => {
        forgetOldDeletions();
        callListeners();
    };
    const readAge = (): Milliseconds => Math.max(0, measureAge(confirmedAt, readNow()));
    const describe = (included: readonly KeyedRecord[]): RelayMessage => ({
        kind: "records",
        records: included.map(record => [record.key, record.value, record.offset]),
        endOffset: endOffset!,
        age: readAge(),
        ...era > 0 && { era },
    });
    // what was deleted at which offset of before means nothing now
    const beginEra = (next: StoreEra): void => {
        era = next;
        records.clear();
        deletions.clear();
        endOffset = undefined;
        forgottenBefore = 0;
        skipped = { after: 0, before: 0 };
    };
    return {
        replaceAll: (newest, end, newestEra = 0) => {
            if (newestEra !== era) {
                beginEra(newestEra);
            }
            const present = new Set(newest.map(record => record.key));
            // keys that are missing were deleted at an unknown offset before the end
            const missing = [...records.keys()].filter(key => !present.has(key));
            missing.forEach(key => put({ key, value: undefined, offset: Math.max(0, end - 1) }));
            newest.forEach(put);
            forgottenBefore = Math.max(forgottenBefore, skipped.before);
            skipped = { after: endOffset ?? -1, before: end };
            endOffset = end;
            endChange();
        },
        apply: (later, end) => {
            later.forEach(put);
            endOffset = end;
            endChange();
        },
        markConfirmed: at => {
            confirmedAt = at;
            confirmations++;
            isFailing = false;
            callListeners();
        },
        markFailed: () => {
            isFailing = true;
            callListeners();
        },
        isFailing: () => isFailing,
        readAge,
        countConfirmations: () => confirmations,
        read: (offset, offsetEra = era) => {
            if (offset !== undefined && offsetEra < era) {
                return { kind: "expired" };
            }
            if (offsetEra > era || endOffset === undefined || !confirmedAt || (offset ?? 0) > endOffset) {
                return { kind: "unavailable" };
            }
            if (offset === undefined) {
                return describe([...records.values()].filter(record => record.value !== undefined));
            }
            if (offset < forgottenBefore || (offset > skipped.after && offset < skipped.before)) {
                return { kind: "expired" };
            }
            const later = offset < endOffset ? [...records.values()].filter(record => record.offset >= offset) : [];
            return later.length > 0 ? describe(later) : undefined;
        },
        describeUnchanged: () => describe([]),
        onChange: callback => {
            listeners.add(callback);
            return () => void listeners.delete(callback);
        },
    };
}
