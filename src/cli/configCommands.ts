/**
 * The `oriolehatch config` commands, which read and change the settings tree in the log.
 *
 * @packageDocumentation
 */
import { stringify } from "yaml";
import {
    type ConfigurationChange,
    createSettingsDocument,
    diffSettings,
    formatSettingsMistake,
    parseSettings,
    readHistory,
    type SettingsDocument,
    type SettingsMistake,
    type SettingsState,
} from "../config/index.js";
import { type LogOffset, millisecondsPerSecond, type Result } from "../shared/index.js";
import { describeDecision, describeOutcome, formatDifferences, listDifferences } from "./changeDescriptions.js";
import {
    type CommandArguments,
    parseCommandArguments,
    readInstanceAddresses,
    readPositiveNumber,
} from "./commandArguments.js";
import { fetchStatus } from "./instanceStatus.js";
import { changeOptions, createOrigin, describeReadFailure, logOptions, runWithLog } from "./operatorLog.js";
import { type CliEnvironment, type CommandReport, exitCodes, UsageError } from "./types.js";

const defaultWaitSeconds = 10;
const waitPollIntervalMilliseconds = 100;
const defaultHistoryLimit = 20;
// written by "config get"; tells "config publish" which version of the tree the operator edited
const basisPattern = /^# based on offset (-?\d+)$/m;

/**
 * Runs `config validate FILE`: checks a settings file without contacting the platform.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report with the number of nodes, or with the errors of the file
 */
export async function validateSettings(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, {}, ["FILE"]);
    const file = await readSettingsFile(parsed, environment);
    if (!file.parsed.ok) {
        return describeMistakes(file.parsed.error);
    }
    const nodes = Object.keys(file.parsed.value.nodes).length;
    return {
        exitCode: exitCodes.done,
        value: { nodes },
        text: `${parsed.positionals[0]}: ${nodes} nodes, no mistakes`,
    };
}

/**
 * Runs `config diff FILE`: compares a settings file with the published tree.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the nodes that publishing the file would change
 */
export async function showDifferences(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, { ...logOptions, "remove-keys": { type: "boolean" } }, ["FILE"]);
    const file = await readSettingsFile(parsed, environment);
    const wanted = file.parsed;
    if (!wanted.ok) {
        return describeMistakes(wanted.error);
    }
    return runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        if (!state.ok) {
            return describeReadFailure(state.error);
        }
        const document = parsed.flags.has("remove-keys") ? wanted.value : keepPublishedKeys(state.value, wanted.value);
        const change = diffSettings(state.value, document, createOrigin(parsed, environment));
        const differences = listDifferences(state.value, change);
        return { exitCode: exitCodes.done, value: { differences }, text: formatDifferences(differences) };
    });
}

/**
 * Runs `config publish FILE`: publishes the differences between a settings file and the published tree as one change.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the outcome of the change; with `--wait`, also of the instances that have not applied it in time
 */
export async function publishSettings(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, {
        ...changeOptions,
        "remove-keys": { type: "boolean" },
        wait: { type: "boolean" },
        instance: { type: "string", multiple: true },
        timeout: { type: "string" },
    }, ["FILE"]);
    const instances = readInstanceAddresses(parsed, environment);
    if (parsed.flags.has("wait") && instances.length === 0) {
        throw new UsageError("--wait needs at least one --instance");
    }
    const file = await readSettingsFile(parsed, environment);
    const wanted = file.parsed;
    if (!wanted.ok) {
        return describeMistakes(wanted.error);
    }
    const report = await runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        if (!state.ok) {
            return describeReadFailure(state.error);
        }
        const document = parsed.flags.has("remove-keys") ? wanted.value : keepPublishedKeys(state.value, wanted.value);
        const change = diffSettings(state.value, document, createOrigin(parsed, environment));
        if (!change) {
            const value = { kind: "unchanged", offset: state.value.appliedOffset };
            return { exitCode: exitCodes.done, value, text: "nothing to publish: the file matches the published tree" };
        }
        return checkOverwrites(change, file.basis)
            ?? describeOutcome(await publisher.publish(change, environment.signal), change.changeId);
    });
    const { offset } = report.value as { readonly offset?: LogOffset; };
    const isDone = report.exitCode === exitCodes.done && offset !== undefined;
    if (!isDone || !parsed.flags.has("wait")) {
        return report;
    }
    const seconds = readPositiveNumber(parsed, "timeout", defaultWaitSeconds);
    return waitUntilApplied(report, offset, instances, seconds, environment);
}

/**
 * Runs `config get`: prints the published settings tree in the format of a settings file.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report with the settings file, or with the path that it was written to
 */
