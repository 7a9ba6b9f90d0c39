/**
 * What this instance has seen of each run of a backend server: work under way, load as told, and failures.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { ServerLoad, ServerRunId } from "./types.js";

/** Record of one run of a server. */
export interface ServerRecord {
    inFlight: number;
    /** Requests of the other instances, as they last told. */
    othersInFlight: number;
    load: ServerLoad | undefined;
    loadReceivedAt: Milliseconds;
    /** Recent part of requests that failed, 0 to 1. */
    failureRatio: number;
    failureRatioAt: Milliseconds;
    consecutiveFailures: number;
    /** Until then the server is only used when there is no other. */
    avoidedUntil: Milliseconds;
}

/** Records of all servers. */
export interface ServerRecords {
    readonly find: (run: ServerRunId) => ServerRecord;
    readonly remove: (run: ServerRunId) => void;
    readonly markSuccess: (run: ServerRunId, now: Milliseconds) => void;
    readonly markFailure: (run: ServerRunId, isSevere: boolean, now: Milliseconds) => void;
    readonly list: () => IterableIterator<[ServerRunId, ServerRecord]>;
}

const failureHalfLifeMilliseconds = 3_000;
const failureWeight = 0.2;
const initialAvoidanceMilliseconds = 500;
const maximumAvoidanceMilliseconds = 4_000;
const failuresBeforeAvoidance = 3;

/**
 * Creates the records.
 *
 * @returns no records yet
 */
export function createServerRecords(): ServerRecords {
    const records = new Map<ServerRunId, ServerRecord>();
    const find = (run: ServerRunId): ServerRecord => {
        let record = records.get(run);
        if (!record) {
            record = {
                inFlight: 0,
                othersInFlight: 0,
                load: undefined,
                loadReceivedAt: 0,
                failureRatio: 0,
                failureRatioAt: 0,
                consecutiveFailures: 0,
                avoidedUntil: 0,
            };
            records.set(run, record);
        }
        return record;
    };
    return {
        find,
        remove: run => void records.delete(run),
        markSuccess: (run, now) => {
            const record = find(run);
            record.failureRatio = computeFailureRatio(record, now) * (1 - failureWeight);
            record.failureRatioAt = now;
            record.consecutiveFailures = 0;
            record.avoidedUntil = 0;
        },
        markFailure: (run, isSevere, now) => {
            const record = find(run);
            record.failureRatio = computeFailureRatio(record, now) * (1 - failureWeight) + failureWeight;
            record.failureRatioAt = now;
            record.consecutiveFailures++;
            if (isSevere || record.consecutiveFailures >= failuresBeforeAvoidance) {
                const doublings = Math.max(0, record.consecutiveFailures - (isSevere ? 1 : failuresBeforeAvoidance));
                const avoidance = Math.min(maximumAvoidanceMilliseconds, initialAvoidanceMilliseconds * 2 ** doublings);
                record.avoidedUntil = now + avoidance;
            }
        },
        list: () => records.entries(),
    };
}

/**
 * Reads the recent part of failed requests; it fades while nothing is sent.
 *
 * @param record - the server's record
 * @param now - the present time
 * @returns 0 to 1
 */
export function computeFailureRatio(record: ServerRecord, now: Milliseconds): number {
    return record.failureRatio * 0.5 ** (Math.max(0, now - record.failureRatioAt) / failureHalfLifeMilliseconds);
}
