/**
 * Publishes operators' changes and finds out their outcome, even when the response of the log service is lost.
 *
 * @packageDocumentation
 */
import type { LogError, LogService } from "../backends/index.js";
import type { Clock, LogOffset, Milliseconds, Result } from "../shared/index.js";
import { createRecordCodec } from "../streams/index.js";
import type { Rejection, SettingsState } from "./acceptRule.js";
import { createLogReader, type LogReadError } from "./logReader.js";
import { configurationModel } from "./model.js";
import type { ChangeId, ConfigurationChange } from "./records.js";

/** Outcome of publishing a change. */
export type PublishOutcome =
    | { readonly kind: "accepted"; readonly offset: LogOffset; }
    /** `rejection` is `undefined` if the record has expired and only the decision without its reason is kept. */
    | { readonly kind: "rejected"; readonly offset: LogOffset; readonly rejection: Rejection | undefined; }
    /** The log service did not accept the change, so it has no effect and never will. */
    | { readonly kind: "notPublished"; readonly detail: string; }
    /** The change may be in the log; call `settle` with its id, or publish exactly the same change again. */
    | { readonly kind: "unknownYet"; readonly changeId: ChangeId; readonly detail: string; };

/** Dependencies and settings of a publisher. */
export interface PublisherOptions {
    readonly log: LogService;
    readonly clock: Clock;
    /** Maximum number of attempts to append a change and read its outcome. @default 5 */
    readonly maximumAttempts?: number;
    /** Delay before the second attempt; it doubles with each further attempt. @default 200 */
    readonly retryDelay?: Milliseconds;
}

/** Publishes changes to the configuration stream. */
export interface Publisher {
    /** Reads the current state, for a new change to be based on. */
    readonly readState: (signal?: AbortSignal) => Promise<Result<SettingsState, LogReadError>>;
    /** Publishes a change; publishing the same change again is safe, as it takes effect at most once. */
    readonly publish: (change: ConfigurationChange, signal?: AbortSignal) => Promise<PublishOutcome>;
    /** Reads the outcome of a change that was published earlier. */
    readonly settle: (changeId: ChangeId, signal?: AbortSignal) => Promise<PublishOutcome>;
}

const codec = createRecordCodec(configurationModel);
const defaultMaximumAttempts = 5;
const defaultRetryDelayMilliseconds = 200;

/**
 * Creates a publisher.
 *
 * @param options - the log service and the retry settings
 * @returns a publisher with its own reader of the log
 */
export function createPublisher(options: PublisherOptions): Publisher {
    const maximumAttempts = options.maximumAttempts ?? defaultMaximumAttempts;
    const retryDelay = options.retryDelay ?? defaultRetryDelayMilliseconds;
    const rejections = new Map<ChangeId, Rejection>();
    const reader = createLogReader(options.log, ({ change, decision }) => {
        if (decision.kind === "rejected" && decision.rejection.kind !== "repeated") {
            rejections.set(change.changeId, decision.rejection);
        }
    });

    const settle = async (changeId: ChangeId, signal?: AbortSignal): Promise<PublishOutcome> => {
        const read = await reader.catchUp(signal);
        if (!read.ok) {
            return { kind: "unknownYet", changeId, detail: describeReadError(read.error) };
        }
        const settled = read.value.settled.get(changeId);
        if (!settled) {
            return {
                kind: "unknownYet",
                changeId,
                detail: "the log does not hold the change so far, or its decision has expired",
            };
        }
        return settled.accepted
            ? { kind: "accepted", offset: settled.offset }
            : { kind: "rejected", offset: settled.offset, rejection: rejections.get(changeId) };
    };
    const publish = async (change: ConfigurationChange, signal?: AbortSignal): Promise<PublishOutcome> => {
        const payload = codec.encode({ kind: "change", change });
        // an append whose response was lost may take effect before or after later appends of the same change; readers
        // decide on the first record and ignore the others
        let mayBeInLog = false;
        let isAppended = false;
        let outcome: PublishOutcome = { kind: "notPublished", detail: "no attempt was made" };
        for (let attempt = 0; attempt < maximumAttempts && !signal?.aborted; attempt++) {
            if (attempt > 0) {
                await options.clock.sleep(retryDelay * 2 ** (attempt - 1), signal);
            }
            if (!isAppended) {
                const appended = await options.log.append("configuration", payload, signal);
                isAppended = appended.ok;
                mayBeInLog ||= appended.ok || appended.error.kind === "unknownOutcome";
                outcome = appended.ok || mayBeInLog ? outcome : createNotPublished(appended.error);
            }
            if (mayBeInLog) {
                outcome = await settle(change.changeId, signal);
                if (outcome.kind !== "unknownYet") {
                    return outcome;
                }
            }
        }
        return outcome;
    };
    return { readState: signal => reader.catchUp(signal), publish, settle };
}

function createNotPublished(error: LogError): PublishOutcome {
    return {
        kind: "notPublished",
        detail: `the log did not accept the change (${error.kind}); try again later`,
    };
}

/**
 * Describes why the settings could not be read from the log.
 *
 * @param error - error of the log reader
 * @returns one line for the operator
 */
export function describeReadError(error: LogReadError): string {
    switch (error.kind) {
        case "logFailed":
            return `the log can't be read (${error.error.kind}); reading it may succeed later (instances keep their settings)`;
        case "notComplete":
            return describeIncomplete(error.phase.kind);
    }
}

function describeIncomplete(kind: "gathering" | "complete" | "stopped" | "gap" | "overflow"): string {
    switch (kind) {
        case "stopped":
            return "the log holds a record of a newer format; upgrade this program";
        case "gathering":
        case "overflow":
            return "the log no longer holds a complete tree; keep a ready instance running until it has written its tree to the log again";
        case "gap":
            return "records after the last one read have expired from the log; read again from the start";
        case "complete":
            return "the tree is complete";
    }
}
