/**
 * Collects which servers broke off which requests of this instance and which requests were answered, and reports it to
 * the instance that decides on quarantines. After a break it goes on reporting answers for a while, since these tell
 * which requests are not to blame.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { ServerRunId } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { evidenceLifetimeMilliseconds } from "./crashEvidence.js";
import type { CrashReport } from "./messages.js";
import { createSoundAnswers } from "./soundAnswers.js";
import {
    type BrokenRequest,
    formatScopeKey,
    listScopes,
    type QuarantineScope,
    type ScopeKey,
    type ServerBreak,
    type SoundAnswer,
} from "./types.js";

/** Reporter of one instance. */
export interface CrashReporter {
    /** Records that a server broke off a request at the beginning of its answer, or before it. */
    readonly markBroken: (
        server: Pick<ServerBreak, "run" | "service">,
        request: BrokenRequest,
        now: Milliseconds,
    ) => void;
    /** Records that a server began to answer a request that was sent at `sentAt`. */
    readonly markServerAnswered: (run: ServerRunId, sentAt: Milliseconds, now: Milliseconds) => void;
    /** Records an answer that is complete or has gone on for a while. */
    readonly markAnswered: (answer: SoundAnswer) => void;
    /** Sets the scopes that the deciding instance suspects. */
    readonly watchScopes: (scopes: readonly QuarantineScope[], now: Milliseconds) => void;
    /** Reports the newest answer to a request of a scope that has been quarantined, if there was one lately. */
    readonly trackQuarantine: (scope: QuarantineScope, now: Milliseconds) => void;
    /** Whether there may be something to report; the deciding instance may have received it already. */
    readonly hasNews: (now: Milliseconds) => boolean;
    /** Report for an instance; `undefined` when it has nothing to learn. */
    readonly createReport: (decider: InstanceId, now: Milliseconds) => CrashReport | undefined;
    /** Records that an instance received a report. */
    readonly markReceived: (decider: InstanceId, report: CrashReport) => void;
}

interface KnownBreak {
    readonly service: string;
    readonly at: Milliseconds;
    readonly requests: BrokenRequest[];
    /** Instance that has received it, without later requests of it. */
    receivedBy: InstanceId | undefined;
}

/** Time after a break in which answers are reported. */
const watchMilliseconds = 4_000;
/** A server that answers later than this after a break may have started again under its former name. */
const restartMilliseconds = 1_000;
const maximumBreaks = 64;
const maximumRequestsPerBreak = 96;
const maximumAnswers = 8;

/**
 * Creates the reporter of an instance.
 *
 * @param isQuarantined - whether the requests of a scope are quarantined, so that an answer to one is news
 * @returns the reporter, which keeps a bounded number of breaks and answers
 */
export function createCrashReporter(isQuarantined: (scope: QuarantineScope) => boolean): CrashReporter {
    const breaks = new LRUCache<ServerRunId, KnownBreak>({ max: maximumBreaks });
    const sound = createSoundAnswers();
    const soundToReport = new Map<ScopeKey, QuarantineScope>();
    const alive = new Set<ServerRunId>();
    let watched: ReadonlySet<ScopeKey> = new Set();
    let answers: readonly SoundAnswer[] = [];
    let watchUntil = Number.NEGATIVE_INFINITY;
    const pruneBreaks = (now: Milliseconds): void =>
        [...breaks.entries()]
            .filter(([, { at }]) => now - at >= evidenceLifetimeMilliseconds)
            .forEach(([run]) => breaks.delete(run));
    const addRecentAnswer = (scope: QuarantineScope, now: Milliseconds): void => {
        if (now - sound.find(scope) < evidenceLifetimeMilliseconds) {
            soundToReport.set(formatScopeKey(scope), scope);
        }
    };
    return {
        markBroken: ({ run, service }, request, now) => {
            const known = breaks.get(run) ?? { service, at: now, requests: [], receivedBy: undefined };
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
            for (const scope of listScopes(answer)) {
                const key = formatScopeKey(scope);
                sound.record(scope, answer.beganAt);
                if (watched.has(key) || isQuarantined(scope)) {
                    soundToReport.set(key, scope);
                }
            }
        },
        watchScopes: (scopes, now) => {
            scopes.filter(scope => !watched.has(formatScopeKey(scope))).forEach(scope => addRecentAnswer(scope, now));
            watched = new Set(scopes.map(formatScopeKey));
        },
        trackQuarantine: addRecentAnswer,
        hasNews: now => breaks.size + alive.size + soundToReport.size > 0 || (now < watchUntil && answers.length > 0),
        createReport: (decider, now) => {
            pruneBreaks(now);
            const unreceived = [...breaks.entries()].filter(([, { receivedBy }]) => receivedBy !== decider);
            const told = now < watchUntil ? answers : [];
            if (unreceived.length + told.length + alive.size + soundToReport.size === 0) {
                return undefined;
            }
            return {
                kind: "report",
                breaks: unreceived.map(([run, { service, at, requests }]) => ({
                    run,
                    service,
                    age: now - at,
                    requests: requests.map(request => ({ ...request, shared: [...request.shared] })),
                })),
                alive: [...alive],
                answers: told.map(({ account, digest, shared, beganAt }) => ({
                    account,
                    digest,
                    shared: [...shared],
                    age: now - beganAt,
                })),
                sound: [...soundToReport.values()]
                    .map(scope => ({ scope, age: now - sound.find(scope) }))
                    .filter(({ age }) => Number.isFinite(age)),
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
            report.sound.forEach(({ scope }) => soundToReport.delete(formatScopeKey(scope)));
            answers = [];
        },
    };
}
