/**
 * Frames that two instances exchange over a connection, and their encoding.
 *
 * @packageDocumentation
 */
import { Packr } from "msgpackr";
import * as z from "zod";
import { type InstanceId, type Result, wrapError, wrapValue } from "../shared/index.js";

/** One frame; `topic` names the part of the instance that sent it, and `body` is that part's message. */
export type PeerFrame =
    /** First frame in each direction. */
    | { readonly kind: "hello"; readonly version: number; readonly from: InstanceId; readonly to: InstanceId; }
    /** Response to a `hello` that is not accepted; `version` is the sender's own protocol version. */
    | { readonly kind: "refusal"; readonly reason: "version" | "wrongInstance"; readonly version: number; }
    | { readonly kind: "message"; readonly topic: string; readonly body: unknown; }
    | { readonly kind: "request"; readonly id: number; readonly topic: string; readonly body: unknown; }
    | { readonly kind: "response"; readonly id: number; readonly body: unknown; };

/** Reason why bytes could not be decoded as a frame. */
export interface FrameError {
    readonly kind: "malformed";
    readonly detail: string;
}

const frameSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("hello"), version: z.number(), from: z.string(), to: z.string() }),
    z.object({ kind: z.literal("refusal"), reason: z.enum(["version", "wrongInstance"]), version: z.number() }),
    z.object({ kind: z.literal("message"), topic: z.string(), body: z.unknown() }),
    z.object({ kind: z.literal("request"), id: z.number(), topic: z.string(), body: z.unknown() }),
    z.object({ kind: z.literal("response"), id: z.number(), body: z.unknown() }),
]);

/** Encodes and decodes the frames of one connection; it keeps the state of both directions. */
export interface FrameCodec {
    /** Encodes a frame; every encoded frame must be sent, in the order of encoding. */
    readonly encode: (frame: PeerFrame) => Uint8Array;
    /** Decodes the peer's next frame; never throws. After an error, later frames can't be decoded either. */
    readonly decode: (bytes: Uint8Array) => Result<PeerFrame, FrameError>;
}

/**
 * Creates the codec of a new connection. The field names of a frame are sent only with the first frame of the same
 * shape; later frames refer to them, which halves the size of small messages.
 *
 * @returns a codec for one connection only
 */
export function createFrameCodec(): FrameCodec {
    const encoder = new Packr({ sequential: true, structuredClone: false });
    const decoder = new Packr({ sequential: true, structuredClone: false });
    return { encode: frame => encoder.pack(frame), decode: bytes => decodeFrame(decoder, bytes) };
}

function decodeFrame(decoder: Packr, bytes: Uint8Array): Result<PeerFrame, FrameError> {
    try {
        const parsed = frameSchema.safeParse(decoder.unpack(bytes));
        return parsed.success
            ? wrapValue(parsed.data as PeerFrame)
            : wrapError({ kind: "malformed", detail: parsed.error.issues[0]?.message ?? "not a frame" });
    }
    catch (error) {
        return wrapError({ kind: "malformed", detail: String(error) });
    }
}
