/**
 * Types of quarantines: which prompts a quarantine is about, and what decides on it.
 *
 * @packageDocumentation
 */
import type { PromptPartId, ServerRunId } from "../serving/types.js";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";

/** Prompts with a part, of one account or of all. */
export interface PromptScope {
    readonly part: PromptPartId;
    /** `undefined` for all accounts. */
    readonly account: ClientAccountId | undefined;
}

/** Text that identifies a scope; the key of its record. */
export type PromptScopeKey = string;

/** A request that was broken off before its answer had gone on for a while. */
export interface BrokenRequest {
    /** `undefined` for a request without a key. */
    readonly account: ClientAccountId | undefined;
    /** Part that only this request or its session has; tells repeats of one request from different requests. */
    readonly own: PromptPartId;
    readonly shared: readonly PromptPartId[];
}

/** Run of a server that broke off requests. */
export interface ServerBreak {
    readonly run: ServerRunId;
    readonly at: Milliseconds;
    readonly requests: readonly BrokenRequest[];
}

/** A prompt that was answered. */
export interface SoundAnswer {
    readonly account: ClientAccountId | undefined;
    readonly shared: readonly PromptPartId[];
    /** Time at which the answer began. */
    readonly beganAt: Milliseconds;
}

/** Quarantine of the prompts of a scope: requests are refused until one may be tried. */
export interface Quarantine extends PromptScope {
    /** Requests that have been tried since it began; each makes it last longer. */
    readonly trials: number;
}

/**
 * Formats the key of a scope.
 *
 * @param scope - part and account
 * @returns text that differs for different scopes
 */
export function formatScopeKey({ part, account }: PromptScope): PromptScopeKey {
    return account === undefined ? part : `${part} ${account}`;
}

/**
 * Lists the scopes that a request belongs to.
 *
 * @param shared - parts of its prompt that other requests may have too
 * @param account - its account; `undefined` for a request without a key
 * @returns the scopes of each part, for all accounts and for this one
 */
export function listScopes(
    shared: readonly PromptPartId[],
    account: ClientAccountId | undefined,
): readonly PromptScope[] {
    const forAll = shared.map(part => ({ part, account: undefined }));
    return account === undefined ? forAll : [...forAll, ...shared.map(part => ({ part, account }))];
}
