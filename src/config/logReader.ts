/**
 * Reads the configuration stream from the log only, without asking other instances, for the operators' command line.
 *
 * @packageDocumentation
 */
import type { LogError, LogService } from "../backends/index.js";
import { type LogOffset, type Result, wrapError, wrapValue } from "../shared/index.js";
import { createReplay, type Replay, type ReplayPhase } from "../streams/index.js";
import type { SettingsState } from "./acceptRule.js";
import { configurationModel, type DecidedChange } from "./model.js";

/** Why the tree could not be read from the log. */
export type LogReadError =
    | { readonly kind: "logFailed"; readonly error: LogError; }
    /** The log holds no complete tree or a record of a newer format, or it lost records before they were read. */
    | { readonly kind: "notComplete"; readonly phase: ReplayPhase; };

/** A reader of the configuration stream. */
export interface ConfigurationLogReader {
    /** Reads up to the head of the stream and returns the state there; a second call reads only the new records. */
    readonly catchUp: (signal?: AbortSignal) => Promise<Result<SettingsState, LogReadError>>;
}

/**
 * Creates a reader that starts at the oldest record of the log.
 *
 * @param log - log service to read from
 * @param onDecision - called with each change and its decision, in the order of the log
 * @returns a reader that has read nothing yet
 */
export function createLogReader(
    log: LogService,
    onDecision: (event: DecidedChange) => void = () => undefined,
): ConfigurationLogReader {
    let replay: Replay<SettingsState, DecidedChange> | undefined;

    const readPage = async (from: LogOffset, signal?: AbortSignal): Promise<Result<boolean, LogReadError>> => {
        const page = await log.read("configuration", signal ? { from, signal } : { from });
        if (!page.ok) {
            if (page.error.kind === "expired" && page.error.earliest > from) {
                replay = createReplay(configurationModel, page.error.earliest);
                return wrapValue(false);
            }
            return wrapError({ kind: "logFailed", error: page.error });
        }
        replay ??= createReplay(configurationModel, from);
        replay.apply(page.value.records).forEach(onDecision);
        const phase = replay.phase();
        if (phase.kind !== "complete" && phase.kind !== "gathering") {
            return wrapError({ kind: "notComplete", phase });
        }
        return wrapValue(replay.nextOffset() >= page.value.head);
    };
    const readToHead = async (signal?: AbortSignal): Promise<Result<SettingsState, LogReadError>> => {
        for (;;) {
            const atHead = await readPage(replay?.nextOffset() ?? 0, signal);
            if (!atHead.ok) {
                return atHead;
            }
            if (atHead.value) {
                const state = replay!.state();
                return state ? wrapValue(state) : wrapError({ kind: "notComplete", phase: replay!.phase() });
            }
        }
    };
    return { catchUp: readToHead };
}

/**
 * Lists the changes that the log still holds, with their decisions.
 *
 * @param log - log service to read from
 * @param signal - aborts the read
 * @returns the changes, oldest first, or why they could not be read
 */
export async function readHistory(
    log: LogService,
    signal?: AbortSignal,
): Promise<Result<readonly DecidedChange[], LogReadError>> {
    const events: DecidedChange[] = [];
    const read = await createLogReader(log, event => events.push(event)).catchUp(signal);
    return read.ok ? wrapValue(events) : read;
}
