/**
 * Framing of records in the store's log: four bytes of length, then the content; in keyed topics the content begins with
 * one byte of key length and the key.
 *
 * @packageDocumentation
 */
import type { KeyedRecord, KeyedSnapshot } from "../serving/types.js";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

/** Why bytes are no records. */
export interface LogRecordError {
    readonly kind: "malformed";
    readonly detail: string;
}

const lengthFieldBytes = 4;
const offsetFieldBytes = 8;

/**
 * Decodes the answer to a read of a keyed topic.
 *
 * @param bytes - the answer's body
 * @param from - offset that was asked for
 * @returns the records and the offset behind them
 */
export function decodeKeyedReadResponse(bytes: Buffer, from: number): Result<KeyedSnapshot, LogRecordError> {
    if (bytes.length < 2 * offsetFieldBytes) {
        return wrapError({ kind: "malformed", detail: "the offsets are missing" });
    }
    const records: KeyedRecord[] = [];
    let position = 2 * offsetFieldBytes;
    while (position < bytes.length) {
        const end = position + lengthFieldBytes + readContentLength(bytes, position);
        if (end > bytes.length) {
            return wrapError({ kind: "malformed", detail: "a record is cut off" });
        }
        const record = decodeKeyedRecord(bytes.subarray(position + lengthFieldBytes, end), from + records.length);
        if (record) {
            records.push(record);
        }
        else {
            return wrapError({ kind: "malformed", detail: "a record has no whole key" });
        }
        position = end;
    }
    return wrapValue({ records, endOffset: from + records.length });
}

function readContentLength(bytes: Buffer, position: number): number {
    return position + lengthFieldBytes <= bytes.length ? bytes.readUInt32BE(position) : Number.POSITIVE_INFINITY;
}

function decodeKeyedRecord(content: Buffer, offset: number): KeyedRecord | undefined {
    const keyEnd = 1 + (content[0] ?? Number.POSITIVE_INFINITY);
    if (keyEnd > content.length) {
        return undefined;
    }
    const value = keyEnd === content.length ? undefined : content.subarray(keyEnd);
    return { key: content.subarray(1, keyEnd).toString("utf8"), value, offset };
}

/**
 * Encodes one record of a keyed topic.
 *
 * @param key - its key, at most 255 bytes
 * @param value - its value; `undefined` drops the key
 * @returns the record with its length
 */
export function encodeKeyedRecord(key: string, value: Uint8Array | undefined): Buffer {
    const keyBytes = Buffer.from(key, "utf8");
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]);
    const length = Buffer.alloc(lengthFieldBytes);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}
