/**
 * Types that all commands share: what a command gets from the process, and what it returns.
 *
 * @packageDocumentation
 */
import type { ResolvedInstanceOptions } from "../instance/index.js";
import type { Clock } from "../shared/index.js";

/** Exit codes; docs/guide/commandLine.md says what a script may conclude from each. */
export const exitCodes = {
    done: 0,
    /** A file is invalid or can't be read, a change was refused or rejected, or a queried instance is not ready. */
    refused: 1,
    /** The arguments are wrong. */
    usage: 2,
    /** The platform or an instance can't be reached; nothing was changed. */
    unreachable: 3,
    /**
     * A change may have taken effect or may do so later; `config settle` determines its outcome. Also the result of
     * `config publish --wait` when the change was accepted but not every instance has applied it in time.
     */
    unknownYet: 4,
} as const;

/** One of the values of `exitCodes`. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** Result of a command. */
export interface CommandReport {
    readonly exitCode: ExitCode;
    /** Printed as JSON to standard output when `--json` is given. */
    readonly value: unknown;
    /** Printed without `--json`; goes to standard error unless the exit code is `done` or `unknownYet`. */
    readonly text: string;
}

/** A daemon that runs until the signal is aborted. */
export interface Daemon {
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Access of the commands to the process; tests replace it. */
export interface CliEnvironment {
    /** Environment variables. */
    readonly variables: Readonly<Record<string, string | undefined>>;
    readonly clock: Clock;
    readonly readFile: (path: string) => Promise<string>;
    readonly writeFile: (path: string, text: string) => Promise<void>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Aborted by SIGTERM and SIGINT. */
    readonly signal: AbortSignal;
    /** Opens an instance, whose ports accept connections before `run` is called. */
    readonly openInstance: (options: ResolvedInstanceOptions) => Promise<Daemon>;
}

/** The arguments are wrong; ends the program with exit code 2. */
export class UsageError extends Error {}
