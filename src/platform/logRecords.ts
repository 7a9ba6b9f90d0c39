/**
 * Binary format of records in the store's log. A record is a length of four bytes, big-endian, followed by that many
 * bytes of content. In keyed topics the content is one byte with the length of the key, the key, and the value.
 *
 * @packageDocumentation
 */
import type { KeyedRecord, KeyedSnapshot } from "../serving/types.js";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

/** Why a read response can't be decoded. */
export interface LogRecordError {
    readonly kind: "malformed";
    readonly detail: string;
}

/** Longest key of a record, whose length has one byte. */
export const maximumKeyBytes = 255;

const lengthFieldBytes = 4;
const offsetFieldBytes = 8;

/** Response to a read. */
export interface ReadResponse {
    readonly records: readonly Buffer[];
    /** Offset after the last record of the topic, also beyond those of this response. */
    readonly endOffset: number;
}

/**
 * Decodes the response to a read: the topic's end and first offset, and the records.
 *
 * @param bytes - body of the response
 * @returns contents of the records; an error when the bytes end within an offset or a record
 */
export function decodeReadResponse(bytes: Buffer): Result<ReadResponse, LogRecordError> {
    if (bytes.length < 2 * offsetFieldBytes) {
        return wrapError({ kind: "malformed", detail: "the response is shorter than its two offsets" });
    }
    const records: Buffer[] = [];
    let position = 2 * offsetFieldBytes;
    while (position < bytes.length) {
        const end = position + lengthFieldBytes + readContentLength(bytes, position);
        if (end > bytes.length) {
            return wrapError({ kind: "malformed", detail: "the response ends within a record" });
        }
        records.push(bytes.subarray(position + lengthFieldBytes, end));
        position = end;
    }
    return wrapValue({ records, endOffset: Number(bytes.readBigUInt64BE(0)) });
}

/**
 * Decodes the response to a read of a keyed topic.
 *
 * @param bytes - body of the response
 * @param from - offset of the first record, as requested
 * @param onRefused - called with the offset of each record that is shorter than its key, which is left out
 * @returns the records, the offset after the last one, and the topic's end where that lies beyond it; an error when the bytes
 *     end within an offset or a record
 */
export function decodeKeyedReadResponse(
    bytes: Buffer,
    from: number,
    onRefused: (offset: number) => void = () => undefined,
): Result<KeyedSnapshot, LogRecordError> {
    const response = decodeReadResponse(bytes);
    if (!response.ok) {
        return response;
    }
    const records: KeyedRecord[] = [];
    for (const [index, content] of response.value.records.entries()) {
        const record = decodeKeyedRecord(content, from + index);
        if (record) {
            records.push(record);
        }
        else {
            // the store keeps the record, so that a reader that stopped here would never go on
            onRefused(from + index);
        }
    }
    const endOffset = from + response.value.records.length;
    const { endOffset: topicEnd } = response.value;
    return wrapValue({ records, endOffset, ...topicEnd > endOffset && { topicEnd } });
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
 * @param key - key of the record, at most 255 bytes in UTF-8
 * @param value - value of the record; `undefined` deletes the key
 * @returns a new buffer with the record and the length before it
 */
export function encodeKeyedRecord(key: string, value: Uint8Array | undefined): Buffer {
    const keyBytes = Buffer.from(key, "utf8");
    return encodeRecord(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]));
}

/**
 * Encodes one record.
 *
 * @param content - content of the record
 * @returns a new buffer with the content and its length before it
 */
export function encodeRecord(content: Uint8Array): Buffer {
    const length = Buffer.alloc(lengthFieldBytes);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}
