#!/usr/bin/env node
/**
 * Daemon of an instance on the users' platform.
 *
 * @packageDocumentation
 */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { createServing } from "../serving/openServing.js";
import { createSystemClock, sendLogToSink, setLogLevel } from "../shared/index.js";
import { decodeOperatorRecord } from "./configuration.js";
import { createEngineControl } from "./engineCalls.js";
import { platformHeaders } from "./headers.js";
import { decodeServerEntry } from "./serverEntry.js";
import { decodeSettings, settingsVariable } from "./settings.js";
import { createPlatformStore } from "./store.js";

const defaultMetricsPort = 9_464;
const logLevels = ["debug", "info", "warn", "error", "silent"] as const;
const help = `oriolehatch on the users' platform

usage: main.js [--metrics-port PORT] [--log-level LEVEL]

The settings file is named by the variable ${settingsVariable}.

    --metrics-port PORT  port that serves /metrics (${defaultMetricsPort})
    --log-level LEVEL    debug, info, warn, error or silent (info)
    --help               this text
`;
const usageExitCode = 2;
const largestPort = 65_535;
/** Time for the last log lines to be written. */
const lastLinesMilliseconds = 60;
const membershipTtlMilliseconds = 1_500;

process.exitCode = await runDaemon(process.argv.slice(2));

async function runDaemon(args: readonly string[]): Promise<number> {
    const values = parseOptions(args);
    if (typeof values === "string") {
        process.stderr.write(`${values}; --help tells more\n`);
        return usageExitCode;
    }
    if (values.help) {
        process.stdout.write(help);
        return 0;
    }
    const path = process.env[settingsVariable];
    if (path === undefined) {
        process.stderr.write(`${settingsVariable} is not set; it names the settings file\n`);
        return usageExitCode;
    }
    const settings = decodeSettings(readFileSync(path, "utf8"));
    if (!settings.ok) {
        process.stderr.write(`${path}: ${settings.error.detail}\n`);
        return usageExitCode;
    }
    setLogLevel(values.logLevel);
    const { metricsPort } = values;
    const flushLog = sendLogToSink();
    const file = settings.value;
    const store = createPlatformStore(file.storeAddress);
    const stopping = new AbortController();
    process.once("SIGTERM", () => stopping.abort());
    process.on("SIGHUP", () => undefined);
    const serving = createServing({
        instanceName: file.instanceName,
        host: file.host,
        failureDomain: file.failureDomain,
        clientPort: readPort(file.clientAddress),
        readyPort: readPort(file.readyAddress),
        peerPort: file.peerPort,
        metricsPort,
        shardCount: file.storeShards,
        shardTtl: Math.max(membershipTtlMilliseconds, file.membershipTtlMinimum),
        orderLease: file.bounds.orderLease,
        areOrdersFenced: file.bounds.areOrdersFenced,
        revocationBound: file.bounds.revocation,
        versionBound: file.bounds.adapterVersion,
        grace: file.bounds.grace,
        quota: {
            window: file.bounds.quotaWindow,
            over: file.bounds.quotaOver,
            slack: file.bounds.quotaSlack,
        },
        retry: {
            window: file.bounds.retryWindow,
            ratio: file.bounds.retryRatio,
            slack: file.bounds.retrySlack,
        },
        clock: createSystemClock(),
    }, {
        log: store,
        shards: store.shards,
        control: createEngineControl(),
        headers: platformHeaders,
        records: { decodeOperatorRecord, decodeServerEntry },
    });
    await serving.run(stopping.signal);
    flushLog();
    setTimeout(() => process.exit(0), lastLinesMilliseconds);
    return 0;
}

interface DaemonOptions {
    readonly help: boolean;
    readonly metricsPort: number;
    readonly logLevel: typeof logLevels[number];
}

function parseOptions(args: readonly string[]): DaemonOptions | string {
    try {
        const { values } = parseArgs({
            args: [...args],
            options: {
                help: { type: "boolean", default: false },
                "metrics-port": { type: "string", default: String(defaultMetricsPort) },
                "log-level": { type: "string", default: "info" },
            },
        });
        const metricsPort = Number(values["metrics-port"]);
        const logLevel = logLevels.find(level => level === values["log-level"]);
        if (!Number.isInteger(metricsPort) || metricsPort < 1 || metricsPort > largestPort) {
            return `--metrics-port ${values["metrics-port"]} is no port; give a number from 1 to ${largestPort}`;
        }
        if (!logLevel) {
            return `--log-level ${values["log-level"]} is unknown; give one of ${logLevels.join(", ")}`;
        }
        return { help: values.help, metricsPort, logLevel };
    }
    catch (error) {
        return error instanceof Error ? error.message : String(error);
    }
}

function readPort(address: string): number {
    return Number(address.slice(address.lastIndexOf(":") + 1));
}
