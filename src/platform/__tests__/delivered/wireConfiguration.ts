/**
 * Configurations of the operator at the wire.
 */

/** Host and path prefix of the route of the plain configuration. */
export const plainRoute = { host: "orders.example", path: "/confirm/" } as const;

/**
 * Encodes a configuration with one public route of requests that may run once.
 *
 * @param service - service of the route
 * @returns value of the record
 */
export function createPlainConfiguration(service: string): string {
    return JSON.stringify({
        version: 1,
        routes: [{
            name: "confirm",
            host: plainRoute.host,
            path_prefix: plainRoute.path,
            kind: "unsafe",
            timeout_ms: 800,
            target_latency_ms: 100,
            priority: 2,
            service,
            max_attempts: 1,
            public: true,
            sticky: false,
            can_resume: false,
        }],
        services: [{ name: service, health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
}
