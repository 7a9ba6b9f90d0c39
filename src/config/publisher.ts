/**
 * Publishes operators' changes and learns what became of them, also when the log's answer is lost.
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

/** What became of a change. */
export type PublishOutcome =
    | { readonly kind: "accepted"; readonly offset: LogOffset; }
    /** The reason is `undefined` when only the bare decision is still remembered. */
    | { readonly kind: "rejected"; readonly offset: LogOffset; readonly rejection: Rejection | undefined; }
    /** The log took nothing; the change has no effect and never will. */
    | { readonly kind: "notPublished"; readonly detail: string; }
    /** It may stand in the log; ask again with its id, or publish the very same change once more. */
    | { readonly kind: "unknownYet"; readonly changeId: ChangeId; readonly detail: string; };

/** What a publisher needs. */
export interface PublisherOptions {
    readonly log: LogService;
    readonly clock: Clock;
    /** How often a change is appended at most. @default 5 */
    readonly maximumAttempts?: number;
    /** Wait before the second attempt; doubles with each one. @default 200 */
    readonly retryDelay?: Milliseconds;
}

/** Publishes changes. */
export interface Publisher {
    /** Reads the tree that a change is to be based on. */
    readonly readState: (signal?: AbortSignal) => Promise<Result<SettingsState, LogReadError>>;
    /** Publishes a change; the same change may be published any number of times and takes effect at most once. */
    readonly publish: (change: ConfigurationChange, signal?: AbortSignal) => Promise<PublishOutcome>;
    /** Learns what became of a change. */
    readonly settle: (changeId: ChangeId, signal?: AbortSignal) => Promise<PublishOutcome>;
}

const codec = createRecordCodec(configurationModel);
const defaultMaximumAttempts = 5;
const defaultRetryDelayMilliseconds = 200;

/**
 * Creates a publisher.
 *
 * @param options - the log and how often to try
 * @returns the publisher
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
            return { kind: "unknownYet", changeId, detail: "the log does not hold the change, or not yet" };
        }
        return settled.accepted
            ? { kind: "accepted", offset: settled.offset }
            : { kind: "rejected", offset: settled.offset, rejection: rejections.get(changeId) };
    };
    const publish = async (change: ConfigurationChange, signal?: AbortSignal): Promise<PublishOutcome> => {
        const payload = codec.encode({ kind: "change", change });
        // a copy that takes effect after its lost answer may come before or after later copies; the first one decides
        let mayBeInLog = false;
        let isAppended = false;
        let outcome: PublishOutcome = { kind: "notPublished", detail: "not tried" };
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
    return { kind: "notPublished", detail: `the log took nothing (${error.kind}); try again later` };
}

/**
 * Describes why the tree could not be read from the log.
 *
 * @param error - the error
 * @returns one line for the operator
 */
export function describeReadError(error: LogReadError): string {
    switch (error.kind) {
        case "logFailed":
            return `the log can't be read now (${error.error.kind}); the settings in force stay in force`;
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
            return "the log no longer holds a complete tree; start an instance that still has one, it restates it";
        case "gap":
            return "the log lacks records between its oldest and those read before; read again from the start";
        case "complete":
            return "the tree is complete";
    }
}
