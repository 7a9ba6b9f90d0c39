/**
 * Records of a stream and their encoding: one byte with the format number, followed by MessagePack.
 *
 * @packageDocumentation
 */
import { Packr } from "msgpackr";
import * as z from "zod";
import type { LogOffset } from "../shared/index.js";

/** A record of a stream. */
export type StreamRecord<Change, Part> =
    | { readonly kind: "change"; readonly change: Change; }
    /**
     * Begins a checkpoint, which `pass` names. A checkpoint holds the whole state at offset `covering`, and is appended
     * before the records from which that state was computed expire.
     */
    | { readonly kind: "passBegin"; readonly pass: string; readonly covering: LogOffset; }
    | { readonly kind: "passPart"; readonly pass: string; readonly index: number; readonly part: Part; }
    | { readonly kind: "passEnd"; readonly pass: string; readonly parts: number; };

/** Result of decoding the payload of a record. */
export type DecodedRecord<Change, Part> =
    | { readonly kind: "record"; readonly record: StreamRecord<Change, Part>; }
    /** A record of a newer version of the program; it must not be skipped, because it may hold a change. */
    | { readonly kind: "unknownFormat"; readonly format: number; }
    /** A record that states the known format but doesn't match its schema; every reader of that format ignores it. */
    | { readonly kind: "malformed"; };

/** Encodes and decodes the records of one stream. */
export interface RecordCodec<Change, Part> {
    readonly encode: (record: StreamRecord<Change, Part>) => Uint8Array;
    readonly decode: (payload: Uint8Array) => DecodedRecord<Change, Part>;
}

/** Format number and schemas of a stream's records. */
export interface RecordCodecOptions<Change, Part> {
    readonly format: number;
    readonly changeSchema: z.ZodType<Change>;
    readonly partSchema: z.ZodType<Part>;
}

const packr = new Packr({ useRecords: false });

/**
 * Creates the codec of one stream.
 *
 * @param options - format number and schemas of the stream's records
 * @returns the codec, which has no state
 */
export function createRecordCodec<Change, Part>(
    options: RecordCodecOptions<Change, Part>,
): RecordCodec<Change, Part> {
    const pass = z.string().min(1);
    const count = z.number().int().min(0);
    const schema = z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("change"), change: options.changeSchema }),
        z.strictObject({ kind: z.literal("passBegin"), pass, covering: z.number().int().min(-1) }),
        z.strictObject({ kind: z.literal("passPart"), pass, index: count, part: options.partSchema }),
        z.strictObject({ kind: z.literal("passEnd"), pass, parts: count }),
    ]);
    return {
        encode: record => {
            const body = packr.pack(record);
            const payload = new Uint8Array(body.length + 1);
            payload[0] = options.format;
            payload.set(body, 1);
            return payload;
        },
        decode: payload => {
            const format = payload[0];
            if (format !== options.format) {
                return { kind: "unknownFormat", format: format ?? 0 };
            }
            const parsed = schema.safeParse(decodeBody(payload.subarray(1)));
            return parsed.success
                ? { kind: "record", record: parsed.data as StreamRecord<Change, Part> }
                : { kind: "malformed" };
        },
    };
}

function decodeBody(body: Uint8Array): unknown {
    try {
        return packr.unpack(body);
    }
    catch {
        return undefined;
    }
}
