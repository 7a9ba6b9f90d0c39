/**
 * Where an instance reads a stream: a few instances of each region read the log, the others ask those.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { compareText, rankByRendezvous } from "../shared/index.js";

/** Where to read next. */
export type RecordSource =
    | { readonly kind: "log"; }
    | { readonly kind: "peer"; readonly peer: InstanceId; };

/** What decides where an instance reads. */
export interface RecordSourceInputs {
    readonly self: InstanceId;
    /** Live instances of this instance's region, itself included. */
    readonly regionInstances: readonly InstanceId[];
    /** Instances of a region that read the log directly. */
    readonly directReaders: number;
    /** Failures in a row of peers. */
    readonly peerFailures: number;
    /** Time since this instance itself last tried the log. */
    readonly timeSinceOwnLogRead: Milliseconds;
}

const ownLogReadIntervalMilliseconds = 30_000;
const peerFailuresBeforeLog = 2;

/**
 * Chooses where to read next.
 *
 * @param inputs - the region and what went wrong lately
 * @returns the log, or a peer that reads it
 */
export function chooseRecordSource(inputs: RecordSourceInputs): RecordSource {
    const { self, regionInstances, directReaders, peerFailures } = inputs;
    const directReaderIds = rankByRendezvous("stream/readers", regionInstances, directReaders);
    if (directReaderIds.length === 0 || directReaderIds.includes(self)) {
        return { kind: "log" };
    }
    // after failures the log is asked now and then only, for when it is down everyone comes here
    const isLogReadDue = inputs.timeSinceOwnLogRead >= ownLogReadIntervalMilliseconds;
    if (peerFailures >= peerFailuresBeforeLog && isLogReadDue) {
        return { kind: "log" };
    }
    // by place among the others, so that each reader serves the same number
    const indexAmongOthers = regionInstances.filter(other => !directReaderIds.includes(other)).sort(compareText)
        .indexOf(self);
    return { kind: "peer", peer: directReaderIds[(indexAmongOthers + peerFailures) % directReaderIds.length]! };
}
