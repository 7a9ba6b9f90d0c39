/**
 * Finds the requests that end the servers that run them: a part of a prompt that ends each server that begins to answer
 * it, whatever else the prompt holds, or one request that comes again and again. Either is blamed when servers ended
 * under it at different moments and none answered it: a part while other prompts were answered, a request that was not
 * answered before either.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { ServerRunId } from "../serving/types.js";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";
import { createSoundAnswers } from "./soundAnswers.js";
import {
    type BrokenRequest,
    formatScopeKey,
    listScopes,
    type PartScope,
    type QuarantineScope,
    type RequestScope,
    type ScopeKey,
    type ServerBreak,
    type SoundAnswer,
} from "./types.js";

/** Requests that end servers. */
export interface BlamedScope {
    readonly scope: QuarantineScope;
    /** Moments at which servers ended under these requests. */
    readonly crashes: number;
    /** Time of the first of these moments. */
    readonly firstAt: Milliseconds;
}

/** Evidence of servers that ended and of requests that were answered. */
export interface CrashEvidence {
    readonly addBreak: (ended: ServerBreak) => void;
    /** Drops what is known of a run that answers again, and so has not ended. */
    readonly removeRun: (run: ServerRunId) => void;
    readonly addAnswer: (answer: SoundAnswer) => void;
    /** Records the time at which the newest answer to a request of a scope began. */
    readonly addSoundScope: (scope: QuarantineScope, beganAt: Milliseconds) => void;
    /** Time at which the newest known answer to a request of a scope began; negative infinity when none is known. */
    readonly findSoundAt: (scope: QuarantineScope) => Milliseconds;
    /** Scopes under which servers ended at several moments since their newest answer. */
    readonly listSuspects: (now: Milliseconds) => readonly QuarantineScope[];
    /** Lists the scopes to blame now: a part, or requests that can't be told apart; none while the evidence blames none. */
    readonly listBlamed: (now: Milliseconds) => readonly BlamedScope[];
    /**
     * Lets the ends of servers that a scope explains, also of later ones, count against no other. Those that a request
     * explains still count against the parts of other requests, and against those that it shares with other requests that
     * explain ends. An end under several requests counts for the one with the most ends, also when that is found later.
     * `crashes` are the moments that are known of the scope, as this evidence may hold fewer.
     */
    readonly addExplanation: (scope: QuarantineScope, crashes?: number) => void;
    /** Lets the ends of servers under a scope count again. */
    readonly removeExplanation: (scope: QuarantineScope) => void;
    /**
     * Goes through the evidence once, for any number of quarantined requests. The function tells whether ends under one
     * count for others that have more, and those that are left don't blame it; it holds until the evidence changes.
     */
    readonly createWeighing: (now: Milliseconds) => (scope: RequestScope) => boolean;
}

interface Suspicion {
    readonly scope: QuarantineScope;
    readonly accounts: Set<ClientAccountId | undefined>;
    readonly owners: Set<string>;
    readonly services: Set<string>;
    /** In the order of time. */
    readonly moments: Set<Milliseconds>;
    /** Lowest place of a part in a prompt. */
    position: number;
}

interface RequestWeight {
    readonly key: ScopeKey;
    readonly moments: number;
}

type RequestMoments = ReadonlyMap<ScopeKey, ReadonlySet<Milliseconds>>;

/** Moments at which servers must have ended under requests before these are blamed. */
const blamedMomentCount = 3;
/** Moments that are enough where servers also end under other requests; fewer of them may then be chance. */
const certainMomentCount = 5;
/** Share of the moments since a scope's first one that must be its own, unless it has `certainMomentCount` of them. */
const ownMomentShare = 0.7;
/** Moments from which on answers to requests of a scope are asked for. */
const suspectMomentCount = 2;
/** Different requests that must have had a part, as repeats of one request say nothing of its shared parts. */
const differentRequestCount = 2;
/** Accounts whose requests must have had a part before it is blamed for all: none may do that to another one. */
const differentAccountCount = 2;
/**
 * Servers that end within this time may have one cause outside, such as a lost network, and count as one moment. Repeats
 * of one request end servers soon after each other, and what is blamed is that request alone.
 */
const momentMilliseconds: Readonly<Record<QuarantineScope["kind"], Milliseconds>> = { part: 100, request: 20 };
/** Time after the last of these moments in which answers can still become known. */
const settleMilliseconds = 1_000;
/** Answers to prompts without a part that show that it is the part and not the servers. */
const otherAnswerCount = 2;
/** Time for which ends of servers count, and for which an answer speaks for later repeats of the same request. */
export const evidenceLifetimeMilliseconds = 20_000;
const maximumRuns = 64;
/** Requests that a server may run and queue for all instances together. */
const maximumRequestsPerRun = 96;
const maximumAnswers = 64;

/**
 * Creates an empty collection of evidence.
 *
 * @returns the evidence, owned by the caller; its size is bounded
 */
