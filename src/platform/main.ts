#!/usr/bin/env node
/**
 * Daemon that runs one instance on the platform. The platform is the environment that starts and stops the process,
 * writes its settings file, and provides the store with the configuration and the list of backend servers.
 *
 * @packageDocumentation
 */
import { readFileSync, writeSync } from "node:fs";
import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { createServingInstance } from "../serving/servingInstance.js";
import { createStoreEras } from "../serving/storeEras.js";
import { createLogger, createSystemClock, sendLogsToStandardOutput, setLogLevel } from "../shared/index.js";
import { describeProcessEnd, startTask } from "../supervision/index.js";
import { createEngineControlClient } from "./engineControlClient.js";
import { createPlatformHeaderCodec, decodedResponseHeaders } from "./headers.js";
import { createHeaderTrace, type ResponseSource } from "./headerTrace.js";
import { createInstanceOptions } from "./instanceOptions.js";
import { decodeOperatorDeletion, decodeOperatorRecord } from "./operatorRecords.js";
import { decodeServerEntry } from "./serverEntry.js";
import { decodeSettings, settingsFileVariable } from "./settings.js";
import { createSettingsFollower } from "./settingsFollower.js";
import { createPlatformStore } from "./store.js";

const defaultMetricsPort = 9_464;
const logLevels = ["debug", "info", "warn", "error", "silent"] as const;
const help = `oriolehatch: runs one instance of the serving layer for LoRA adapters

usage: main.js [--metrics-port PORT] [--log-level LEVEL]

The environment variable ${settingsFileVariable} holds the path of the settings file.

    --metrics-port PORT  port that serves /metrics (${defaultMetricsPort})
    --log-level LEVEL    debug, info, warn, error or silent (info)
    --help               show this help
`;
const usageErrorExitCode = 2;
const maximumPort = 65_535;
/** File descriptor of standard error. */
const standardError = 2;
/** Delay before the process exits, in which the last log lines are written in the background. */
const logFlushMilliseconds = 60;
/** Interval at which the settings file is read again, as it may change without a signal. */
const settingsIntervalMilliseconds = 1_000;

process.exitCode = await runDaemon(process.argv.slice(2));

async function runDaemon(args: readonly string[]): Promise<number> {
    const values = parseOptions(args);
    if (typeof values === "string") {
        process.stderr.write(`${values}; run with --help for usage\n`);
        return usageErrorExitCode;
    }
    if (values.help) {
        process.stdout.write(help);
        return 0;
    }
    const path = process.env[settingsFileVariable];
    if (path === undefined) {
        process.stderr.write(`${settingsFileVariable} is not set; set it to the path of the settings file\n`);
        return usageErrorExitCode;
    }
    const text = readFileSync(path, "utf8");
    const settings = decodeSettings(text);
    if (!settings.ok) {
        process.stderr.write(`${path}: ${settings.error.detail}\n`);
        return usageErrorExitCode;
    }
    setLogLevel(values.logLevel);
    const { metricsPort } = values;
    const flushLog = sendLogsToStandardOutput();
    process.on("uncaughtExceptionMonitor", writeProcessEnd);
    const file = settings.value;
    const headerTrace = createHeaderTrace(decodedResponseHeaders);
    const checkHeaders = (source: ResponseSource) => (names: Iterable<string>): void =>
        headerTrace.check(source, names);
    const eras = createStoreEras();
    const store = createPlatformStore(file.storeAddress, checkHeaders("store"), eras);
    const shutdown = new AbortController();
    // kept for good: without a listener a second signal ends the process with all its requests
    process.on("SIGTERM", () => shutdown.abort());
    let { bounds } = file;
    const follower = createSettingsFollower({
        started: file,
        text,
        readText: () => readFile(path, "utf8"),
        onBounds: changed => bounds = changed,
        log: createLogger("settings"),
    });
    // a stop is bound by what held when it began
    const checkSettings = (): void => void (shutdown.signal.aborted || startTask("settings", follower.check));
    process.on("SIGHUP", checkSettings);
    setInterval(checkSettings, settingsIntervalMilliseconds).unref();
    const serving = createServingInstance(createInstanceOptions(file, () => bounds, metricsPort, createSystemClock()), {
        log: store,
        eras,
        shards: store.shards,
        streams: store.streams,
        control: createEngineControlClient(checkHeaders("engine")),
        headers: createPlatformHeaderCodec(checkHeaders("server")),
        listUndecodedHeaders: headerTrace.list,
        records: { decodeOperatorRecord, decodeOperatorDeletion, decodeServerEntry },
    });
    await serving.run(shutdown.signal);
    flushLog();
    setTimeout(() => process.exit(0), logFlushMilliseconds);
    return 0;
}

// the process ends after this, so that lines which are written in the background would be lost
function writeProcessEnd(error: unknown, origin: string): void {
    const line = { time: new Date().toISOString(), level: "error", scope: "process", event: "process ends" };
    try {
        writeSync(standardError, `${JSON.stringify({ ...line, ...describeProcessEnd(error, origin) })}\n`);
    }
    catch {
        // standard error is closed or its reader is behind; there is nowhere else to write to
    }
}

interface DaemonOptions {
    readonly help: boolean;
    readonly metricsPort: number;
    readonly logLevel: typeof logLevels[number];
}

// returns the message for the user when the options are not valid
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
        if (!Number.isInteger(metricsPort) || metricsPort < 1 || metricsPort > maximumPort) {
            return `--metrics-port ${values["metrics-port"]} is not a port; give a number from 1 to ${maximumPort}`;
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
