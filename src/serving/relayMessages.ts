/**
 * Messages by which instances read the topics of the platform's store through another instance.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { ageSchema, createListSchema, nameSchema, ordinalSchema, waitSchema } from "../shared/index.js";
import type { KeyedTopic } from "./types.js";

const topicSchema = z.enum(["configuration", "servers", "instances", "quarantines"]) satisfies z.ZodType<KeyedTopic>;
const recordSchema = z.tuple([
    nameSchema,
    z.custom<Uint8Array>(value => value instanceof Uint8Array).optional(),
    ordinalSchema,
]);

/** Schema of the messages. */
export const relayMessageSchema = z.discriminatedUnion("kind", [
    // without an offset: the newest record of each key
    z.object({
        kind: z.literal("read"),
        topic: topicSchema,
        offset: ordinalSchema.optional(),
        wait: waitSchema,
    }),
    // records as key, value and offset; `age` is the time since the sender's data was last confirmed as current
    z.object({
        kind: z.literal("records"),
        records: createListSchema(recordSchema),
        endOffset: ordinalSchema,
        age: ageSchema,
    }),
    // the sender no longer knows which keys were deleted since the offset
    z.object({ kind: z.literal("expired") }),
    // the sender has not read so far itself
    z.object({ kind: z.literal("unavailable") }),
]);

/** Message between instances about topics of the store. */
export type RelayMessage = z.infer<typeof relayMessageSchema>;
