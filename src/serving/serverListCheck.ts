/**
 * Reads the list of servers once more from the platform's store, without waiting for news, where the follower's last read
 * may be too old to decide by. Calls at the same time share a read that begins after all of them.
 *
 * @packageDocumentation
 */
import type { Clock } from "../shared/index.js";
import { type ClockReading, readClocks } from "./freshness.js";
import type { StoreEra } from "./storeEras.js";
import type { BackendServer, KeyedLog, KeyedRecord, RecordCodec } from "./types.js";

/** Dependencies of the check. */
export interface ServerListCheckOptions {
    readonly clock: Clock;
    /** The platform's store itself, as the lists of other instances may be as old. */
    readonly store: Pick<KeyedLog, "readFrom">;
    readonly codec: Pick<RecordCodec, "decodeServerEntry">;
    /** Called with the servers whose entries were written since the follower's last read. */
    readonly onServers: (servers: readonly BackendServer[]) => void;
    /** Called after that with a time before which all writes have been passed on. */
    readonly onConfirmed: (at: ClockReading) => void;
}

/** Check of the list of servers. */
export interface ServerListCheck {
    /** Reads the list; resolves when that is done, has failed or takes too long. */
    readonly run: () => Promise<void>;
    /** Returns a log that notes how far the follower which reads it has come. */
    readonly trackReads: (log: KeyedLog) => KeyedLog;
}

/** A client waits meanwhile; it is refused and comes back when the store is slower. */
const checkTimeoutMilliseconds = 250;

/**
 * Creates the check.
 *
 * @param options - the store, and who is told
 * @returns the check, which does nothing before the follower has read the list
 */
export function createServerListCheck(options: ServerListCheckOptions): ServerListCheck {
    const { clock, store, codec } = options;
    // the follower has applied all records before the offset from which it reads
    let applied: { readonly offset: number; readonly era: StoreEra | undefined; } | undefined;
    let running: Promise<void> | undefined;
    let next: Promise<void> | undefined;
    const readOnce = async (): Promise<void> => {
        if (!applied) {
            return;
        }
        const { era } = applied;
        const sentAt = readClocks();
        let namedEnd: number | undefined;
        // an answer may be a part of what there was
        for (let { offset } = applied; offset < (namedEnd ?? Number.POSITIVE_INFINITY);) {
            const read = await store.readFrom("servers", offset, 0, era);
            if (!read.ok) {
                return;
            }
            const { records, endOffset, topicEnd = endOffset } = read.value;
            options.onServers(decodeServers(records));
            namedEnd ??= topicEnd;
            if (endOffset <= offset && endOffset < namedEnd) {
                return;
            }
            offset = endOffset;
        }
        options.onConfirmed(sentAt);
    };
    const decodeServers = (records: readonly KeyedRecord[]): readonly BackendServer[] =>
        records.flatMap(({ key, value }) => {
            const decoded = value && codec.decodeServerEntry(key, value);
            return decoded?.ok ? [decoded.value] : [];
        });
    const start = (): Promise<void> => {
        next = undefined;
        running = readOnce().finally(() => running = undefined);
        return running;
    };
    const schedule = (): Promise<void> => {
        if (!running) {
            return start();
        }
        next ??= running.then(start, start);
        return next;
    };
    return {
        run: async () => {
            const cancel = new AbortController();
            await Promise.race([schedule(), clock.sleep(checkTimeoutMilliseconds, cancel.signal)]);
            cancel.abort();
        },
        trackReads: log => ({
            ...log,
            readFrom: (topic, offset, wait, era) => {
                if (topic === "servers") {
                    applied = { offset, era };
                }
                return log.readFrom(topic, offset, wait, era);
            },
        }),
    };
}
