/**
 * Access to the log service for operator commands, and the options that these commands share.
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

/** Options of every command that reads the log. */
export const logOptions = { log: { type: "string" } } as const;

/** Options of every command that publishes a change. */
export const changeOptions = { ...logOptions, author: { type: "string" } } as const;

/** Work of a command that needs the log. */
export type LogAction = (log: LogService, publisher: Publisher) => Promise<CommandReport>;

/**
 * Runs an action with a log client, and closes the client afterwards.
 *
 * @param parsed - the command's arguments; `--log` or `ORIOLEHATCH_LOG` gives the log's address
 * @param environment - access to environment variables and the clock
 * @param action - the command's work
 * @returns the action's report; throws `UsageError` when no address is given
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
 * Creates the origin of a change: its id and its author.
 *
 * @param parsed - the command's arguments
 * @param environment - provides the variables `ORIOLEHATCH_AUTHOR` and `USER`
 * @returns a new change id, and the author from `--author` or these variables, else `unknown`
 */
export function createOrigin(parsed: CommandArguments, environment: CliEnvironment): ChangeOrigin {
    const { variables } = environment;
    const author = parsed.texts.get("author")?.at(-1) ?? variables["ORIOLEHATCH_AUTHOR"] ?? variables["USER"];
    return { changeId: createChangeId(), author: author ?? "unknown" };
}

/**
 * Describes why the settings tree could not be read.
 *
 * @param error - error of the log reader
 * @returns a report with exit code 3
 */
export function describeReadFailure(error: LogReadError): CommandReport {
    return { exitCode: exitCodes.unreachable, value: { error }, text: describeReadError(error) };
}
