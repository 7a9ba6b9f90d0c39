/**
 * Creates an instance from its parts, runs it and drains it when it is stopped.
 *
 * @packageDocumentation
 */
import { createAdapterCoordinator, type LeavingSource } from "../adapters/adapterCoordinator.js";
import { trackEngineAddresses } from "../adapters/engineAddress.js";
import { createShardTask } from "../adapters/shardTask.js";
import { checkServer, createForwardingConnections } from "../forwarding/index.js";
import { createPeerTask } from "../peers/peerTask.js";
import { createRequestGuard } from "../quarantine/index.js";
import { createStreamArchive, createStreamOrigins } from "../resumption/index.js";
import { createRequestAges } from "../routing/index.js";
import { createLogger, createSeededRandom, waitForEvents } from "../shared/index.js";
import { createSupervisor, runTask, startTask } from "../supervision/index.js";
import { createAccountQuotas } from "./accountQuotas.js";
import { createAnswerMemory } from "./answerMemory.js";
import { createAnswerTimes } from "./answerTimes.js";
import { createClientServer, type ReceivedRequest } from "./clientServer.js";
import { createColdServers } from "./coldServers.js";
import { createConfigurationState } from "./configurationState.js";
import { computeConnectionLimit } from "./connectionLimit.js";
import { drainInstance } from "./drain.js";
import { createEvacuations } from "./evacuations.js";
import { createFollowers, type FollowersOptions, takeConfiguration } from "./followers.js";
import { readClocks } from "./freshness.js";
import { createRegions } from "./homes.js";
import { createInstanceDirectory } from "./instanceDirectory.js";
import {
    createGuardedParts,
    createMaintenanceTask,
    describeConfiguration,
    describeInstance,
    readShardHolders,
    removeInstance,
    waitForEnd,
    writeServerChange,
} from "./instanceTasks.js";
import { createLoopDelay, type LoopGate } from "./loopDelay.js";
import { registerPeerHandlers } from "./peerHandlers.js";
import { createReadinessServer } from "./readinessServer.js";
import { createRefusedRecords } from "./refusedRecords.js";
import { writeRequestLog } from "./requestLog.js";
import type { RequestParts } from "./requestState.js";
import { computeStreamLifetime } from "./resumedStreams.js";
import { createRetryBudget } from "./retryBudget.js";
import { describeStoppingRefusal, runRequest } from "./runRequest.js";
import { createServerConnections } from "./serverConnections.js";
import { createServerList, type ServerListChange } from "./serverList.js";
import { createServerListCheck } from "./serverListCheck.js";
import { createServerRecords } from "./serverRecords.js";
import { createMetricsServer, createServingMetrics } from "./servingMetrics.js";
import type { ServingDependencies, ServingInstance, ServingOptions } from "./servingOptions.js";
import { createShutdown } from "./shutdown.js";
import { createStoreEras } from "./storeEras.js";
import { createStoreReading } from "./storeReading.js";
import { createStreamLifetime } from "./streamLifetime.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** Requests with keys are refused while the configuration is older than this ratio of the revocation bound. */
const keyedRequestAgeRatio = 0.85;
/**
 * The instance is not ready while the configuration is older than this ratio of the revocation bound, so that clients
 * are sent to other instances before it refuses requests.
 */
const readinessAgeRatio = 0.7;
/** Time after which an idle connection to a server isn't used again. */
const serverIdleTimeoutMilliseconds = 1_500;
const tickMilliseconds = 300;
/** Loads that wait for the weight store become late, of which the other holders are told. */
const holderTickMilliseconds = 100;
/** Heartbeats without which the store drops the entry of a server; the last one came at most one interval ago. */
const heartbeatsUntilLapse = 3;
/** Instances that may hold shards, per shard, so that some of them may fail. */
const membersPerShard = 2;
/**
 * Time that the platform needs to notice that an instance isn't ready; a drain keeps the client port open for that
 * time.
 */
const readinessNoticeMilliseconds = 2_500;
/**
 * Time for which a task may fail again and again: what it keeps, such as the list of servers, is then too old to be
 * trusted, and the instance ends.
 */
const failureLimitMilliseconds = 60_000;
/** Lateness of the event loop from which on it is logged. */
const reportedDelayMilliseconds = 200;
/** Part of the grace time that is reserved for closing connections and ending the process. */
const exitReserveMilliseconds = 700;
const log = createLogger("serving");

/**
 * Creates an instance from its parts.
 *
 * @param options - addresses, bounds and clock
 * @param dependencies - clients and codecs for outside systems
 * @returns the instance, which does nothing before `run`
 */
