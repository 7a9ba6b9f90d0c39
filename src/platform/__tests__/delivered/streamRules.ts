/**
 * The rules LOST and ORDER of the platform's pages, computed from what clients and servers of a play have seen.
 */
import { clientDeadlineMilliseconds, type PlayAttempt } from "./streamClients.js";
import type { RecordedRun } from "./streamServers.js";

/** A SIGTERM to a machine. */
export interface RecordedStop {
    readonly machine: string;
    readonly at: number;
    /** When the process had ended. */
    endedAt: number;
}

/** `grace_s`. */
export const graceMilliseconds = 8_000;
/** A stop counts until so long after its grace. */
const stopTailMilliseconds = 1_000;
/** `loss_slack_ms`. */
const slackMilliseconds = 200;
/** A request that is sent later than this after the SIGTERM must not be cut, however long its work. */
const lateMilliseconds = 3_000;
/** Work in the last sixth of the grace doesn't count for requests that were sent before that. */
const lastPartMilliseconds = graceMilliseconds * 5 / 6;
const statusOk = 200;

/** Why an answer without its end doesn't break the rule. */
export type EndVerdict =
    | "whole"
    | "client left"
    | "deadline"
    | "last sixth"
    | "not read"
    | "lost beside a stop"
    | "lost";

/**
 * Judges the end of an attempt, as LOST is written; the servers of a play break nothing off by themselves.
 *
 * @param attempt - the attempt
 * @param runs - runs of the attempt
 * @param stops - stops of its machine
 * @returns the verdict
 */
export function decideVerdict(
    attempt: PlayAttempt,
    runs: readonly RecordedRun[],
    stops: readonly RecordedStop[],
): EndVerdict {
    const { sentAt } = attempt;
    // a client that reads slowly hears late of the end of a process, with which its connection has ended
    const processEnd = stops.find(stop => stop.endedAt > sentAt && stop.endedAt < attempt.endedAt)?.endedAt;
    const endedAt = processEnd ?? attempt.endedAt;
    if (attempt.isComplete) {
        return "whole";
    }
    if (attempt.hasLeft) {
        return "client left";
    }
    if (endedAt - sentAt >= clientDeadlineMilliseconds) {
        return "deadline";
    }
    if (runs.length === 0 && endedAt - sentAt <= slackMilliseconds) {
        return "not read";
    }
    const stop = stops.find(({ at }) => endedAt >= at && endedAt <= at + graceMilliseconds + stopTailMilliseconds);
    if (!stop) {
        return "lost";
    }
    const isAtWork = runs.some(run => (run.endedAt ?? Infinity) >= stop.at + lastPartMilliseconds);
    return isAtWork && sentAt <= stop.at + lateMilliseconds ? "last sixth" : "lost beside a stop";
}

/**
 * Finds what is wrong with the pieces of a stream over all its attempts, as ORDER is written.
 *
 * @param attempts - attempts of one stream in their order
 * @returns what is wrong; empty where nothing is
 */
export function findDisorder(attempts: readonly PlayAttempt[]): readonly string[] {
    const wrong: string[] = [];
    for (const attempt of attempts) {
        let last = attempt.after;
        for (const event of attempt.events) {
            if (event.id !== last + 1) {
                wrong.push(`${attempt.attemptId}: event ${event.id} after event ${last}`);
            }
            if (event.name !== attempt.name) {
                wrong.push(`${attempt.attemptId}: event ${event.id} belongs to ${event.name} ${event.attemptId}`);
            }
            last = event.id;
        }
        const isEnded = attempt.isComplete && attempt.status === statusOk && attempt.eventCount > 0;
        if (isEnded && last !== attempt.eventCount) {
            wrong.push(`${attempt.attemptId}: complete after event ${last} of ${attempt.eventCount}`);
        }
        if (isEnded && attempt.rest !== "") {
            wrong.push(`${attempt.attemptId}: complete with ${attempt.rest.length} bytes that are no event`);
        }
        if (!attempt.isFramed) {
            wrong.push(`${attempt.attemptId}: the answer doesn't tell its end`);
        }
    }
    return wrong;
}
