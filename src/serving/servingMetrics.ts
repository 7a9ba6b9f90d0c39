/**
 * Prometheus metrics of an instance, and the HTTP server that exposes them.
 *
 * @packageDocumentation
 */
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { EngineLoadStatus } from "../adapters/engineLoads.js";
import type { LoadStatus } from "../adapters/loadScheduler.js";
import type { RoomDecision } from "../adapters/roomPool.js";
import type { PacedPermitCounts } from "../adapters/serverPermits.js";
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import { listTaskFailures, startTask } from "../supervision/index.js";
import type { QuotaStatus } from "./accountQuotas.js";
import type { DecidedUnits } from "./admission.js";
import type { TopicLag } from "./readProgress.js";
import type { RequestReport, StreamResumer } from "./requestState.js";

/** Metrics of an instance. */
export interface ServingMetrics {
    /** Counts a request that has ended; `took` is the time since its arrival. */
    readonly countRequest: (report: RequestReport, took: Milliseconds) => void;
    readonly countStoreFailure: (topic: string) => void;
    /** Sets what is left to read of a topic of the store. */
    readonly setTopicLag: (topic: string, lag: TopicLag) => void;
    /** Counts a record of the store that can't be used. */
    readonly countRefusedRecord: (topic: string) => void;
    /** Counts an answer that a server broke off, or a request that it left without one. */
    readonly countBrokenAnswer: () => void;
    /** Counts a stream that goes on at another server, or after a client's return. */
    readonly countResumedStream: (by: StreamResumer) => void;
    /** Counts an attempt that was sent through another instance, as this one reached no server. */
    readonly countForwardedAttempt: () => void;
    /** Counts the units of a client account's quota that a request got or was refused. */
    readonly countQuotaUnits: (decided: DecidedUnits) => void;
    /** Counts a server whose responses announce that it is about to stop. */
    readonly countLeavingServer: () => void;
    /** Counts a request whose client had disconnected when it was read. */
    readonly countUnreadRequest: () => void;
    /** Counts a decision of this holder on a request for a place. */
    readonly countRoomDecision: (decision: RoomDecision) => void;
    /** Observes by how much a timer was late. */
    readonly observeLoopDelay: (delay: Milliseconds) => void;
    /** Returns all metrics in the text format of Prometheus. */
    readonly render: () => Promise<string>;
}

/** Responses with a header that no codec decodes. */
export interface UndecodedHeader {
    /** Kind of system that sent them. */
    readonly source: string;
    readonly name: string;
    readonly count: number;
}

/** Cold servers, and the permits for them that this instance has decided on. */
export interface ColdCounts {
    readonly servers: number;
    readonly permits: PacedPermitCounts;
}

/** HTTP server that exposes the metrics. */
export interface MetricsServer {
    /** Opens the port; rejects when it is taken. */
    readonly listen: () => Promise<void>;
    readonly close: () => void;
}

/** Upper bounds of the histogram buckets, in seconds. */
const latencyBuckets = [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5, 10];
/** Client accounts and routes beyond this number share the label `other`, which limits the number of time series. */
const labelLimit = 50;
/** Upper bounds of the buckets for prompt tokens that an engine has still to read, and for its slowness. */
const unreadTokenBuckets = [0, 500, 1_000, 2_000, 4_000, 8_000, 16_000];
const slownessBuckets = [0.6, 0.8, 1, 1.25, 1.5, 2, 3];
/** Routes beyond this number share the label `other` in series that have an account too. */
const routeLabelLimit = 10;
const notFoundStatus = 404;

/** Present state of what this instance knows of the store. */
export interface StoreStatus {
    /** Era of the store. */
    readonly era: number;
    /** Version of the configuration. */
    readonly configuration: number;
    /** Time for which the list of instances has lacked this one's entry. */
    readonly entryMissing: Milliseconds;
}

/** States that are read for each scrape. */
export interface MetricSources {
    /** Present number of adapter loads. */
    readonly readLoads: () => LoadStatus;
    /** Headers that nobody decodes. @default none */
    readonly listUndecodedHeaders?: () => readonly UndecodedHeader[];
    /** Present number of cold servers, and the permits for them. @default no server is ever cold */
    readonly readCold?: () => ColdCounts;
    /** Numbers of evacuated failure domains and of their servers. @default none */
    readonly readEvacuated?: () => { readonly domains: number; readonly servers: number; };
    /** What is in force here of the store, and whether it lists this instance. @default 0 */
    readonly readStore?: () => StoreStatus;
    /** Quotas that are decided here without their holder. @default none */
    readonly readQuotas?: () => QuotaStatus;
    /** State of the engines whose shards this instance holds. @default it holds none */
    readonly readEngines?: () => EngineLoadStatus;
}