export function createServingInstance(options: ServingOptions, dependencies: ServingDependencies): ServingInstance {
    const { clock } = options;
    const startedAt = clock.now();
    const startUnixTime = Date.now();
    const self = describeInstance(options);
    const configuration = createConfigurationState();
    const eras = dependencies.eras ?? createStoreEras();
    const servers = createServerList({
        shortestLapsingOutage: options.serverHeartbeat * (heartbeatsUntilLapse - 1),
    });
    const regions = createRegions(options.regionsByDomain, options.region);
    const evacuations = createEvacuations({
        servers,
        bound: options.evacuationBound,
        onChange: runs => {
            runs.forEach(run => forwarding.remove(run));
            adapters.handleEvacuation();
        },
    });
    const records = createServerRecords();
    const directory = createInstanceDirectory(self);
    const retryBudget = createRetryBudget(options.retry);
    const loop = createLoopDelay();
    const answerTimes = createAnswerTimes();
    const shutdown = createShutdown({
        clock,
        get grace() {
            return options.grace;
        },
        exitReserve: exitReserveMilliseconds,
        noticeTime: readinessNoticeMilliseconds,
        answerTimes,
    });
    const gate: LoopGate = { isLate: () => loop.isLate(clock.now()), handleWaiting: waitForEvents };
    const metrics = createServingMetrics({
        readLoads: () => adapters.readLoadStatus(),
        listUndecodedHeaders: dependencies.listUndecodedHeaders ?? (() => []),
        readCold: () => ({ servers: cold.countCold(), permits: adapters.readPermitCounts() }),
        readEvacuated: () => evacuations.readCounts(),
        readEngines: () => adapters.readEngineStatus(),
        readQuotas: () => quotas.readStatus(),
        readStore: () => ({
            era: eras.read(),
            configuration: configuration.read()?.config.version ?? 0,
            entryMissing: reading.registration.measureMissing(),
        }),
    });
    const random = createSeededRandom(startUnixTime % 2 ** 31);
    const answerMemory = createAnswerMemory();
    const peers = createPeerTask({
        memory: answerMemory,
        self: self.id,
        host: options.host,
        port: options.peerPort,
        findAddress: directory.findAddress,
        clock,
    });
    const findService = (name: string) => configuration.read()?.config.services.get(name);
    const cold = createColdServers({
        clock,
        findService,
        isCutOff: () => forwarding.isCutOff(),
        readBounds: () => options.cold ?? { over: 1, slack: 0 },
    });
    const adapters = createAdapterCoordinator({
        self: self.id,
        runId: `${self.id}@${startUnixTime}`,
        failureDomain: options.failureDomain,
        shardCount: options.shardCount,
        control: trackEngineAddresses(dependencies.control, servers.find),
        clock,
        random,
        network: peers.network,
        readHolders: () => readShardHolders(dependencies.shards),
        listEngines: () => servers.listAll().filter(server => findService(server.service)?.engine),
        listUsable: servers.listUsable,
        isServing: servers.isServing,
        mayReceive: run => servers.mayReceive(run, clock.now()),
        isLeaving: servers.isLeaving,
        isEvacuated: servers.isEvacuated,
        filterByRegions: regions.filterServers,
        onLeaving: (run, learnedFrom) => handleLeaving(run, learnedFrom),
        findLimits: service => findService(service)?.engine,
        onRoomDecision: metrics.countRoomDecision,
        get versionGracePeriod() {
            return options.versionBound;
        },
        cold,
        shardTtl: options.shardTtl,
    });
    const shards = createShardTask({
        group: dependencies.shards,
        member: self.id,
        ttl: options.shardTtl,
        get orderLease() {
            return options.orderLease;
        },
        get isFenced() {
            return options.areOrdersFenced;
        },
        clock,
        eras,
        startedAt,
        findHolderChangedAt: adapters.holders.findChangedAt,
        // who reaches no engine can order nothing there
        isMember: () =>
            directory.isLoaded() && directory.isAmongLargest(options.shardCount * membersPerShard) &&
            !forwarding.isCutOff(),
        onShardGained: shard => {
            quotas.client.handleShardGained(shard);
            adapters.handleShardGained(shard);
        },
        onShardLost: (shard, released) => {
            quotas.client.handleShardLost(shard);
            adapters.handleShardLost(shard, released);
        },
        onMembershipChange: adapters.handleMembershipChange,
    });
    const quotas = createAccountQuotas({
        self: self.id,
        clock,
        random,
        directory,
        shardCount: options.shardCount,
        holders: adapters.holders,
        findHeld: shards.find,
        network: peers.network,
        isFirstStart: options.isFirstStart,
        bounds: options.quota,
    });
    adapters.setShardTask(shards);
    const findConnectionLimit = (server: BackendServer): number =>
        computeConnectionLimit(findService(server.service)?.connectionLimit, directory.countInstances());
    const connections = createServerConnections({
        headers: dependencies.headers,
        findConnectionLimit,
        mayReceive: run => servers.mayReceive(run, clock.now()),
        onLeaving: server => handleLeaving(formatServerRunId(server), "response"),
        loop: gate,
        idleTimeout: serverIdleTimeoutMilliseconds,
    });
    const forwarding = createForwardingConnections({
        answerMemory,
        runId: `${self.id}@${startUnixTime}`,
        failureDomain: options.failureDomain,
        clock,
        random,
        network: peers.network,
        direct: connections,
        listCandidates: directory.listOthers,
        listServers: () => servers.listAll().filter(server => !servers.isEvacuated(server)),
        findServer: servers.find,
        probe: checkServer,
        onLeaving: server => handleLeaving(formatServerRunId(server), "response"),
        isStopping: shutdown.hasBegun,
        mayCarry: regions.mayCarry,
        onForwarded: metrics.countForwardedAttempt,
    });
    const handleLeaving = (run: ServerRunId, learnedFrom: LeavingSource): void => {
        if (servers.markLeaving(run)) {
            metrics.countLeavingServer();
            log.info("server leaves", { run, learnedFrom });
            forwarding.remove(run);
            adapters.handleLeaving(run, learnedFrom);
        }
    };
    const applyServerChange = (change: ServerListChange): void => {
        for (const server of change.removed) {
            const run = formatServerRunId(server);
            forwarding.remove(run);
            records.remove(run);
        }
        writeServerChange(change);
        adapters.handleServers(change.added, change.removed);
        const listed = servers.listAll();
        if (listed !== knownServers) {
            knownServers = listed;
            origins.handleServers(listed);
        }
    };
    const guard = createRequestGuard({
        self: self.id,
        clock,
        network: peers.network,
        holders: adapters.holders,
        isHeld: shard => shards.find(shard) !== undefined,
        append: dependencies.log.append,
    });
    const streamLifetime = createStreamLifetime();
    const archive = createStreamArchive(clock, dependencies.streams, eras);
    const origins = createStreamOrigins({
        self: self.id,
        clock,
        network: peers.network,
        holders: adapters.holders,
        shardCount: options.shardCount,
        isFirstStart: options.isFirstStart,
        archive,
        checkServers: () => serverCheck.run(),
        readStreamLifetime: () => streamLifetime.read(clock.now()),
    });
    const serverCheck = createServerListCheck({
        clock,
        store: dependencies.log,
        codec: dependencies.records,
        onServers: origins.observeServers,
        onConfirmed: at => at.monotonic >= reading.settling.readSettledAt() && origins.confirmServers(at),
    });
    let knownServers: readonly BackendServer[] = [];
    // before its first read this instance would refuse each request for want of a server
    let isServerListRead = false;
    const requestParts: RequestParts = {
        configuration,
        limits: quotas.limits,
        retryBudget,
        random,
        get maximumConfigAge() {
            return options.revocationBound * keyedRequestAgeRatio;
        },
        clock,
        failureDomain: options.failureDomain,
        servers,
        regions,
        records,
        connections: forwarding,
        headers: dependencies.headers,
        adapters,
        permits: adapters.permits,
        cold,
        guard,
        origins,
        answerMemory,
        answerTimes,
        requestAges: createRequestAges(),
        shutdown,
        onBroken: metrics.countBrokenAnswer,
        onQuotaDecision: metrics.countQuotaUnits,
        onResumed: metrics.countResumedStream,
    };
    const handleRequest = async (received: ReceivedRequest): Promise<void> => {
        const request = dependencies.headers.decodeRequest(received.method, received.target, received.rawHeaders);
        const arrivedAt = clock.now();
        const report = await runRequest(requestParts, request, received.body, received.answer, received.signal);
        const took = clock.now() - arrivedAt;
        metrics.countRequest(report, took);
        writeRequestLog(log, request, report, took);
    };
    const clientServer = createClientServer({
        host: options.host,
        port: options.clientPort,
        findLimits: () => configuration.read()?.config.limits,
        loop: gate,
        isDraining: shutdown.hasBegun,
        handle: handleRequest,
        describeRefusal: ({ method, target, rawHeaders }) =>
            describeStoppingRefusal(requestParts, dependencies.headers.decodeRequest(method, target, rawHeaders)),
        onUnread: metrics.countUnreadRequest,
    });
    const metricsServer = createMetricsServer({ host: options.host, port: options.metricsPort }, metrics);
    const readinessServer = createReadinessServer({
        host: options.host,
        port: options.readyPort,
        isReady: () =>
            !shutdown.hasBegun() && isServerListRead &&
            configuration.measureAge(readClocks()) < options.revocationBound * readinessAgeRatio,
    });
    const reading = createStoreReading({
        clock,
        random,
        store: dependencies.log,
        eras,
        codec: dependencies.records,
        directory,
        self,
        isStopping: shutdown.hasBegun,
        network: peers.network,
        isFirstStart: options.isFirstStart,
        onConfigurationRecord: record => takeConfiguration(followersOptions, record),
    });
    const followersOptions: FollowersOptions = {
        log: serverCheck.trackReads(reading.relayed.log),
        rules: reading.rules,
        settling: reading.settling,
        caches: reading.caches,
        codec: dependencies.records,
        clock,
        configuration,
        servers,
        cold,
        directory,
        guard,
        refused: createRefusedRecords(metrics.countRefusedRecord),
        onServers: applyServerChange,
        onServersConfirmed: at => {
            isServerListRead = true;
            origins.confirmServers(at);
        },
        onStoreFailure: metrics.countStoreFailure,
        onLag: metrics.setTopicLag,
        onConfiguration: (config, record) => {
            reading.inquiry.remember(config.version, record);
            streamLifetime.update(computeStreamLifetime(config.routes), clock.now());
            quotas.holder.update(config.accounts ?? [], clock.now());
            clientServer.update(config.limits);
            origins.handleRoutes(config);
            regions.writeHomeless(config);
            // servers are recognized as engines by their service, which may be new in this configuration
            adapters.handleServers(servers.listAll(), []);
            log.info("configuration", describeConfiguration(config));
        },
        onAdapterVersion: adapters.recordVersion,
        isKnownDomain: regions.isKnownDomain,
        onEvacuation: evacuations.handle,
    };
    const followers = createFollowers(followersOptions);
    const runParts = createGuardedParts({
        "expiry of servers": () => applyServerChange(servers.expire(clock.now())),
        "upkeep of quotas": quotas.client.tick,
        "upkeep of adapters": adapters.tick,
        "upkeep of the quarantine": guard.tick,
        "upkeep of streams": origins.tick,
        "upkeep of forwarding": forwarding.tick,
    }, failureLimitMilliseconds);
    const maintenance = createMaintenanceTask(clock, loop, delay => {
        metrics.observeLoopDelay(delay);
        if (delay >= reportedDelayMilliseconds) {
            log.warn("event loop late", { delay: Math.round(delay) });
        }
        retryBudget.setInstanceCount(directory.countInstances());
        runParts(clock.now());
        return shards.list().length > 0 ? holderTickMilliseconds : tickMilliseconds;
    });
    const supervisor = createSupervisor({
        name: "serving",
        clock,
        maximumRestarts: Number.POSITIVE_INFINITY,
        failureLimit: failureLimitMilliseconds,
        children: [peers, ...followers, shards, maintenance, ...reading.tasks],
    });
    registerPeerHandlers(peers.network, {
        adapters,
        relayed: reading.relayed,
        guard,
        forwarding,
        origins,
        quotas: quotas.client,
    });

    // the signal may have waited while the event loop was late
    const beginShutdown = (): void => shutdown.begin(loop.measureWaited(clock.now()));
    const run = async (signal: AbortSignal): Promise<void> => {
        const stopping = new AbortController();
        if (signal.aborted) {
            beginShutdown();
        }
        signal.addEventListener("abort", beginShutdown, { once: true });
        await peers.listen();
        const running = supervisor.run(stopping.signal);
        if (!options.isFirstStart) {
            startTask("read streams", archive.load);
        }
        await Promise.all([clientServer.listen(), readinessServer.listen(), metricsServer.listen()]);
        log.info("started", { id: self.id, host: options.host, domain: options.failureDomain });
        const failure = await waitForEnd(signal, running);
        beginShutdown();
        await runTask("drain", () =>
            drainInstance({
                clock,
                shutdown,
                clientServer,
                countHelped: forwarding.countHelped,
                leave: () => removeInstance(shards, reading.registration),
                handleWaiting: gate.handleWaiting,
            }));
        stopping.abort();
        archive.close();
        clientServer.close();
        readinessServer.close();
        metricsServer.close();
        connections.close();
        failure?.rethrow();
    };
    return { run };
}
