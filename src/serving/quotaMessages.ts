/**
 * Messages by which instances ask the holder of an account's quota for units.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { QuotaAsk } from "../fairness/index.js";
import {
    type ClientAccountId,
    createListSchema,
    maximumCount,
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
    /** Time in which nobody decided for the sender's requests of this account, as the process of its holder had ended. */
    readonly gap?: Milliseconds;
    /** Instances of the build before don't say so; their requests are decided in order of arrival. */
    readonly urgency?: QuotaUrgency;
}

/** How urgent a request is among those of its account. */
export type QuotaUrgency = Omit<QuotaAsk, "units">;

/** Decision on a request for units. */
export type QuotaDecision =
    /** The request may go on after `delay`, so that it keeps to the rate. */
    | { readonly kind: "admitted"; readonly delay: Milliseconds; }
    /** `wait` is the time until the quota has enough units. */
    | {
        readonly kind: "exceeded";
        readonly wait: Milliseconds;
        /** Whether each refused request is told another time, so that no random time is added. */
        readonly isOrdered?: boolean;
    };

/** What the previous holder of a shard hands to the next one. */
export interface HandedQuotas {
    /** Share of the rate that belongs to the instances which have asked the previous holder. */
    readonly share: number;
    /** Units of each account's bucket, negative for a debt. */
    readonly levels: readonly (readonly [account: ClientAccountId, units: number])[];
}

const units = z.number().min(0).max(maximumQuotaUnits);
const level = z.number().min(-maximumQuotaUnits).max(maximumQuotaUnits);

/** Schema of the messages about quotas. */
export const quotaMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("take"),
        account: nameSchema,
        units,
        admittedAlone: units,
        allowance: units,
        isResumed: z.boolean().optional(),
        gap: waitSchema.optional(),
        urgency: z.object({
            kind: nameSchema,
            priority: z.number().min(0).max(maximumCount),
            objectiveLeft: waitSchema,
            waited: waitSchema,
            timeLeft: waitSchema,
        }).optional(),
    }),
    z.object({ kind: z.literal("admitted"), delay: waitSchema }),
    z.object({ kind: z.literal("exceeded"), wait: waitSchema, isOrdered: z.boolean().optional() }),
    // `holder` is the one to which the shard has moved, where the sender knows it
    z.object({ kind: z.literal("notHolder"), holder: nameSchema.optional() }),
    // units of a request that was admitted, and that no server has run
    z.object({ kind: z.literal("giveBack"), account: nameSchema, units }),
    // the sender asks the receiver for the quotas of the accounts of these shards
    z.object({ kind: z.literal("present"), shards: createListSchema(shardNumberSchema) }),
    // the sender has gained a shard that the receiver held
    z.object({ kind: z.literal("askHandover"), shard: shardNumberSchema }),
    z.object({
        kind: z.literal("handover"),
        share: z.number().min(0).max(1),
        levels: createListSchema(z.tuple([nameSchema, level])),
    }),
    // the sender has handed the quotas of a shard to `holder`, which is to be asked from now on
    z.object({ kind: z.literal("moved"), shard: shardNumberSchema, holder: nameSchema }),
]);

/** Message about quotas. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
