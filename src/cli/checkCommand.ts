/**
 * The `oriolehatch config check` command, which checks a configuration of either form before it is published.
 *
 * @packageDocumentation
 */
import {
    type ConfigurationFinding,
    createSettingsDocument,
    diffConfigurations,
    formatSettingsMistake,
    listTreeFindings,
    parseSettings,
    parseYamlFile,
    type SettingsDocument,
    settingsDocumentSchema,
    type SettingsMistake,
    type ValueDifference,
    type YamlFormat,
} from "../config/index.js";
import { configurationRecordSchema } from "../platform/operatorRecords.js";
import { listRecordFindings } from "../platform/recordFindings.js";
import { jsonNull, type Result, wrapError, wrapValue } from "../shared/index.js";
import { type CommandArguments, parseCommandArguments } from "./commandArguments.js";
import { describeReadFailure, logOptions, runWithLog } from "./operatorLog.js";
import { type CliEnvironment, type CommandReport, exitCodes, UsageError } from "./types.js";

const recordFormat: YamlFormat = { page: "docs/guide/commandLine.md" };
const treeFormat: YamlFormat = { page: "docs/guide/configuration.md" };

/** A file that passed its schema: the product's own settings in YAML, or the platform's configuration record in JSON. */
type CheckedFile =
    | {
        readonly form: "tree";
        readonly content: SettingsDocument;
        readonly findings: readonly SettingsMistake[];
    }
    | { readonly form: "record"; readonly content: unknown; readonly findings: readonly SettingsMistake[]; };

/**
 * Runs `config check FILE`: reports errors, entries without effect, limits that contradict each other, and differences from
 * another version.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report with exit code 0 without findings, 1 with some, and 2 for a file that can't be read
 */
export async function checkConfiguration(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, { ...logOptions, against: { type: "string" } }, ["FILE"]);
    const against = parsed.texts.get("against")?.at(-1);
    if (against !== undefined && parsed.texts.has("log")) {
        throw new UsageError("--against and --log name two versions; give one of them");
    }
    const path = parsed.positionals[0]!;
    const texts = await Promise.all(
        [path, ...(against === undefined ? [] : [against])].map(async name =>
            [name, await readText(name, environment)] as const
        ),
    );
    const unread = texts.find(([, text]) => !text.ok);
    if (unread && !unread[1].ok) {
        return { exitCode: exitCodes.usage, value: { error: unread[1].error }, text: unread[1].error };
    }
    const [file, other] = texts.map(([name, text]) => checkText(text.ok ? text.value : "", name));
    if (!file!.ok) {
        return createReport(file!.error, [], path);
    }
    if (other) {
        if (!other.ok) {
            return createReport(other.error, [], path);
        }
        if (other.value.form !== file!.value.form) {
            throw new UsageError("--against names a configuration of the other form");
        }
        return createReport(
            file!.value.findings,
            diffConfigurations(other.value.content, file!.value.content),
            path,
        );
    }
    return parsed.texts.has("log")
        ? compareWithLog(parsed, environment, file!.value, path)
        : createReport(file!.value.findings, [], path);
}

async function compareWithLog(
    parsed: CommandArguments,
    environment: CliEnvironment,
    file: CheckedFile,
    path: string,
): Promise<CommandReport> {
    if (file.form === "record") {
        throw new UsageError("--log holds the settings tree; compare a record with --against");
    }
    return runWithLog(parsed, environment, async (log, publisher) => {
        const state = await publisher.readState();
        return state.ok
            ? createReport(
                file.findings,
                diffConfigurations(filterGrantedKeys(createSettingsDocument(state.value), file.content), file.content),
                path,
            )
            : describeReadFailure(state.error);
    });
}

// keys are granted by command and usually missing from files
function filterGrantedKeys(published: SettingsDocument, wanted: SettingsDocument): SettingsDocument {
    const kept = Object.entries(published.nodes).filter(([name, { kind }]) => kind !== "key" || name in wanted.nodes);
    return { ...published, nodes: Object.fromEntries(kept) };
}

async function readText(path: string, environment: CliEnvironment): Promise<Result<string, string>> {
    try {
        return wrapValue(await environment.readFile(path));
    }
    catch (error) {
        return wrapError(`${path} can't be read: ${error instanceof Error ? error.message : String(error)}`);
    }
}

function checkText(text: string, fileName: string): Result<CheckedFile, readonly SettingsMistake[]> {
    return isRecord(text) ? checkRecord(text, fileName) : checkTree(text, fileName);
}

// the record is JSON, which is also YAML, so that its mistakes have lines too
function checkRecord(text: string, fileName: string): Result<CheckedFile, readonly SettingsMistake[]> {
    const file = parseYamlFile(text, fileName, configurationRecordSchema, recordFormat);
    const content = parseJson(text);
    if (!file.ok) {
        return file;
    }
    return content.ok
        ? wrapValue({
            form: "record",
            content: content.value,
            findings: describeFindings(listRecordFindings(file.value.value), file.value.createMistake),
        })
        : wrapError([
            file.value.createMistake([], {
                message: "not valid JSON, which instances read",
                remedy: "remove comments and trailing commas, and quote all names",
            }),
        ]);
}

function checkTree(text: string, fileName: string): Result<CheckedFile, readonly SettingsMistake[]> {
    const document = parseSettings(text, fileName);
    const file = parseYamlFile(text, fileName, settingsDocumentSchema, treeFormat);
    if (!document.ok) {
        return document;
    }
    return file.ok
        ? wrapValue({
            form: "tree",
            content: document.value,
            findings: describeFindings(listTreeFindings(document.value), file.value.createMistake),
        })
        : file;
}

function describeFindings(
    findings: readonly ConfigurationFinding[],
    createMistake: (path: ConfigurationFinding["path"], text: ConfigurationFinding) => SettingsMistake,
): readonly SettingsMistake[] {
    return findings.map(finding => {
        const { message, remedy } = finding;
        return { ...createMistake(finding.path, finding), message, remedy, path: finding.path.join(".") };
    });
}

// a settings tree may be written as JSON too
function isRecord(text: string): boolean {
    const parsed = parseJson(text);
    return text.trimStart().startsWith("{") &&
        !(parsed.ok && typeof parsed.value === "object" && parsed.value !== jsonNull && "nodes" in parsed.value);
}

function parseJson(text: string): Result<unknown, "notJson"> {
    try {
        return wrapValue(JSON.parse(text) as unknown);
    }
    catch {
        return wrapError("notJson");
    }
}

function createReport(
    findings: readonly SettingsMistake[],
    differences: readonly ValueDifference[],
    path: string,
): CommandReport {
    const lines = [
        ...findings.map(formatSettingsMistake),
        ...differences.map(({ path: place, before, after }) =>
            `${place}: ${formatValue(before)} -> ${formatValue(after)}`
        ),
    ];
    return {
        exitCode: findings.length > 0 ? exitCodes.refused : exitCodes.done,
        value: { findings, differences },
        text: lines.length > 0 ? lines.join("\n") : `${path}: no findings`,
    };
}

function formatValue(value: unknown): string {
    return value === undefined ? "unset" : JSON.stringify(value);
}
