/**
 * Times of the newest sound answers to requests of each scope.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { Milliseconds } from "../shared/index.js";
import { formatScopeKey, type QuarantineScope, type ScopeKey } from "./types.js";

/** Newest sound answers. */
export interface SoundAnswers {
    /** Records that an answer to a request of a scope began; an older one than is known changes nothing. */
    readonly record: (scope: QuarantineScope, beganAt: Milliseconds) => void;
    /** Beginning of the newest answer; negative infinity when none is known. */
    readonly find: (scope: QuarantineScope) => Milliseconds;
}

type AnswerTimes = LRUCache<ScopeKey, Milliseconds>;

const maximumParts = 4_096;
/** Every request has its own entry, so one account's must not push out those of the others. */
const maximumRequestsPerAccount = 256;
const maximumAccounts = 128;
const noAccount = "";

/**
 * Creates an empty record.
 *
 * @returns the record, whose size is bounded
 */
export function createSoundAnswers(): SoundAnswers {
    const parts: AnswerTimes = new LRUCache({ max: maximumParts });
    const requests = new LRUCache<string, AnswerTimes>({ max: maximumAccounts });
    const getTimes = (scope: QuarantineScope): AnswerTimes => {
        if (scope.kind === "part") {
            return parts;
        }
        const account = scope.account ?? noAccount;
        const known = requests.get(account) ?? new LRUCache<ScopeKey, Milliseconds>({ max: maximumRequestsPerAccount });
        requests.set(account, known);
        return known;
    };
    const find = (scope: QuarantineScope): Milliseconds =>
        getTimes(scope).get(formatScopeKey(scope)) ?? Number.NEGATIVE_INFINITY;
    return {
        find,
        record: (scope, beganAt) => void getTimes(scope).set(formatScopeKey(scope), Math.max(beganAt, find(scope))),
    };
}
