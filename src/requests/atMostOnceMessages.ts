/**
 * Messages between instances about requests that must run at most once. They carry claims on idempotency keys and the
 * records of these claims.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { RequestOutcome } from "./outcome.js";

const identifierLimitCharacters = 256;
const outcomeTextLimitCharacters = 1_000;
const listLengthLimit = 16;
const recordsPerMessageLimit = 10_000;
const messageBodyLimitBytes = 256 * 1024;

const identifier = z.string().min(1).max(identifierLimitCharacters);
const duration = z.number().finite().nonnegative();

const outcomeSchema: z.ZodType<RequestOutcome> = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("completed") }),
    z.object({
        kind: z.enum(["failed", "notRun", "unknown"]),
        reason: z.enum([
            "badRequest",
            "tooLarge",
            "missingKey",
            "wrongKey",
            "keyWithdrawn",
            "forbidden",
            "unknownRoute",
            "unknownModel",
            "overLimit",
            "exceedsBurst",
            "overloaded",
            "loadFailed",
            "noBackend",
            "backendRefused",
            "backendFailed",
            "broken",
            "deadlinePassed",
            "shuttingDown",
            "notReady",
            "duplicateMismatch",
            "recordUnavailable",
            "cancelled",
        ]),
        message: z.string().max(outcomeTextLimitCharacters),
        retryAfter: duration.optional(),
    }),
]) as z.ZodType<RequestOutcome>;

function isBodyWithinLimit(value: unknown): boolean {
    return value instanceof Uint8Array && value.length <= messageBodyLimitBytes;
}

const resultSchema = z.object({
    outcome: outcomeSchema,
    response: z.object({
        status: z.number().int(),
        headers: z.record(z.string(), z.string()),
        body: z.custom<Uint8Array>(isBodyWithinLimit),
    }).optional(),
});

const claimSchema = z.object({
    claimId: identifier,
    coordinator: identifier,
    fingerprint: identifier,
    result: resultSchema.optional(),
});

const recordSchema = z.object({
    key: identifier,
    age: duration,
    claims: z.array(claimSchema).min(1).max(listLengthLimit),
});

const messageSchema = z.discriminatedUnion("kind", [
    /** Asks a replica to grant the key to a claim; a grant can't be taken back. */
    z.object({ kind: z.literal("claim"), key: identifier, epoch: z.number().int(), claim: claimSchema }),
    /** Asks a replica to store the result of a claim. */
    z.object({ kind: z.literal("settle"), key: identifier, epoch: z.number().int(), claim: claimSchema }),
    /** Asks a replica or the coordinator of a claim for all claims that it knows under the key. */
    z.object({ kind: z.literal("inquire"), key: identifier }),
    /** Transfers records of a partition to a replica of the next group. */
    z.object({
        kind: z.literal("handover"),
        partition: z.number().int().nonnegative(),
        epoch: z.number().int(),
        previousGroup: z.array(identifier).min(1).max(listLengthLimit),
        records: z.array(recordSchema).max(recordsPerMessageLimit),
        isLast: z.boolean(),
    }),
    /** Response to `claim`: the claim has this replica's grant. */
    z.object({ kind: z.literal("granted") }),
    /** Response to `claim` when other claims block it, and to `inquire`: the known claims. */
    z.object({ kind: z.literal("held"), claims: z.array(claimSchema).max(listLengthLimit) }),
    /** Response to `settle` and `handover`: the content was stored. */
    z.object({ kind: z.literal("stored") }),
    /** Refusal of an instance that is in another epoch, is no replica, has no lease, or still lacks earlier records. */
    z.object({ kind: z.literal("notReady"), epoch: z.number().int() }),
]);

/** Message about claims and records of requests that must run at most once. */
export type AtMostOnceMessage = z.infer<typeof messageSchema>;

/** Claim of one request to be the only one that runs under an idempotency key. */
export type ExecutionClaim = z.infer<typeof claimSchema>;

/** Result of a claim: the outcome, and the part of the service's response that is stored for replay. */
export type ClaimResult = z.infer<typeof resultSchema>;

/** Record of one key as it is sent in a handover: its claims, and its age in milliseconds. */
export type ClaimRecordCopy = z.infer<typeof recordSchema>;

/** Largest response body that is stored for replay. */
export const replayBodyLimitBytes = 64 * 1024;

/**
 * Validates a message that was received from a peer.
 *
 * @param message - the decoded message
 * @returns the typed message; `undefined` when it does not match the schema
 */
export function parseAtMostOnceMessage(message: unknown): AtMostOnceMessage | undefined {
    const parsed = messageSchema.safeParse(message);
    return parsed.success ? parsed.data : undefined;
}
