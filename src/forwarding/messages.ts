/**
 * Messages by which an instance that reaches no server sends attempts through another instance. The sender asks for the
 * events of an attempt again and again, so that a slow client holds back its server, and a lost answer is noticed.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { AttemptFault } from "../serving/serverConnections.js";
import type { ServerResponseHead } from "../serving/types.js";
import {
    ageSchema,
    amountSchema,
    countSchema,
    createListSchema,
    maximumServerSlots,
    nameSchema,
    ordinalSchema,
    textSchema,
    waitSchema,
} from "../shared/index.js";

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const headerValuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
// names and values in turn, as HTTP takes them: others would fail when they are written
const headersSchema = createListSchema(textSchema).refine(
    headers =>
        headers.length % 2 === 0 &&
        headers.every((text, index) => (index % 2 === 0 ? tokenPattern : headerValuePattern).test(text)),
    "no names and values of headers in turn",
);
const headSchema = z.object({
    status: z.number().int().min(100).max(999),
    attemptId: textSchema.optional(),
    isSigned: z.boolean(),
    isNotRun: z.boolean(),
    load: z.object({
        running: countSchema,
        waiting: countSchema,
        slots: z.number().int().min(0).max(maximumServerSlots),
    }).optional(),
    requestLimit: amountSchema.optional(),
    retryAfter: waitSchema.optional(),
    coldFor: z.union([waitSchema, z.literal("unreadable")]).optional(),
    isLeaving: z.boolean(),
    isEventStream: z.boolean(),
    contentLength: ordinalSchema.optional(),
    passedHeaders: headersSchema,
}).transform((head): ServerResponseHead => ({
    ...head,
    attemptId: head.attemptId,
    load: head.load,
    requestLimit: head.requestLimit,
    retryAfter: head.retryAfter,
    coldFor: head.coldFor,
    contentLength: head.contentLength,
}));
const faultSchema = z.object({
    kind: z.enum(["notSent", "withdrawn", "broken", "crossed"]),
    detail: textSchema,
    // whether the server has sent bytes that are no answer; an instance of an older version doesn't say
    isNoAnswer: z.boolean().optional(),
}) satisfies z.ZodType<Exclude<AttemptFault, { readonly kind: "rerouted" | "unsendable"; }>>;
const eventSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("head"), head: headSchema }),
    z.object({ kind: z.literal("data"), chunk: bytes }),
    z.object({ kind: z.literal("end") }),
    z.object({ kind: z.literal("fault"), fault: faultSchema }),
]);

/** What happened in a forwarded attempt, in order. */
export type AttemptEvent = z.infer<typeof eventSchema>;

/** Schema of the messages about forwarded attempts. */
export const forwardingMessageSchema = z.discriminatedUnion("kind", [
    // asks which of these runs of servers the receiver has had a response of in the last `age` milliseconds
    z.object({ kind: z.literal("askReach"), runs: createListSchema(nameSchema), age: ageSchema }),
    z.object({ kind: z.literal("reach"), reached: createListSchema(nameSchema), hasRoom: z.boolean() }),
    z.object({
        kind: z.literal("start"),
        id: nameSchema,
        run: nameSchema,
        attemptId: textSchema.optional(),
        method: nameSchema.regex(tokenPattern),
        target: textSchema.regex(/^\/[\x21-\xff]*$/),
        headers: headersSchema,
        body: bytes.optional(),
        // whether the server has refused this request before
        wasRefused: z.boolean().optional(),
    }),
    // the events since the last answer; the receiver waits a while for the first one
    z.object({ kind: z.literal("read"), id: nameSchema }),
    // the sender's client doesn't read at present, so that it asks for no events; without an answer, unknown to the build before
    z.object({ kind: z.literal("keep"), id: nameSchema }),
    z.object({ kind: z.literal("events"), events: createListSchema(eventSchema) }),
    // the receiver has sent nothing, and won't
    z.object({ kind: z.literal("refused"), reason: textSchema }),
    z.object({ kind: z.literal("abort"), id: nameSchema }),
    // the receiver of an abort works on nothing of that id
    z.object({ kind: z.literal("aborted") }),
]);

/** Message about forwarded attempts. */
export type ForwardingMessage = z.infer<typeof forwardingMessageSchema>;

/** Attempt that another instance is asked to send. */
export type StartMessage = Extract<ForwardingMessage, { readonly kind: "start"; }>;
