/**
 * Messages by which instances ask the holder of an account's quota for units.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";

/** Request for units of an account's quota. */
export interface QuotaRequest {
    readonly account: ClientAccountId;
    readonly units: number;
    /** Units that the sender has admitted on its own since the holder last responded to it. */
    readonly admittedAlone: number;
    /** Start allowance that the sender has not passed on yet. */
    readonly allowance: number;
    /** Whether the request takes up a stream of which its client already has a part. */
    readonly isResumed?: boolean;
}

/** Decision on a request for units. */
export type QuotaDecision =
    /** The request may go on after `delay`, so that it keeps to the rate. */
    | { readonly kind: "admitted"; readonly delay: Milliseconds; }
    /** `wait` is the time until the quota has enough units. */
    | { readonly kind: "exceeded"; readonly wait: Milliseconds; };

/** Schema of the messages about quotas. */
export const quotaMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("take"),
        account: z.string(),
        units: z.number().nonnegative(),
        admittedAlone: z.number().nonnegative(),
        allowance: z.number().nonnegative(),
        isResumed: z.boolean().optional(),
    }),
    z.object({ kind: z.literal("admitted"), delay: z.number() }),
    z.object({ kind: z.literal("exceeded"), wait: z.number() }),
    z.object({ kind: z.literal("notHolder") }),
    // units of a request that was admitted, and that no server has run
    z.object({ kind: z.literal("giveBack"), account: z.string(), units: z.number().nonnegative() }),
    // the sender asks the receiver for the quotas of the accounts of these shards
    z.object({ kind: z.literal("present"), shards: z.array(z.number().int().nonnegative()) }),
]);

/** Message about quotas. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
