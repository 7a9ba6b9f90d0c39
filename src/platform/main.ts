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

const help = `oriolehatch on the users' platform

usage: main.js [--log-level LEVEL]

The settings file is named by the variable ${settingsVariable}.

    --log-level LEVEL    debug, info, warn, error or silent (info)
    --help               this text
`;
const usageExitCode = 2;
/** Time for the last log lines to be written. */
const lastLinesMilliseconds = 60;
const membershipTtlMilliseconds = 1_500;

process.exitCode = await runDaemon(process.argv.slice(2));

async function runDaemon(args: readonly string[]): Promise<number> {
    const { values } = parseArgs({
        args: [...args],
        options: { help: { type: "boolean" }, "log-level": { type: "string", default: "info" } },
    });
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
    setLogLevel(values["log-level"] as Parameters<typeof setLogLevel>[0]);
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
        shardCount: file.storeShards,
        shardTtl: Math.max(membershipTtlMilliseconds, file.membershipTtlMinimum),
        orderLease: file.bounds.orderLease,
        revocationBound: file.bounds.revocation,
        versionBound: file.bounds.adapterVersion,
        grace: file.bounds.grace,
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

function readPort(address: string): number {
    return Number(address.slice(address.lastIndexOf(":") + 1));
}
