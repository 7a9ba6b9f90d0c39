/**
 * Finds the prompts that end the servers that begin to answer them. A part of a prompt is blamed when servers ended
 * under several different requests with it, at different moments, while other prompts were answered and none with it.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { ServerRunId } from "../serving/types.js";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";
import {
    type BrokenRequest,
    formatScopeKey,
    listScopes,
    type PromptScope,
    type PromptScopeKey,
    type ServerBreak,
    type SoundAnswer,
} from "./types.js";

/** Prompts that end servers. */
export interface BlamedScope extends PromptScope {
    /** Moments at which servers ended under these prompts. */
    readonly crashes: number;
    /** Time of the first of these moments. */
    readonly firstAt: Milliseconds;
}

/** Evidence of servers that ended and of prompts that were answered. */
export interface CrashEvidence {
    readonly addBreak: (ended: ServerBreak) => void;
    /** Drops what is known of a run that answers again, and so has not ended. */
    readonly removeRun: (run: ServerRunId) => void;
    readonly addAnswer: (answer: SoundAnswer) => void;
    /** Records the time at which the newest answer to a prompt of a scope began. */
    readonly addSoundScope: (scope: PromptScope, beganAt: Milliseconds) => void;
    /** Time at which the newest known answer to a prompt of a scope began; `undefined` when none is known. */
    readonly findSoundAt: (scope: PromptScope) => Milliseconds | undefined;
    /** Scopes under which servers ended at several moments since their newest answer. */
    readonly listSuspects: (now: Milliseconds) => readonly PromptScope[];
    /** Finds the scope to blame; `undefined` while the evidence blames none. */
    readonly findBlamed: (now: Milliseconds) => BlamedScope | undefined;
    /** Drops the requests of runs whose end a scope explains, also of later ones, so that they count against no other. */
    readonly addExplanation: (scope: PromptScope) => void;
    /** Lets the ends of servers under a scope count again. */
    readonly removeExplanation: (scope: PromptScope) => void;
}

interface Suspicion {
    readonly scope: PromptScope;
    readonly accounts: Set<ClientAccountId | undefined>;
    readonly owners: Set<string>;
    /** In the order of time. */
    readonly moments: Set<Milliseconds>;
    /** Lowest place of the part in a prompt. */
    position: number;
}

/** Moments at which servers must have ended under a part before it is blamed. */
const blamedMomentCount = 3;
/** Moments that are enough where servers also end under other requests; fewer of them may then be chance. */
const certainMomentCount = 5;
/** Share of the moments since a part's first one that must be its own, unless it has `certainMomentCount` of them. */
const ownMomentShare = 0.7;
/** Moments from which on answers with a part are asked for. */
const suspectMomentCount = 2;
/** Different requests that must have had the part, as repeats of one request say nothing of its shared parts. */
const differentRequestCount = 2;
/** Accounts whose requests must have had the part before it is blamed for all: none may do that to another one. */
const differentAccountCount = 2;
/** Servers that end within this time may have one cause outside, such as a lost network, and count as one moment. */
const momentMilliseconds = 100;
/** Time after the last of these moments in which answers with the part can still become known. */
const settleMilliseconds = 1_000;
/** Answers to other prompts that show that it is the part and not the servers. */
const otherAnswerCount = 2;
const evidenceLifetimeMilliseconds = 20_000;
const maximumRuns = 64;
const maximumRequestsPerRun = 32;
const maximumSoundScopes = 4_096;
const maximumAnswers = 64;

/**
 * Creates an empty collection of evidence.
 *
 * @returns the evidence, owned by the caller; its size is bounded
 */
