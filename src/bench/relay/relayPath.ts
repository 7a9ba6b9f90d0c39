/**
 * The relay path of one instance by itself: front door, request path and clients of backend servers, with admission and
 * placement that always say yes.
 *
 * @packageDocumentation
 */
import {
    createEngineHttpClient,
    createServiceHttpClient,
    type ListedBackendServer,
    type ListedInstance,
} from "../../backends/index.js";
import type { ResolvedSettings, SettingsView } from "../../config/index.js";
import { createHttpServer, createMetrics, type HttpServer, type Metrics, writeRequestLine } from "../../http/index.js";
import type { TokenLimiter } from "../../limits/index.js";
import type { MembershipView } from "../../membership/index.js";
import type { PeerNetwork } from "../../peers/index.js";
import type { Pin, Placement, PlacementRequest } from "../../placement/index.js";
import { createRequestsTask } from "../../requests/index.js";
import { type Clock, createSeededRandom, wrapError, wrapValue } from "../../shared/index.js";

/** What the path is made of. */
export interface RelayPathOptions {
    readonly backendServers: readonly ListedBackendServer[];
    readonly settings: ResolvedSettings;
    readonly clock: Clock;
    readonly seed: number;
}

/** A relay path. */
export interface RelayPath {
    readonly http: HttpServer;
    readonly metrics: Metrics;
}

const self: ListedInstance = {
    kind: "instance",
    id: "relay",
    address: "127.0.0.1:0",
    failureDomain: "a",
    region: "local",
    state: "live",
};

/**
 * Creates a relay path.
 *
 * @param options - backend servers and the tree in force
 * @returns the path; its front door is not yet listening
 */
export function createRelayPath(options: RelayPathOptions): RelayPath {
    const { clock, backendServers } = options;
    const settings: SettingsView = { read: () => options.settings, subscribe: () => () => undefined };
    const membership: MembershipView = {
        read: () => ({ revision: 1, instances: [self], backendServers }),
        subscribe: () => () => undefined,
    };
    const metrics = createMetrics();
    const recordReport: Parameters<typeof createRequestsTask>[0]["onReport"] = report => {
        metrics.recordReport(report);
        writeRequestLine(report);
    };
    const requests = createRequestsTask({
        self: self.id,
        settings,
        membership,
        limiter: createOpenLimiter(),
        placement: createOpenPlacement(backendServers),
        peers: createLonePeers(),
        epochs: {
            read: () => ({ number: 0, members: [self.id], previousMembers: [], gainsAllowedAt: 0 }),
            readValidUntil: () => Number.POSITIVE_INFINITY,
            subscribe: () => () => undefined,
        },
        createEngineClient: address => createEngineHttpClient({ address }),
        createServiceClient: address => createServiceHttpClient({ address }),
        clock,
        random: createSeededRandom(options.seed),
        onReport: recordReport,
    });
    const http = createHttpServer({
        address: "127.0.0.1:0",
        service: requests.service,
        settings,
        readStatus: () => ({ instance: self.id, ready: true, reasons: [], appliedOffset: 0, parts: {} }),
        clock,
        metrics,
        onReport: recordReport,
    });
    return { http, metrics };
}

function createOpenLimiter(): TokenLimiter {
    return {
        reserve: request =>
            Promise.resolve(wrapValue({
                requestId: request.requestId,
                account: request.account,
                tokens: request.promptTokens + request.maximumOutputTokens,
            })),
        settle: () => undefined,
    };
}

function createOpenPlacement(servers: readonly ListedBackendServer[]): Placement {
    let turn = 0;
    const acquire = (request: PlacementRequest): ReturnType<Placement["acquire"]> => {
        const engines = servers.filter(server => server.kind === "engine" && server.pool === request.pool);
        const engine = engines[turn++ % engines.length];
        if (!engine) {
            return Promise.resolve(wrapError({ kind: "noEngine", detail: `pool ${request.pool} is empty` }));
        }
        const pin: Pin = {
            engine: engine.id,
            address: engine.address,
            incarnation: `${engine.id}-0`,
            adapter: request.adapter,
            loadStall: 0,
            queueWait: 0,
            isValid: () => true,
            release: () => undefined,
        };
        return Promise.resolve(wrapValue(pin));
    };
    return { acquire };
}

function createLonePeers(): PeerNetwork {
    return {
        self: self.id,
        send: () => undefined,
        request: () => Promise.resolve(wrapError({ kind: "unreachable", detail: "there are no peers" })),
        handle: () => undefined,
    };
}
