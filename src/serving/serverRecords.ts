/**
 * What this instance has seen of each run of a backend server: work under way, load as told, and failures.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { ServerLoad, ServerRun } from "./types.js";

/** Record of one run of a server. */
export interface ServerRecord {
    inFlight: number;
    /** Requests of the other instances, as they last told. */
    othersInFlight: number;
    load: ServerLoad | undefined;
    loadAt: Milliseconds;
    /** Recent part of requests that failed, 0 to 1. */
    failurePart: number;
    failureAt: Milliseconds;
    failuresInRow: number;
    /** Until then the server is only used when there is no other. */
    avoidedUntil: Milliseconds;
}

/** Records of all servers. */
export interface ServerRecords {
    readonly find: (run: ServerRun) => ServerRecord;
    readonly remove: (run: ServerRun) => void;
    readonly markSuccess: (run: ServerRun, now: Milliseconds) => void;
    readonly markFailure: (run: ServerRun, isSevere: boolean, now: Milliseconds) => void;
    readonly list: () => IterableIterator<[ServerRun, ServerRecord]>;
}

const failureHalfLifeMilliseconds = 3_000;
const failureWeight = 0.2;
const firstAvoidanceMilliseconds = 500;
const avoidanceLimitMilliseconds = 4_000;
const failuresBeforeAvoidance = 3;

/**
 * Creates the records.
 *
 * @returns no records yet
 */
export function createServerRecords(): ServerRecords {
    const records = new Map<ServerRun, ServerRecord>();
    const find = (run: ServerRun): ServerRecord => {
        let record = records.get(run);
        if (!record) {
            record = {
                inFlight: 0,
                othersInFlight: 0,
                load: undefined,
                loadAt: 0,
                failurePart: 0,
                failureAt: 0,
                failuresInRow: 0,
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
            record.failurePart = readFailurePart(record, now) * (1 - failureWeight);
            record.failureAt = now;
            record.failuresInRow = 0;
            record.avoidedUntil = 0;
        },
        markFailure: (run, isSevere, now) => {
            const record = find(run);
            record.failurePart = readFailurePart(record, now) * (1 - failureWeight) + failureWeight;
            record.failureAt = now;
            record.failuresInRow++;
            if (isSevere || record.failuresInRow >= failuresBeforeAvoidance) {
                const doublings = Math.max(0, record.failuresInRow - (isSevere ? 1 : failuresBeforeAvoidance));
                const avoidance = Math.min(avoidanceLimitMilliseconds, firstAvoidanceMilliseconds * 2 ** doublings);
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
export function readFailurePart(record: ServerRecord, now: Milliseconds): number {
    return record.failurePart * 0.5 ** (Math.max(0, now - record.failureAt) / failureHalfLifeMilliseconds);
}
