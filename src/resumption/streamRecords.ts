/**
 * Origins of streams, of a limited number and for a limited time.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { Milliseconds } from "../shared/index.js";
import type { StreamKey } from "./streamKey.js";
import type { StreamOrigin } from "./types.js";

/** A stream and what began it. */
export interface StreamRecord {
    readonly key: StreamKey;
    readonly origin: StreamOrigin;
}

/** Streams that an instance keeps. */
export interface StreamRecords {
    /** Adds a stream, or keeps a known one for longer; the newest replace the oldest ones. */
    readonly put: (record: StreamRecord, expiresAt: Milliseconds) => void;
    readonly find: (key: StreamKey, now: Milliseconds) => StreamOrigin | undefined;
    readonly remove: (key: StreamKey) => void;
    readonly list: (now: Milliseconds) => readonly StreamRecord[];
    readonly expire: (now: Milliseconds) => void;
}

interface KeptOrigin {
    readonly origin: StreamOrigin;
    readonly expiresAt: Milliseconds;
}

/**
 * Creates an empty set of records.
 *
 * @param maximumCount - number of streams that are kept
 * @returns the records
 */
export function createStreamRecords(maximumCount: number): StreamRecords {
    const kept = new LRUCache<StreamKey, KeptOrigin>({ max: maximumCount });
    return {
        put: ({ key, origin }, expiresAt) => void kept.set(key, { origin, expiresAt }),
        find: (key, now) => {
            const found = kept.get(key);
            return found && found.expiresAt > now ? found.origin : undefined;
        },
        remove: key => void kept.delete(key),
        list: now =>
            [...kept.entries()]
                .filter(([, { expiresAt }]) => expiresAt > now)
                .map(([key, { origin }]) => ({ key, origin })),
        expire: now => {
            for (const [key, { expiresAt }] of kept.entries()) {
                if (expiresAt <= now) {
                    kept.delete(key);
                }
            }
        },
    };
}
