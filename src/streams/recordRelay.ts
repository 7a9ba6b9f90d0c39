/**
 * Recent records of the stream, kept for the instances that read through this one.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { LogRecord } from "../backends/index.js";
import type { Clock, LogOffset, Milliseconds } from "../shared/index.js";
import type { RecordsPage } from "./messages.js";

/** Answer to a peer that asks for records. */
export type RelayAnswer = RecordsPage | { readonly kind: "recordsRefused"; readonly reason: "notReady" | "expired"; };

/** Serves records to peers. */
export interface RecordRelay {
    /** Keeps records just read and answers those who wait for them. */
    readonly put: (records: readonly LogRecord[], head: LogOffset) => void;
    /** Notes that the log was asked at that time and held no more records than those kept. */
    readonly recordConfirmation: (requestSentAt: Milliseconds) => void;
    readonly serve: (from: LogOffset, waitFor: Milliseconds) => Promise<RelayAnswer>;
}

interface RelayEvents {
    readonly arrival: undefined;
}

const maximumCachedRecords = 500;

/**
 * Creates a relay that has read nothing.
 *
 * @param clock - for the time that a request waits
 * @returns the relay
 */
export function createRecordRelay(clock: Clock): RecordRelay {
    const events = new Emittery<RelayEvents>();
    let cachedRecords: readonly LogRecord[] = [];
    let head: LogOffset | undefined;
    let confirmedAt: Milliseconds | undefined;

    const createAnswer = (from: LogOffset, requestReceivedAt: Milliseconds): RelayAnswer => {
        if (head === undefined) {
            return { kind: "recordsRefused", reason: "notReady" };
        }
        const oldestOffset = cachedRecords[0]?.offset ?? head;
        if (from < oldestOffset) {
            return { kind: "recordsRefused", reason: "expired" };
        }
        const records = cachedRecords.slice(from - oldestOffset);
        // rounded up, for an older confirmation promises less
        const confirmedBefore = confirmedAt === undefined ? undefined : Math.ceil(requestReceivedAt - confirmedAt);
        return { kind: "recordsPage", records, head, confirmedBefore };
    };
    return {
        put: (records, newHead) => {
            const newRecords = records.filter(record => head === undefined || record.offset >= head);
            const isContiguous = newRecords.length === 0 || cachedRecords.length === 0 ||
                cachedRecords.at(-1)!.offset + 1 === newRecords[0]!.offset;
            cachedRecords = [...(isContiguous ? cachedRecords : []), ...newRecords].slice(-maximumCachedRecords);
            head = newHead;
            if (newRecords.length > 0) {
                void events.emit("arrival");
            }
        },
        recordConfirmation: requestSentAt => {
            confirmedAt = Math.max(confirmedAt ?? requestSentAt, requestSentAt);
        },
        serve: async (from, waitFor) => {
            const requestReceivedAt = clock.now();
            if (head !== undefined && from >= head) {
                await waitForArrival(events, clock, waitFor);
            }
            return createAnswer(from, requestReceivedAt);
        },
    };
}

async function waitForArrival(events: Emittery<RelayEvents>, clock: Clock, waitFor: Milliseconds): Promise<void> {
    const timer = new AbortController();
    const arrival = events.once("arrival");
    await Promise.race([arrival, clock.sleep(waitFor, timer.signal)]);
    timer.abort();
    arrival.off();
}
