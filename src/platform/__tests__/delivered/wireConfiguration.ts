/**
 * Configurations of the operator at the wire.
 */

/** Host and path prefix of the route of the plain configuration. */
export const plainRoute = { host: "orders.example", path: "/confirm/" } as const;

/** Host and path prefix of the route of the configuration with streams. */
export const streamRoute = { host: "orders.example", path: "/draft/" } as const;

/**
 * Encodes a configuration with one public route of requests that may run once.
 *
 * @param service - service of the route
 * @returns value of the record
 */
export function createPlainConfiguration(service: string): string {
    return encodeConfiguration(service, {
        name: "confirm",
        path_prefix: plainRoute.path,
        kind: "unsafe",
        timeout_ms: 800,
        target_latency_ms: 100,
        max_attempts: 1,
        can_resume: false,
    });
}

/** The one route of a configuration whose path tells its version. */
export const versionedRoute = {
    host: plainRoute.host,
    formatPath: (version: number): string => `/v${version}/`,
} as const;

/**
 * Encodes a version of a configuration with one public route, whose path the next version changes.
 *
 * @param service - service of the route
 * @param version - number of the version
 * @returns value of the record
 */
export function createVersionedConfiguration(service: string, version: number): string {
    const plain = JSON.parse(createPlainConfiguration(service)) as { readonly routes: readonly object[]; };
    const routes = plain.routes.map(route => ({ ...route, path_prefix: versionedRoute.formatPath(version) }));
    return JSON.stringify({ ...plain, version, routes });
}

/**
 * Encodes a configuration with one public route of streams that can be resumed.
 *
 * @param service - service of the route
 * @returns value of the record
 */
export function createStreamConfiguration(service: string): string {
    return encodeConfiguration(service, {
        name: "draft",
        path_prefix: streamRoute.path,
        kind: "stream",
        timeout_ms: 12_000,
        target_latency_ms: 600,
        target_gap_ms: 300,
        max_attempts: 2,
        can_resume: true,
    });
}

/** One of the many routes of the large configuration; its requests need a key. */
export const largeRoute = { host: plainRoute.host, path: "/r0/" } as const;
const largeRouteCount = 1_240;

/**
 * Encodes a version of a configuration with so many routes that a read returns four versions at most.
 *
 * @param service - service of all routes
 * @param version - number of the version
 * @param keys - keys of its one client account
 * @returns value of the record, of a quarter of a megabyte
 */
export function createLargeConfiguration(service: string, version: number, keys: readonly string[]): string {
    const plain = JSON.parse(createPlainConfiguration(service)) as { readonly routes: readonly object[]; };
    const routes = Array.from({ length: largeRouteCount }, (unused, number) => ({
        ...plain.routes[0],
        name: `route-${number}`,
        path_prefix: `/r${number}/`,
        kind: "safe",
        public: false,
    }));
    return JSON.stringify({ ...plain, version, routes, tenants: [{ name: "acme", api_keys: keys, rate_per_s: 0 }] });
}

const stopHost = "orders.example";
/** Routes of a play of a stop: an unsafe one with a short and one with a long time-out, a safe one, and streams. */
export const stopRoutes = {
    short: { host: stopHost, path: "/short/" },
    long: { host: stopHost, path: "/long/" },
    safe: { host: stopHost, path: "/safe/" },
    stream: { host: stopHost, path: "/stream/" },
} as const;

/**
 * Encodes a configuration with the routes of a play of a stop.
 *
 * @param service - service of all routes
 * @param accounts - client accounts; the routes need no key without them
 * @returns value of the record
 */
