/**
 * Messages by which instances read the topics of the platform's store through another instance.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { ageSchema, createListSchema, nameSchema, ordinalSchema, waitSchema } from "../shared/index.js";
import { maximumStoreEra } from "./storeEras.js";
import type { KeyedTopic } from "./types.js";

const topicSchema = z.enum(["configuration", "servers", "instances", "quarantines"]) satisfies z.ZodType<KeyedTopic>;
const eraSchema = ordinalSchema.max(maximumStoreEra);
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
        // of the offset; missing in messages of instances that know no eras
        era: eraSchema.optional(),
        wait: waitSchema,
    }),
    // records as key, value and offset; `age` is the time since the sender's data was last confirmed as current, at the
    // moment of the response, and `held` the time from the receipt of the read to that moment
    z.object({
        kind: z.literal("records"),
        records: createListSchema(recordSchema),
        endOffset: ordinalSchema,
        age: ageSchema,
        // in which the offsets hold; missing where the store names none
        era: eraSchema.optional(),
        held: ageSchema.optional(),
    }),
    // the sender no longer knows which keys were deleted since the offset
    z.object({ kind: z.literal("expired") }),
    // asks which configuration the receiver uses
    z.object({ kind: z.literal("askConfiguration"), version: ordinalSchema.optional() }),
    // the record that holds it, where it is newer than the one that the asking instance uses; `eraAge` is the time since
    // the sender first saw the newest era of the store
    z.object({
        kind: z.literal("configuration"),
        record: recordSchema.optional(),
        era: eraSchema.optional(),
        eraAge: ageSchema.optional(),
    }),
    // the sender has not read so far itself, or can't read the store
    z.object({ kind: z.literal("unavailable") }),
]);

/** Message between instances about topics of the store. */
export type RelayMessage = z.infer<typeof relayMessageSchema>;
