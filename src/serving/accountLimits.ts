/**
 * Enforces the quotas of client accounts: asks the holder of an account's quota for the units of each request. While no
 * holder responds, this instance goes on for a moment at the rate at which it admitted before, and then with a part of
 * its equal share of the quota.
 *
 * @packageDocumentation
 */
import { type ClientAccountId, type Milliseconds, millisecondsPerSecond, type SeededRandom } from "../shared/index.js";
import type { QuotaDecision, QuotaRequest, QuotaUrgency } from "./quotaMessages.js";
import { computeStartAllowance, type QuotaBounds } from "./startAllowance.js";
import type { AccountQuota, ClientRequest, ServingAccount } from "./types.js";

/** Quotas of all client accounts. */
export interface AccountLimits {
    /** Admits a request of `units` or returns how long to wait. An account without a quota has no limit. */
    readonly take: (
        account: ServingAccount,
        units: number,
        isResumed?: boolean,
        urgency?: QuotaUrgency,
    ) => Promise<QuotaDecision>;
    /** Gives the units of an admitted request back that no server has run. */
    readonly giveBack: (account: ServingAccount, units: number) => void;
    /** Returns the accounts that this instance decides without a holder now. */
    readonly readAlone: () => AloneStatus;
}

/** Accounts that an instance decides without a holder. */
export interface AloneStatus {
    readonly accounts: number;
    /** Time for which it has decided the first of them so. */
    readonly longest: Milliseconds;
}

/** Begin or end of a time in which an instance decides an account without a holder. */
export interface AloneChange {
    readonly account: ClientAccountId;
    readonly state: "begun" | "ended";
    /** Instances that the quota is divided among; `undefined` while their number isn't known. */
    readonly instances: number | undefined;
    /** Time for which it has lasted. */
    readonly took: Milliseconds;
    /** Units admitted meanwhile. */
    readonly admitted: number;
}

/** Dependencies of the limits. */
export interface AccountLimitsOptions {
    readonly now: () => Milliseconds;
    readonly random: SeededRandom;
    /** By how much all instances together may exceed a quota. */
    readonly bounds: QuotaBounds;
    /** Time from the start of the process until this instance could admit anything. */
    readonly startDuration: Milliseconds;
    /** Number of all instances, this one included; `undefined` while it isn't known. */
    readonly countInstances: () => number | undefined;
    /**
     * Whether the process before this one was killed, asked once the number of instances is known: after a planned stop the
     * others have had its part of each quota. @default it was
     */
    readonly wasKilled?: () => boolean;
    /** Asks the holder of the account's quota; `undefined` when none responds in time. */
    readonly ask: (request: QuotaRequest) => Promise<QuotaDecision | undefined>;
    /** Tells the holder of the account's quota of units that weren't used. */
    readonly giveBack: (account: ClientAccountId, units: number) => void;
    /** Called when no holder responds for an account, and when one does again. @default nothing */
    readonly onAlone?: (change: AloneChange) => void;
}

/** Time in which an account is decided without a holder. */
interface AloneTime {
    readonly since: Milliseconds;
    lastAt: Milliseconds;
    admitted: number;
}

interface AccountState {
    /** Admitted units by time, of the last seconds, oldest first. */
    admitted: { readonly at: Milliseconds; readonly units: number; }[];
    admittedAlone: number;
    /** `undefined` until the number of instances is known, among which it is divided. */
    allowance: number | undefined;
    /** Resolves when the request has been decided with which the allowance is on its way to the holder. */
    pendingAllowance: Promise<void> | undefined;
    /** Units that may still be admitted without a holder; `undefined` while one responds. */
    ownUnits: number | undefined;
    ownUnitsAt: Milliseconds;
    /** `undefined` while a holder responds. */
    alone: AloneTime | undefined;
    /** Units that become `ownUnits` as time passes, and how many of them in a millisecond. */
    pacedUnits: number;
    pace: number;
    /** Time at which the holder last refused a request. */
    refusedAt: Milliseconds;
}

