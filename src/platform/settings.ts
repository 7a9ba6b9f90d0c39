/**
 * The settings file that the platform writes for each process.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { type Milliseconds, millisecondsPerSecond, type Result, wrapError, wrapValue } from "../shared/index.js";

/** Variable that names the settings file. */
export const settingsFileVariable = "ORIOLEHATCH_NODE_FILE";

/** Settings of a process on the platform. */
export interface PlatformSettings {
    readonly instanceName: string;
    readonly host: string;
    readonly failureDomain: string;
    /** Address on which clients are served. */
    readonly clientAddress: string;
    /** Address on which the platform asks whether clients may come. */
    readonly readinessAddress: string;
    /** First of the ports for connections between instances. */
    readonly peerPort: number;
    readonly storeAddress: string;
    readonly engineShardCount: number;
    readonly minimumMembershipTtl: Milliseconds;
    readonly serverHeartbeatInterval: Milliseconds;
    readonly bounds: PlatformBounds;
}

/** Bounds that the platform's operators state. */
export interface PlatformBounds {
    readonly drainTime: Milliseconds;
    readonly gracePeriod: Milliseconds;
    readonly keyRevocation: Milliseconds;
    readonly orderLease: Milliseconds;
    /** Whether engines refuse orders with an old fencing number. */
    readonly areOrdersFenced: boolean;
    readonly adapterVersionChange: Milliseconds;
    readonly retryRatio: number;
    readonly retryWindow: Milliseconds;
    readonly retryAllowance: number;
    readonly quotaWindow: Milliseconds;
    /** Part of a client account's limit by which it may be exceeded in the window. */
    readonly quotaExcessRatio: number;
    /** Requests or tokens, as the limit counts, by which it may be exceeded besides. */
    readonly quotaExcessAllowance: number;
    readonly modelLoadWindow: Milliseconds;
}

/** Why the settings can't be used. */
export interface SettingsError {
    readonly kind: "invalidSettings";
    readonly detail: string;
}

const settingsSchema = z.object({
    node_name: z.string(),
    ip_address: z.string(),
    zone: z.string(),
    listen_addresses: z.object({ front: z.string(), ready: z.string() }),
    internal_ports: z.tuple([z.number().int(), z.number().int()]),
    heartbeat_ms: z.number(),
    bounds: z.object({
        drain_ms: z.number().default(2_000),
        grace_s: z.number().default(8),
        revoke_ms: z.number().default(5_000),
        lease_ms: z.number().default(3_000),
        require_fencing: z.boolean().default(false),
        version_ms: z.number().default(5_000),
        budget_ratio: z.number().default(0.2),
        budget_window_s: z.number().default(10),
        budget_slack: z.number().default(0),
        quota_window_s: z.number().default(8),
        quota_over: z.number().default(0),
        quota_slack: z.number().default(0),
        ceiling_window_s: z.number().default(5),
    }),
    platform: z.object({
        address: z.string(),
        form: z.literal("log", { message: "only the log form of the store is spoken" }),
        parts: z.number().int().positive(),
        min_ttl_ms: z.number().default(1_000),
    }),
});

/**
 * Decodes the settings file.
 *
 * @param text - content of the file, JSON
 * @returns the settings, or what is wrong with them
 */
export function decodeSettings(text: string): Result<PlatformSettings, SettingsError> {
    const parsed = parseJson(text);
    if (parsed === undefined) {
        return wrapError({ kind: "invalidSettings", detail: "the settings file is no JSON" });
    }
    const checked = settingsSchema.safeParse(parsed);
    if (!checked.success) {
        const issue = checked.error.issues[0]!;
        return wrapError({ kind: "invalidSettings", detail: `${issue.path.join(".")}: ${issue.message}` });
    }
    const file = checked.data;
    return wrapValue({
        instanceName: file.node_name,
        host: file.ip_address,
        failureDomain: file.zone,
        clientAddress: file.listen_addresses.front,
        readinessAddress: file.listen_addresses.ready,
        peerPort: file.internal_ports[0],
        storeAddress: file.platform.address,
        engineShardCount: file.platform.parts,
        minimumMembershipTtl: file.platform.min_ttl_ms,
        serverHeartbeatInterval: file.heartbeat_ms,
        bounds: {
            drainTime: file.bounds.drain_ms,
            gracePeriod: file.bounds.grace_s * millisecondsPerSecond,
            keyRevocation: file.bounds.revoke_ms,
            orderLease: file.bounds.lease_ms,
            areOrdersFenced: file.bounds.require_fencing,
            adapterVersionChange: file.bounds.version_ms,
            retryRatio: file.bounds.budget_ratio,
            retryWindow: file.bounds.budget_window_s * millisecondsPerSecond,
            retryAllowance: file.bounds.budget_slack,
            quotaWindow: file.bounds.quota_window_s * millisecondsPerSecond,
            quotaExcessRatio: file.bounds.quota_over,
            quotaExcessAllowance: file.bounds.quota_slack,
            modelLoadWindow: file.bounds.ceiling_window_s * millisecondsPerSecond,
        },
    });
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // the caller reports text that can't be read
        return undefined;
    }
}
