/**
 * Types of quarantines: which requests a quarantine is about, and what decides on it.
 *
 * @packageDocumentation
 */
import type { PromptPartId, PromptParts, ServerRunId } from "../serving/types.js";
import type { ClientAccountId, Milliseconds } from "../shared/index.js";
import type { RequestDigest } from "./requestDigest.js";

/** Requests that a quarantine is about. */
export type QuarantineScope = PartScope | RequestScope;

/** Prompts with a part, of one account or of all. */
export interface PartScope {
    readonly kind: "part";
    readonly part: PromptPartId;
    /** `undefined` for all accounts. */
    readonly account: ClientAccountId | undefined;
}

/** One request and its repeats. */
export interface RequestScope {
    readonly kind: "request";
    readonly digest: RequestDigest;
    /** Account that sends it, which is part of the digest too; `undefined` for a request without a key. */
    readonly account: ClientAccountId | undefined;
}

/** Text that identifies a scope; the key of its record. */
export type ScopeKey = string;

/** A request as the guard sees it. */
export interface GuardedRequest {
    /** `undefined` for a request without named parts. */
    readonly prompt: PromptParts | undefined;
    /** `undefined` for a request without a key. */
    readonly account: ClientAccountId | undefined;
    readonly digest: RequestDigest;
}

/** A request that was broken off before its answer had gone on for a while. */
export interface BrokenRequest {
    readonly account: ClientAccountId | undefined;
    readonly digest: RequestDigest;
    /**
     * Part that only this request or its session has; tells repeats of one request from different requests with the same
     * parts. Empty where the prompt names no parts.
     */
    readonly own: PromptPartId;
    readonly shared: readonly PromptPartId[];
}

/** Run of a server that broke off requests. */
export interface ServerBreak {
    readonly run: ServerRunId;
    /** Service of the server; empty where it isn't known. */
    readonly service: string;
    readonly at: Milliseconds;
    readonly requests: readonly BrokenRequest[];
}

/** A request that was answered. */
export interface SoundAnswer {
    readonly account: ClientAccountId | undefined;
    readonly digest: RequestDigest;
    readonly shared: readonly PromptPartId[];
    /** Time at which the answer began. */
    readonly beganAt: Milliseconds;
}

/** Quarantine of the requests of a scope: they are refused until one may be tried. */
export type Quarantine = QuarantineScope & {
    /** Requests that have been tried since it began; each makes it last longer. */
    readonly trials: number;
    /** Moments at which servers had ended under these requests; `undefined` in a record of the version before. */
    readonly crashes: number | undefined;
};

/**
 * Formats the key of a scope.
 *
 * @param scope - the scope
 * @returns text that differs for different scopes; ids of parts are hexadecimal and can't begin like a request's key
 */
export function formatScopeKey(scope: QuarantineScope): ScopeKey {
    switch (scope.kind) {
        case "part":
            return scope.account === undefined ? scope.part : `${scope.part} ${scope.account}`;
        case "request":
            return `request ${scope.digest}`;
    }
}

/**
 * Lists the scopes that a request belongs to.
 *
 * @param request - the request: parts that other requests may have too, account and digest
 * @returns the scopes of each part, for all accounts and for this one, and that of the request itself
 */
export function listScopes(
    { shared, account, digest }: Pick<BrokenRequest, "shared" | "account" | "digest">,
): readonly QuarantineScope[] {
    const ofAll = shared.map((part): PartScope => ({ kind: "part", part, account: undefined }));
    const ofAccount = account === undefined
        ? []
        : shared.map((part): PartScope => ({ kind: "part", part, account }));
    // an instance of the version before sends no digest
    const ofRequest: readonly RequestScope[] = digest === "" ? [] : [{ kind: "request", digest, account }];
    return [...ofAll, ...ofAccount, ...ofRequest];
}
