/**
 * Structured log of the process, with one logger per scope.
 *
 * @packageDocumentation
 */
import loglevel from "loglevel";
import { createLogSink, writeToStandardOutput } from "./logSink.js";

/** Writes one structured line; `fields` must not contain a client's API key. */
export type WriteLogLine = (event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Logger of one scope. */
export interface Logger {
    readonly debug: WriteLogLine;
    readonly info: WriteLogLine;
    readonly warn: WriteLogLine;
    readonly error: WriteLogLine;
}

const flushIntervalMilliseconds = 50;
const debugScopes = (process.env["DEBUG"] ?? "")
    .split(",")
    .filter(scope => scope.startsWith("oriolehatch:"))
    .map(scope => scope.slice("oriolehatch:".length));

/**
 * Creates the logger of a scope. The environment variable `DEBUG=oriolehatch:SCOPE` or `DEBUG=oriolehatch:*` enables
 * its debug lines.
 *
 * @param scope - short name of the part that logs, such as `limits`
 * @returns a logger that writes each line as a JSON object
 */
export function createLogger(scope: string): Logger {
    const logger = loglevel.getLogger(`oriolehatch:${scope}`);
    if (debugScopes.includes(scope) || debugScopes.includes("*")) {
        logger.setLevel("debug", false);
    }
    const createWriter = (level: "debug" | "info" | "warn" | "error"): WriteLogLine => (event, fields) =>
        logger[level](JSON.stringify({ time: new Date().toISOString(), level, scope, event, ...fields }));
    return {
        debug: createWriter("debug"),
        info: createWriter("info"),
        warn: createWriter("warn"),
        error: createWriter("error"),
    };
}

/**
 * Sends the lines of all scopes to standard output. Logging never blocks, even if standard output is read slowly.
 *
 * @returns a function that starts writing the buffered lines before the next regular write
 */
export function sendLogsToStandardOutput(): () => void {
    const sink = createLogSink({ write: writeToStandardOutput, now: () => performance.now() });
    loglevel.methodFactory = level => (line: string): void => {
        const event = /"event":"([^"]*)"/.exec(line)?.[1] ?? "";
        sink.put(`${level} ${event}`, line, level === "warn" || level === "error" ? "important" : "ordinary");
    };
    for (const logger of Object.values(loglevel.getLoggers())) {
        logger.methodFactory = loglevel.methodFactory;
        logger.rebuild();
    }
    setInterval(sink.flush, flushIntervalMilliseconds).unref();
    return sink.flush;
}

/**
 * Sets the level of all scopes, also of existing scopes whose debug lines `DEBUG` enables.
 *
 * @param level - lowest level that is written; `silent` writes nothing
 */
export function setLogLevel(level: "debug" | "info" | "warn" | "error" | "silent"): void {
    loglevel.setDefaultLevel(level);
    for (const logger of Object.values(loglevel.getLoggers())) {
        logger.setLevel(level, false);
    }
}
