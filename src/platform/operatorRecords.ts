/**
 * Decodes the records that operators write to the platform's store: the configuration, the current version of each
 * adapter, and the evacuations of failure domains. The schemas have the field names of the wire.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type {
    OperatorRecord,
    RecordError,
    RequestKind,
    ServingAccount,
    ServingConfig,
    ServingRoute,
    ServingService,
} from "../serving/types.js";
import {
    createLimitedNumber,
    maximumCount,
    millisecondsPerSecond,
    ordinalSchema,
    parseBoundedJson,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { describeRecordError } from "./recordError.js";

/** Largest record that is read; the store's own limit is lower. */
const maximumRecordBytes = 16_777_216;
/** Longest time of a route or limit, about 11 days: a timer can also keep it with a margin added. */
const longestTimeoutMilliseconds = 1_000_000_000;
/** Highest rate and burst of a quota. */
const maximumQuotaRate = 1_000_000_000_000;
/** Slowest loads from the weight store. */
const minimumLoadsPerSecond = 0.01;

// the store accepts only valid configurations, so that a number out of its range is moved to the end of it
const timeout = createLimitedNumber(0, longestTimeoutMilliseconds);
const amount = createLimitedNumber(0, maximumCount);
const coldSeconds = z.number().min(0).max(longestTimeoutMilliseconds / millisecondsPerSecond);
const quotaAmount = createLimitedNumber(0, maximumQuotaRate);

// regions whose servers may receive the requests; all where it is missing or empty
const regionsSchema = z.array(z.string()).default([]);

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    path_prefix: z.string(),
    // "safe" requests may be executed repeatedly, "unsafe" ones at most once
    kind: z.enum(["safe", "unsafe", "stream"]),
    // a route names one service, or several with weights in `split`
    service: z.string().optional(),
    split: z.array(z.object({ service: z.string(), weight: amount })).optional(),
    timeout_ms: timeout,
    target_latency_ms: timeout,
    // intended maximum pause between two events of a stream
    target_gap_ms: timeout.optional(),
    // number of servers that one request may be sent to
    max_attempts: amount.default(1),
    // 0 is the highest
    priority: amount.default(0),
    // whether requests are accepted without an API key
    public: z.boolean().default(false),
    // whether an interrupted stream may continue on another server, after the last event that the client received
    can_resume: z.boolean().default(false),
    allowed_regions: regionsSchema,
});
const engineSchema = z.object({
    // maximum number of requests that one engine runs in a batch
    slots: createLimitedNumber(1, maximumCount),
    kv_cache_tokens: amount.default(Infinity),
    // memory of one engine for base models and adapters
    size_mb: amount.default(Infinity),
    adapter_slots: amount.default(0),
    // base models that all engines together may fetch from the weight store per second
    loads_per_s: createLimitedNumber(minimumLoadsPerSecond, maximumCount).default(1),
    models: z.array(z.object({
        name: z.string(),
        size_mb: amount.default(0),
        // memory of each adapter of this base model
        adapter_mb: amount.default(0),
    })).default([]),
});
const serviceSchema = z.object({
    name: z.string(),
    // connections that one server accepts from all instances together
    connection_limit: amount.default(Infinity),
    engine: engineSchema.optional(),
    // how long a server is cold after it starts, while there is traffic; the configuration with a negative time is refused
    cold_start_s: coldSeconds.default(0),
    // requests per second that a cold server tolerates; 0 for servers that are never cold
    cold_per_s: z.number().min(0).max(maximumCount).default(0),
});
const accountSchema = z.object({
    name: z.string(),
    api_keys: z.array(z.string()).default([]),
    // overrides the priority of the route
    priority: amount.optional(),
    // "tokens", or anything else for requests
    unit: z.string().optional(),
    // tokens that are charged for a request without token counts
    plain_tokens: amount.default(1),
    // 0 for no limit
    rate_per_s: quotaAmount.default(0),
    burst: quotaAmount.default(0),
    allowed_regions: regionsSchema,
});
/** Schema of the configuration record. */
export const configurationRecordSchema = z.object({
    // one beyond the exact numbers would be equal to later ones, or hide all of them
    version: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    // client accounts; without the field, requests carry no API keys
    tenants: z.array(accountSchema).optional(),
    limits: z.object({
        header_bytes: amount.default(16_384),
        body_bytes: amount.default(4_194_304),
        header_timeout_ms: timeout.default(3_000),
        idle_timeout_ms: timeout.default(15_000),
    }),
});
/** The configuration record, with the names of the wire. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;

/** Names that can be sent in a header; an account with another could not be told to servers. */
const headerValuePattern = /^[\t\x20-\x7e\x80-\xff]{1,1024}$/;
/** Keys of the evacuations; the name of a failure domain follows. */
const evacuationPrefix = "evacuate/";
const evacuationSchema = z.object({});
const adapterVersionSchema = z.object({ model: z.string(), adapter: z.string(), version: ordinalSchema });

const requestKindsByWireName: Readonly<Record<"safe" | "unsafe" | "stream", RequestKind>> = {
    safe: "idempotent",
    unsafe: "once",
    stream: "stream",
};