export function createStopConfiguration(service: string, accounts?: readonly unknown[]): string {
    const createRoute = (name: keyof typeof stopRoutes, route: Readonly<Record<string, unknown>>) => ({
        name,
        host: stopHost,
        path_prefix: stopRoutes[name].path,
        service,
        target_latency_ms: 100,
        max_attempts: 2,
        can_resume: false,
        priority: 2,
        public: accounts === undefined,
        ...route,
    });
    return JSON.stringify({
        version: 1,
        ...accounts && { tenants: accounts },
        routes: [
            createRoute("short", { kind: "unsafe", timeout_ms: 800 }),
            createRoute("long", { kind: "unsafe", timeout_ms: 25_000 }),
            createRoute("safe", { kind: "safe", timeout_ms: 25_000 }),
            createRoute("stream", { kind: "stream", timeout_ms: 25_000, target_gap_ms: 300, can_resume: true }),
        ],
        services: [{ name: service, health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
}

/** Routes to servers that send without end. */
export const faultyRoutes = {
    plain: { site: plainRoute.host, path: "/faulty/" },
    stream: { site: plainRoute.host, path: "/faulty-stream/" },
} as const;

/**
 * Encodes the plain configuration with routes to another service, of faulty servers.
 *
 * @param service - service of the plain route
 * @param faultyService - service of the faulty servers
 * @returns value of the record
 */
export function createEndlessConfiguration(service: string, faultyService: string): string {
    const plain = JSON.parse(createPlainConfiguration(service)) as {
        readonly routes: readonly object[];
        readonly services: readonly object[];
    };
    const createRoute = (kind: string, path: string, canResume: boolean) => ({
        ...plain.routes[0],
        name: path.slice(1, -1),
        path_prefix: path,
        service: faultyService,
        kind,
        timeout_ms: 5_000,
        target_gap_ms: 300,
        max_attempts: 2,
        can_resume: canResume,
    });
    return JSON.stringify({
        ...plain,
        routes: [
            ...plain.routes,
            createRoute("safe", faultyRoutes.plain.path, false),
            createRoute("stream", faultyRoutes.stream.path, true),
        ],
        services: [...plain.services, { name: faultyService, health_path: "/health", connection_limit: 110 }],
    });
}

/**
 * Encodes the plain configuration with one more service, whose servers are engines and which has no route.
 *
 * @param service - service of the route
 * @param engineService - service of the engines
 * @returns value of the record
 */
export function createEngineConfiguration(service: string, engineService: string): string {
    const plain = JSON.parse(createPlainConfiguration(service)) as { readonly services: readonly unknown[]; };
    const engine = { slots: 32, size_mb: 75_000, adapter_slots: 18, models: [{ name: "base", size_mb: 70_000 }] };
    return JSON.stringify({ ...plain, services: [...plain.services, { name: engineService, engine }] });
}

/** Services of the play of changes: two plain ones and engines. */
export const changedServices = { app: "app", other: "other", engine: "llm" } as const;
/** Client accounts of the play of changes, and their keys. */
export const changedAccounts = { acme: "acme-key", bolt: "bolt-key" } as const;

/** What the changes of a play change. */
export interface ChangedValues {
    readonly version: number;
    readonly idleTimeout: number;
    /** Time-out of all routes. */
    readonly timeout: number;
    /** Weights of the two plain services on the routes that are moved and split. */
    readonly weights: readonly [app: number, other: number];
    /** Whether the routes are there that come and go. */
    readonly hasSpare: boolean;
    /** Requests a second of each account. */
    readonly rate: number;
    /** Whether the second account has its key. */
    readonly hasKey: boolean;
}

/** Routes of the play of changes; those named `spare` come and go, and all but the drafts are moved and split. */
export const changedRoutes = {
    stock: { path: "/stock/", kind: "safe" },
    order: { path: "/order/", kind: "unsafe" },
    draft: { path: "/draft/", kind: "stream" },
    note: { path: "/note/", kind: "stream" },
    spare: { path: "/spare/", kind: "safe" },
    spareNote: { path: "/spare-note/", kind: "stream" },
} as const;

/**
 * Encodes a version of the configuration of a play of changes.
 *
 * @param values - what the changes change
 * @returns value of the record
 */
export function createChangedConfiguration(values: ChangedValues): string {
    const { app, other, engine } = changedServices;
    const split = values.weights.map((weight, index) => ({ service: [app, other][index], weight }));
    const names = Object.keys(changedRoutes) as (keyof typeof changedRoutes)[];
    const routes = names.filter(name => values.hasSpare || !name.startsWith("spare")).map(name => ({
        name,
        host: stopHost,
        path_prefix: changedRoutes[name].path,
        kind: changedRoutes[name].kind,
        ...name === "draft" ? { service: engine } : { split },
        can_resume: name === "draft",
        timeout_ms: values.timeout,
        target_latency_ms: 600,
        target_gap_ms: 300,
        max_attempts: 2,
        priority: 2,
    }));
    const quota = { rate_per_s: values.rate, burst: values.rate, unit: "requests" };
    const tenants = [
        { name: "acme", api_keys: [changedAccounts.acme], ...quota },
        { name: "bolt", api_keys: values.hasKey ? [changedAccounts.bolt] : [], ...quota },
    ];
    const models = [{ name: "base", size_mb: 70_000 }];
    return JSON.stringify({
        version: values.version,
        tenants,
        routes,
        services: [
            { name: app, health_path: "/health", connection_limit: 110 },
            { name: other, health_path: "/health", connection_limit: 110 },
            { name: engine, connection_limit: 240, engine: { slots: 32, size_mb: 75_000, adapter_slots: 18, models } },
        ],
        limits: {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: values.idleTimeout,
        },
    });
}

function encodeConfiguration(service: string, route: Readonly<Record<string, unknown>>): string {
    return JSON.stringify({
        version: 1,
        routes: [{ host: plainRoute.host, priority: 2, service, public: true, sticky: false, ...route }],
        services: [{ name: service, health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
}
