/**
 * Messages by which an instance that reaches no server sends attempts through another instance. The sender asks for the
 * events of an attempt again and again, so that a slow client holds back its server, and a lost answer is noticed.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { AttemptFault } from "../serving/serverConnections.js";
import type { ServerResponseHead } from "../serving/types.js";

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const headSchema = z.object({
    status: z.number(),
    attemptId: z.string().optional(),
    isSigned: z.boolean(),
    isNotRun: z.boolean(),
    load: z.object({ running: z.number(), waiting: z.number(), slots: z.number() }).optional(),
    requestLimit: z.number().optional(),
    retryAfter: z.number().optional(),
    isLeaving: z.boolean(),
    isEventStream: z.boolean(),
    contentLength: z.number().optional(),
    passedHeaders: z.array(z.string()),
}).transform((head): ServerResponseHead => ({
    ...head,
    attemptId: head.attemptId,
    load: head.load,
    requestLimit: head.requestLimit,
    retryAfter: head.retryAfter,
    contentLength: head.contentLength,
}));
const faultSchema = z.object({
    kind: z.enum(["notSent", "withdrawn", "broken", "crossed"]),
    detail: z.string(),
}) satisfies z.ZodType<Exclude<AttemptFault, { readonly kind: "rerouted"; }>>;
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
    z.object({ kind: z.literal("askReach"), runs: z.array(z.string()), age: z.number().nonnegative() }),
    z.object({ kind: z.literal("reach"), reached: z.array(z.string()), hasRoom: z.boolean() }),
    z.object({
        kind: z.literal("start"),
        id: z.string(),
        run: z.string(),
        attemptId: z.string().optional(),
        method: z.string(),
        target: z.string(),
        headers: z.array(z.string()),
        body: bytes.optional(),
        // whether the server has refused this request before
        wasRefused: z.boolean().optional(),
    }),
    // the events since the last answer; the receiver waits a while for the first one
    z.object({ kind: z.literal("read"), id: z.string() }),
    z.object({ kind: z.literal("events"), events: z.array(eventSchema) }),
    // the receiver has sent nothing, and won't
    z.object({ kind: z.literal("refused"), reason: z.string() }),
    z.object({ kind: z.literal("abort"), id: z.string() }),
    // the receiver of an abort works on nothing of that id
    z.object({ kind: z.literal("aborted") }),
]);

/** Message about forwarded attempts. */
export type ForwardingMessage = z.infer<typeof forwardingMessageSchema>;

/** Attempt that another instance is asked to send. */
export type StartMessage = Extract<ForwardingMessage, { readonly kind: "start"; }>;
