/**
 * Collects which servers broke off which prompts of this instance and which prompts were answered, and reports it to
 * the instance that decides on quarantines. After a break it goes on reporting answers for a while, since these tell the
 * parts that are not to blame.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { ServerRunId } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { PromptReport } from "./messages.js";
import {
    type BrokenRequest,
    formatScopeKey,
    listScopes,
    type PromptScope,
    type PromptScopeKey,
    type SoundAnswer,
} from "./types.js";

/** Reporter of one instance. */
export interface PromptReporter {
    /** Records that a server broke off a request at the beginning of its answer, or before it. */
    readonly markBroken: (run: ServerRunId, request: BrokenRequest, now: Milliseconds) => void;
    /** Records that a server began to answer a request that was sent at `sentAt`. */
    readonly markServerAnswered: (run: ServerRunId, sentAt: Milliseconds, now: Milliseconds) => void;
    /** Records an answer that is complete or has gone on for a while. */
    readonly markAnswered: (answer: SoundAnswer) => void;
    /** Sets the scopes that the deciding instance suspects. */
    readonly watchScopes: (scopes: readonly PromptScope[]) => void;
    /** Reports the newest answer to a prompt of a scope that has been quarantined, if there was one lately. */
    readonly trackQuarantine: (scope: PromptScope, now: Milliseconds) => void;
    /** Report for an instance; `undefined` when it has nothing to learn. */
    readonly createReport: (decider: InstanceId, now: Milliseconds) => PromptReport | undefined;
    /** Records that an instance received a report. */
    readonly markReceived: (decider: InstanceId, report: PromptReport) => void;
}

interface KnownBreak {
    readonly at: Milliseconds;
    readonly requests: BrokenRequest[];
    /** Instance that has received it, without later requests of it. */
    receivedBy: InstanceId | undefined;
}

/** Time for which breaks are kept for an instance that takes over the decisions. */
const breakLifetimeMilliseconds = 20_000;
/** Time after a break in which answers are reported. */
const watchMilliseconds = 4_000;
/** Age up to which an answer is told to an instance that has quarantined its prompt. */
const objectionAgeMilliseconds = 10_000;
/** A server that answers later than this after a break may have started again under its former name. */
const restartMilliseconds = 1_000;
const maximumBreaks = 64;
const maximumRequestsPerBreak = 32;
const maximumAnswers = 8;
const maximumSoundScopes = 4_096;

/**
 * Creates the reporter of an instance.
 *
 * @param isQuarantined - whether the prompts of a scope are quarantined, so that an answer to one is news
 * @returns the reporter, which keeps a bounded number of breaks and answers
 */
export function createPromptReporter(isQuarantined: (scope: PromptScope) => boolean): PromptReporter {
    const breaks = new LRUCache<ServerRunId, KnownBreak>({ max: maximumBreaks });
    const soundAt = new LRUCache<PromptScopeKey, Milliseconds>({ max: maximumSoundScopes });
    const soundToReport = new Map<PromptScopeKey, PromptScope>();
    const alive = new Set<ServerRunId>();
    let watched: ReadonlySet<PromptScopeKey> = new Set();
    let answers: readonly SoundAnswer[] = [];
    let watchUntil = Number.NEGATIVE_INFINITY;
    const pruneBreaks = (now: Milliseconds): void =>
        [...breaks.entries()]
            .filter(([, { at }]) => now - at >= breakLifetimeMilliseconds)
            .forEach(([run]) => breaks.delete(run));
    return {
        markBroken: (run, request, now) => {
            const known = breaks.get(run) ?? { at: now, requests: [], receivedBy: undefined };
            if (known.requests.length < maximumRequestsPerBreak) {
                known.requests.push(request);
                known.receivedBy = undefined;
            }
            breaks.set(run, known);
            watchUntil = now + watchMilliseconds;
        },
        markServerAnswered: (run, sentAt, now) => {
            const known = breaks.get(run);
            if (known && sentAt > known.at && now - known.at < restartMilliseconds) {
                breaks.delete(run);
                alive.add(run);
            }
        },
        markAnswered: answer => {
            answers = [...answers.slice(1 - maximumAnswers), answer];
            for (const scope of listScopes(answer.shared, answer.account)) {
                const key = formatScopeKey(scope);
                soundAt.set(key, answer.beganAt);
                if (watched.has(key) || isQuarantined(scope)) {
                    soundToReport.set(key, scope);
                }
            }
        },
        watchScopes: scopes => {
            watched = new Set(scopes.map(formatScopeKey));
        },
        trackQuarantine: (scope, now) => {
            const key = formatScopeKey(scope);
            if (now - (soundAt.get(key) ?? Number.NEGATIVE_INFINITY) < objectionAgeMilliseconds) {
                soundToReport.set(key, scope);
            }
        },
        createReport: (decider, now) => {
            pruneBreaks(now);
            const unreceived = [...breaks.entries()].filter(([, { receivedBy }]) => receivedBy !== decider);
            const told = now < watchUntil ? answers : [];
            if (unreceived.length + told.length + alive.size + soundToReport.size === 0) {
                return undefined;
            }
            return {
                kind: "report",
                breaks: unreceived.map(([run, { at, requests }]) => ({
                    run,
                    age: now - at,
                    requests: requests.map(request => ({ ...request, shared: [...request.shared] })),
                })),
                alive: [...alive],
                answers: told.map(({ account, shared, beganAt }) => ({
                    account,
                    shared: [...shared],
                    age: now - beganAt,
                })),
                sound: [...soundToReport].map(([key, scope]) => ({ scope, age: now - soundAt.get(key)! })),
            };
        },
        markReceived: (decider, report) => {
            for (const { run, requests } of report.breaks) {
                const known = breaks.get(run);
                if (known?.requests.length === requests.length) {
                    known.receivedBy = decider;
                }
            }
            report.alive.forEach(run => alive.delete(run));
            report.sound.forEach(({ scope }) => soundToReport.delete(formatScopeKey({ account: undefined, ...scope })));
            answers = [];
        },
    };
}
