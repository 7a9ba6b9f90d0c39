/**
 * Adapters whose loads fail: another engine first, then a truthful refusal for a while.
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
    /** Before this time no new load is tried. */
    readonly retryAt: Milliseconds;
}

/** A load that is not tried for a while. */
export interface LoadBackoff {
    readonly detail: string;
    readonly retryAfter: Milliseconds;
}

/** Failed loads of all adapters. */
export interface LoadFailures {
    readonly add: (key: AdapterVersionKey, engine: BackendServerId, detail: string, now: Milliseconds) => void;
    readonly remove: (key: AdapterVersionKey) => void;
    /** Tells whether loads of the adapter are given up for now. */
    readonly findBackoff: (key: AdapterVersionKey, now: Milliseconds) => LoadBackoff | undefined;
    /** Engines that failed to load it and are not to be tried again yet. */
    readonly listFailedEngines: (key: AdapterVersionKey) => readonly BackendServerId[];
    readonly size: () => number;
    readonly prune: (now: Milliseconds) => void;
}

const attemptsBeforeBackoff = 3;
const initialBackoffMilliseconds = 5_000;
const maximumBackoffMilliseconds = 60_000;
const failureRetentionMilliseconds = 600_000;

/**
 * Creates an empty record of failures.
 *
 * @returns no failures
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
            // once given up, any engine may be tried again after the wait
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
