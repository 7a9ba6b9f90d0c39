/**
 * The `oriolehatch key` commands, which grant and withdraw keys of client accounts.
 *
 * @packageDocumentation
 */
import { grantKey, type KeyError, withdrawKey } from "../config/index.js";
import { describeOutcome } from "./changeDescriptions.js";
import { parseCommandArguments, readRequiredOption } from "./commandArguments.js";
import { changeOptions, createOrigin, describeReadFailure, runWithLog } from "./operatorLog.js";
import { type CliEnvironment, type CommandReport, exitCodes } from "./types.js";

const nameSuffixLength = 8;

/**
 * Runs `key grant`: creates a key for a client account and publishes its hash.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the outcome; it shows the key, which is not stored, unless the change surely has no effect
 */
export async function runKeyGrant(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const options = { ...changeOptions, account: { type: "string" }, name: { type: "string" } } as const;
    const parsed = parseCommandArguments(args, options, []);
    const account = readRequiredOption(parsed, "account");
    return runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        if (!state.ok) {
            return describeReadFailure(state.error);
        }
        const origin = createOrigin(parsed, environment);
        const defaultName = `${account}-key-${origin.changeId.slice(0, nameSuffixLength)}`;
        const name = parsed.texts.get("name")?.at(-1) ?? defaultName;
        const grant = grantKey(state.value, origin, account, name);
        if (!grant.ok) {
            return describeKeyError(grant.error);
        }
        const report = describeOutcome(
            await publisher.publish(grant.value.change, environment.signal),
            origin.changeId,
        );
        const mayBeInForce = report.exitCode === exitCodes.done || report.exitCode === exitCodes.unknownYet;
        if (!mayBeInForce) {
            return report;
        }
        // also printed while the outcome is unknown: the key may become valid, and it can't be recovered later
        const shown = { name, account, key: grant.value.key };
        const text = `${report.text}\nname: ${name}\nkey: ${grant.value.key}`;
        return { ...report, value: { ...report.value as object, ...shown }, text };
    });
}

/**
 * Runs `key withdraw NAME`: publishes the removal of a key.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the outcome of the change
 */
export async function runKeyWithdraw(
    args: readonly string[],
    environment: CliEnvironment,
): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, changeOptions, ["NAME"]);
    return runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        if (!state.ok) {
            return describeReadFailure(state.error);
        }
        const origin = createOrigin(parsed, environment);
        const change = withdrawKey(state.value, origin, parsed.positionals[0]!);
        return change.ok
            ? describeOutcome(await publisher.publish(change.value, environment.signal), origin.changeId)
            : describeKeyError(change.error);
    });
}

function describeKeyError(error: KeyError): CommandReport {
    return { exitCode: exitCodes.refused, value: { error }, text: `not published: ${describeKeyReason(error)}` };
}

function describeKeyReason(error: KeyError): string {
    switch (error.kind) {
        case "unknownAccount":
            return `there is no client account ${error.account}; see config get for the list`;
        case "nameTaken":
            return `a node ${error.name} exists already; choose another --name`;
        case "unknownKey":
            return `there is no key ${error.name}; see config get for the list`;
    }
}
