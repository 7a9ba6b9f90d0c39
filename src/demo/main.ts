/**
 * Runs the demo: a local platform and three instances in one process, on loopback addresses. Exits with code 0 only if
 * every check passes.
 *
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { formatSettingsMistake, parseSettings, parseYamlFile, type SettingsDocument } from "../config/index.js";
import { setLogLevel } from "../shared/index.js";
import { type StandinsConfig, standinsConfigSchema } from "../standins/index.js";
import { startLocalFleet } from "./localFleet.js";
import { checkBackendRecords } from "./records.js";
import { createDemoReport } from "./report.js";
import {
    completionTokens,
    type DemoContext,
    runColdAndWarmAdapters,
    runInstanceDrain,
    runKeyChecks,
    runKeyWithdrawal,
    runOrdersAtMostOnce,
    runRateLimits,
    runVersionChange,
} from "./scenarios.js";

const examples = new URL("../../examples/", import.meta.url);
const anyFreePort = "127.0.0.1:0";

setLogLevel("error");
process.exitCode = await runDemo();

async function runDemo(): Promise<number> {
    const writeLine = (line: string): void => void process.stdout.write(`${line}\n`);
    const report = createDemoReport(writeLine);
    const fleet = await startLocalFleet({ platform: await readPlatform(), instances: ["north", "south", "west"] });
    try {
        report.beginScenario("Three instances start and apply the example settings");
        const settings = await readSettings();
        const outcome = await fleet.publish(() => settings);
        report.recordCheck(`examples/settings.yaml was ${outcome.kind}`, outcome.kind === "accepted");
        const springsKey = await fleet.grantKey("springs", "springs-key");
        const wiresKey = await fleet.grantKey("wires", "wires-key");
        const state = await fleet.publisher.readState();
        await fleet.waitUntilApplied(state.ok ? state.value.appliedOffset : 0);
        const context: DemoContext = { fleet, report, springsKey, wiresKey };
        await runColdAndWarmAdapters(context);
        await runKeyChecks(context);
        await runRateLimits(context);
        await runOrdersAtMostOnce(context);
        await runVersionChange(context);
        await runKeyWithdrawal(context);
        await runInstanceDrain(context);
        report.beginScenario("Records of the backend servers");
        checkBackendRecords(fleet.standins, [springsKey, wiresKey], report);
    }
    finally {
        await fleet.stop();
    }
    const failures = report.countFailures();
    writeLine(failures === 0 ? "\nall checks passed" : `\n${failures} check(s) failed`);
    return failures === 0 ? 0 : 1;
}

async function readSettings(): Promise<SettingsDocument> {
    const text = await readFile(new URL("settings.yaml", examples), "utf8");
    const parsed = parseSettings(text, "examples/settings.yaml");
    if (!parsed.ok) {
        throw new Error(parsed.error.map(formatSettingsMistake).join("\n"));
    }
    return parsed.value;
}

async function readPlatform(): Promise<StandinsConfig> {
    const text = await readFile(new URL("standins.yaml", examples), "utf8");
    const page = { page: "docs/guide/gettingStarted.md" };
    const parsed = parseYamlFile(text, "examples/standins.yaml", standinsConfigSchema, page);
    if (!parsed.ok) {
        throw new Error(parsed.error.map(formatSettingsMistake).join("\n"));
    }
    const { log, instanceList, engines, services, ...rest } = parsed.value.value;
    // the operating system picks free ports, so that the demo can run beside a local platform on the usual ports
    return {
        ...rest,
        log: { ...log, address: anyFreePort },
        instanceList: { ...instanceList, address: anyFreePort },
        engines: engines.map(engine => ({ ...engine, address: anyFreePort, answerTokens: completionTokens })),
        services: services.map(service => ({ ...service, address: anyFreePort })),
    };
}
