/**
 * Messages between the request tasks of two instances: records of requests that may run once only.
 *
 * @packageDocumentation
 */
import { z } from "zod";
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
    /** Asks a holder to grant a key to a claim, for ever. */
    z.object({ kind: z.literal("claim"), key: identifier, epoch: z.number().int(), claim: claimSchema }),
    /** Tells a holder how a claim ended. */
    z.object({ kind: z.literal("settle"), key: identifier, epoch: z.number().int(), claim: claimSchema }),
    /** Asks a holder or a claim's coordinator how the key stands. */
    z.object({ kind: z.literal("inquire"), key: identifier }),
    /** Gives records of a partition to a holder of the next group. */
    z.object({
        kind: z.literal("handover"),
        partition: z.number().int().nonnegative(),
        epoch: z.number().int(),
        previousGroup: z.array(identifier).min(1).max(listLengthLimit),
        records: z.array(recordSchema).max(recordsPerMessageLimit),
        isLast: z.boolean(),
    }),
    /** Answers a claim. */
    z.object({ kind: z.literal("granted") }),
    /** Answers a claim or an inquiry. */
    z.object({ kind: z.literal("held"), claims: z.array(claimSchema).max(listLengthLimit) }),
    /** Answers a settlement or a handover that was taken. */
    z.object({ kind: z.literal("stored") }),
    /** Answers what the instance can't decide in its present epoch. */
    z.object({ kind: z.literal("notReady"), epoch: z.number().int() }),
]);

/** A message about records of requests that may run once only. */
export type AtMostOnceMessage = z.infer<typeof messageSchema>;

/** One try to be the request that runs under a key. */
export type ExecutionClaim = z.infer<typeof claimSchema>;

/** How a claim ended, with the service's answer as far as it is kept. */
export type ClaimResult = z.infer<typeof resultSchema>;

/** A key's claims as they are handed over. */
export type ClaimRecordCopy = z.infer<typeof recordSchema>;

/** Largest body of an answer that is kept for replay. */
export const replayBodyLimitBytes = 64 * 1024;

/**
 * Checks a message that came from a peer.
 *
 * @param message - what came
 * @returns the message, or `undefined` when it has another form
 */
export function parseAtMostOnceMessage(message: unknown): AtMostOnceMessage | undefined {
    const parsed = messageSchema.safeParse(message);
    return parsed.success ? parsed.data : undefined;
}
