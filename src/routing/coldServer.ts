/**
 * Decides from what is known of one run of a server whether it is cold and until when, and how many requests per second
 * a cold server may be granted.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Why a run is treated as cold. The last three are suspicions, which only this instance has. */
export type ColdReason = "started" | "stated" | "returned" | "unreached" | "idle";

/** What an instance knows of one run. */
export interface ColdState {
    /** Time until which the run is cold; in the past when it isn't. */
    readonly coldUntil: Milliseconds;
    readonly reason: ColdReason | undefined;
    /** Time of the last statement of a header or another instance. */
    readonly toldAt: Milliseconds;
    /** Time of the last response or statement; of the end of the suspicion where a run was idle. */
    readonly heardAt: Milliseconds;
    /** Time of the first failed attempt since the last response; `undefined` when the last attempt reached the run. */
    readonly failedSince: Milliseconds | undefined;
}

/** What an instance learned of a run. */
export type ColdEvent =
    /** The run was listed for the first time; `age` is the time since its start. */
    | { readonly kind: "listed"; readonly age: Milliseconds; }
    /** Its entry was missing and is listed again. */
    | { readonly kind: "returned"; }
    /** Its entry, or a header of a response, states how much longer it stays cold. */
    | { readonly kind: "stated"; readonly by: "entry" | "header" | "instance"; readonly remaining: Milliseconds; }
    /** An attempt got a response. */
    | { readonly kind: "reached"; }
    /** An attempt could not be sent. */
    | { readonly kind: "unreached"; }
    /** This instance is cut off from servers that others reach, so that its failures say nothing of them. */
    | { readonly kind: "cutOff"; }
    /** A request is about to be sent. */
    | { readonly kind: "asked"; };

/** Bound on the requests of a cold server in any one second. */
export interface ColdBound {
    /** Requests per second that it tolerates. */
    readonly perSecond: number;
    /** Factor by which that may be exceeded. */
    readonly over: number;
    /** Requests by which it may be exceeded in addition. */
    readonly slack: number;
}

/** Rates at which holders grant permits, in requests per second. */
export interface ColdRates {
    /** Rate of a holder that is the only one. */
    readonly settled: number;
    /** Rate of a holder beside which another one may grant the settled rate. */
    readonly contested: number;
}

/** Time after which a permit that has not been used is void. */
export const permitLifetimeMilliseconds: Milliseconds = 250;
/** Time from the start of a request at an instance to its arrival at the server, beyond the lifetime of a permit. */
const transitMilliseconds = 50;
/**
 * Requests of one second at the server were granted within this time. Permits that took longer on their way can arrive
 * together with later ones.
 */
const grantWindowSeconds = (millisecondsPerSecond + permitLifetimeMilliseconds + transitMilliseconds) /
    millisecondsPerSecond;
/** Share of the bound that a holder may use which is the only one; the rest is for another one that takes over. */
const settledShare = 2 / 3;
/** Time for which all attempts must have failed for the run to count as cold when it is reached again. */
const unreachedMilliseconds = 1_000;
/** Time without a response or a statement after which a run counts as cold. */
const idleMilliseconds = 10_000;
/** A stated time beyond this is cut, as it may be a mistake. */
const longestColdMilliseconds = 600_000;
/** Time from the write of an entry to its arrival: one that arrives sooner after a header may be older than the header. */
const entryDelayMilliseconds = 3_000;
/** Time from the end of coldness during which the rate grows. */
const warmUpMilliseconds = 5_000;
/** Time in which the allowed rate doubles after the end of coldness. */
const doublingMilliseconds = 1_000;
/** Part of a cold server's slots that counts as occupied. */
const coldLoad = 0.75;

/** State of a run of which nothing is known. */
export const unknownColdState: ColdState = {
    coldUntil: Number.NEGATIVE_INFINITY,
    reason: undefined,
    toldAt: Number.NEGATIVE_INFINITY,
    heardAt: Number.NEGATIVE_INFINITY,
    failedSince: undefined,
};

/**
 * Updates what is known of a run.
 *
 * @param state - state before the event
 * @param event - the event
 * @param coldStart - time for which a server of the service is cold after its start
 * @param now - current time
 * @returns state after the event
 */
