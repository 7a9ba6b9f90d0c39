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
    readonly recordConfirmation: (askedAt: Milliseconds) => void;
    readonly serve: (from: LogOffset, waitFor: Milliseconds) => Promise<RelayAnswer>;
}

interface RelayEvents {
    readonly arrival: undefined;
}

const keptRecords = 500;

/**
 * Creates a relay that has read nothing.
 *
 * @param clock - for the time that a request waits
 * @returns the relay
 */
export function createRecordRelay(clock: Clock): RecordRelay {
    const events = new Emittery<RelayEvents>();
    let kept: readonly LogRecord[] = [];
    let head: LogOffset | undefined;
    let confirmedAt: Milliseconds | undefined;

    const createAnswer = (from: LogOffset, arrivedAt: Milliseconds): RelayAnswer => {
        if (head === undefined) {
            return { kind: "recordsRefused", reason: "notReady" };
        }
        const oldest = kept[0]?.offset ?? head;
        if (from < oldest) {
            return { kind: "recordsRefused", reason: "expired" };
        }
        const records = kept.slice(from - oldest);
        // rounded up, for an older confirmation promises less
        const confirmedBefore = confirmedAt === undefined ? undefined : Math.ceil(arrivedAt - confirmedAt);
        return { kind: "recordsPage", records, head, confirmedBefore };
    };
    return {
        put: (records, newHead) => {
            const fresh = records.filter(record => head === undefined || record.offset >= head);
            const follows = fresh.length === 0 || kept.length === 0 || kept.at(-1)!.offset + 1 === fresh[0]!.offset;
            kept = [...(follows ? kept : []), ...fresh].slice(-keptRecords);
            head = newHead;
            if (fresh.length > 0) {
                void events.emit("arrival");
            }
        },
        recordConfirmation: askedAt => {
            confirmedAt = Math.max(confirmedAt ?? askedAt, askedAt);
        },
        serve: async (from, waitFor) => {
            const arrivedAt = clock.now();
            if (head !== undefined && from >= head) {
                await waitForArrival(events, clock, waitFor);
            }
            return createAnswer(from, arrivedAt);
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
