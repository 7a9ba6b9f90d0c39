/**
 * Messages by which instances tell the one that decides on quarantines which servers broke off which prompts, and which
 * prompts were answered. Times are given as ages, because the instances' clocks differ.
 *
 * @packageDocumentation
 */
import * as z from "zod";

const partId = z.string();
const age = z.number().nonnegative();
const account = z.string().optional();
const scope = z.object({ part: partId, account });

/** Schema of the messages about quarantines. */
export const quarantineMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("report"),
        // runs of servers that broke off requests at the beginning of their answers
        breaks: z.array(z.object({
            run: z.string(),
            age,
            requests: z.array(z.object({ account, own: partId, shared: z.array(partId) })),
        })),
        // runs that answered a request that was sent after they had broken off others
        alive: z.array(z.string()),
        // prompts that were answered; the age is that of the beginning of the answer
        answers: z.array(z.object({ account, age, shared: z.array(partId) })),
        // newest answers to prompts of scopes that the receiver suspects or has quarantined
        sound: z.array(z.object({ scope, age })),
    }),
    // scopes of which the receiver is to report answers
    z.object({ kind: z.literal("suspects"), scopes: z.array(scope) }),
    // asks to send one request of a scope whose quarantine has lasted its time
    z.object({ kind: z.literal("askTrial"), scope }),
    z.object({ kind: z.literal("trial"), isGranted: z.boolean() }),
    z.object({ kind: z.literal("notDecider") }),
]);

/** Message about quarantines. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;

/** Report of one instance. */
export type PromptReport = Extract<QuarantineMessage, { readonly kind: "report"; }>;
