/**
 * Logs and counts the records of the platform's store that can't be used. A writer may write the same record again and
 * again, so that a reason is logged once for each record.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { createLogger, type WriteLogLine } from "../shared/index.js";
import type { KeyedTopic, RecordError } from "./types.js";

/** Records that were refused. */
export interface RefusedRecords {
    /** Records that the record of a key was refused. */
    readonly add: (topic: KeyedTopic, key: string, error: RecordError) => void;
    /** Records that the key has a usable record again, or none, so that a later refusal is logged. */
    readonly remove: (topic: KeyedTopic, key: string) => void;
}

/** Records whose last reason is remembered; the least recent ones are logged again. */
const rememberedRecords = 1_000;
const maximumKeyLength = 100;
const maximumDetailLength = 200;
const log = createLogger("serving");

/**
 * Creates the log of refused records.
 *
 * @param onRefused - called for each refused record, repeated ones included
 * @param writeLine - writes one line of the log
 * @returns the log, of which an instance needs one
 */
export function createRefusedRecords(
    onRefused: (topic: KeyedTopic) => void = () => undefined,
    writeLine: WriteLogLine = log.warn,
): RefusedRecords {
    const reasons = new LRUCache<string, string>({ max: rememberedRecords });
    const formatRecord = (topic: KeyedTopic, key: string): string => `${topic} ${key}`;
    return {
        add: (topic, key, { field, detail }) => {
            onRefused(topic);
            const record = formatRecord(topic, key);
            const reason = `${field}: ${detail}`;
            if (reasons.get(record) === reason) {
                return;
            }
            reasons.set(record, reason);
            writeLine("record refused", {
                topic,
                key: key.slice(0, maximumKeyLength),
                field,
                reason: detail.slice(0, maximumDetailLength),
            });
        },
        remove: (topic, key) => void reasons.delete(formatRecord(topic, key)),
    };
}
