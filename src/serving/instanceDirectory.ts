/**
 * Directory of the other instances, as registered in the platform's store.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import {
    addressSchema,
    amountSchema,
    compareText,
    hashForRendezvous,
    type InstanceId,
    type Milliseconds,
    nameSchema,
    ordinalSchema,
    parseBoundedJson,
    startTimeSchema,
} from "../shared/index.js";
import type { StoreEra } from "./storeEras.js";
import type { KeyedRecord } from "./types.js";

/** Entry of an instance in the platform's store. */
export interface InstanceEntry {
    /** Name that is kept over restarts; the key of the entry. */
    readonly id: InstanceId;
    /** IP and port for connections between instances. */
    readonly address: string;
    readonly failureDomain: string;
    /** Processor time that the instance may use, in cores. */
    readonly cores: number;
    /** Newest era of the store that the instance knows; missing where the store names none. */
    readonly storeEra?: StoreEra | undefined;
    /** Unix time at which it first saw that era. */
    readonly storeEraSeenAt?: Milliseconds | undefined;
}

/** Directory of instances. */
export interface InstanceDirectory {
    /** Returns all other instances. */
    readonly listOthers: () => readonly InstanceEntry[];
    /**
     * Returns the address of an instance, also of one that has left the list a moment ago: it may run all the same, as a
     * removal may be that of an earlier process. `undefined` when it isn't known.
     */
    readonly findAddress: (id: InstanceId) => string | undefined;
    /** Returns whether another instance is registered. */
    readonly isListed: (id: InstanceId) => boolean;
    /** Adds, replaces or removes the instance of a record. */
    readonly applyRecord: (record: KeyedRecord) => void;
    /** Replaces all entries by those of a snapshot. */
    readonly replaceAll: (records: readonly KeyedRecord[]) => void;
    /** Returns the number of all instances, this one included. */
    readonly countInstances: () => number;
    /** Returns the number of all instances with those that have left the list a moment ago. */
    readonly countKnown: () => number;
    /**
     * Returns the instances of this one's failure domain through which it reads the store, preferred first: up to two
     * that are before this one by size. None for the first one and in a small failure domain.
     */
    readonly listReaders: () => readonly InstanceId[];
    /** Returns whether other instances of the failure domain read the store through this one. */
    readonly isReader: () => boolean;
    /** Returns whether the store lists this instance with the given entry, by default that of its settings. */
    readonly isRegistered: (entry?: InstanceEntry) => boolean;
    /** Returns this instance's entry in the store; `undefined` when there is none. */
    readonly findOwn: () => InstanceEntry | undefined;
    /** Returns whether the first list that was read had this instance's entry: the process before it didn't end by itself. */
    readonly wasListed: () => boolean;
    /** Returns how many records were read so far that put this instance's entry into the list. */
    readonly countOwnEntries: () => number;
    /** Returns the earliest time, as Unix time, at which an instance says to have seen an era of the store. */
    readonly findEraSeenAt: (era: StoreEra) => Milliseconds | undefined;
    /** Returns whether a snapshot has been read. */
    readonly isLoaded: () => boolean;
    /**
     * Returns whether this instance is among the `count` instances with the most processor time; among equal ones a hash
     * of the name decides, so that they are spread over the failure domains.
     */
    readonly isAmongLargest: (count: number) => boolean;
}

/** Instances of a failure domain from which on most of them read the store through others. */
const relayedDomainSize = 4;
const readersPerDomain = 2;
/** Time for which an instance that has left the list is remembered. */
const formerMilliseconds: Milliseconds = 60_000;
/** Largest entry that is read. */
const maximumEntryBytes = 65_536;
const entrySchema = z.object({
    address: addressSchema,
    failureDomain: nameSchema.default(""),
    cores: amountSchema.default(0),
    storeEra: ordinalSchema.optional().catch(undefined),
    storeEraSeenAt: startTimeSchema.optional().catch(undefined),
});

/**
 * Creates a directory without other instances.
 *
 * @param self - entry of this instance, whose record in the store is skipped
 * @param now - reads the monotonic clock
 * @returns the directory, of which an instance needs one object
 */
