/**
 * What this instance knows of each run of a backend server: requests in flight, reported load and recent failures.
 *
 * @packageDocumentation
 */
import type { EngineLoadState, PromptCache } from "../routing/index.js";
import type { Milliseconds } from "../shared/index.js";
import type { ServerLoad, ServerRunId } from "./types.js";

/** Record of one run of a server. */
export interface ServerRecord {
    /** Requests in flight that were sent by this instance or, on an engine, were placed by it. */
    inFlight: number;
    /** Last load that the server reported. */
    load: ServerLoad | undefined;
    loadReceivedAt: Milliseconds;
    /** Moving average of how long the server says that work takes on its machine, where 1 is usual. */
    slowness: number;
    /** What the holder of an engine's shard knows of it; `undefined` for other servers and on other instances. */
    engine: EngineRecord | undefined;
    /** Requests a second that the server's last response allowed to all instances together; `undefined` for no limit. */
    requestLimit: number | undefined;
    /** Moving average of failed requests as of `failureRatioAt`, 0 to 1. */
    failureRatio: number;
    failureRatioAt: Milliseconds;
    consecutiveFailures: number;
    /** Times in a row that the server was avoided and failed again afterwards. */
    avoidances: number;
    /** Time until which the server is used only when no other one is suitable. */
    avoidedUntil: Milliseconds;
}

/** Load of an engine, and the parts of prompts that it has read. */
export interface EngineRecord {
    load: EngineLoadState;
    readonly cache: PromptCache;
}

/** Records of all servers. */
export interface ServerRecords {
    /** Returns the record of a run, which is created if needed; the caller may change it. */
    readonly getRecord: (run: ServerRunId) => ServerRecord;
    readonly remove: (run: ServerRunId) => void;
    /** Counts a successful request, after which the server is no longer avoided. */
    readonly markSuccess: (run: ServerRunId, now: Milliseconds) => void;
    /**
     * Counts a failed request; the server is avoided for a time after several failures in a row, or after one severe
     * failure. A request of which no byte could be sent is a severe failure. Failures while it is avoided belong to
     * requests that were sent before, and don't count as a further time.
     */
    readonly markFailure: (run: ServerRunId, isSevere: boolean, now: Milliseconds) => void;
}

/** Time in which a former slowness loses two thirds of its weight; the figure changes many times a second. */
const slownessAveragingMilliseconds = 1_000;
/** Smallest weight of a new slowness, so that many responses at once don't hold the average. */
const minimumSlownessWeight = 0.05;
/** Time in which the failure ratio of a server that receives no requests halves. */
const failureHalfLifeMilliseconds = 3_000;
/** Weight of the newest request in the failure ratio. */
const failureWeight = 0.2;
/** Time for which a server is avoided at first; it doubles each time that it fails again afterwards, up to the maximum. */
const initialAvoidanceMilliseconds = 500;
const maximumAvoidanceMilliseconds = 4_000;
/** Failures in a row after which a server is avoided; a single severe failure is enough. */
const failuresBeforeAvoidance = 3;

/**
 * Creates an empty set of records.
 *
 * @returns the records, of which an instance needs one object
 */
export function createServerRecords(): ServerRecords {
    const records = new Map<ServerRunId, ServerRecord>();
    const getRecord = (run: ServerRunId): ServerRecord => {
        let record = records.get(run);
        if (!record) {
            record = {
                inFlight: 0,
                load: undefined,
                loadReceivedAt: 0,
                slowness: 1,
                engine: undefined,
                requestLimit: undefined,
                failureRatio: 0,
                failureRatioAt: 0,
                consecutiveFailures: 0,
                avoidances: 0,
                avoidedUntil: 0,
            };
            records.set(run, record);
        }
        return record;
    };
    return {
        getRecord,
        remove: run => void records.delete(run),
        markSuccess: (run, now) => {
            const record = getRecord(run);
            record.failureRatio = computeFailureRatio(record, now) * (1 - failureWeight);
            record.failureRatioAt = now;
            record.consecutiveFailures = 0;
            record.avoidances = 0;
            record.avoidedUntil = 0;
        },
        markFailure: (run, isSevere, now) => {
            const record = getRecord(run);
            record.failureRatio = computeFailureRatio(record, now) * (1 - failureWeight) + failureWeight;
            record.failureRatioAt = now;
            record.consecutiveFailures++;
            if (isSevere || record.consecutiveFailures >= failuresBeforeAvoidance) {
                record.avoidances += record.avoidedUntil <= now ? 1 : 0;
                record.avoidedUntil = now + computeAvoidance(record.avoidances);
            }
        },
    };
}

/**
 * Computes the moving average of a server's slowness after a response.
 *
 * @param record - record of the server before the response
 * @param load - load that the response states
 * @param now - current time
 * @returns the average, where 1 is usual
 */
export function computeMeanSlowness(
    record: Pick<ServerRecord, "slowness" | "loadReceivedAt">,
    { slowness }: Pick<ServerLoad, "slowness">,
    now: Milliseconds,
): number {
    if (slowness === undefined) {
        return record.slowness;
    }
    const age = Math.max(0, now - record.loadReceivedAt);
    const weight = Math.max(minimumSlownessWeight, 1 - Math.exp(-age / slownessAveragingMilliseconds));
    return record.slowness + (slowness - record.slowness) * weight;
}

function computeAvoidance(avoidances: number): Milliseconds {
    return Math.min(maximumAvoidanceMilliseconds, initialAvoidanceMilliseconds * 2 ** (avoidances - 1));
}

/**
 * Computes the failure ratio of a server, which decays exponentially while no requests are sent to it.
 *
 * @param record - record of the server
 * @param now - current time
 * @returns moving average of failed requests, 0 to 1
 */
export function computeFailureRatio(record: ServerRecord, now: Milliseconds): number {
    return record.failureRatio * 0.5 ** (Math.max(0, now - record.failureRatioAt) / failureHalfLifeMilliseconds);
}