export async function getSettings(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, { ...logOptions, output: { type: "string" } }, []);
    return runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        if (!state.ok) {
            return describeReadFailure(state.error);
        }
        const document = createSettingsDocument(state.value);
        const offset = state.value.appliedOffset;
        const text = `# based on offset ${offset}\n${stringify(document)}`;
        const output = parsed.texts.get("output")?.at(-1);
        if (output === undefined) {
            return { exitCode: exitCodes.done, value: { offset, ...document }, text: text.trimEnd() };
        }
        await environment.writeFile(output, text);
        return { exitCode: exitCodes.done, value: { offset, output }, text: `wrote ${output}` };
    });
}

/**
 * Runs `config history`: lists the latest changes.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the changes that the log still holds and the decision on each, newest last
 */
export async function listHistory(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, { ...logOptions, limit: { type: "string" } }, []);
    const limit = readPositiveNumber(parsed, "limit", defaultHistoryLimit);
    return runWithLog(parsed, environment, async log => {
        const history = await readHistory(log);
        if (!history.ok) {
            return describeReadFailure(history.error);
        }
        const entries = history.value.slice(-limit).map(event => ({
            offset: event.offset,
            time: new Date(event.appendedAt).toISOString(),
            author: event.change.author,
            changeId: event.change.changeId,
            decision: event.decision,
            nodes: event.change.nodes.map(node => node.name),
        }));
        const lines = entries.map(entry =>
            `${entry.offset}  ${entry.time}  ${entry.author}  ${entry.changeId}  ${describeDecision(entry.decision)}\n`
            + `    ${entry.nodes.join(", ")}`
        );
        const text = lines.length > 0 ? lines.join("\n") : "the log holds no changes";
        return { exitCode: exitCodes.done, value: { changes: entries }, text };
    });
}

/**
 * Runs `config settle CHANGE`: determines the outcome of a change that `config publish` left unknown.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report of the outcome of the change
 */
export async function settleChange(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, logOptions, ["CHANGE"]);
    const changeId = parsed.positionals[0]!;
    return runWithLog(
        parsed,
        environment,
        async (log, publisher) => describeOutcome(await publisher.settle(changeId), changeId),
    );
}

interface SettingsFile {
    readonly parsed: Result<SettingsDocument, readonly SettingsMistake[]>;
    /** Offset of the tree that the file was made from; `undefined` when the file doesn't state it. */
    readonly basis: LogOffset | undefined;
}

async function readSettingsFile(parsed: CommandArguments, environment: CliEnvironment): Promise<SettingsFile> {
    const path = parsed.positionals[0]!;
    const text = await environment.readFile(path);
    const basis = basisPattern.exec(text)?.[1];
    return { parsed: parseSettings(text, path), basis: basis === undefined ? undefined : Number(basis) };
}

function describeMistakes(mistakes: readonly SettingsMistake[]): CommandReport {
    const text = mistakes.map(formatSettingsMistake).join("\n");
    return { exitCode: exitCodes.refused, value: { mistakes }, text };
}

// keys are granted by command and usually missing from files; publishing a file must not withdraw them
function keepPublishedKeys(state: SettingsState, document: SettingsDocument): SettingsDocument {
    const kept = Object.fromEntries(
        [...state.tree.names()].flatMap(name => {
            const node = state.tree.get(name);
            return node?.kind === "key" ? [[name, node] as const] : [];
        }),
    );
    return { ...document, nodes: { ...kept, ...document.nodes } };
}

function checkOverwrites(change: ConfigurationChange, basis: LogOffset | undefined): CommandReport | undefined {
    const nodes = change.nodes.filter(node => basis !== undefined && node.baseVersion > basis).map(node => node.name);
    if (nodes.length === 0) {
        return undefined;
    }
    const text = `not published: ${nodes.join(", ")} changed since offset ${basis}, which the file is based on\n`
        + "    get the tree again and repeat the edit, or remove the file's first line to overwrite";
    return { exitCode: exitCodes.refused, value: { kind: "overwrites", basis, nodes }, text };
}

async function waitUntilApplied(
    report: CommandReport,
    offset: LogOffset,
    instances: readonly string[],
    seconds: number,
    environment: CliEnvironment,
): Promise<CommandReport> {
    const { clock, signal } = environment;
    const startedAt = clock.now();
    let behind: readonly string[] = instances;
    while (behind.length > 0 && clock.now() - startedAt < seconds * millisecondsPerSecond && !signal.aborted) {
        const statuses = await Promise.all(behind.map(fetchStatus));
        behind = behind.filter((address, index) => (statuses[index]?.appliedOffset ?? -1) < offset);
        if (behind.length > 0) {
            await clock.sleep(waitPollIntervalMilliseconds, signal);
        }
    }
    const value = { ...report.value as object, inForce: behind.length === 0, behind };
    return behind.length === 0
        ? { exitCode: exitCodes.done, value, text: `${report.text}, in force on ${instances.length} instances` }
        : { exitCode: exitCodes.unknownYet, value, text: `${report.text}, not yet in force on ${behind.join(", ")}` };
}
