/**
 * Describes the error that ends a process, in one line of the log, so that the cause can be found without the output of
 * the runtime, which begins with a line of the program's source.
 *
 * @packageDocumentation
 */

/** Why a process ends by itself. */
export interface ProcessEnd {
    /** Name and message of the error. */
    readonly reason: string;
    /** `uncaughtException`, or `unhandledRejection` for a promise that nothing handles. */
    readonly origin: string;
    /** Calls that led to the error, innermost first. */
    readonly calls: readonly string[];
}

const maximumReasonLength = 500;
const maximumCalls = 12;
const maximumCallLength = 160;

/**
 * Describes the error that ends a process.
 *
 * @param error - what was thrown; not always an `Error`
 * @param origin - `uncaughtException` or `unhandledRejection`
 * @returns the description, of limited length
 */
export function describeProcessEnd(error: unknown, origin: string): ProcessEnd {
    const stack = error instanceof Error ? error.stack ?? "" : "";
    return {
        reason: String(error).slice(0, maximumReasonLength),
        origin,
        calls: stack.split("\n")
            .map(line => line.trim())
            .filter(line => line.startsWith("at "))
            .slice(0, maximumCalls)
            .map(line => line.slice("at ".length, maximumCallLength)),
    };
}