/**
 * Creates the metrics of an instance in a registry of their own.
 *
 * @param sources - states that are read for each scrape
 * @returns the metrics, all at zero
 */
export function createServingMetrics(sources: MetricSources): ServingMetrics {
    const {
        readLoads,
        listUndecodedHeaders = () => [],
        readCold = () => ({ servers: 0, permits: { granted: 0, refused: 0, returned: 0 } }),
        readEvacuated = () => ({ domains: 0, servers: 0 }),
        readEngines = () => ({ engines: [], placements: new Map() }),
        readQuotas = () => ({ accounts: 0, longest: 0, withoutAddress: 0 }),
        readStore = () => ({ era: 0, configuration: 0, entryMissing: 0 }),
    } = sources;
    const registry = new Registry();
    const registers = [registry];
    const accounts = new Set<string>();
    const routes = new Set<string>();
    const quotaRoutes = new Set<string>();
    const requests = new Counter({
        name: "oriolehatch_requests_total",
        help: "Requests by outcome and status",
        labelNames: ["outcome", "status", "account"],
        registers,
    });
    const answerEnds = new Counter({
        name: "oriolehatch_answer_ends_total",
        help: "Ends of answers by whose hand it was, and outcome",
        labelNames: ["by", "outcome"],
        registers,
    });
    const endAfterStopSeconds = new Histogram({
        name: "oriolehatch_end_after_stop_seconds",
        help: "Time from the signal to stop to the end of an answer, by whose hand it was",
        labelNames: ["by"],
        buckets: latencyBuckets,
        registers,
    });
    const endSilenceSeconds = new Histogram({
        name: "oriolehatch_end_silence_seconds",
        help: "Time from the last byte of a server to the end of an answer that isn't whole, by whose hand it was",
        labelNames: ["by"],
        buckets: latencyBuckets,
        registers,
    });
    const refusals = new Counter({
        name: "oriolehatch_refusals_total",
        help: "Refused requests by reason",
        labelNames: ["reason"],
        registers,
    });
    const requestSeconds = new Histogram({
        name: "oriolehatch_request_seconds",
        help: "Time until the end of an answer",
        labelNames: ["account"],
        buckets: latencyBuckets,
        registers,
    });
    const headSeconds = new Histogram({
        name: "oriolehatch_first_byte_seconds",
        help: "Time until the head of an answer",
        labelNames: ["account"],
        buckets: latencyBuckets,
        registers,
    });
    const placeWaitSeconds = new Histogram({
        name: "oriolehatch_place_wait_seconds",
        help: "Wait for an engine that holds the adapter",
        buckets: latencyBuckets,
        registers,
    });
    const storeFailures = new Counter({
        name: "oriolehatch_store_failures_total",
        help: "Reads of the platform's store without a result",
        labelNames: ["topic"],
        registers,
    });
    const topicLagRecords = new Gauge({
        name: "oriolehatch_topic_lag_records",
        help: "Records of a topic of the store that the last read did not reach; what they change isn't in force here",
        labelNames: ["topic"],
        registers,
    });
    const topicLagBytes = new Gauge({
        name: "oriolehatch_topic_lag_bytes",
        help: "Size of these records, by the mean of the last read",
        labelNames: ["topic"],
        registers,
    });
    const refusedRecords = new Counter({
        name: "oriolehatch_refused_records_total",
        help: "Records of the platform's store that can't be used",
        labelNames: ["topic"],
        registers,
    });
    const brokenAnswers = new Counter({
        name: "oriolehatch_broken_answers_total",
        help: "Requests that a server received and whose answer it broke off or never began",
        registers,
    });
    const resumedStreams = new Counter({
        name: "oriolehatch_resumed_streams_total",
        help: "Streams that went on at another server or after a client's return",
        labelNames: ["by"],
        registers,
    });
    const forwardedAttempts = new Counter({
        name: "oriolehatch_forwarded_attempts_total",
        help: "Attempts sent through another instance, as this one reached no server",
        registers,
    });
    const loopDelaySeconds = new Histogram({
        name: "oriolehatch_loop_delay_seconds",
        help: "Lateness of the timer of the regular maintenance, which other events share",
        buckets: latencyBuckets,
        registers,
    });
    const cancelSeconds = new Histogram({
        name: "oriolehatch_cancel_seconds",
        help: "Time from the end of a client's connection to the end of its request here, by what it was waiting for",
        labelNames: ["stage"],
        buckets: latencyBuckets,
        registers,
    });
    const unreadRequests = new Counter({
        name: "oriolehatch_unread_requests_total",
        help: "Requests whose client had disconnected when they were read, and that were not handled",
        registers,
    });
    const roomByRoute = new Counter({
        name: "oriolehatch_places_by_route_total",
        help: "Requests for places on this holder's engines, by route and result",
        labelNames: ["route", "result"],
        registers,
    });
    const roomByAccount = new Counter({
        name: "oriolehatch_places_by_account_total",
        help: "Requests for places on this holder's engines, by client account and result",
        labelNames: ["account", "result"],
        registers,
    });
    const leavingServers = new Counter({
        name: "oriolehatch_leaving_servers_total",
        help: "Servers that announced in a response that they are about to stop",
        registers,
    });
    new Gauge({
        name: "oriolehatch_adapter_loads",
        help: "Adapter loads on their way and waiting, and those that the weight store serves at full speed",
        labelNames: ["state"],
        registers,
        collect() {
            Object.entries(readLoads()).forEach(([state, count]) => this.set({ state }, count));
        },
    });
    new Gauge({
        name: "oriolehatch_cold_servers",
        help: "Listed servers that this instance treats as cold",
        registers,
        collect() {
            this.set(readCold().servers);
        },
    });
    new Counter({
        name: "oriolehatch_cold_permits_total",
        help:
            "Permits for cold servers and for those that were so a moment ago, which this instance decided as a holder",
        labelNames: ["result"],
        registers,
        collect() {
            this.reset();
            Object.entries(readCold().permits).forEach(([result, count]) => this.inc({ result }, count));
        },
    });
    new Gauge({
        name: "oriolehatch_evacuated",
        help: "Evacuated failure domains, and listed servers in them, which receive nothing",
        labelNames: ["what"],
        registers,
        collect() {
            Object.entries(readEvacuated()).forEach(([what, count]) => this.set({ what }, count));
        },
    });
    new Histogram({
        name: "oriolehatch_engine_unread_tokens",
        help:
            "Prompt tokens that engines have still to read, over the engines of this holder at the time of the scrape",
        buckets: unreadTokenBuckets,
        registers,
        collect() {
            this.reset();
            readEngines().engines.forEach(({ unreadTokens }) => this.observe(unreadTokens));
        },
    });
    new Gauge({
        name: "oriolehatch_store_era",
        help: "Newest era of the store that this instance knows; 0 where the store names none",
        registers,
        collect() {
            this.set(readStore().era);
        },
    });
    new Gauge({
        name: "oriolehatch_configuration_version",
        help: "Version of the configuration in force; 0 before the first one",
        registers,
        collect() {
            this.set(readStore().configuration);
        },
    });
    new Gauge({
        name: "oriolehatch_entry_missing_seconds",
        help: "Time for which the list of instances has lacked this instance's entry; others don't find it meanwhile",
        registers,
        collect() {
            this.set(readStore().entryMissing / millisecondsPerSecond);
        },
    });
    new Gauge({
        name: "oriolehatch_quota_alone_seconds",
        help: "Longest time for which an account is decided here without the holder of its quota",
        registers,
        collect() {
            this.set(readQuotas().longest / millisecondsPerSecond);
        },
    });
    new Gauge({
        name: "oriolehatch_quota_alone_accounts",
        help: "Accounts that are decided here without the holder of their quota",
        registers,
        collect() {
            this.set(readQuotas().accounts);
        },
    });
    new Gauge({
        name: "oriolehatch_holders_without_address",
        help: "Holders of shards that aren't in the list of instances, so that this one can't connect to them",
        registers,
        collect() {
            this.set(readQuotas().withoutAddress);
        },
    });
    new Histogram({
        name: "oriolehatch_engine_slowness",
        help: "Time that work takes against a usual engine, over the engines of this holder at the time of the scrape",
        buckets: slownessBuckets,
        registers,
        collect() {
            this.reset();
            readEngines().engines.forEach(({ slowness }) => this.observe(slowness));
        },
    });
    new Counter({
        name: "oriolehatch_engine_placements_total",
        help: "Places that this holder gave on its engines, by reason of their share of the load",
        labelNames: ["reason"],
        registers,
        collect() {
            this.reset();
            readEngines().placements.forEach((count, reason) => this.inc({ reason }, count));
        },
    });
    new Counter({
        name: "oriolehatch_task_failures_total",
        help: "Exceptions in tasks of this process, by task",
        labelNames: ["task"],
        registers,
        collect() {
            this.reset();
            listTaskFailures().forEach((count, task) => this.inc({ task }, count));
        },
    });
    new Gauge({
        name: "oriolehatch_undecoded_headers",
        help: "Responses with a header that nothing here decodes, since the start",
        labelNames: ["source", "name"],
        registers,
        collect() {
            listUndecodedHeaders().forEach(({ source, name, count }) => this.set({ source, name }, count));
        },
    });
    const quotaUnits = new Counter({
        name: "oriolehatch_quota_units_total",
        help: "Units of quotas that requests got or were refused, by kind of request",
        labelNames: ["outcome", "route", "account"],
        registers,
    });
    const limitLabel = (known: Set<string>, name: string | undefined, limit = labelLimit): string => {
        if (name === undefined) {
            return "none";
        }
        if (!known.has(name) && known.size >= limit) {
            return "other";
        }
        known.add(name);
        return name;
    };
    const limitAccountLabel = (name: string | undefined): string => limitLabel(accounts, name);
    const countEnd = ({ by, outcome, sinceStop, silence }: RequestReport): void => {
        answerEnds.inc({ by, outcome });
        if (sinceStop !== undefined) {
            endAfterStopSeconds.observe({ by }, sinceStop / millisecondsPerSecond);
        }
        if (silence !== undefined && outcome !== "answered") {
            endSilenceSeconds.observe({ by }, silence / millisecondsPerSecond);
        }
    };
    return {
        countRequest: (report, took) => {
            const account = limitAccountLabel(report.account);
            requests.inc({ outcome: report.outcome, status: String(report.status ?? ""), account });
            countEnd(report);
            if (report.outcome === "refused") {
                refusals.inc({ reason: report.reason.split(":")[0] });
            }
            if (report.leftWhile !== undefined) {
                cancelSeconds.observe({ stage: report.leftWhile }, (report.endDelay ?? 0) / millisecondsPerSecond);
            }
            requestSeconds.observe({ account }, took / millisecondsPerSecond);
            if (report.headAfter !== undefined) {
                headSeconds.observe({ account }, report.headAfter / millisecondsPerSecond);
                placeWaitSeconds.observe(report.placeWait / millisecondsPerSecond);
            }
        },
        countStoreFailure: topic => storeFailures.inc({ topic }),
        setTopicLag: (topic, { records, bytes }) => {
            topicLagRecords.set({ topic }, records);
            topicLagBytes.set({ topic }, bytes);
        },
        countRefusedRecord: topic => refusedRecords.inc({ topic }),
        countBrokenAnswer: () => brokenAnswers.inc(),
        countResumedStream: by => resumedStreams.inc({ by }),
        countForwardedAttempt: () => forwardedAttempts.inc(),
        countQuotaUnits: ({ account, route, units, outcome }) =>
            quotaUnits.inc({
                outcome,
                route: limitLabel(quotaRoutes, route, routeLabelLimit),
                account: limitAccountLabel(account),
            }, units),
        countLeavingServer: () => leavingServers.inc(),
        countUnreadRequest: () => unreadRequests.inc(),
        countRoomDecision: ({ route, account, result }) => {
            roomByRoute.inc({ route: limitLabel(routes, route), result });
            roomByAccount.inc({ account: limitAccountLabel(account), result });
        },
        observeLoopDelay: delay => loopDelaySeconds.observe(delay / millisecondsPerSecond),
        render: () => registry.metrics(),
    };
}

/**
 * Creates the HTTP server that exposes metrics at `/metrics`.
 *
 * @param address - IP and port
 * @param metrics - metrics to expose
 * @returns the server, which doesn't listen yet
 */
export function createMetricsServer(
    address: { readonly host: string; readonly port: number; },
    metrics: ServingMetrics,
): MetricsServer {
    const server: Server = createServer((request, response) => {
        if (request.url !== "/metrics") {
            response.writeHead(notFoundStatus).end();
            return;
        }
        const respond = async (): Promise<void> => {
            const text = await metrics.render();
            response.writeHead(200, { "Content-Type": "text/plain" }).end(text);
        };
        startTask("metrics", respond, () => response.destroy());
    });
    return {
        listen: () =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(address, resolve);
            }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
