/**
 * Keeps what began streams in a log of the platform's store, so that clients can return after all instances were killed.
 * Records are written in batches, and read once at a start. Nothing is concluded from a stream that isn't found there. What was
 * written lately is written again when the store has come back from an older copy.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { StoreEras } from "../serving/storeEras.js";
import type { ExpiringLog, StoreError } from "../serving/types.js";
import {
    type Clock,
    createListSchema,
    createLogger,
    type Milliseconds,
    nameSchema,
    parseBoundedJson,
    type Result,
    wrapError,
} from "../shared/index.js";
import { recordTaskFailure, startTask } from "../supervision/index.js";
import { originSchema } from "./messages.js";
import { createStreamRecords, type StreamRecord } from "./streamRecords.js";
import type { StreamOrigin } from "./types.js";

/** Archive of one instance. */
export interface StreamArchive {
    /** Adds streams to the next batch. */
    readonly add: (streams: readonly StreamRecord[]) => void;
    /** Finds a stream from before the start; waits a while for the records to be read. */
    readonly find: (key: string) => Promise<StreamOrigin | undefined>;
    /** Reads the records that earlier instances have written; tries again until it succeeds or they are too old. */
    readonly load: () => Promise<void>;
    /** Ends what is tried again: a batch that waits is written once more, and nothing is read. */
    readonly close: () => void;
}

/** Time in which streams are collected before they are written; those of the last batch are lost when all are killed. */
const batchMilliseconds = 100;
/** Streams in one record; a record of the store has a size limit. */
const streamsPerRecord = 2_000;
/** Streams that wait for a write; more are lost while the store is away. */
const maximumWaitingStreams = 8_000;
const maximumArchivedStreams = 32_768;
/** Time after the start in which clients return whose streams began before it. */
const archiveLifetimeMilliseconds = 60_000;
const loadRetryMilliseconds = 500;
/** Time for which what was written is kept: the store's copy may be some seconds old. */
const rewriteWindowMilliseconds = 15_000;
/** Longest wait of a request for the records to be read. */
const findWaitMilliseconds = 300;
/** Largest record that is read; the store's own limit is lower. */
const maximumRecordBytes = 16_777_216;
const recordSchema = z.object({
    streams: createListSchema(z.object({ origin: originSchema, keys: createListSchema(nameSchema) })),
});
const log = createLogger("resumption");

interface WrittenBatch {
    readonly at: Milliseconds;
    readonly streams: readonly StreamRecord[];
}

/**
 * Creates an archive.
 *
 * @param clock - source of the pauses
 * @param store - log that the records are written to
 * @param eras - eras of the store; by default it never comes back from a copy
 * @returns the archive, of which nothing is loaded yet
 */
export function createStreamArchive(
    clock: Clock,
    store: ExpiringLog,
    eras?: Pick<StoreEras, "onRise">,
): StreamArchive {
    const archived = createStreamRecords(maximumArchivedStreams);
    let waiting: StreamRecord[] = [];
    let written: readonly WrittenBatch[] = [];
    let isWriting = false;
    let loading: Promise<void> = Promise.resolve();
    const closing = new AbortController();
    // an exception is a failed call, which is tried again
    const callStore = async <Value>(
        name: string,
        call: () => Promise<Result<Value, StoreError>>,
    ): Promise<Result<Value, StoreError>> => {
        try {
            return await call();
        }
        catch (error) {
            recordTaskFailure(name, error);
            return wrapError({ kind: "unreachable", detail: "failed inside" });
        }
    };
    const writeBatch = async (): Promise<void> => {
        const batch = waiting.slice(0, streamsPerRecord);
        waiting = waiting.slice(streamsPerRecord);
        const result = await callStore("write streams", () => store.append(encodeRecord(batch)));
        if (!result.ok) {
            waiting = [...batch, ...waiting].slice(-maximumWaitingStreams);
            log.warn("streams not written", { ...result.error, waiting: waiting.length });
            return;
        }
        written = [...listRecent(), { at: clock.now(), streams: batch }];
    };
    const listRecent = (): readonly WrittenBatch[] =>
        written.filter(({ at }) => clock.now() - at < rewriteWindowMilliseconds);
    const write = async (): Promise<void> => {
        isWriting = true;
        try {
            while (waiting.length > 0 && !closing.signal.aborted) {
                await clock.sleep(batchMilliseconds, closing.signal);
                await writeBatch();
            }
        }
        finally {
            isWriting = false;
        }
    };
    const startWriting = (): void => {
        if (!isWriting) {
            startTask("write streams", write);
        }
    };
    const writeAgain = (): void => {
        const lost = listRecent().flatMap(({ streams }) => streams);
        written = [];
        if (lost.length > 0 && !closing.signal.aborted) {
            log.info("streams written again", { streams: lost.length });
            waiting = [...lost, ...waiting].slice(-maximumWaitingStreams);
            startWriting();
        }
    };
    const forgetRise = eras?.onRise(writeAgain);
    const readRecords = async (expiresAt: Milliseconds): Promise<boolean> => {
        const records = await callStore("read streams", store.readAll);
        if (!records.ok) {
            log.warn("streams not read", { ...records.error });
            return false;
        }
        const streams = records.value.flatMap(decodeRecord);
        streams.forEach(stream => archived.put(stream, expiresAt));
        log.info("streams read", { records: records.value.length, streams: streams.length });
        return true;
    };
    const load = async (): Promise<void> => {
        const expiresAt = clock.now() + archiveLifetimeMilliseconds;
        while (!closing.signal.aborted && !await readRecords(expiresAt) && clock.now() < expiresAt) {
            await clock.sleep(loadRetryMilliseconds, closing.signal);
        }
    };
    return {
        add: streams => {
            waiting = [...waiting, ...streams].slice(-maximumWaitingStreams);
            startWriting();
        },
        find: async key => {
            const cancel = new AbortController();
            await Promise.race([loading, clock.sleep(findWaitMilliseconds, cancel.signal)]);
            cancel.abort();
            return archived.find(key, clock.now());
        },
        load: () => {
            loading = load();
            return loading;
        },
        close: () => {
            closing.abort();
            forgetRise?.();
        },
    };
}

function encodeRecord(streams: readonly StreamRecord[]): Uint8Array {
    const byOrigin = new Map<string, { readonly origin: StreamOrigin; readonly keys: string[]; }>();
    for (const { key, origin } of streams) {
        const name = JSON.stringify([origin.service, origin.version]);
        const entry = byOrigin.get(name) ?? { origin, keys: [] };
        byOrigin.set(name, entry);
        entry.keys.push(key);
    }
    return Buffer.from(JSON.stringify({ streams: [...byOrigin.values()] }));
}

// a record that can't be read, as of an instance of another version, tells nothing
function decodeRecord(record: Uint8Array): readonly StreamRecord[] {
    try {
        const { streams } = recordSchema.parse(parseBoundedJson(record, maximumRecordBytes));
        return streams.flatMap(({ origin, keys }) => keys.map(key => ({ key, origin })));
    }
    catch (error) {
        log.warn("record of streams passed over", { bytes: record.length, error: String(error).slice(0, 200) });
        return [];
    }
}