/**
 * Decodes a record of the operators' topic.
 *
 * @param key - key of the record: `config`, `version/...`, `evacuate/...`, or a key that has no meaning here
 * @param value - content of the record, JSON in UTF-8
 * @returns the decoded record, of kind `other` for keys without a meaning here; an error when the content is not valid
 */
export function decodeOperatorRecord(key: string, value: Uint8Array): Result<OperatorRecord, RecordError> {
    const decode = findDecoder(key);
    if (!decode) {
        return wrapValue({ kind: "other" });
    }
    try {
        return wrapValue(decode(parseBoundedJson(value, maximumRecordBytes, Number.POSITIVE_INFINITY)));
    }
    catch (error) {
        return wrapError(describeRecordError(error));
    }
}

/**
 * Decodes what the deletion of a key of the operators' topic means.
 *
 * @param key - the key
 * @returns the end of an evacuation, or a record of kind `other`: configuration and versions stay as they are
 */
export function decodeOperatorDeletion(key: string): OperatorRecord {
    return key.startsWith(evacuationPrefix) ? describeEvacuation(key, false) : { kind: "other" };
}

function findDecoder(key: string): ((parsed: unknown) => OperatorRecord) | undefined {
    if (key === "config") {
        return decodeConfiguration;
    }
    if (key.startsWith(evacuationPrefix)) {
        return parsed => {
            evacuationSchema.parse(parsed);
            return describeEvacuation(key, true);
        };
    }
    return key.startsWith("version/") ? decodeAdapterVersion : undefined;
}

function describeEvacuation(key: string, isRequested: boolean): OperatorRecord {
    return { kind: "evacuation", domain: key.slice(evacuationPrefix.length), isRequested };
}

/**
 * Tells whether an account can be told to servers; others are left out.
 *
 * @param name - name of the account
 * @returns whether it can be sent in a header
 */
export function isAccountName(name: string): boolean {
    return headerValuePattern.test(name);
}

function decodeConfiguration(parsed: unknown): OperatorRecord {
    const file = configurationRecordSchema.parse(parsed);
    const config: ServingConfig = {
        version: file.version,
        routes: file.routes.map(decodeRoute).filter(route => route.targets.length > 0),
        services: new Map(file.services.map(service => [service.name, decodeService(service)])),
        accounts: file.tenants?.filter(({ name }) => isAccountName(name)).map(decodeAccount),
        limits: {
            headerBytes: file.limits.header_bytes,
            bodyBytes: file.limits.body_bytes,
            // the HTTP server counts whole milliseconds
            headerTimeout: Math.ceil(file.limits.header_timeout_ms),
            idleTimeout: file.limits.idle_timeout_ms,
        },
    };
    return { kind: "configuration", config };
}

function decodeAdapterVersion(parsed: unknown): OperatorRecord {
    return { kind: "adapterVersion", ...adapterVersionSchema.parse(parsed) };
}

function decodeRoute(route: z.infer<typeof routeSchema>): ServingRoute {
    const unsplitTargets = route.service === undefined ? [] : [{ service: route.service, weight: 1 }];
    return {
        name: route.name,
        host: route.host.toLowerCase(),
        pathPrefix: route.path_prefix,
        kind: requestKindsByWireName[route.kind],
        targets: (route.split ?? unsplitTargets).filter(target => target.weight > 0),
        timeout: route.timeout_ms,
        targetLatency: route.target_latency_ms,
        targetEventGap: route.target_gap_ms,
        attemptLimit: route.max_attempts,
        priority: route.priority,
        isPublic: route.public,
        canResume: route.can_resume,
        ...decodeRegions(route.allowed_regions),
    };
}

function decodeRegions(regions: readonly string[]): { readonly allowedRegions?: readonly string[]; } {
    return regions.length > 0 ? { allowedRegions: regions } : {};
}

function decodeService(service: z.infer<typeof serviceSchema>): ServingService {
    const { engine } = service;
    return {
        name: service.name,
        connectionLimit: service.connection_limit,
        ...service.cold_per_s > 0 && {
            coldStart: service.cold_start_s * millisecondsPerSecond,
            coldPerSecond: service.cold_per_s,
        },
        engine: engine && {
            batchSlots: engine.slots,
            kvCacheTokens: engine.kv_cache_tokens,
            memoryMegabytes: engine.size_mb,
            adapterSlots: engine.adapter_slots,
            modelLoadsPerSecond: engine.loads_per_s,
            models: engine.models.map(model => ({
                name: model.name,
                sizeMegabytes: model.size_mb,
                adapterMegabytes: model.adapter_mb,
            })),
        },
    };
}

function decodeAccount(account: z.infer<typeof accountSchema>): ServingAccount {
    return {
        name: account.name,
        keys: account.api_keys,
        priority: account.priority,
        quota: account.rate_per_s > 0
            ? {
                unit: account.unit === "tokens" ? "tokens" : "requests",
                ratePerSecond: account.rate_per_s,
                burst: account.burst,
                defaultTokens: account.plain_tokens,
            }
            : undefined,
        ...decodeRegions(account.allowed_regions),
    };
}