export function createCrashEvidence(): CrashEvidence {
    const runs = new LRUCache<ServerRunId, ServerBreak>({ max: maximumRuns });
    const sound = createSoundAnswers();
    // with the moments that are known of each
    const explanations = new Map<ScopeKey, number>();
    const answers: SoundAnswer[] = [];
    const isExplained = (scope: QuarantineScope): boolean => explanations.has(formatScopeKey(scope));
    const hasExplainedPart = (request: BrokenRequest): boolean =>
        listScopes(request).some(scope => scope.kind === "part" && isExplained(scope));
    const listRecent = (now: Milliseconds): readonly ServerBreak[] =>
        [...runs.values()]
            .filter(({ at }) => now - at < evidenceLifetimeMilliseconds)
            .sort((left, right) => left.at - right.at);
    // moments at which servers ended under each request since it was answered, whatever explains them
    const listRequestMoments = (recent: readonly ServerBreak[]): RequestMoments => {
        const found = new Map<ScopeKey, Set<Milliseconds>>();
        const moments = listMoments(recent, "request");
        for (const [index, ended] of recent.entries()) {
            for (const scope of ended.requests.map(describeRequest).filter(each => ended.at > sound.find(each))) {
                const key = formatScopeKey(scope);
                found.set(key, (found.get(key) ?? new Set()).add(moments[index]!));
            }
        }
        return found;
    };
    const countMoments = (found: RequestMoments, key: ScopeKey): number =>
        Math.max(found.get(key)?.size ?? 0, explanations.get(key) ?? 0);
    // those of the quarantined requests under which a server ended, most first
    const listWeights = (found: RequestMoments, ended: ServerBreak): readonly RequestWeight[] =>
        ended.requests.map(request => formatScopeKey(describeRequest(request)))
            .filter(key => explanations.has(key))
            .map(key => ({ key, moments: countMoments(found, key) }))
            .sort((left, right) => right.moments - left.moments);
    const listSuspicions = (recent: readonly ServerBreak[]): readonly Suspicion[] => {
        const suspicions = new Map<ScopeKey, Suspicion>();
        const moments = { part: listMoments(recent, "part"), request: listMoments(recent, "request") };
        const requestMoments = listRequestMoments(recent);
        const shared = listSharedParts(recent);
        for (const [index, ended] of recent.entries()) {
            const heaviest = listWeights(requestMoments, ended)[0]?.moments ?? 0;
            const isCounted = (scope: QuarantineScope): boolean =>
                ended.at > sound.find(scope) &&
                (scope.kind === "part" || countMoments(requestMoments, formatScopeKey(scope)) > heaviest);
            for (const request of ended.requests) {
                if (isExplained(describeRequest(request))) {
                    listScopes(request)
                        .filter(scope => shared.has(formatScopeKey(scope)) && ended.at > sound.find(scope))
                        .forEach(scope => addToSuspicion(suspicions, scope, moments.part[index]!, ended, request));
                    continue;
                }
                listScopes(request)
                    .filter(isCounted)
                    .forEach(scope => addToSuspicion(suspicions, scope, moments[scope.kind][index]!, ended, request));
            }
        }
        return [...suspicions.values()];
    };
    // one request that ends servers says nothing of its parts; different ones that each do so by themselves say what they share
    const listSharedParts = (recent: readonly ServerBreak[]): ReadonlySet<ScopeKey> => {
        const owners = new Map<ScopeKey, Set<string>>();
        const explained = recent.flatMap(({ requests }) => requests).filter(each => isExplained(describeRequest(each)));
        for (const request of explained) {
            for (const scope of listScopes(request).filter(({ kind }) => kind === "part")) {
                const key = formatScopeKey(scope);
                owners.set(key, (owners.get(key) ?? new Set()).add(request.own));
            }
        }
        return new Set([...owners].filter(([, { size }]) => size >= differentRequestCount).map(([key]) => key));
    };
    const countOtherAnswers = ({ part }: PartScope, since: Milliseconds): number =>
        answers.filter(answer => answer.beganAt > since && !answer.shared.includes(part)).length;
    const isChance = (
        { scope, services, moments }: Pick<Suspicion, "scope" | "services" | "moments">,
        recent: readonly ServerBreak[],
    ): boolean => {
        const times = [...moments];
        // a part may be in prompts for all services, a request goes to those of its route
        const counted = scope.kind === "part" ? recent : recent.filter(({ service }) => services.has(service));
        const between = new Set(
            listMoments(counted, scope.kind).filter(moment => moment >= times[0]! && moment <= times.at(-1)!),
        );
        return times.length < certainMomentCount && times.length < between.size * ownMomentShare;
    };
    const isPlausible = ({ scope, accounts, owners, moments }: Suspicion): boolean => {
        switch (scope.kind) {
            case "part": {
                const isForAll = scope.account === undefined;
                return owners.size >= differentRequestCount &&
                    countOtherAnswers(scope, [...moments][0]!) >= otherAnswerCount &&
                    (!isForAll || accounts.size >= differentAccountCount || accounts.has(undefined));
            }
            case "request":
                return sound.find(scope) < [...moments][0]! - evidenceLifetimeMilliseconds;
        }
    };
    const isBlamed = (suspicion: Suspicion, recent: readonly ServerBreak[], now: Milliseconds): boolean => {
        const times = [...suspicion.moments];
        return times.length >= blamedMomentCount &&
            isPlausible(suspicion) &&
            now - times[blamedMomentCount - 1]! >= settleMilliseconds &&
            !isChance(suspicion, recent);
    };
    // a part explains more than a request; of parts that always come together, the one that was answered longest ago is to
    // blame, and else the first one
    const compareBlame = (left: Suspicion, right: Suspicion): number =>
        Number(left.scope.kind === "request") - Number(right.scope.kind === "request") ||
        right.moments.size - left.moments.size ||
        compareTimes(sound.find(left.scope), sound.find(right.scope)) ||
        left.position - right.position;
    return {
        addBreak: ended => {
            const known = runs.get(ended.run);
            const all = [...known?.requests ?? [], ...ended.requests].slice(0, maximumRequestsPerRun);
            const requests = all.some(hasExplainedPart) ? [] : all;
            runs.set(ended.run, { ...ended, at: Math.min(ended.at, known?.at ?? ended.at), requests });
        },
        removeRun: run => void runs.delete(run),
        addAnswer: answer => {
            listScopes(answer).forEach(scope => sound.record(scope, answer.beganAt));
            answers.push(answer);
            answers.splice(0, answers.length - maximumAnswers);
        },
        addSoundScope: sound.record,
        findSoundAt: sound.find,
        listSuspects: now =>
            listSuspicions(listRecent(now))
                .filter(({ moments }) => moments.size >= suspectMomentCount)
                .map(({ scope }) => scope),
        listBlamed: now => {
            const recent = listRecent(now);
            const blamed = listSuspicions(recent).filter(each => isBlamed(each, recent, now)).sort(compareBlame);
            const [first] = blamed;
            // requests that ran together on all servers that ended; of others with as many ends, the next end tells
            const together = blamed.filter(({ scope, moments }) =>
                scope.kind === "request" && moments.size === first!.moments.size &&
                [...moments].every(moment => first!.moments.has(moment))
            );
            return (first?.scope.kind === "part" ? [first] : together).map(({ scope, moments }) => ({
                scope,
                crashes: moments.size,
                firstAt: [...moments][0]!,
            }));
        },
        addExplanation: (scope, crashes = 0) => {
            explanations.set(formatScopeKey(scope), crashes);
            [...runs.entries()]
                .filter(([, ended]) => ended.requests.some(hasExplainedPart))
                .forEach(([run, ended]) => runs.set(run, { ...ended, requests: [] }));
        },
        removeExplanation: scope => void explanations.delete(formatScopeKey(scope)),
        createWeighing: now => {
            const recent = listRecent(now);
            const found = listRequestMoments(recent);
            const starts = listMoments(recent, "request");
            const weights = recent.map(ended => listWeights(found, ended));
            return scope => {
                const key = formatScopeKey(scope);
                const own = found.get(key) ?? new Set();
                const count = countMoments(found, key);
                const lost = new Set(
                    starts.filter((start, index) =>
                        own.has(start) && (weights[index]!.find(other => other.key !== key)?.moments ?? 0) > count
                    ),
                );
                if (lost.size === 0) {
                    return false;
                }
                const moments = new Set([...own].filter(moment => !lost.has(moment)));
                // ends that are forgotten or not known here go on counting for it
                const leftCount = count - lost.size;
                const services = new Set(recent.filter(isUnder(scope)).map(({ service }) => service));
                return leftCount < blamedMomentCount ||
                    (leftCount === moments.size && isChance({ scope, services, moments }, recent));
            };
        },
    };
}

