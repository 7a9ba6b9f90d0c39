/**
 * Messages by which instances tell the one that decides on quarantines which servers broke off which requests, and which
 * requests were answered. Times are given as ages, because the instances' clocks differ.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { ageSchema, createListSchema, nameSchema } from "../shared/index.js";
import type { QuarantineScope } from "./types.js";

const partId = nameSchema;
const age = ageSchema;
const account = nameSchema.optional();
const digest = nameSchema;

/** Schema of a scope; one without a kind is that of a part. */
export const quarantineScopeSchema = z.union([
    z.object({ kind: z.literal("request"), digest: digest.min(1), account }),
    z.object({ kind: z.literal("part").default("part"), part: partId.min(1), account }),
]).transform((scope): QuarantineScope => ({ ...scope, account: scope.account }));

/** Schema of the messages about quarantines. */
export const quarantineMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("report"),
        // runs of servers that broke off requests at the beginning of their answers
        breaks: createListSchema(z.object({
            run: nameSchema,
            service: nameSchema.default(""),
            age,
            requests: createListSchema(
                z.object({ account, digest: digest.default(""), own: partId, shared: createListSchema(partId) }),
            ),
        })),
        // runs that answered a request that was sent after they had broken off others
        alive: createListSchema(nameSchema),
        // requests that were answered; the age is that of the beginning of the answer
        answers: createListSchema(
            z.object({ account, digest: digest.default(""), age, shared: createListSchema(partId) }),
        ),
        // newest answers to requests of scopes that the receiver suspects or has quarantined
        sound: createListSchema(z.object({ scope: quarantineScopeSchema, age })),
    }),
    // scopes of which the receiver is to report answers
    z.object({ kind: z.literal("suspects"), scopes: createListSchema(quarantineScopeSchema) }),
    // asks to send one request of a scope whose quarantine has lasted its time
    z.object({ kind: z.literal("askTrial"), scope: quarantineScopeSchema }),
    z.object({ kind: z.literal("trial"), isGranted: z.boolean() }),
    z.object({ kind: z.literal("notDecider") }),
]);

/** Message about quarantines. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;

/** Report of one instance. */
export type CrashReport = Extract<QuarantineMessage, { readonly kind: "report"; }>;
