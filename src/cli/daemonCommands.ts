/**
 * The commands that run until they are stopped: `oriolehatch instance` and `oriolehatch standins`.
 *
 * @packageDocumentation
 */
import { randomBytes } from "node:crypto";
import { formatSettingsMistake, parseYamlFile, type SettingsMistake } from "../config/index.js";
import { parseInstanceOptions } from "../instance/index.js";
import { setLogLevel } from "../shared/index.js";
import { createStandins, standinsConfigSchema } from "../standins/index.js";
import { waitForAbort } from "../supervision/index.js";
import { parseCommandArguments, readRequiredOption } from "./commandArguments.js";
import { type CliEnvironment, type CommandReport, exitCodes } from "./types.js";

const configOption = { config: { type: "string" } } as const;
const instanceIdBytes = 6;

/**
 * Runs `instance --config FILE`: opens an instance and serves until SIGTERM or SIGINT.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report after the instance has drained, or one with the errors of the settings file
 */
export async function runInstance(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const path = readRequiredOption(parseCommandArguments(args, configOption, []), "config");
    const createId = (): string => `i-${randomBytes(instanceIdBytes).toString("hex")}`;
    const options = parseInstanceOptions(await environment.readFile(path), path, createId);
    if (!options.ok) {
        return describeMistakes(options.error);
    }
    setLogLevel(options.value.logLevel);
    const instance = await environment.openInstance(options.value);
    await instance.run(environment.signal);
    return { exitCode: exitCodes.done, value: { kind: "drained" }, text: "drained" };
}

/**
 * Runs `standins --config FILE`: starts local stand-ins for the platform and the backend servers, and prints their
 * addresses.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report after the stand-ins have stopped, or one with the errors of the settings file
 */
export async function runStandins(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const path = readRequiredOption(parseCommandArguments(args, configOption, []), "config");
    const file = parseYamlFile(await environment.readFile(path), path, standinsConfigSchema, {
        page: "docs/guide/gettingStarted.md",
    });
    if (!file.ok) {
        return describeMistakes(file.error);
    }
    const standins = createStandins(file.value.value, environment.clock);
    const addresses = await standins.start();
    const lines = [
        `log ${addresses.log}`,
        `instance list ${addresses.instanceList}`,
        ...Object.entries(addresses.backendServers).map(([id, address]) => `${id} ${address}`),
    ];
    environment.writeOutput(`${lines.join("\n")}\n`);
    await waitForAbort(environment.signal);
    await standins.stop();
    return { exitCode: exitCodes.done, value: { kind: "stopped" }, text: "stopped" };
}

function describeMistakes(mistakes: readonly SettingsMistake[]): CommandReport {
    const text = mistakes.map(formatSettingsMistake).join("\n");
    return { exitCode: exitCodes.refused, value: { mistakes }, text };
}
