/**
 * Settings of a local platform.
 *
 * @packageDocumentation
 */
import * as z from "zod";

const anyPort = "127.0.0.1:0";
const commonServerFields = {
    address: z.string().default(anyPort),
    failureDomain: z.string().default("local"),
    region: z.string().default("local"),
    state: z.enum(["live", "leaving"]).default("live"),
};

/** Schema of the settings file that `oriolehatch standins` reads. */
export const standinsConfigSchema = z.strictObject({
    log: z.strictObject({
        address: z.string().default(anyPort),
        appendsPerSecond: z.number().positive().default(300),
        retentionMilliseconds: z.number().positive().default(3_600_000),
    }).prefault({}),
    instanceList: z.strictObject({
        address: z.string().default(anyPort),
        lagMilliseconds: z.number().nonnegative().default(500),
    }).prefault({}),
    weightStore: z.strictObject({
        loadsPerSecond: z.number().positive().default(5),
        loadBurst: z.number().positive().default(2),
        loadsInFlight: z.int().positive().default(8),
        loadDurationMilliseconds: z.number().positive().default(250),
    }).prefault({}),
    engines: z.array(z.strictObject({
        id: z.string().min(1),
        ...commonServerFields,
        baseModel: z.string(),
        pool: z.string(),
        adapterSlots: z.int().positive().default(4),
        batchLimit: z.int().positive().default(16),
        fencing: z.enum(["checked", "ignored"]).default("checked"),
        reportLagMilliseconds: z.number().nonnegative().default(0),
        stepMilliseconds: z.number().positive().default(20),
        answerTokens: z.int().positive().optional(),
    })).default([]),
    services: z.array(z.strictObject({ id: z.string().min(1), ...commonServerFields, pool: z.string() })).default([]),
});

/** Settings of a local platform after validation, with every default filled in. */
export type StandinsConfig = z.output<typeof standinsConfigSchema>;

/** Settings of a local platform before validation; fields with a default may be left out. */
export type StandinsOptions = z.input<typeof standinsConfigSchema>;
