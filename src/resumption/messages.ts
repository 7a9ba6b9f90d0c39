/**
 * Messages by which instances tell each other which servers may go on with streams.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { createListSchema, nameSchema, textSchema } from "../shared/index.js";

/** Schema of a service and software version. */
export const originSchema = z.object({ service: nameSchema, version: z.union([nameSchema, z.number()]).optional() })
    .transform(({ service, version }) => ({ service, version }));

/** Longest time that an age in a message states, in both directions. */
export const toldAgeMilliseconds = 86_400_000;
const ageSchema = z.number().min(-toldAgeMilliseconds).max(toldAgeMilliseconds);

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
    z.object({
        kind: z.literal("askOrigin"),
        key: nameSchema.optional(),
        services: createListSchema(nameSchema),
        // what selects the route of the stream, which may have led to other services
        path: z.object({ host: textSchema, target: textSchema }).optional(),
        // whether the receiver reads the list of servers before it answers
        isChecked: z.boolean().optional(),
    }),
    z.object({
        kind: z.literal("origin"),
        // origin of the stream, where the sender keeps it
        origin: originSchema.optional(),
        // what may have begun streams of the services that were asked for
        origins: createListSchema(originSchema),
        // for the build before, which doesn't read the times
        isComplete: z.boolean(),
        // times over which the sender has followed the list of servers, as ages at the receipt of the question
        followed: createListSchema(z.tuple([ageSchema, ageSchema])).optional(),
        // whether the services to which the path has led are among the origins; the build before doesn't know the path
        isOfPath: z.boolean().optional(),
    }),
]);

/** Message about streams that clients take up again. */
export type ResumptionMessage = z.infer<typeof resumptionMessageSchema>;
