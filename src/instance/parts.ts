/**
 * Creates the parts of an instance and connects them. A part is a long-running task or the HTTP server.
 *
 * @packageDocumentation
 */
import {
    createEngineHttpClient,
    createInstanceListHttpClient,
    createLogHttpClient,
    createServiceHttpClient,
    type EngineClient,
    type ListedInstance,
} from "../backends/index.js";
import { type ConfigTask, createConfigTask } from "../config/index.js";
import { createFairQueue } from "../fairness/index.js";
import {
    createHttpServer,
    createMetrics,
    type HttpServer,
    type InstanceStatus,
    writeRequestLine,
} from "../http/index.js";
import { createLimitsTask, type LimitsTask } from "../limits/index.js";
import { createMembershipTask, type MembershipTask } from "../membership/index.js";
import type { PeerTask } from "../peers/index.js";
import { createPlacementTask, type PlacementTask, type WaitingRequest } from "../placement/index.js";
import { createRequestsTask, type RequestsTask } from "../requests/index.js";
import { type Clock, createSeededRandom, type InstanceId } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import type { ResolvedInstanceOptions } from "./options.js";
import { listNotReadyReasons } from "./readiness.js";

/** Settings of an instance, and the objects that exist before its parts are created. */
export interface PartsOptions {
    readonly settings: ResolvedInstanceOptions;
    /** This instance's own entry for the instance list. */
    readonly self: ListedInstance;
    /** Connections to other instances; already listening, so that the address in `self` is known. */
    readonly peers: PeerTask;
    readonly clock: Clock;
    /** Seed of the random numbers, such as retry jitter; a parameter so that tests are reproducible. */
    readonly seed: number;
}

/** The parts of one instance. */
export interface InstanceParts {
    readonly peers: PeerTask;
    readonly membership: MembershipTask;
    readonly config: ConfigTask;
    readonly limits: LimitsTask;
    readonly placement: PlacementTask;
    readonly requests: RequestsTask;
    readonly http: HttpServer;
    /** Tasks for the supervisor, in the order in which they start. */
    readonly tasks: readonly Task[];
    /** Reads the status of the instance and of each task. */
    readonly readStatus: () => InstanceStatus;
    /** Makes health checks report "not ready" and closes connections after a response; requests are still served. */
    readonly beginDrain: () => void;
}

/**
 * Creates the parts of an instance.
 *
 * @param options - settings, and the objects that exist already
 * @returns the parts; the supervisor starts the tasks, the caller starts the HTTP server
 */
export function createParts(options: PartsOptions): InstanceParts {
    const { settings, self, peers, clock } = options;
    const random = createSeededRandom(options.seed);
    const log = createLogHttpClient({ address: settings.platform.log });
    const instanceList = createInstanceListHttpClient({ address: settings.platform.instanceList });
    const membership = createMembershipTask({ self, instanceList, log, peers: peers.network, clock, random });
    const listInstances = (region?: string): readonly InstanceId[] =>
        membership.membership.read().instances
            .filter(instance => region === undefined || instance.region === region)
            .map(instance => instance.id);
    const config = createConfigTask({
        instance: self.id,
        log,
        peers: peers.network,
        clock,
        listPeers: () => listInstances(),
        listRegionPeers: () => listInstances(self.region),
    });
    const sharedOptions = {
        self: self.id,
        settings: config.view,
        membership: membership.membership,
        epochs: membership.epochs,
        ownership: membership.ownership,
        peers: peers.network,
        clock,
        random,
    };
    // placement orders waiting requests in this queue; limits exchanges its served-token counters with other instances
    const queue = createFairQueue<WaitingRequest>({ self: self.id });
    const limits = createLimitsTask({ ...sharedOptions, servedTokenCounters: queue });
    const placement = createPlacementTask({
        ...sharedOptions,
        loadBudget: limits.loadBudget,
        createEngineClient: engine => createEngineHttpClient({ address: engine.address, baseModel: engine.baseModel }),
        createQueue: () => queue,
    });
    const metrics = createMetrics();
    const recordReport = (report: Parameters<typeof writeRequestLine>[0]): void => {
        metrics.recordReport(report);
        writeRequestLine(report);
    };
    const findEngine = (address: string): EngineClient => {
        const engine = sharedOptions.membership.read().backendServers.find(server => server.address === address);
        return createEngineHttpClient({ address, baseModel: engine?.kind === "engine" ? engine.baseModel : undefined });
    };
    const requests = createRequestsTask({
        ...sharedOptions,
        limiter: limits.limiter,
        placement: placement.placement,
        log,
        createEngineClient: findEngine,
        createServiceClient: address => createServiceHttpClient({ address }),
        onReport: recordReport,
    });
    let isDraining = false;
    let hasJoined = false;
    const readStatus = (): InstanceStatus => {
        const now = clock.now();
        const epoch = membership.epochs.read();
        // stays true, because an instance that is removed or leaves later has no valid lease
        hasJoined ||= epoch.members.includes(self.id) && now >= epoch.gainsAllowedAt;
        const reasons = listNotReadyReasons({
            hasSettings: config.view.read() !== undefined,
            hasInstanceList: membership.readStatus(now).sinceListed !== undefined,
            hasJoined,
            leaseValidUntil: membership.epochs.readValidUntil(),
            isDraining,
        }, now);
        return {
            instance: self.id,
            ready: reasons.length === 0,
            reasons,
            appliedOffset: config.view.read()?.appliedOffset ?? -1,
            parts: {
                peers: peers.readStatus(),
                config: config.readStatus(now),
                membership: membership.readStatus(now),
                limits: limits.readStatus(now),
                placement: placement.readStatus(now),
                requests: requests.readStatus(now),
            },
        };
    };
    const http = createHttpServer({
        address: settings.address,
        service: requests.service,
        settings: config.view,
        readStatus,
        clock,
        metrics,
        onReport: recordReport,
        limits: {
            bodyBytes: settings.http.bodyBytes,
            bodyTimeout: settings.http.bodyTimeoutMilliseconds,
            headBytes: settings.http.headBytes,
            headTimeout: settings.http.headTimeoutMilliseconds,
            keepAlive: settings.http.keepAliveMilliseconds,
            connections: settings.http.connections,
        },
    });
    return {
        peers,
        membership,
        config,
        limits,
        placement,
        requests,
        http,
        tasks: [peers, membership, config, limits, placement, requests],
        readStatus,
        beginDrain: () => {
            isDraining = true;
            http.beginDrain();
        },
    };
}
