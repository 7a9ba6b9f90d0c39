/**
 * Order in which waiting adapters are loaded.
 *
 * @packageDocumentation
 */
import { compareText, type Milliseconds } from "../shared/index.js";
import type { AdapterVersionKey } from "./messages.js";

/** An adapter that wants a load. */
export interface LoadCandidate {
    readonly key: AdapterVersionKey;
    readonly interactive: number;
    readonly overnight: number;
    /** Those who wait for a place in a batch, not for a load. */
    readonly queued: number;
    readonly oldestWait: Milliseconds;
}

/** Time of waiting that counts as much as one waiting request more. */
const waitEqualToOneRequestMilliseconds = 500;

/**
 * Ranks adapters for loading: interactive work first, then the most waiting work, with age so that nobody starves.
 *
 * @param candidates - adapters that want a load
 * @returns the same, most urgent first
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
