/**
 * Finds the command named by the arguments, runs it and prints its report.
 *
 * @packageDocumentation
 */
import { checkConfiguration } from "./checkCommand.js";
import {
    getSettings,
    listHistory,
    publishSettings,
    settleChange,
    showDifferences,
    validateSettings,
} from "./configCommands.js";
import { runInstance, runStandins } from "./daemonCommands.js";
import { helpTexts } from "./help.js";
import { showStatus } from "./instanceStatus.js";
import { runKeyGrant, runKeyWithdraw } from "./keyCommands.js";
import { type CliEnvironment, type CommandReport, type ExitCode, exitCodes, UsageError } from "./types.js";

type Command = (args: readonly string[], environment: CliEnvironment) => Promise<CommandReport>;

const commands: ReadonlyMap<string, Command> = new Map([
    ["instance", runInstance],
    ["standins", runStandins],
    ["config validate", validateSettings],
    ["config check", checkConfiguration],
    ["config diff", showDifferences],
    ["config publish", publishSettings],
    ["config get", getSettings],
    ["config history", listHistory],
    ["config settle", settleChange],
    ["key grant", runKeyGrant],
    ["key withdraw", runKeyWithdraw],
    ["status", showStatus],
]);

/**
 * Runs the command line.
 *
 * @param args - command-line arguments after the program's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns the exit code; errors other than wrong usage and failed system calls, such as opening a file, are thrown
 */
export async function runCli(args: readonly string[], environment: CliEnvironment): Promise<ExitCode> {
    const { name, rest } = findCommand(args);
    const wantsHelp = args.includes("--help") || args.includes("-h");
    const runCommand = commands.get(name);
    if (wantsHelp || args.length === 0) {
        environment.writeOutput(`${helpTexts.get(name) ?? helpTexts.get("")}\n`);
        return wantsHelp ? exitCodes.done : exitCodes.usage;
    }
    try {
        if (!runCommand) {
            throw new UsageError(`unknown command ${args.slice(0, 2).join(" ")}`);
        }
        return writeReport(await runCommand(rest, environment), args.includes("--json"), environment);
    }
    catch (error) {
        return writeFailure(error, name, environment);
    }
}

interface FoundCommand {
    readonly name: string;
    readonly rest: readonly string[];
}

function findCommand(args: readonly string[]): FoundCommand {
    const twoWords = args.slice(0, 2).join(" ");
    if (commands.has(twoWords)) {
        return { name: twoWords, rest: args.slice(2) };
    }
    return commands.has(args[0] ?? "") ? { name: args[0]!, rest: args.slice(1) } : { name: "", rest: args };
}

function writeReport(report: CommandReport, json: boolean, environment: CliEnvironment): ExitCode {
    if (json) {
        environment.writeOutput(`${JSON.stringify(report.value)}\n`);
    }
    else if (report.exitCode === exitCodes.done || report.exitCode === exitCodes.unknownYet) {
        environment.writeOutput(`${report.text}\n`);
    }
    else {
        environment.writeError(`${report.text}\n`);
    }
    return report.exitCode;
}

function writeFailure(error: unknown, command: string, environment: CliEnvironment): ExitCode {
    if (error instanceof UsageError) {
        const help = `oriolehatch ${command} --help`.replace("  ", " ");
        environment.writeError(`${error.message}\n    see ${help}\n`);
        return exitCodes.usage;
    }
    if (isFileError(error)) {
        environment.writeError(`${error.message}\n`);
        return exitCodes.refused;
    }
    throw error;
}

function isFileError(error: unknown): error is NodeJS.ErrnoException {
    return error instanceof Error && (error as NodeJS.ErrnoException).syscall !== undefined;
}
