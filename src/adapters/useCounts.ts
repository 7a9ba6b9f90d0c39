/**
 * Counts how this instance uses adapters. The counts are sent to the holders of the engines' shards, which choose from
 * them the adapters to evict.
 *
 * @packageDocumentation
 */
import type { ModelChoice, ServerRunId } from "../serving/types.js";
import { type AdapterKey, type AdapterUse, formatAdapterKey } from "./messages.js";

/** Use counts of this instance, per engine and adapter. */
export interface UseCounts {
    /** Counts the start of a request; requests that name only a base model are ignored. */
    readonly markStarted: (run: ServerRunId, choice: ModelChoice) => void;
    /** Counts the end of a request. */
    readonly markEnded: (run: ServerRunId, choice: ModelChoice) => void;
    /** Returns the counts of an engine that changed since the last call, and resets the numbers of started requests. */
    readonly drain: (run: ServerRunId) => readonly AdapterUse[];
    /** Marks all counts of an engine as changed, so that the next drain returns them for a new shard holder. */
    readonly markChanged: (run: ServerRunId) => void;
    readonly remove: (run: ServerRunId) => void;
}

interface UseCount {
    started: number;
    inFlight: number;
    hasChanged: boolean;
}

/**
 * Creates empty counts.
 *
 * @returns the counts, owned by the caller
 */
export function createUseCounts(): UseCounts {
    const engines = new Map<ServerRunId, Map<AdapterKey, UseCount>>();
    const getOrCreateUse = (run: ServerRunId, choice: ModelChoice): UseCount | undefined => {
        if (choice.adapter === undefined) {
            return undefined;
        }
        const counts = engines.get(run) ?? new Map<AdapterKey, UseCount>();
        engines.set(run, counts);
        const key = formatAdapterKey(choice.model, choice.adapter);
        const use = counts.get(key) ?? { started: 0, inFlight: 0, hasChanged: true };
        counts.set(key, use);
        use.hasChanged = true;
        return use;
    };
    return {
        markStarted: (run, choice) => {
            const use = getOrCreateUse(run, choice);
            if (use) {
                use.started++;
                use.inFlight++;
            }
        },
        markEnded: (run, choice) => {
            const use = getOrCreateUse(run, choice);
            if (use) {
                use.inFlight = Math.max(0, use.inFlight - 1);
            }
        },
        drain: run => {
            const drained: AdapterUse[] = [];
            const counts = engines.get(run);
            for (const [key, use] of counts ?? []) {
                if (use.hasChanged) {
                    drained.push({ run, key, started: use.started, inFlight: use.inFlight });
                    use.started = 0;
                    use.hasChanged = false;
                }
                if (use.inFlight === 0) {
                    counts!.delete(key);
                }
            }
            return drained;
        },
        markChanged: run => engines.get(run)?.forEach(use => use.hasChanged = true),
        remove: run => void engines.delete(run),
    };
}
