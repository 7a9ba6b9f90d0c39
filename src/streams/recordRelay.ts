/**
 * Cache of recent records of a stream, from which other instances read instead of from the log.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { LogRecord } from "../backends/index.js";
import type { Clock, LogOffset, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { RecordsPage } from "./messages.js";

/** Response to a peer that requests records. */
export type RelayAnswer = RecordsPage | { readonly kind: "recordsRefused"; readonly reason: "notReady" | "expired"; };

/** Serves recent records to peers. */
export interface RecordRelay {
    /**
     * Adds records that were just read, and answers the requests that wait for them. `head` is the offset after the
     * last record read.
     */
    readonly put: (records: readonly LogRecord[], head: LogOffset) => void;
    /** Records that a request sent to the log at this monotonic time found no record after those in the cache. */
    readonly recordConfirmation: (requestSentAt: Milliseconds) => void;
    /** Returns the records from an offset on; waits up to `waitFor` for the first one if there is none. */
    readonly serve: (from: LogOffset, waitFor: Milliseconds) => Promise<RelayAnswer>;
}

interface RelayEvents {
    readonly arrival: undefined;
}

const maximumCachedRecords = 500;

/**
 * Creates a relay without records.
 *
 * @param clock - clock that limits how long a request waits
 * @returns the relay, which refuses requests until records are put into it
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
        // rounded up, because the age of the confirmation must not be understated
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
                startTask("arrival of records", () => events.emit("arrival"));
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
