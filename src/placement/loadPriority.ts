/**
 * Order in which adapters with waiting requests are loaded.
 *
 * @packageDocumentation
 */
import { compareText, type Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey } from "./messages.js";

/** An adapter with waiting requests. */
export interface LoadCandidate {
    readonly key: AdapterVersionKey;
    readonly interactive: number;
    readonly overnight: number;
    /** Requests that wait for a batch slot rather than for a load. */
    readonly queued: number;
    readonly oldestWait: Milliseconds;
}

/** Waiting time that raises the urgency as much as one more waiting request. */
const waitEqualToOneRequestMilliseconds = 500;

/**
 * Ranks adapters for loading. Adapters with interactive requests come first, then those with more waiting requests.
 * Waiting time adds to the urgency, so that an adapter with few requests is not starved.
 *
 * @param candidates - adapters with waiting requests
 * @returns a new array of the same adapters, most urgent first
 */
export function rankLoadCandidates(candidates: readonly LoadCandidate[]): readonly LoadCandidate[] {
    return [...candidates].sort((left, right) =>
        Number(right.interactive > 0) - Number(left.interactive > 0)
        || computeUrgency(right) - computeUrgency(left)
        || compareText(left.key, right.key)
    );
}

function computeUrgency(candidate: LoadCandidate): number {
    const waitingRequests = candidate.interactive > 0 ? candidate.interactive : candidate.overnight;
    return waitingRequests + candidate.oldestWait / waitEqualToOneRequestMilliseconds;
}
