/**
 * Bounded, non-blocking output of log lines. Lines are buffered in memory and written in the background. If the reader
 * of the output is slow, lines are dropped instead of delaying the process. Each kind of line has a rate limit, and the
 * number of dropped lines is logged.
 *
 * @packageDocumentation
 */
import { write } from "node:fs";
import { type Milliseconds, millisecondsPerSecond } from "./time.js";

/** Importance of a line; as the buffer fills, ordinary lines are dropped before important ones. */
export type LineWeight = "ordinary" | "important";

/** Settings of a log sink. */
export interface LogSinkOptions {
    /** Writes in the background and calls `done` at the end. */
    readonly write: (bytes: Buffer, done: (error: Error | undefined) => void) => void;
    /** Reads a monotonic clock. */
    readonly now: () => Milliseconds;
    /** Rate limit of each kind of line; also its burst. @default 300 */
    readonly linesPerSecond?: number;
    /** Size limit of the buffered lines, counted in UTF-16 code units. @default 1_000_000 */
    readonly limitBytes?: number;
}

/** Buffered output of log lines. */
export interface LogSink {
    /** Buffers a line, or drops it if its kind is over the rate limit or the buffer is full. */
    readonly put: (kind: string, line: string, weight: LineWeight) => void;
    /**
     * Starts writing the buffered lines and, for each kind with dropped lines, a line with their number. Does nothing
     * while an earlier write is in progress.
     */
    readonly flush: () => void;
    /** Size of the lines that are buffered or being written. */
    readonly readWaitingBytes: () => number;
}

interface LineKindState {
    allowance: number;
    at: Milliseconds;
    omittedLines: number;
}

const defaultLinesPerSecond = 300;
const defaultLimitBytes = 1_000_000;
/** Share of the buffer that ordinary lines may fill; the rest is kept for important ones. */
const ordinaryLineShare = 0.5;

/**
 * Creates a log sink.
 *
 * @param options - output and limits
 * @returns the sink; the caller must call `flush` at regular intervals
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
            // an error is ignored: if the reader of the output is gone, there is nowhere to report it
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
 * Writes all bytes to standard output in a background thread.
 *
 * @param bytes - bytes to write
 * @param done - called after the last byte was written, or with the error
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
