/**
 * Reads arguments of commands.
 *
 * @packageDocumentation
 */
import { parseArgs, type ParseArgsConfig } from "node:util";
import { type CliEnvironment, UsageError } from "./types.js";

/** Options that a command takes. */
export type OptionDefinitions = NonNullable<ParseArgsConfig["options"]>;

/** Arguments of a command after parsing. */
export interface CommandArguments {
    readonly positionals: readonly string[];
    readonly json: boolean;
    readonly flags: ReadonlySet<string>;
    readonly texts: ReadonlyMap<string, readonly string[]>;
}

const sharedOptions: OptionDefinitions = { help: { type: "boolean", short: "h" }, json: { type: "boolean" } };

/**
 * Parses a command's arguments.
 *
 * @param args - arguments behind the command's name
 * @param options - options that it takes besides `--help` and `--json`
 * @param positionals - names of its positional arguments
 * @returns the arguments; throws `UsageError` when they don't fit
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
            : `unexpected ${parsed.positionals.slice(positionals.length).join(" ")}`;
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
 * Reads an option that has to be given, by itself or by an environment variable.
 *
 * @param parsed - the command's arguments
 * @param name - name of the option
 * @param environmentValue - value of the variable that takes its place
 * @returns the value; throws `UsageError` when there is none
 */
export function readRequiredOption(parsed: CommandArguments, name: string, environmentValue?: string): string {
    const value = parsed.texts.get(name)?.at(-1) ?? environmentValue;
    if (value === undefined || value === "") {
        throw new UsageError(`--${name} is missing`);
    }
    return value;
}

/**
 * Reads an option that is a number above zero.
 *
 * @param parsed - the command's arguments
 * @param name - name of the option
 * @param defaultValue - value when it isn't given
 * @returns the number; throws `UsageError` when it is none
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
 * Reads the addresses of instances.
 *
 * @param parsed - the command's arguments
 * @param environment - for the variable that takes their place
 * @returns addresses, none when none is given
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
