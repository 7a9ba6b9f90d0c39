/**
 * The operator's configuration and the adapter versions named beside it.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type {
    OperatorRecord,
    RecordError,
    RequestKind,
    ServingAccount,
    ServingConfig,
    ServingRoute,
    ServingService,
} from "../serving/types.js";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    path_prefix: z.string(),
    kind: z.enum(["safe", "unsafe", "stream"]),
    service: z.string().optional(),
    split: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
    timeout_ms: z.number(),
    target_latency_ms: z.number(),
    target_gap_ms: z.number().optional(),
    max_attempts: z.number().default(1),
    priority: z.number().default(0),
    public: z.boolean().default(false),
    can_resume: z.boolean().default(false),
});
const engineSchema = z.object({
    slots: z.number(),
    kv_cache_tokens: z.number().default(Infinity),
    size_mb: z.number().default(Infinity),
    adapter_slots: z.number().default(0),
    loads_per_s: z.number().default(1),
    models: z.array(z.object({
        name: z.string(),
        size_mb: z.number().default(0),
        adapter_mb: z.number().default(0),
    })).default([]),
});
const serviceSchema = z.object({
    name: z.string(),
    connection_limit: z.number().default(Infinity),
    engine: engineSchema.optional(),
});
const accountSchema = z.object({
    name: z.string(),
    api_keys: z.array(z.string()).default([]),
    priority: z.number().optional(),
    unit: z.string().optional(),
    plain_tokens: z.number().default(1),
    rate_per_s: z.number().default(0),
    burst: z.number().default(0),
});
const configSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    tenants: z.array(accountSchema).optional(),
    limits: z.object({
        header_bytes: z.number().default(16_384),
        body_bytes: z.number().default(4_194_304),
        header_timeout_ms: z.number().default(3_000),
        idle_timeout_ms: z.number().default(15_000),
    }),
});
const adapterVersionSchema = z.object({ model: z.string(), adapter: z.string(), version: z.number() });

const requestKindsByWireName: Readonly<Record<"safe" | "unsafe" | "stream", RequestKind>> = {
    safe: "idempotent",
    unsafe: "once",
    stream: "stream",
};

/**
 * Decodes a record of the operator's topic.
 *
 * @param key - its key
 * @param value - its bytes
 * @returns what it says, or why it can't be read
 */
export function decodeOperatorRecord(key: string, value: Uint8Array): Result<OperatorRecord, RecordError> {
    const isConfiguration = key === "config";
    if (!isConfiguration && !key.startsWith("version/")) {
        return wrapValue({ kind: "other" });
    }
    try {
        const parsed: unknown = JSON.parse(Buffer.from(value).toString("utf8"));
        return wrapValue(isConfiguration ? decodeConfiguration(parsed) : decodeAdapterVersion(parsed));
    }
    catch (error) {
        return wrapError({ kind: "unreadable", detail: error instanceof Error ? error.message : String(error) });
    }
}

function decodeConfiguration(parsed: unknown): OperatorRecord {
    const file = configSchema.parse(parsed);
    const config: ServingConfig = {
        version: file.version,
        routes: file.routes.map(decodeRoute).filter(route => route.targets.length > 0),
        services: new Map(file.services.map(service => [service.name, decodeService(service)])),
        accounts: file.tenants?.map(decodeAccount),
        limits: {
            headerBytes: file.limits.header_bytes,
            bodyBytes: file.limits.body_bytes,
            headerTimeout: file.limits.header_timeout_ms,
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
        targetPause: route.target_gap_ms,
        attemptLimit: route.max_attempts,
        priority: route.priority,
        isPublic: route.public,
        canResume: route.can_resume,
    };
}

function decodeService(service: z.infer<typeof serviceSchema>): ServingService {
    const { engine } = service;
    return {
        name: service.name,
        connectionLimit: service.connection_limit,
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
                plainTokens: account.plain_tokens,
            }
            : undefined,
    };
}
