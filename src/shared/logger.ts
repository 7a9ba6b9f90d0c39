/**
 * Scoped debug output and the process's structured log.
 *
 * @packageDocumentation
 */
import loglevel from "loglevel";
import { createLogSink, writeToStandardOutput } from "./logSink.js";

/** Writes one structured line; fields must not hold a caller's key. */
export type WriteLogLine = (event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Structured log of one scope. */
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
 * Creates the structured log of a scope. Debug lines show only when `DEBUG=oriolehatch:SCOPE` or `oriolehatch:*` is set.
 *
 * @param scope - short name of the part, such as `limits`
 * @returns the log
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
 * Sends the lines of all scopes to standard output without ever waiting for its reader.
 *
 * @returns a function that writes what still waits
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
 * Sets the level of all scopes.
 *
 * @param level - lowest level that is written
 */
export function setLogLevel(level: "debug" | "info" | "warn" | "error" | "silent"): void {
    loglevel.setDefaultLevel(level);
    for (const logger of Object.values(loglevel.getLoggers())) {
        logger.setLevel(level, false);
    }
}
