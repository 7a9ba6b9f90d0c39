/**
 * Failed loads by adapter. A failed load is tried on another engine first; after repeated failures, further loads are
 * delayed exponentially and requests for the adapter are refused in the meantime.
 *
 * @packageDocumentation
 */
import type { BackendServerId, Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey } from "./messages.js";

interface FailureRecord {
    readonly count: number;
    readonly engines: readonly BackendServerId[];
    readonly detail: string;
    readonly lastAt: Milliseconds;
    /** No load is tried before this time. */
    readonly retryAt: Milliseconds;
}

/** The remaining delay before an adapter is loaded again. */
export interface LoadBackoff {
    readonly detail: string;
    readonly retryAfter: Milliseconds;
}

/** Failed loads of all adapters. */
export interface LoadFailures {
    readonly add: (key: AdapterVersionKey, engine: BackendServerId, detail: string, now: Milliseconds) => void;
    readonly remove: (key: AdapterVersionKey) => void;
    /** Returns the current backoff of an adapter, or `undefined` when it may be loaded. */
    readonly findBackoff: (key: AdapterVersionKey, now: Milliseconds) => LoadBackoff | undefined;
    /** Engines that failed to load the adapter; other engines are preferred. */
    readonly listFailedEngines: (key: AdapterVersionKey) => readonly BackendServerId[];
    readonly size: () => number;
    /** Removes adapters whose last failure is older than the retention time. */
    readonly prune: (now: Milliseconds) => void;
}

const attemptsBeforeBackoff = 3;
const initialBackoffMilliseconds = 5_000;
const maximumBackoffMilliseconds = 60_000;
const failureRetentionMilliseconds = 600_000;

/**
 * Creates a record without failures.
 *
 * @returns the record, owned by the caller
 */
export function createLoadFailures(): LoadFailures {
    const failures = new Map<AdapterVersionKey, FailureRecord>();
    return {
        add: (key, engine, detail, now) => {
            const known = failures.get(key);
            const count = (known?.count ?? 0) + 1;
            const backoffRound = count - attemptsBeforeBackoff;
            const wait = backoffRound < 0
                ? 0
                : Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** backoffRound);
            // after a backoff any engine may be tried again
            const engines = backoffRound < 0 ? [...known?.engines ?? [], engine] : [];
            failures.set(key, { count, engines, detail, lastAt: now, retryAt: now + wait });
        },
        remove: key => {
            failures.delete(key);
        },
        findBackoff: (key, now) => {
            const failure = failures.get(key);
            return failure && failure.retryAt > now
                ? { detail: failure.detail, retryAfter: failure.retryAt - now }
                : undefined;
        },
        listFailedEngines: key => failures.get(key)?.engines ?? [],
        size: () => failures.size,
        prune: now => {
            for (const [key, failure] of failures) {
                if (now - failure.lastAt > failureRetentionMilliseconds) {
                    failures.delete(key);
                }
            }
        },
    };
}
