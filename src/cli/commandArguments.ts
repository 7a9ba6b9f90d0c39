/**
 * Parses the arguments of commands and reads single options.
 *
 * @packageDocumentation
 */
import { parseArgs, type ParseArgsConfig } from "node:util";
import { type CliEnvironment, UsageError } from "./types.js";

/** Definitions of the options that a command accepts, as `parseArgs` takes them. */
export type OptionDefinitions = NonNullable<ParseArgsConfig["options"]>;

/** Arguments of a command after parsing. */
export interface CommandArguments {
    readonly positionals: readonly string[];
    /** Whether `--json` is given. */
    readonly json: boolean;
    /** Names of the given options that take no value. */
    readonly flags: ReadonlySet<string>;
    /** Values of the options that take one, by option name, in the order given. */
    readonly texts: ReadonlyMap<string, readonly string[]>;
}

const sharedOptions: OptionDefinitions = { help: { type: "boolean", short: "h" }, json: { type: "boolean" } };

/**
 * Parses a command's arguments.
 *
 * @param args - command-line arguments after the command's name
 * @param options - options that the command accepts besides `--help` and `--json`
 * @param positionals - names of its positional arguments, for error messages; all are required
 * @returns the parsed arguments; throws `UsageError` when one is missing, unknown or superfluous
 */
export function parseCommandArguments(
    args: readonly string[],
    options: OptionDefinitions,
    positionals: readonly string[],
): CommandArguments {
    const parsed = parseStrictly(args, { ...sharedOptions, ...options });
    if (parsed.positionals.length !== positionals.length) {
        const missing = positionals.slice(parsed.positionals.length);
        const message = missing.length > 0
            ? `${missing.join(" ")} is missing`
            : `unexpected argument ${parsed.positionals.slice(positionals.length).join(" ")}`;
        throw new UsageError(message);
    }
    const flags = new Set<string>();
    const texts = new Map<string, readonly string[]>();
    for (const [name, value] of Object.entries(parsed.values)) {
        if (value === true) {
            flags.add(name);
        }
        else if (value !== undefined) {
            texts.set(name, Array.isArray(value) ? value.map(String) : [String(value)]);
        }
    }
    return { positionals: parsed.positionals, json: flags.has("json"), flags, texts };
}

/**
 * Reads a required option, which an environment variable may supply instead.
 *
 * @param parsed - the command's arguments
 * @param name - name of the option without dashes
 * @param environmentValue - value of the environment variable, used when the option is not given
 * @returns the last value given; throws `UsageError` when there is none or it is empty
 */
export function readRequiredOption(parsed: CommandArguments, name: string, environmentValue?: string): string {
    const value = parsed.texts.get(name)?.at(-1) ?? environmentValue;
    if (value === undefined || value === "") {
        throw new UsageError(`--${name} is missing`);
    }
    return value;
}

/**
 * Reads an option whose value is a finite number above zero.
 *
 * @param parsed - the command's arguments
 * @param name - name of the option without dashes
 * @param defaultValue - value when the option is not given
 * @returns the number; throws `UsageError` when the value is not a finite number above zero
 */
export function readPositiveNumber(parsed: CommandArguments, name: string, defaultValue: number): number {
    const text = parsed.texts.get(name)?.at(-1);
    const value = text === undefined ? defaultValue : Number(text);
    if (!(value > 0 && Number.isFinite(value))) {
        throw new UsageError(`--${name} must be a number above 0`);
    }
    return value;
}

/**
 * Reads the addresses of instances from `--instance`, or else from `ORIOLEHATCH_INSTANCES`.
 *
 * @param parsed - the command's arguments
 * @param environment - provides the environment variable
 * @returns each instance's IP and port for callers; empty when none is given
 */
export function readInstanceAddresses(parsed: CommandArguments, environment: CliEnvironment): readonly string[] {
    const environmentAddresses = (environment.variables["ORIOLEHATCH_INSTANCES"] ?? "").split(",").filter(Boolean);
    return parsed.texts.get("instance") ?? environmentAddresses;
}

interface ParsedArguments {
    readonly values: Readonly<Record<string, string | boolean | (string | boolean)[] | undefined>>;
    readonly positionals: readonly string[];
}

function parseStrictly(args: readonly string[], options: OptionDefinitions): ParsedArguments {
    try {
        return parseArgs({ args: [...args], options, allowPositionals: true, strict: true });
    }
    catch (error) {
        throw new UsageError(error instanceof Error ? error.message : String(error));
    }
}