export function updateColdState(
    state: ColdState,
    event: ColdEvent,
    coldStart: Milliseconds,
    now: Milliseconds,
): ColdState {
    switch (event.kind) {
        case "listed": {
            // a start in the future is a difference of clocks
            const remaining = coldStart - Math.max(0, event.age);
            const heard = { ...state, heardAt: now };
            return remaining > 0 ? mergeCold(heard, "started", now + remaining) : heard;
        }
        case "returned":
            return mergeCold({ ...state, heardAt: now }, "returned", now + coldStart);
        case "stated":
            return applyStatement({ ...state, heardAt: now }, event, now);
        case "reached":
            return { ...state, heardAt: now, failedSince: undefined };
        case "unreached": {
            const failedSince = state.failedSince ?? now;
            const isLong = now - failedSince >= unreachedMilliseconds || now - state.heardAt >= idleMilliseconds;
            return isLong
                ? mergeCold({ ...state, failedSince }, "unreached", now + coldStart)
                : { ...state, failedSince };
        }
        case "cutOff": {
            const coldUntil = state.reason === "unreached" ? Number.NEGATIVE_INFINITY : state.coldUntil;
            return { ...state, coldUntil, heardAt: now, failedSince: undefined };
        }
        case "asked": {
            const isLong = now - state.heardAt >= idleMilliseconds ||
                (state.failedSince !== undefined && now - state.failedSince >= unreachedMilliseconds);
            const isKnown = state.coldUntil > now || state.heardAt === Number.NEGATIVE_INFINITY;
            if (!isLong || isKnown) {
                return state;
            }
            const until = now + coldStart;
            return mergeCold(
                { ...state, heardAt: until },
                state.failedSince === undefined ? "idle" : "unreached",
                until,
            );
        }
    }
}

// a statement is newer than a suspicion, which ends without a warm-up if the run was never cold
function applyStatement(
    previous: ColdState,
    { by, remaining }: Extract<ColdEvent, { readonly kind: "stated"; }>,
    now: Milliseconds,
): ColdState {
    const state = by === "entry" ? previous : { ...previous, toldAt: now };
    if (remaining > 0) {
        return { ...state, coldUntil: now + Math.min(remaining, longestColdMilliseconds), reason: "stated" };
    }
    const mayBeOlder = by === "entry" && now - state.toldAt < entryDelayMilliseconds;
    if (state.coldUntil <= now || mayBeOlder) {
        return state;
    }
    switch (state.reason) {
        case "started":
            // the entry of a new run may have been written before the run knew that it is cold
            return by === "entry" ? state : { ...state, coldUntil: now };
        case "idle":
        case "unreached":
        case "returned":
            return { ...state, coldUntil: Number.NEGATIVE_INFINITY };
        case "stated":
        case undefined:
            return { ...state, coldUntil: now };
    }
}

function mergeCold(state: ColdState, reason: ColdReason, until: Milliseconds): ColdState {
    return until > state.coldUntil ? { ...state, coldUntil: until, reason } : state;
}

/**
 * Computes the rates at which holders grant permits for a cold server, so that the requests of a holder that has just
 * gained a shard and those of the previous one keep the bound together, also when permits are delayed by their lifetime.
 * Permits are granted one at a time and evenly, so that a window of the length of a second, a permit's lifetime and the
 * transit has at most the rate times that length of them, rounded up.
 *
 * @param bound - the bound
 * @returns the rates; 0 where the bound allows no request
 */
export function computeColdRates({ perSecond, over, slack }: ColdBound): ColdRates {
    const allowed = Math.floor(perSecond * over + slack);
    const settled = Math.min(perSecond, Math.ceil(allowed * settledShare) / grantWindowSeconds);
    const rest = Math.max(0, allowed - Math.ceil(settled * grantWindowSeconds));
    return { settled, contested: Math.min(settled, rest / grantWindowSeconds) };
}

/**
 * Computes the rate that a server may be granted, which grows after the end of its coldness.
 *
 * @param coldUntil - time until which it is cold
 * @param rate - rate while it is cold
 * @param now - current time
 * @returns requests per second; `undefined` for any number
 */
export function computeAllowedRate(coldUntil: Milliseconds, rate: number, now: Milliseconds): number | undefined {
    const warmFor = now - coldUntil;
    if (warmFor >= warmUpMilliseconds) {
        return undefined;
    }
    return rate * 2 ** (Math.max(0, warmFor) / doublingMilliseconds);
}

/**
 * Computes the part of a server's slots that counts as occupied because it is cold or has just been so.
 *
 * @param coldUntil - time until which it is cold
 * @param now - current time
 * @returns 0 for a warm server, up to 1
 */
export function computeColdLoad(coldUntil: Milliseconds, now: Milliseconds): number {
    const warmFor = Math.max(0, now - coldUntil);
    return coldLoad * Math.max(0, 1 - warmFor / warmUpMilliseconds);
}

/**
 * Returns whether only this instance suspects a run of being cold, of which its holder may know better.
 *
 * @param state - what is known of the run
 * @returns `false` when the run, its entry or its start say so
 */
export function isSuspicion({ reason }: ColdState): boolean {
    return reason === "idle" || reason === "unreached";
}
