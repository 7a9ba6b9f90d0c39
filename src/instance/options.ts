/**
 * Schema, defaults and parser of an instance's settings file.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { parseYamlFile, type SettingsMistake, type YamlFormat } from "../config/index.js";
import type { InstanceId, Result } from "../shared/index.js";
import { wrapError, wrapValue } from "../shared/index.js";

const maximumPort = 65_535;
const addressPattern = /^(?<host>(?:\d{1,3}\.){3}\d{1,3}|\[[0-9a-f:]+\]):(?<port>\d{1,5})$/i;
const addressSchema = z.string().refine(isAddress, "not an IP number and port, such as 10.0.0.5:8080");
const durationSchema = z.int().nonnegative();

/** Schema of an instance's settings file; docs/guide/instanceSettings.md lists the same fields. */
export const instanceOptionsSchema = z.strictObject({
    id: z.string().min(1).optional().describe(
        "Name of this run; a restarted process needs a new one. Drawn at random when unset.",
    ),
    address: addressSchema.describe("IP number and port for callers, health checks and metrics."),
    peerAddress: addressSchema.describe("IP number and port for other instances; port 0 takes a free one."),
    failureDomain: z.string().min(1).describe("Failure domain that this instance runs in."),
    region: z.string().min(1).describe("Region of the failure domain."),
    platform: z.strictObject({
        log: addressSchema.describe("IP number and port of the log service."),
        instanceList: addressSchema.describe("IP number and port of the instance list."),
        announce: z.boolean().default(false).describe(
            "Whether to enter itself into the instance list; for stand-ins, a real platform does that itself.",
        ),
    }).describe("Where the platform is."),
    http: z.strictObject({
        bodyBytes: z.int().positive().default(4_194_304).describe("Largest body of a request."),
        bodyTimeoutMilliseconds: durationSchema.default(10_000).describe("Longest time for a body to arrive."),
        headBytes: z.int().positive().default(16_384).describe("Largest head of a request."),
        headTimeoutMilliseconds: durationSchema.default(10_000).describe("Longest time for a head to arrive."),
        keepAliveMilliseconds: durationSchema.default(65_000).describe("How long an idle connection is kept."),
        connections: z.int().positive().default(20_000).describe("Connections of callers at once."),
    }).prefault({}).describe("Limits on callers."),
    drainMilliseconds: durationSchema.default(5_000).describe(
        "Time between saying that it is not ready and closing its port, for the balancer to notice.",
    ),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info").describe("Lowest level logged."),
});

/** Settings of an instance as an operator writes them; fields with a default may be missing. */
export type InstanceOptions = z.input<typeof instanceOptionsSchema>;

/** Settings of an instance with every default and the id filled in. */
export type ResolvedInstanceOptions = z.output<typeof instanceOptionsSchema> & { readonly id: InstanceId; };

const instanceFileFormat: YamlFormat = { page: "docs/guide/instanceSettings.md" };

/**
 * Parses an instance's settings file.
 *
 * @param text - content of the file
 * @param fileName - name of the file in error messages
 * @param createId - creates the instance's id when the file sets none
 * @returns the settings with defaults filled in, or all errors of the file
 */
export function parseInstanceOptions(
    text: string,
    fileName: string,
    createId: () => InstanceId,
): Result<ResolvedInstanceOptions, readonly SettingsMistake[]> {
    const file = parseYamlFile(text, fileName, instanceOptionsSchema, instanceFileFormat);
    return file.ok ? wrapValue(resolveId(file.value.value, createId)) : wrapError(file.error);
}

/**
 * Resolves settings that were built in code instead of read from a file.
 *
 * @param options - the settings; throws `ZodError` when they don't match the schema
 * @param createId - creates the instance's id when the settings have none
 * @returns settings with every default and the id filled in
 */
export function resolveInstanceOptions(options: InstanceOptions, createId: () => InstanceId): ResolvedInstanceOptions {
    return resolveId(instanceOptionsSchema.parse(options), createId);
}

function resolveId(
    options: z.output<typeof instanceOptionsSchema>,
    createId: () => InstanceId,
): ResolvedInstanceOptions {
    return { ...options, id: options.id ?? createId() };
}

function isAddress(text: string): boolean {
    const parts = addressPattern.exec(text)?.groups;
    return parts !== undefined && Number(parts["port"]) <= maximumPort;
}
