/**
 * Decodes the settings file that the platform writes for each process.
 *
 * @packageDocumentation
 */
import { isIPv4 } from "node:net";
import * as z from "zod";
import {
    createLimitedNumber,
    maximumCount,
    maximumPort,
    maximumShardCount,
    type Milliseconds,
    millisecondsPerSecond,
    nameSchema,
    parseBoundedJson,
    parseNetworkAddress,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { maximumKeyBytes } from "./logRecords.js";

/** Environment variable with the path of the settings file. */
export const settingsFileVariable = "ORIOLEHATCH_NODE_FILE";

/** Decoded settings of a process on the platform. Addresses consist of IP and port. */
export interface PlatformSettings {
    readonly instanceName: string;
    /** IP address of the process. */
    readonly host: string;
    readonly failureDomain: string;
    /** Region of the process; `undefined` for that of its failure domain. */
    readonly region: string | undefined;
    /** Region of each failure domain of the deployment. */
    readonly regionsByDomain: ReadonlyMap<string, string>;
    /** Address that accepts clients' requests. */
    readonly clientAddress: string;
    /** Address of the readiness endpoint, which the platform polls before it sends clients to the instance. */
    readonly readinessAddress: string;
    /** Port for connections between instances; the first of the range that the platform reserves for the process. */
    readonly peerPort: number;
    readonly storeAddress: string;
    /** Processor time that the process may use, in cores of normal speed. */
    readonly cores: number;
    /** Shards into which the engines are divided; each shard belongs to one instance at a time. */
    readonly engineShardCount: number;
    /** Shortest lifetime that the store accepts for the membership in a group. */
    readonly minimumMembershipTtl: Milliseconds;
    /** Interval at which servers write their entries to the store. */
    readonly serverHeartbeatInterval: Milliseconds;
    /** Whether the whole system starts for the first time, rather than this process alone. */
    readonly isFirstStart: boolean;
    readonly bounds: PlatformBounds;
}

/** Limits on the behavior of an instance, as the platform's operators set them. */
export interface PlatformBounds {
    /** Not used by this program. */
    readonly drainTime: Milliseconds;
    /** Time from SIGTERM until the platform kills the process. */
    readonly gracePeriod: Milliseconds;
    /** Time from the withdrawal of an API key until requests with it must be refused. */
    readonly keyRevocationDelay: Milliseconds;
    /** Time that must pass between the orders of two instances to one engine. */
    readonly orderLease: Milliseconds;
    /** Whether an engine refuses orders with a lower fencing number than it has received before. */
    readonly areOrdersFenced: boolean;
    /** Time from the announcement of a new adapter version until no request may start on an older one. */
    readonly adapterVersionGracePeriod: Milliseconds;
    /** Time from the request to evacuate a failure domain from which nothing may be sent to its servers. */
    readonly evacuationDelay: Milliseconds;
    /** Highest ratio of repeated requests to all requests for a service in the window. */
    readonly retryRatio: number;
    readonly retryWindow: Milliseconds;
    /** Repeated requests in the window that all instances together may send beyond that ratio. */
    readonly retryAllowance: number;
    readonly quotaWindow: Milliseconds;
    /** Fraction of a client account's quota by which the quota may be exceeded in the window. */
    readonly quotaExcessRatio: number;
    /** Requests or tokens, in the unit of the quota, by which it may be exceeded in addition. */
    readonly quotaExcessAllowance: number;
    /** Not used by this program. */
    readonly modelLoadWindow: Milliseconds;
    /** Factor by which the requests of a cold server in one second may exceed what it tolerates. */
    readonly coldExcessFactor: number;
    /** Requests by which they may exceed it in addition. */
    readonly coldExcessAllowance: number;
}

/** Why the settings can't be used. */
export interface SettingsError {
    readonly kind: "invalidSettings";
    /** Path of the field and what is wrong with it, for the operator. */
    readonly detail: string;
}

/** Largest file that is read; the platform's templates have less than 64 KiB. */
const maximumFileBytes = 4_194_304;
/** Longest time, about 11 days: a timer can also keep it with a margin added. */
const longestTimeMilliseconds = 1_000_000_000;
const longestTimeSeconds = longestTimeMilliseconds / millisecondsPerSecond;
/** Shortest window, as counts are divided by it. */
const shortestWindowSeconds = 0.001;
const minimumCores = 0.001;

// a number out of its range is moved to the end of it, as a process that doesn't start serves nobody
const milliseconds = createLimitedNumber(0, longestTimeMilliseconds);
const seconds = createLimitedNumber(0, longestTimeSeconds);
const windowSeconds = createLimitedNumber(shortestWindowSeconds, longestTimeSeconds);
const amount = createLimitedNumber(0, maximumCount);
const addressSchema = z.string().refine(
    text => parseNetworkAddress(text) !== undefined,
    "give an IP address and a port from 1 to 65535, such as 10.0.0.1:8221",
);
// a port of 0 chooses a free one
const listenAddressSchema = z.string().refine(
    text => parseNetworkAddress(text, 0) !== undefined,
    "give an IP address and a port from 0 to 65535, such as 10.0.0.1:8221",
);
const portSchema = z.number().int().min(0).max(maximumPort);
const settingsSchema = z.object({
    node_name: z.string().min(1).refine(
        text => Buffer.byteLength(text) <= maximumKeyBytes,
        `give a name of at most ${maximumKeyBytes} bytes`,
    ),
    ip_address: z.string().refine(text => isIPv4(text), "give an IP address, such as 10.0.0.1"),
    zone: nameSchema,
    region: nameSchema.min(1).optional(),
    // region of each failure domain
    zones: z.record(nameSchema, nameSchema.min(1)).default({}),
    // whether the whole system starts for the first time
    bootstrap: z.boolean().default(false),
    // `front` is for clients, `ready` for readiness checks
    listen_addresses: z.object({ front: listenAddressSchema, ready: listenAddressSchema }),
    // first and last port
    internal_ports: z.tuple([portSchema, portSchema]),
    heartbeat_ms: milliseconds,
    // share of a core, and its speed relative to a normal one
    limits: z.object({ cpu_share: amount.default(1), cpu_speed_factor: amount.default(1) }).default({
        cpu_share: 1,
        cpu_speed_factor: 1,
    }),
    bounds: z.object({
        drain_ms: milliseconds.default(2_000),
        grace_s: seconds.default(8),
        revoke_ms: milliseconds.default(5_000),
        lease_ms: milliseconds.default(3_000),
        require_fencing: z.boolean().default(false),
        version_ms: milliseconds.default(5_000),
        evacuation_ms: milliseconds.default(5_000),
        // the retry budget
        budget_ratio: amount.default(0.2),
        budget_window_s: windowSeconds.default(10),
        budget_slack: amount.default(0),
        quota_window_s: windowSeconds.default(8),
        quota_over: amount.default(0),
        quota_slack: amount.default(0),
        // window of the limit on model loads
        ceiling_window_s: windowSeconds.default(5),
        // factor and requests by which a cold server may get more than it tolerates in one second
        cold_over: amount.default(1),
        cold_slack: amount.default(0),
    }),
    // the store
    platform: z.object({
        address: addressSchema,
        // interface of the store
        form: z.literal("log", { message: 'only the log interface of the store is supported; set it to "log"' }),
        // shards of engines
        parts: z.number().int().positive().max(maximumShardCount),
        // shortest lifetime of a group membership
        min_ttl_ms: milliseconds.default(1_000),
    }),
});

/**
 * Decodes the settings file.
 *
 * @param text - content of the file, JSON
 * @returns the settings with defaults applied and all times in milliseconds; an error for the first mistake in the file
 */
export function decodeSettings(text: string): Result<PlatformSettings, SettingsError> {
    const parsed = parseJson(text);
    if (parsed === undefined) {
        return wrapError({ kind: "invalidSettings", detail: "the settings file is not valid JSON" });
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
        region: file.region,
        regionsByDomain: new Map(Object.entries(file.zones)),
        clientAddress: file.listen_addresses.front,
        readinessAddress: file.listen_addresses.ready,
        peerPort: file.internal_ports[0],
        storeAddress: file.platform.address,
        cores: Math.min(maximumCount, Math.max(minimumCores, file.limits.cpu_share * file.limits.cpu_speed_factor)),
        engineShardCount: file.platform.parts,
        minimumMembershipTtl: file.platform.min_ttl_ms,
        serverHeartbeatInterval: file.heartbeat_ms,
        isFirstStart: file.bootstrap,
        bounds: {
            drainTime: file.bounds.drain_ms,
            gracePeriod: file.bounds.grace_s * millisecondsPerSecond,
            keyRevocationDelay: file.bounds.revoke_ms,
            orderLease: file.bounds.lease_ms,
            areOrdersFenced: file.bounds.require_fencing,
            adapterVersionGracePeriod: file.bounds.version_ms,
            evacuationDelay: file.bounds.evacuation_ms,
            retryRatio: file.bounds.budget_ratio,
            retryWindow: file.bounds.budget_window_s * millisecondsPerSecond,
            retryAllowance: file.bounds.budget_slack,
            quotaWindow: file.bounds.quota_window_s * millisecondsPerSecond,
            quotaExcessRatio: file.bounds.quota_over,
            quotaExcessAllowance: file.bounds.quota_slack,
            modelLoadWindow: file.bounds.ceiling_window_s * millisecondsPerSecond,
            coldExcessFactor: file.bounds.cold_over,
            coldExcessAllowance: file.bounds.cold_slack,
        },
    });
}

function parseJson(text: string): unknown {
    try {
        return parseBoundedJson(text, maximumFileBytes);
    }
    catch {
        // the caller reports the error
        return undefined;
    }
}
