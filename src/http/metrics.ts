/**
 * Prometheus metrics of an instance. The number of time series is bounded regardless of what clients send: adapters are
 * never labels, and client accounts beyond a limit share one label value.
 *
 * @packageDocumentation
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { RequestReport } from "../requests/index.js";
import { millisecondsPerSecond } from "../shared/index.js";

/** Options of the metrics. */
export interface MetricsOptions {
    /** Maximum number of client accounts with their own label value; all others share `other`. @default 200 */
    readonly accountLimit?: number;
}

/** Prometheus metrics of an instance, with the functions that update them. */
export interface Metrics {
    /** Registry to which other modules add their own metrics. */
    readonly registry: Registry;
    /** Adds a finished request to the counters and histograms. */
    readonly recordReport: (report: RequestReport) => void;
    /** Counts a connection that failed before a complete request was received; the code becomes a label value. */
    readonly recordConnectionError: (code: string) => void;
    /** Sets the number of requests that are being served. */
    readonly setOpenRequests: (count: number) => void;
    /** Returns all metrics in the Prometheus text format. */
    readonly readText: () => Promise<string>;
    /** Content type of the text that `readText` returns. */
    readonly contentType: string;
}

const defaultAccountLimit = 200;
const otherAccountLabel = "other";
const noAccountLabel = "none";
const noClassLabel = "none";

const waitBucketsSeconds = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 3, 6, 15, 60];
const tokenGapBucketsSeconds = [0.002, 0.005, 0.01, 0.02, 0.03, 0.039, 0.06, 0.1, 0.25, 1, 5];
const tokenBuckets = [1, 10, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 50_000];
const durationBucketsSeconds = [0.01, 0.05, 0.25, 1, 3, 10, 30, 60, 180, 600];

/**
 * Creates the metrics of an instance.
 *
 * @param options - limit on the number of account labels
 * @returns metrics without any values, in a registry of their own
 */
export function createMetrics(options: MetricsOptions = {}): Metrics {
    const registry = new Registry();
    const accountLimit = options.accountLimit ?? defaultAccountLimit;
    const labeledAccounts = new Set<string>();
    const createHistogram = (name: string, help: string, buckets: number[]): Histogram<"account" | "class"> =>
        new Histogram({
            name: `oriolehatch_${name}`,
            help,
            buckets,
            labelNames: ["account", "class"],
            registers: [registry],
        });
    const queueWait = createHistogram("queue_wait_seconds", "Wait for a place in a batch.", waitBucketsSeconds);
    const loadStall = createHistogram("load_stall_seconds", "Wait for the adapter to be loaded.", waitBucketsSeconds);
    const firstToken = createHistogram("first_token_seconds", "Arrival to first token.", waitBucketsSeconds);
    const tokenGap = createHistogram("token_gap_seconds", "Time between two tokens.", tokenGapBucketsSeconds);
    const duration = createHistogram("request_seconds", "Arrival to the end of the answer.", durationBucketsSeconds);
    const promptTokens = createHistogram("prompt_tokens", "Tokens of the prompt.", tokenBuckets);
    const outputTokens = createHistogram("output_tokens", "Tokens of the answer.", tokenBuckets);
    const requests = new Counter({
        name: "oriolehatch_requests_total",
        help: "Requests by outcome.",
        labelNames: ["account", "class", "outcome"],
        registers: [registry],
    });
    const uncompleted = new Counter({
        name: "oriolehatch_uncompleted_total",
        help: "Requests that did not complete, by reason.",
        labelNames: ["account", "class", "reason"],
        registers: [registry],
    });
    const attempts = new Counter({
        name: "oriolehatch_attempts_total",
        help: "Tries at backend servers.",
        labelNames: ["class"],
        registers: [registry],
    });
    const connectionErrors = new Counter({
        name: "oriolehatch_connection_errors_total",
        help: "Connections that broke or were refused before they held a whole request.",
        labelNames: ["code"],
        registers: [registry],
    });
    const openRequests = new Gauge({
        name: "oriolehatch_open_requests",
        help: "Requests that this instance is serving.",
        registers: [registry],
    });

    const resolveAccountLabel = (account: string | undefined): string => {
        if (account === undefined) {
            return noAccountLabel;
        }
        if (!labeledAccounts.has(account) && labeledAccounts.size < accountLimit) {
            labeledAccounts.add(account);
        }
        return labeledAccounts.has(account) ? account : otherAccountLabel;
    };
    const recordReport = (report: RequestReport): void => {
        const labels = { account: resolveAccountLabel(report.account), class: report.requestClass ?? noClassLabel };
        requests.inc({ ...labels, outcome: report.outcome.kind });
        attempts.inc({ class: labels.class }, report.attempts);
        if (report.outcome.kind !== "completed") {
            uncompleted.inc({ ...labels, reason: report.outcome.reason });
        }
        // a request that was rejected before its route was known has no wait times
        if (report.route === undefined) {
            return;
        }
        duration.observe(labels, report.total / millisecondsPerSecond);
        queueWait.observe(labels, report.queueWait / millisecondsPerSecond);
        loadStall.observe(labels, report.loadStall / millisecondsPerSecond);
        if (report.timeToFirstToken === undefined) {
            return;
        }
        firstToken.observe(labels, report.timeToFirstToken / millisecondsPerSecond);
        promptTokens.observe(labels, report.promptTokens);
        outputTokens.observe(labels, report.outputTokens);
        const gaps = tokenGap.labels(labels);
        for (const gap of report.tokenGaps) {
            gaps.observe(gap / millisecondsPerSecond);
        }
    };
    return {
        registry,
        recordReport,
        recordConnectionError: code => connectionErrors.inc({ code }),
        setOpenRequests: count => openRequests.set(count),
        readText: () => registry.metrics(),
        contentType: registry.contentType,
    };
}