export function createInstanceDirectory(
    self: InstanceEntry,
    now: () => Milliseconds = () => performance.now(),
): InstanceDirectory {
    const entries = new Map<string, InstanceEntry>();
    const former = new Map<string, { readonly entry: InstanceEntry; readonly until: Milliseconds; }>();
    let readers: readonly InstanceId[] = [];
    let isReader = false;
    let ownValue: Uint8Array | undefined;
    let ownEntries = 0;
    let wasListed = false;
    let isLoaded = false;
    const refreshReaders = (): void => {
        const neighbours = [...entries.values()].filter(entry => entry.failureDomain === self.failureDomain);
        const larger = neighbours.filter(entry => compareSize(entry, self) < 0).sort(compareSize);
        const isLargeDomain = neighbours.length + 1 >= relayedDomainSize;
        isReader = isLargeDomain && larger.length < readersPerDomain;
        readers = isLargeDomain ? larger.slice(0, readersPerDomain).map(entry => entry.id) : [];
    };
    const removeEntry = (id: string): void => {
        const entry = entries.get(id);
        if (entry) {
            former.set(id, { entry, until: now() + formerMilliseconds });
            entries.delete(id);
        }
    };
    const findFormer = (id: string): InstanceEntry | undefined => {
        const known = former.get(id);
        return known && now() < known.until ? known.entry : undefined;
    };
    const forgetFormer = (): void =>
        [...former].filter(([, { until }]) => now() >= until).forEach(([id]) => former.delete(id));
    const putRecord = (record: KeyedRecord): void => {
        if (record.key === self.id) {
            ownValue = record.value;
            ownEntries += ownValue ? 1 : 0;
            return;
        }
        const entry = record.value && decodeEntry(record.key, record.value);
        if (entry) {
            entries.set(record.key, entry);
            former.delete(record.key);
        }
        else {
            removeEntry(record.key);
        }
    };
    return {
        listOthers: () => [...entries.values()],
        findAddress: id => (entries.get(id) ?? findFormer(id))?.address,
        isListed: id => entries.has(id),
        applyRecord: record => {
            putRecord(record);
            forgetFormer();
            refreshReaders();
        },
        replaceAll: records => {
            wasListed ||= !isLoaded && records.some(({ key, value }) => key === self.id && value !== undefined);
            isLoaded = true;
            [...entries.keys()].forEach(removeEntry);
            ownValue = undefined;
            records.forEach(putRecord);
            forgetFormer();
            refreshReaders();
        },
        countInstances: () => entries.size + 1,
        countKnown: () => {
            forgetFormer();
            return entries.size + former.size + 1;
        },
        listReaders: () => readers,
        isReader: () => isReader,
        isRegistered: (entry = self) =>
            ownValue !== undefined && Buffer.compare(ownValue, encodeInstanceEntry(entry)) === 0,
        findOwn: () => ownValue && decodeEntry(self.id, ownValue),
        wasListed: () => wasListed,
        countOwnEntries: () => ownEntries,
        findEraSeenAt: era => {
            const own = ownValue && decodeEntry(self.id, ownValue);
            const times = [...entries.values(), ...own ? [own] : []]
                .filter(entry => entry.storeEra === era)
                .map(entry => entry.storeEraSeenAt)
                .filter(seenAt => seenAt !== undefined);
            return times.length > 0 ? Math.min(...times) : undefined;
        },
        isLoaded: () => isLoaded,
        isAmongLargest: count => {
            let larger = 0;
            for (const entry of entries.values()) {
                larger += compareSize(entry, self) < 0 ? 1 : 0;
            }
            return larger < count;
        },
    };
}

// largest first
function compareSize(left: InstanceEntry, right: InstanceEntry): number {
    return right.cores - left.cores || hashForRendezvous(left.id) - hashForRendezvous(right.id) ||
        compareText(left.id, right.id);
}

/**
 * Encodes the entry of an instance as JSON without its id, which is the key of the record.
 *
 * @param entry - the entry
 * @returns value of the record
 */
export function encodeInstanceEntry(entry: InstanceEntry): Uint8Array {
    const { address, failureDomain, cores, storeEra, storeEraSeenAt } = entry;
    return Buffer.from(JSON.stringify({ address, failureDomain, cores, storeEra, storeEraSeenAt }), "utf8");
}

function decodeEntry(id: InstanceId, value: Uint8Array): InstanceEntry | undefined {
    try {
        return { id, ...entrySchema.parse(parseBoundedJson(value, maximumEntryBytes)) };
    }
    catch {
        // an unreadable entry is treated as a missing one
        return undefined;
    }
}
