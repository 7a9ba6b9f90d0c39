/**
 * What an instance holds on to when the store has come back from an older copy, for each topic. What was acknowledged must
 * not go back: versions, and servers that leave or are gone.
 *
 * @packageDocumentation
 */
import { readTrials } from "../quarantine/index.js";
import type { KeyHistory, RestoreRules } from "./topicMemory.js";
import { type BackendServer, formatServerRunId, type KeyedRecord, type KeyedTopic, type RecordCodec } from "./types.js";

/**
 * Creates the rules of all topics.
 *
 * @param codec - decoders of the records
 * @returns the rules of each topic
 */
export function createRestoreRules(codec: RecordCodec): Readonly<Record<KeyedTopic, RestoreRules>> {
    return {
        configuration: {
            choose: history => chooseOperatorRecord(codec, history),
            isOlder: (known, later) => isOlderVersion(codec, known, later),
            needsSecondRead: true,
        },
        servers: {
            // a live server writes its entry again with its next heartbeat; until then the list keeps a missing one
            choose: ({ wasDeleted, copied }) => wasDeleted ? undefined : copied,
            isOlder: (known, later) => isOlderEntry(codec, known, later),
            isHeldUntilSettled: true,
        },
        instances: { choose: chooseOurs },
        quarantines: { choose: chooseOurs, isOlder: (known, later) => countTrials(later) < countTrials(known) },
    };
}

// what has no version, as an evacuation, stays as it is until the operator has written again
function chooseOperatorRecord(codec: RecordCodec, history: KeyHistory): KeyedRecord | undefined {
    const { known, wasDeleted, copied } = history;
    if (isSameValue(known, copied) || readVersion(codec, copied) !== undefined) {
        return copied;
    }
    return known ?? (wasDeleted ? undefined : copied);
}

function isSameValue(left: KeyedRecord | undefined, right: KeyedRecord | undefined): boolean {
    return left?.value !== undefined && right?.value !== undefined && Buffer.compare(left.value, right.value) === 0;
}

function isOlderVersion(codec: RecordCodec, known: KeyedRecord, later: KeyedRecord | undefined): boolean {
    // one that can't be read is passed on, so that it is reported
    if (isSameValue(known, later) || (later?.value && readVersion(codec, later) === undefined)) {
        return false;
    }
    const version = readVersion(codec, known);
    return version !== undefined && (readVersion(codec, later) ?? Number.NEGATIVE_INFINITY) < version;
}

function readVersion(codec: RecordCodec, record: KeyedRecord | undefined): number | undefined {
    const decoded = record?.value && codec.decodeOperatorRecord(record.key, record.value);
    if (!decoded?.ok) {
        return undefined;
    }
    switch (decoded.value.kind) {
        case "configuration":
            return decoded.value.config.version;
        case "adapterVersion":
            return decoded.value.version;
        case "evacuation":
        case "other":
            return undefined;
    }
}

// while a server's earlier entries are written again, a run that drains doesn't become ready
function isOlderEntry(codec: RecordCodec, known: KeyedRecord, later: KeyedRecord | undefined): boolean {
    const before = readServer(codec, known);
    const after = readServer(codec, later);
    const isSameRun = before && after && formatServerRunId(before) === formatServerRunId(after);
    return isSameRun === true && before.isDraining && !after.isDraining;
}

function readServer(codec: RecordCodec, record: KeyedRecord | undefined): BackendServer | undefined {
    const decoded = record?.value && codec.decodeServerEntry(record.key, record.value);
    return decoded?.ok ? decoded.value : undefined;
}

// what instances write, and write again when the copy has lost it
function chooseOurs({ known, wasDeleted, copied }: KeyHistory): KeyedRecord | undefined {
    return wasDeleted ? undefined : copied ?? known;
}

function countTrials(record: KeyedRecord | undefined): number {
    return record?.value ? readTrials(record.key, record.value) : Number.POSITIVE_INFINITY;
}
