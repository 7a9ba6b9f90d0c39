/**
 * Bounded, non-blocking output of log lines. Lines wait in memory and are written in the background; a slow reader costs
 * lines, never time. Each kind of line has a rate, and what it left out is told.
 *
 * @packageDocumentation
 */
import { write } from "node:fs";
import { type Milliseconds, millisecondsPerSecond } from "./time.js";

/** Weight of a line; failures are left out after successes. */
export type LineWeight = "ordinary" | "important";

/** Settings of a sink. */
export interface LogSinkOptions {
    /** Writes in the background and tells when done. */
    readonly write: (bytes: Buffer, done: (error: Error | undefined) => void) => void;
    readonly now: () => Milliseconds;
    /** Lines of one kind in a second. @default 300 */
    readonly linesPerSecond?: number;
    /** Bytes that may wait. @default 1_000_000 */
    readonly limitBytes?: number;
}

/** Output of log lines. */
export interface LogSink {
    readonly put: (kind: string, line: string, weight: LineWeight) => void;
    /** Writes what waits, and a line for each kind that had to leave some out. */
    readonly flush: () => void;
    readonly readWaitingBytes: () => number;
}

interface LineKindState {
    allowance: number;
    at: Milliseconds;
    omittedLines: number;
}

const defaultLinesPerSecond = 300;
const defaultLimitBytes = 1_000_000;
/** Part of the room that ordinary lines may fill. */
const ordinaryLineShare = 0.5;

/**
 * Creates a sink.
 *
 * @param options - where lines go, and the bounds
 * @returns the sink; `flush` is to be called now and then
 */
export function createLogSink(options: LogSinkOptions): LogSink {
    const rate = options.linesPerSecond ?? defaultLinesPerSecond;
    const limitBytes = options.limitBytes ?? defaultLimitBytes;
    const kinds = new Map<string, LineKindState>();
    let waiting: string[] = [];
    let waitingBytes = 0;
    let isWriting = false;

    const takeFromAllowance = (kind: string, weight: LineWeight): LineKindState | undefined => {
        const now = options.now();
        const state = kinds.get(kind) ?? { allowance: rate, at: now, omittedLines: 0 };
        kinds.set(kind, state);
        state.allowance = Math.min(rate, state.allowance + (now - state.at) / millisecondsPerSecond * rate);
        state.at = now;
        const room = limitBytes * (weight === "ordinary" ? ordinaryLineShare : 1);
        if (state.allowance < 1 || waitingBytes >= room) {
            state.omittedLines++;
            return undefined;
        }
        state.allowance--;
        return state;
    };
    const append = (line: string): void => {
        waiting.push(line);
        waitingBytes += line.length + 1;
    };
    const appendOmissionLines = (): void => {
        for (const [kind, state] of kinds) {
            if (state.omittedLines > 0 && waitingBytes < limitBytes) {
                append(
                    JSON.stringify({
                        level: "warn",
                        scope: "log",
                        event: "lines left out",
                        kind,
                        count: state.omittedLines,
                    }),
                );
                state.omittedLines = 0;
            }
        }
    };
    const flush = (): void => {
        if (isWriting) {
            return;
        }
        appendOmissionLines();
        if (waiting.length === 0) {
            return;
        }
        const bytes = Buffer.from(`${waiting.join("\n")}\n`, "utf8");
        waiting = [];
        isWriting = true;
        options.write(bytes, () => {
            // a reader that has gone takes no lines; there is no one to tell
            isWriting = false;
            waitingBytes = waiting.reduce((sum, line) => sum + line.length + 1, 0);
        });
    };
    return {
        put: (kind, line, weight) => {
            if (takeFromAllowance(kind, weight)) {
                append(line);
            }
        },
        flush,
        readWaitingBytes: () => waitingBytes,
    };
}

const standardOutputDescriptor = 1;

/**
 * Writes to standard output off the main thread, whole.
 *
 * @param bytes - what to write
 * @param done - called when all is written, or with the error
 */
export function writeToStandardOutput(bytes: Buffer, done: (error: Error | undefined) => void): void {
    write(standardOutputDescriptor, bytes, (error, written) => {
        if (error || written >= bytes.length) {
            done(error ?? undefined);
            return;
        }
        writeToStandardOutput(bytes.subarray(written), done);
    });
}
