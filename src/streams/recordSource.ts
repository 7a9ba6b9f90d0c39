/**
 * Choice of where an instance reads a stream: a few instances of each region read the log, and the others read from
 * those.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { compareText, rankByRendezvous } from "../shared/index.js";

/** Source of the next read. */
export type RecordSource =
    | { readonly kind: "log"; }
    | { readonly kind: "peer"; readonly peer: InstanceId; };

/** Inputs of the choice of a source. */
export interface RecordSourceInputs {
    readonly self: InstanceId;
    /** Live instances of this instance's region, itself included. */
    readonly regionInstances: readonly InstanceId[];
    /** Number of instances per region that read the log directly. */
    readonly directReaders: number;
    /** Number of consecutive reads from peers that failed or whose answer wasn't confirmed by the log recently. */
    readonly peerFailures: number;
    /**
     * Time since this instance itself last sent a read to the log; `Infinity` if it never did, or if a peer has refused
     * a read since because it no longer has the records.
     */
    readonly timeSinceOwnLogRead: Milliseconds;
}

const ownLogReadIntervalMilliseconds = 30_000;
const peerFailuresBeforeLog = 2;

/**
 * Chooses the source of the next read.
 *
 * @param inputs - instances of the region, and recent reads of this instance
 * @returns the log, or a peer that reads the log directly
 */
export function chooseRecordSource(inputs: RecordSourceInputs): RecordSource {
    const { self, regionInstances, directReaders, peerFailures } = inputs;
    const directReaderIds = rankByRendezvous("stream/readers", regionInstances, directReaders);
    if (directReaderIds.length === 0 || directReaderIds.includes(self)) {
        return { kind: "log" };
    }
    // rate-limited, because during an outage of the log the reads of all instances fail and each would turn to the log
    const isLogReadDue = inputs.timeSinceOwnLogRead >= ownLogReadIntervalMilliseconds;
    if (peerFailures >= peerFailuresBeforeLog && isLogReadDue) {
        return { kind: "log" };
    }
    // chosen by index, so that each direct reader serves about the same number of instances
    const indexAmongOthers = regionInstances.filter(other => !directReaderIds.includes(other)).sort(compareText)
        .indexOf(self);
    return { kind: "peer", peer: directReaderIds[(indexAmongOthers + peerFailures) % directReaderIds.length]! };
}