/** Time over which the units that this instance admits are averaged. */
const averagingMilliseconds = 10_000;
/** Time for which an instance goes on admitting its average units when its holder falls silent. */
const ownAdmissionMilliseconds = 1_200;
/** Time after a refusal in which an account counts as over its quota. */
const rushMilliseconds = 1_000;
/** Part of this instance's equal share of the rate that it admits on its own from then on. */
const ownRateRatio = 0.25;
/** Wait told to the client when this instance has used up what it may admit on its own. */
const ownWaitMilliseconds = 500;

/**
 * Creates the limits.
 *
 * @param options - clock, bounds and the call to the holder
 * @returns the limits, of which an instance needs one object
 */
export function createAccountLimits(options: AccountLimitsOptions): AccountLimits {
    const states = new Map<ClientAccountId, AccountState>();
    const getState = (account: ClientAccountId, quota: AccountQuota): AccountState => {
        let state = states.get(account);
        if (!state) {
            state = {
                admitted: [],
                admittedAlone: 0,
                allowance: undefined,
                pendingAllowance: undefined,
                ownUnits: undefined,
                ownUnitsAt: 0,
                alone: undefined,
                pacedUnits: 0,
                pace: 0,
                refusedAt: Number.NEGATIVE_INFINITY,
            };
            states.set(account, state);
        }
        const instances = state.allowance === undefined ? options.countInstances() : undefined;
        if (instances !== undefined) {
            const idle = options.wasKilled?.() === false ? 0 : options.startDuration;
            state.allowance = computeStartAllowance(quota, options.bounds, idle, instances);
        }
        return state;
    };
    const recordAdmitted = (state: AccountState, units: number, now: Milliseconds): void => {
        state.admitted.push({ at: now, units });
        while (now - state.admitted[0]!.at > averagingMilliseconds) {
            state.admitted.shift();
        }
    };
    const sumAdmitted = (state: AccountState, now: Milliseconds): number =>
        state.admitted
            .filter(entry => now - entry.at <= averagingMilliseconds)
            .reduce((sum, entry) => sum + entry.units, 0);
    // an account over its quota would use up all of it at once, and have nothing until the next holder decides
    const startAlone = (state: AccountState, now: Milliseconds): void => {
        state.pace = sumAdmitted(state, now) / averagingMilliseconds;
        const units = state.pace * ownAdmissionMilliseconds;
        const isPaced = now - state.refusedAt < rushMilliseconds;
        state.ownUnits = isPaced ? 0 : units;
        state.pacedUnits = isPaced ? units : 0;
    };
    const endAlone = (account: ClientAccountId, state: AccountState): void => {
        if (state.alone) {
            const { admitted, since } = state.alone;
            const took = options.now() - since;
            options.onAlone?.({ account, state: "ended", instances: options.countInstances(), took, admitted });
        }
        state.alone = undefined;
        state.ownUnits = undefined;
    };
    const takeAlone = (
        account: ClientAccountId,
        state: AccountState,
        quota: AccountQuota,
        units: number,
    ): QuotaDecision => {
        const now = options.now();
        const instances = options.countInstances() ?? Number.POSITIVE_INFINITY;
        if (!state.alone) {
            state.alone = { since: now, lastAt: now, admitted: 0 };
            options.onAlone?.({ account, state: "begun", instances: options.countInstances(), took: 0, admitted: 0 });
        }
        state.alone.lastAt = now;
        const share = quota.ratePerSecond * ownRateRatio / instances / millisecondsPerSecond;
        const elapsed = now - state.ownUnitsAt;
        const paced = Math.min(state.pacedUnits, state.pace * elapsed);
        if (state.ownUnits === undefined) {
            startAlone(state, now);
        }
        else {
            state.pacedUnits -= paced;
            // both together would be more than the rate, which the next holder takes back after it
            state.ownUnits += Math.max(paced, share * elapsed);
        }
        state.ownUnits ??= 0;
        state.ownUnitsAt = now;
        // few units, less than a request needs, admit one with a probability that gives the same mean
        const isAdmitted = options.random.next() * units < state.ownUnits + (state.allowance ?? 0);
        // what is left of the allowance is passed on to the next holder
        const allowed = Math.min(units, state.allowance ?? 0);
        state.allowance = state.allowance === undefined ? undefined : state.allowance - allowed;
        state.ownUnits = Math.max(0, state.ownUnits - (units - allowed));
        if (!isAdmitted) {
            return { kind: "exceeded", wait: ownWaitMilliseconds };
        }
        state.admittedAlone += units - allowed;
        state.alone.admitted += units;
        return { kind: "admitted", delay: 0 };
    };
    const requestUnits = async (
        state: AccountState,
        request: Omit<QuotaRequest, "admittedAlone" | "allowance">,
    ): Promise<QuotaDecision | undefined> => {
        const { admittedAlone, allowance = 0 } = state;
        // requests that are decided at the same time must not pass the same units on twice
        state.admittedAlone = 0;
        state.allowance = state.allowance === undefined ? undefined : 0;
        const asked = options.ask({ ...request, admittedAlone, allowance }).then(decision => {
            if (!decision) {
                state.admittedAlone += admittedAlone;
                state.allowance = state.allowance === undefined ? undefined : state.allowance + allowance;
            }
            return decision;
        });
        if (allowance > 0) {
            const pending = asked.then(() => {
                state.pendingAllowance = state.pendingAllowance === pending ? undefined : state.pendingAllowance;
            });
            state.pendingAllowance = pending;
        }
        return asked;
    };
    return {
        take: async (account, units, isResumed = false, urgency = undefined) => {
            const { quota } = account;
            if (!quota) {
                return { kind: "admitted", delay: 0 };
            }
            const state = getState(account.name, quota);
            const request = { account: account.name, units, isResumed, ...(urgency && { urgency }) };
            let decision = await requestUnits(state, request);
            // the start allowance may be on its way with another request, which this one has overtaken
            if (decision?.kind !== "admitted" && state.pendingAllowance) {
                await state.pendingAllowance;
                decision = await requestUnits(state, request);
            }
            if (!decision) {
                return takeAlone(account.name, state, quota, units);
            }
            endAlone(account.name, state);
            if (decision.kind === "admitted") {
                recordAdmitted(state, units, options.now());
            }
            else {
                state.refusedAt = options.now();
            }
            return decision;
        },
        giveBack: (account, units) => {
            const state = states.get(account.name);
            if (!state) {
                return;
            }
            if (state.ownUnits === undefined) {
                options.giveBack(account.name, units);
                return;
            }
            // they were admitted without a holder, or by one that is silent now
            const unreported = Math.min(units, state.admittedAlone);
            state.admittedAlone -= unreported;
            state.ownUnits += unreported;
        },
        readAlone: () => {
            const now = options.now();
            const times = [...states.values()].flatMap(({ alone }) => alone ?? [])
                .filter(({ lastAt }) => now - lastAt < averagingMilliseconds);
            return { accounts: times.length, longest: Math.max(0, ...times.map(({ since }) => now - since)) };
        },
    };
}

/**
 * Computes how much of its account's quota a request uses.
 *
 * @param account - the account, whose quota sets the unit
 * @param request - the request with its token counts, if it has any
 * @returns units: tokens, or 1 where the quota counts requests or there is none
 */
export function computeRequestCost(account: ServingAccount, request: Pick<ClientRequest, "tokens">): number {
    if (account.quota?.unit !== "tokens") {
        return 1;
    }
    return request.tokens ? request.tokens.prompt + request.tokens.output : account.quota.defaultTokens;
}