export function createCrashEvidence(): CrashEvidence {
    const runs = new LRUCache<ServerRunId, ServerBreak>({ max: maximumRuns });
    const soundAt = new LRUCache<PromptScopeKey, Milliseconds>({ max: maximumSoundScopes });
    const explanations = new Map<PromptScopeKey, PromptScope>();
    const answers: SoundAnswer[] = [];
    const readSoundAt = (scope: PromptScope): Milliseconds =>
        soundAt.get(formatScopeKey(scope)) ?? Number.NEGATIVE_INFINITY;
    const addSoundScope = (scope: PromptScope, beganAt: Milliseconds): void =>
        void soundAt.set(formatScopeKey(scope), Math.max(beganAt, readSoundAt(scope)));
    const isExplained = (request: BrokenRequest): boolean =>
        listScopes(request.shared, request.account).some(scope => explanations.has(formatScopeKey(scope)));
    const listSuspicions = (now: Milliseconds): readonly Suspicion[] => {
        const suspicions = new Map<PromptScopeKey, Suspicion>();
        for (const [moment, ended] of groupByMoment(runs.values(), now)) {
            for (const request of ended.requests) {
                listScopes(request.shared, request.account)
                    .filter(scope => ended.at > readSoundAt(scope))
                    .forEach(scope => addToSuspicion(suspicions, scope, moment, request));
            }
        }
        return [...suspicions.values()];
    };
    const countOtherAnswers = ({ part }: PromptScope, since: Milliseconds): number =>
        answers.filter(answer => answer.beganAt > since && !answer.shared.includes(part)).length;
    const isChance = (times: readonly Milliseconds[], now: Milliseconds): boolean => {
        const all = new Set(groupByMoment(runs.values(), now).map(([moment]) => moment));
        const between = [...all].filter(moment => moment >= times[0]! && moment <= times.at(-1)!);
        return times.length < certainMomentCount && times.length < between.length * ownMomentShare;
    };
    const isBlamed = ({ scope, accounts, owners, moments }: Suspicion, now: Milliseconds): boolean => {
        const times = [...moments];
        const isForAll = scope.account === undefined;
        return times.length >= blamedMomentCount &&
            owners.size >= differentRequestCount &&
            (!isForAll || accounts.size >= differentAccountCount || accounts.has(undefined)) &&
            now - times[blamedMomentCount - 1]! >= settleMilliseconds &&
            !isChance(times, now) &&
            countOtherAnswers(scope, times[0]!) >= otherAnswerCount;
    };
    // of parts that always come together, the one that was answered longest ago is to blame, and else the first one
    const compareBlame = (left: Suspicion, right: Suspicion): number =>
        right.moments.size - left.moments.size ||
        compareTimes(readSoundAt(left.scope), readSoundAt(right.scope)) ||
        left.position - right.position;
    return {
        addBreak: ended => {
            const known = runs.get(ended.run);
            const all = [...known?.requests ?? [], ...ended.requests].slice(0, maximumRequestsPerRun);
            const requests = all.some(isExplained) ? [] : all;
            runs.set(ended.run, { run: ended.run, at: Math.min(ended.at, known?.at ?? ended.at), requests });
        },
        removeRun: run => void runs.delete(run),
        addAnswer: answer => {
            listScopes(answer.shared, answer.account).forEach(scope => addSoundScope(scope, answer.beganAt));
            answers.push(answer);
            answers.splice(0, answers.length - maximumAnswers);
        },
        addSoundScope,
        findSoundAt: scope => soundAt.get(formatScopeKey(scope)),
        listSuspects: now =>
            listSuspicions(now).filter(({ moments }) => moments.size >= suspectMomentCount).map(({ scope }) => scope),
        findBlamed: now => {
            const [blamed] = listSuspicions(now).filter(suspicion => isBlamed(suspicion, now)).sort(compareBlame);
            return blamed && { ...blamed.scope, crashes: blamed.moments.size, firstAt: [...blamed.moments][0]! };
        },
        addExplanation: scope => {
            explanations.set(formatScopeKey(scope), scope);
            [...runs.entries()]
                .filter(([, ended]) => ended.requests.some(isExplained))
                .forEach(([run, ended]) => runs.set(run, { ...ended, requests: [] }));
        },
        removeExplanation: scope => void explanations.delete(formatScopeKey(scope)),
    };
}

// each run with the time at which its moment began, in the order of the times
function groupByMoment(
    runs: Iterable<ServerBreak>,
    now: Milliseconds,
): readonly (readonly [moment: Milliseconds, ended: ServerBreak])[] {
    const recent = [...runs].filter(({ at }) => now - at < evidenceLifetimeMilliseconds);
    recent.sort((left, right) => left.at - right.at);
    let moment = Number.NEGATIVE_INFINITY;
    return recent.map(ended => {
        moment = ended.at - moment < momentMilliseconds ? moment : ended.at;
        return [moment, ended];
    });
}

function addToSuspicion(
    suspicions: Map<PromptScopeKey, Suspicion>,
    scope: PromptScope,
    moment: Milliseconds,
    request: BrokenRequest,
): void {
    const key = formatScopeKey(scope);
    const position = request.shared.indexOf(scope.part);
    const suspicion = suspicions.get(key) ??
        { scope, accounts: new Set(), owners: new Set(), moments: new Set(), position };
    suspicion.accounts.add(request.account);
    suspicion.owners.add(request.own);
    suspicion.moments.add(moment);
    suspicion.position = Math.min(position, suspicion.position);
    suspicions.set(key, suspicion);
}

// both may be infinite
function compareTimes(left: Milliseconds, right: Milliseconds): number {
    return left === right ? 0 : left - right;
}
