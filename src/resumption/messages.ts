/**
 * Messages by which instances tell each other which servers may go on with streams.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { createListSchema, nameSchema } from "../shared/index.js";

/** Schema of a service and software version. */
export const originSchema = z.object({ service: nameSchema, version: z.union([nameSchema, z.number()]).optional() })
    .transform(({ service, version }) => ({ service, version }));

/** Schema of the messages about streams that clients take up again. */
export const resumptionMessageSchema = z.discriminatedUnion("kind", [
    // streams that have begun, for the receiver to keep
    z.object({
        kind: z.literal("began"),
        streams: createListSchema(z.object({ key: nameSchema, origin: originSchema })),
        // whether another instance has been told before, which has written them to the store
        isCopy: z.boolean().optional(),
    }),
    // without a key only the view is asked for
    z.object({ kind: z.literal("askOrigin"), key: nameSchema.optional(), services: createListSchema(nameSchema) }),
    z.object({
        kind: z.literal("origin"),
        // origin of the stream, where the sender keeps it
        origin: originSchema.optional(),
        // what may have begun streams of the services that were asked for
        origins: createListSchema(originSchema),
        isComplete: z.boolean(),
    }),
]);

/** Message about streams that clients take up again. */
export type ResumptionMessage = z.infer<typeof resumptionMessageSchema>;
