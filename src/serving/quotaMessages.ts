/**
 * Messages by which instances ask the holder of an account's quota for units.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import {
    type ClientAccountId,
    createListSchema,
    maximumQuotaUnits,
    type Milliseconds,
    nameSchema,
    shardNumberSchema,
    waitSchema,
} from "../shared/index.js";

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

const units = z.number().min(0).max(maximumQuotaUnits);

/** Schema of the messages about quotas. */
export const quotaMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("take"),
        account: nameSchema,
        units,
        admittedAlone: units,
        allowance: units,
        isResumed: z.boolean().optional(),
    }),
    z.object({ kind: z.literal("admitted"), delay: waitSchema }),
    z.object({ kind: z.literal("exceeded"), wait: waitSchema }),
    z.object({ kind: z.literal("notHolder") }),
    // units of a request that was admitted, and that no server has run
    z.object({ kind: z.literal("giveBack"), account: nameSchema, units }),
    // the sender asks the receiver for the quotas of the accounts of these shards
    z.object({ kind: z.literal("present"), shards: createListSchema(shardNumberSchema) }),
]);

/** Message about quotas. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
