/**
 * Interfaces through which the request path, adapter placement and operators use the limits.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId, LogOffset, Milliseconds, RequestId, Result } from "../shared/index.js";

/** Tokens that a request may spend. Whoever reserved them settles the reservation once. */
export interface TokenReservation {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly tokens: number;
}

/** Request for tokens, made before the model request is admitted. */
export interface ReservationRequest {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly requestClass: RequestClass;
    readonly promptTokens: number;
    readonly maximumOutputTokens: number;
    /** Monotonic time at which the request expires, so that waiting longer for tokens is pointless. */
    readonly deadline: Milliseconds;
}

/** Reason why no tokens were reserved. In every case the request has not been run. */
export type LimitRefusal =
    /** The account is over its rate and burst. Enough tokens are expected after `retryAfter`. */
    | { readonly kind: "overLimit"; readonly retryAfter: Milliseconds; }
    /** The request needs more tokens than the burst, so it can never be admitted. */
    | { readonly kind: "exceedsBurst"; readonly burst: number; }
    /**
     * This instance can't grant any tokens: it has not loaded any settings yet, or it holds no valid lease and reaches
     * no other member.
     */
    | { readonly kind: "notReady"; readonly retryAfter: Milliseconds; }
    /** The current settings don't contain the account. */
    | { readonly kind: "unknownAccount"; }
    /** The caller aborted the signal before tokens were granted. */
    | { readonly kind: "aborted"; };

/** Limits the tokens that client accounts spend over all instances. */
export interface TokenLimiter {
    /**
     * Reserves the prompt tokens and the output tokens of a request. If that avoids a refusal, waits for tokens to
     * accrue until the request's deadline, but at most for `longestWait` (2 seconds by default).
     */
    readonly reserve: (
        request: ReservationRequest,
        signal: AbortSignal,
    ) => Promise<Result<TokenReservation, LimitRefusal>>;
    /**
     * Returns the tokens that a request did not spend, or charges those that it spent beyond the reservation. Must be
     * called once for each reservation; further calls have no effect.
     */
    readonly settle: (reservation: TokenReservation, spentTokens: number) => void;
}

/** Permission to run one adapter load against the weight store. */
export interface LoadPermit {
    /** Monotonic time before which the load must start. */
    readonly startBy: Milliseconds;
    /** Frees the permit's in-flight slot; must be called when the load has ended. Further calls have no effect. */
    readonly release: () => void;
}

/**
 * Limits adapter loads at the weight store over all instances, by the number started per second and the number in
 * flight.
 */
export interface LoadBudget {
    /**
     * Waits for a permit. Waiters with a lower priority number are served first. Resolves to `undefined` when the
     * signal is aborted.
     */
    readonly acquire: (priority: number, signal: AbortSignal) => Promise<LoadPermit | undefined>;
}

/** State of one instance's limits, as the status endpoint shows it to operators. */
export interface LimitsStatus {
    /** Whether this instance may grant units from its own local buckets. */
    readonly ready: boolean;
    /** Why the instance is not ready and which status to check next; `undefined` while it is ready. */
    readonly reason: string | undefined;
    readonly epoch: LogOffset;
    readonly members: number;
    /** Members that recently failed to answer a draw as coordinator; draws go to other members meanwhile. */
    readonly silentMembers: readonly string[];
    readonly counts: LimitCounts;
    readonly accounts: readonly AccountStatus[];
}

/** Event counts since the instance started. Draws for adapter loads are counted only in `messagesSent`. */
export interface LimitCounts {
    /** Draws granted from this instance's local buckets. */
    readonly grantedLocally: number;
    /** Draws granted by a resource's coordinator, which may be this instance itself. */
    readonly grantedByPool: number;
    /** Refusals while the buckets of all members were reachable, so the account was over its rate and burst. */
    readonly refusedOverLimit: number;
    /**
     * Refusals while some members' buckets were unreachable, and grants that expired before use. Only these refusals
     * may have been wrong.
     */
    readonly refusedPartial: number;
    /** Refusals because neither this instance nor any member that it reaches could grant units. */
    readonly refusedNotReady: number;
    /** Messages sent to other instances, including those that share counters of served tokens. */
    readonly messagesSent: number;
}

/** State of this instance's local bucket for one client account. */
export interface AccountStatus {
    readonly account: ClientAccountId;
    /** Tokens in the bucket; below zero until accrual has covered spending beyond a reservation. */
    readonly tokens: number;
    readonly capacity: number;
    /** Tokens per second. */
    readonly rate: number;
    /** Tokens that are lent or reserved; they count against the capacity until they return or can no longer do so. */
    readonly heldTokens: number;
    /** Draws queued at this instance as coordinator. */
    readonly waiting: number;
}
