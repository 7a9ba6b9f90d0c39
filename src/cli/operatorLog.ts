/**
 * The log as the operators' commands use it.
 *
 * @packageDocumentation
 */
import { createLogHttpClient, type LogService } from "../backends/index.js";
import {
    type ChangeOrigin,
    createChangeId,
    createPublisher,
    describeReadError,
    type LogReadError,
    type Publisher,
} from "../config/index.js";
import { type CommandArguments, readRequiredOption } from "./commandArguments.js";
import { type CliEnvironment, type CommandReport, exitCodes } from "./types.js";

/** Options of every command that uses the log. */
export const logOptions = { log: { type: "string" } } as const;

/** Options of every command that makes a change. */
export const changeOptions = { ...logOptions, author: { type: "string" } } as const;

/** What a command does with the log. */
export type LogAction = (log: LogService, publisher: Publisher) => Promise<CommandReport>;

/**
 * Runs an action with a log client, and closes it afterwards.
 *
 * @param parsed - the command's arguments
 * @param environment - the process
 * @param action - what to do
 * @returns the action's report
 */
export async function runWithLog(
    parsed: CommandArguments,
    environment: CliEnvironment,
    action: LogAction,
): Promise<CommandReport> {
    const address = readRequiredOption(parsed, "log", environment.variables["ORIOLEHATCH_LOG"]);
    const log = createLogHttpClient({ address });
    try {
        return await action(log, createPublisher({ log, clock: environment.clock }));
    }
    finally {
        await log.close();
    }
}

/**
 * Creates the origin of a change.
 *
 * @param parsed - the command's arguments
 * @param environment - for the variables that name the operator
 * @returns a new change id and the author
 */
export function createOrigin(parsed: CommandArguments, environment: CliEnvironment): ChangeOrigin {
    const { variables } = environment;
    const author = parsed.texts.get("author")?.at(-1) ?? variables["ORIOLEHATCH_AUTHOR"] ?? variables["USER"];
    return { changeId: createChangeId(), author: author ?? "unknown" };
}

/**
 * Describes why the tree could not be read.
 *
 * @param error - the error
 * @returns a report
 */
export function describeReadFailure(error: LogReadError): CommandReport {
    return { exitCode: exitCodes.unreachable, value: { error }, text: describeReadError(error) };
}
