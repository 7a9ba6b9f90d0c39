/**
 * Configurations of plays with long streams: engines with adapters, a plain service, and an operator who changes them.
 */
import { playModel } from "./streamServers.js";

/** Services of a play. */
export const playServices = { engines: "offert-llm", plain: "order-app" } as const;

/** Host and path prefixes of the routes, by the kind of request. */
export const playRoutes = {
    host: "quotes.example",
    paths: { resumable: "/draft/", once: "/once/", plain: "/order/" },
} as const;

/** Key of the one client account. */
export const playKey = "acme-key";

/** What a version of the configuration changes: time-outs of idle connections or of routes, routes, or the quota. */
export type PlayChange = "idle" | "timeout" | "route" | "quota";

/** All changes, in the order in which the operator makes them. */
export const playChanges: readonly PlayChange[] = ["idle", "timeout", "route", "quota"];

/** Longest and shortest time-out of the routes, in milliseconds; clients give their requests less. */
const timeouts = [25_000, 20_000] as const;
const idleTimeouts = [15_000, 6_000, 20_000] as const;
const quotas = [1_000_000, 800_000] as const;

/**
 * Encodes a version of the configuration.
 *
 * @param version - number of the version
 * @param changes - how often each thing has changed
 * @returns value of the record
 */
export function createPlayConfiguration(version: number, changes: ReadonlyMap<PlayChange, number>): string {
    const count = (change: PlayChange): number => changes.get(change) ?? 0;
    const choose = (values: readonly number[], change: PlayChange): number => values[count(change) % values.length]!;
    const shared = {
        host: playRoutes.host,
        timeout_ms: choose(timeouts, "timeout"),
        target_latency_ms: 600,
        target_gap_ms: 300,
        max_attempts: 2,
        priority: 2,
        public: false,
    };
    const added = { ...shared, kind: "safe", service: playServices.plain, can_resume: false };
    const engine = {
        slots: 64,
        kv_cache_tokens: 1_000_000,
        size_mb: 75_000,
        adapter_slots: 18,
        loads_per_s: 5,
        models: [{ name: playModel, size_mb: 70_000, adapter_mb: 100 }],
    };
    return JSON.stringify({
        version,
        tenants: [{
            name: "acme",
            api_keys: [playKey],
            rate_per_s: choose(quotas, "quota"),
            burst: 1_000_000,
            unit: "tokens",
        }],
        routes: [
            {
                ...shared,
                name: "draft",
                path_prefix: playRoutes.paths.resumable,
                kind: "stream",
                service: playServices.engines,
                can_resume: true,
                sticky: true,
            },
            {
                ...shared,
                name: "once",
                path_prefix: playRoutes.paths.once,
                kind: "stream",
                service: playServices.plain,
            },
            {
                ...shared,
                name: "order",
                path_prefix: playRoutes.paths.plain,
                kind: "unsafe",
                service: playServices.plain,
            },
            // a longer prefix on a path that nobody asks for
            { ...added, name: `added-${count("route")}`, path_prefix: `/draft/added-${count("route")}/` },
        ],
        services: [
            { name: playServices.engines, health_path: "/health", connection_limit: 240, engine },
            { name: playServices.plain, health_path: "/health", connection_limit: 110 },
        ],
        limits: {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: choose(idleTimeouts, "idle"),
        },
    });
}
