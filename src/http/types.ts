/**
 * Options and interface of the HTTP server, and the status that it reports to operators.
 *
 * @packageDocumentation
 */
import type { SettingsView } from "../config/index.js";
import type { RequestReport, RequestService } from "../requests/index.js";
import type { Clock, InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { Metrics } from "./metrics.js";

/** Limits of the HTTP server on clients. */
export interface HttpLimits {
    /** Maximum size of a request body. @default 4_194_304 */
    readonly bodyBytes?: number;
    /** Maximum time to receive a request body. @default 10_000 */
    readonly bodyTimeout?: Milliseconds;
    /** Maximum size of the request line and headers. @default 16_384 */
    readonly headBytes?: number;
    /** Maximum time to receive the request line and headers. @default 10_000 */
    readonly headTimeout?: Milliseconds;
    /** Time after which a client that does not read its response is disconnected. @default 60_000 */
    readonly stallTimeout?: Milliseconds;
    /** Time after which an idle connection is closed. @default 65_000 */
    readonly keepAlive?: Milliseconds;
    /** Maximum number of concurrent connections. @default 20_000 */
    readonly connections?: number;
}

/** Limits of the HTTP server with all defaults applied. */
export type ResolvedHttpLimits = Required<HttpLimits>;

/** Status of an instance, as `/status` returns it. */
export interface InstanceStatus {
    readonly instance: InstanceId;
    /** Whether the instance serves clients. */
    readonly ready: boolean;
    /** Why the instance is not ready; empty if it is. */
    readonly reasons: readonly string[];
    /** Offset of the last configuration record that the current settings include; -1 before the first. */
    readonly appliedOffset: LogOffset;
    /** Status of the individual modules, by module name. */
    readonly parts: Readonly<Record<string, unknown>>;
}

/** Options of the HTTP server. */
export interface HttpServerOptions {
    /** IP and port to listen on, such as `127.0.0.1:8080`; port 0 selects a free port. */
    readonly address: string;
    /** Runs the requests that are forwarded to backend servers. */
    readonly service: RequestService;
    readonly settings: SettingsView;
    readonly readStatus: () => InstanceStatus;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Called for completion and service requests that the HTTP server rejects; the request service reports others. */
    readonly onReport: (report: RequestReport) => void;
    /** Creates request ids. @default random UUIDs */
    readonly createRequestId?: () => string;
    readonly limits?: HttpLimits;
}

/** HTTP server of an instance. */
export interface HttpServer {
    /** Starts listening; resolves to the bound IP and port. */
    readonly start: () => Promise<string>;
    /** Makes `/readyz` fail from now on, and closes the connection of each further request after its response. */
    readonly beginDrain: () => void;
    /** Stops listening; resolves once all open responses have ended and all connections are closed. */
    readonly stop: () => Promise<void>;
}

const defaultLimits: ResolvedHttpLimits = {
    bodyBytes: 4_194_304,
    bodyTimeout: 10_000,
    headBytes: 16_384,
    headTimeout: 10_000,
    stallTimeout: 60_000,
    keepAlive: 65_000,
    connections: 20_000,
};

/**
 * Applies the default limits of the HTTP server.
 *
 * @param limits - limits to override; `undefined` values select the default
 * @returns a new object with all limits set
 */
export function resolveHttpLimits(limits: HttpLimits = {}): ResolvedHttpLimits {
    const set = Object.entries(limits).filter(([, value]) => value !== undefined);
    return { ...defaultLimits, ...Object.fromEntries(set) };
}
