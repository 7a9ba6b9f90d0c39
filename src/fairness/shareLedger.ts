/**
 * Tells which kinds of request, accounts, adapters and sessions get less than a quarter of what all get: of their requests
 * a smaller part is served than a quarter of the part that is served of all.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { Milliseconds } from "../shared/index.js";

/** Requests asked and served, by key; a request has a key for each group that it belongs to. */
export interface ShareLedger {
    readonly recordAsked: (keys: readonly string[], now: Milliseconds) => void;
    readonly recordServed: (keys: readonly string[], now: Milliseconds) => void;
    /** Whether one of the groups is owed at least one request. */
    readonly isOwed: (keys: readonly string[]) => boolean;
}

interface Share {
    asked: number;
    served: number;
    countedAt: Milliseconds;
}

/** Part of what all get that every group gets. */
const guaranteedRatio = 0.25;
/** Half-life of the counts, which covers a surge of 4 to 7 s. */
const halfLifeMilliseconds = 5_000;
const maximumGroups = 4_096;

/**
 * Creates an empty ledger.
 *
 * @returns the ledger, owned by the caller; beyond a fixed number of groups it drops those that asked least recently
 */
export function createShareLedger(): ShareLedger {
    const owed = new Set<string>();
    const shares = new LRUCache<string, Share>({
        max: maximumGroups,
        dispose: (share, key, reason) => reason !== "set" && owed.delete(key),
    });
    const all: Share = { asked: 0, served: 0, countedAt: 0 };
    const reduceByAge = (share: Share, now: Milliseconds): Share => {
        const factor = 0.5 ** (Math.max(0, now - share.countedAt) / halfLifeMilliseconds);
        share.asked *= factor;
        share.served *= factor;
        share.countedAt = now;
        return share;
    };
    const update = (key: string, now: Milliseconds, asked: number, served: number): void => {
        const share = reduceByAge(shares.get(key) ?? { asked: 0, served: 0, countedAt: now }, now);
        share.asked += asked;
        share.served += served;
        shares.set(key, share);
        const ratio = all.served / Math.max(1, all.asked);
        // a single request that isn't served yet is owed nothing, or each new session would go first
        if (share.asked * Math.min(1, ratio) * guaranteedRatio - share.served >= 1) {
            owed.add(key);
        }
        else {
            owed.delete(key);
        }
    };
    return {
        recordAsked: (keys, now) => {
            reduceByAge(all, now).asked++;
            keys.forEach(key => update(key, now, 1, 0));
        },
        recordServed: (keys, now) => {
            reduceByAge(all, now).served++;
            keys.forEach(key => update(key, now, 0, 1));
        },
        isOwed: keys => owed.size > 0 && keys.some(key => owed.has(key)),
    };
}