function describeRequest({ digest, account }: BrokenRequest): RequestScope {
    return { kind: "request", digest, account };
}

function isUnder({ digest }: RequestScope): (ended: ServerBreak) => boolean {
    return ({ requests }) => requests.some(request => request.digest === digest);
}

// for each run the time at which its moment began; the runs are in the order of their times
function listMoments(recent: readonly ServerBreak[], kind: QuarantineScope["kind"]): readonly Milliseconds[] {
    let moment = Number.NEGATIVE_INFINITY;
    return recent.map(({ at }) => {
        moment = at - moment < momentMilliseconds[kind] ? moment : at;
        return moment;
    });
}

function addToSuspicion(
    suspicions: Map<ScopeKey, Suspicion>,
    scope: QuarantineScope,
    moment: Milliseconds,
    ended: ServerBreak,
    request: BrokenRequest,
): void {
    const key = formatScopeKey(scope);
    const position = scope.kind === "part" ? request.shared.indexOf(scope.part) : 0;
    const suspicion = suspicions.get(key) ??
        { scope, accounts: new Set(), owners: new Set(), services: new Set(), moments: new Set(), position };
    suspicion.accounts.add(request.account);
    suspicion.owners.add(request.own);
    suspicion.services.add(ended.service);
    suspicion.moments.add(moment);
    suspicion.position = Math.min(position, suspicion.position);
    suspicions.set(key, suspicion);
}

// both may be infinite
function compareTimes(left: Milliseconds, right: Milliseconds): number {
    return left === right ? 0 : left - right;
}
