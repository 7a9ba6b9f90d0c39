/**
 * Enforces the quotas of client accounts over all instances. Counts what this instance admits and what the others
 * report, and leaves part of each rate to the instances that can't be reached.
 *
 * @packageDocumentation
 */
import type { ClientAccountId, InstanceId, Milliseconds } from "../shared/index.js";
import type { UsageMessage } from "./messages.js";
import { createQuotaBucket, type QuotaBucket, type QuotaDecision } from "./quotaBucket.js";
import { computeStartAllowance, type QuotaBounds } from "./startAllowance.js";
import type { AccountQuota, ClientRequest, ServingAccount } from "./types.js";

/** Quotas of all client accounts. */
export interface AccountLimits {
    /** Admits a request of `amount` units or returns how long to wait. An account without a quota has no limit. */
    readonly take: (account: ServingAccount, amount: number, now: Milliseconds) => QuotaDecision;
    /** Replaces the quotas by those of a new configuration; usage so far stays counted. */
    readonly update: (accounts: readonly ServingAccount[], now: Milliseconds) => void;
    /** Charges the accounts with what another instance admitted since its last report. */
    readonly handleUsage: (from: InstanceId, message: UsageMessage, now: Milliseconds) => void;
    /** Returns the totals of the accounts for which this instance admitted something since the last call. */
    readonly drainAdmitted: () => UsageMessage["admitted"];
    /** Returns the totals of all accounts, for an instance that has none of them yet. */
    readonly listAdmitted: () => UsageMessage["admitted"];
    /**
     * Adds the start allowance to all accounts that have a quota. Has an effect once, on the first call after such an
     * account was configured; call it when all instances are known.
     */
    readonly grantStartAllowance: (startDuration: Milliseconds, instanceCount: number) => void;
    /** Sets the share of all instances that can be reached, 0 to 1; together they use that share of each rate. */
    readonly setReachableShare: (share: number, now: Milliseconds) => void;
}

/** What another instance has reported. */
interface ReportedUsage {
    readonly totals: Map<ClientAccountId, number>;
    /** Whether a report of all accounts has been received. */
    hasFullReport: boolean;
}

/**
 * Creates the limits without any account; the first configuration adds them.
 *
 * @param bounds - by how much all instances together may exceed a quota
 * @returns the limits, of which an instance needs one object
 */
export function createAccountLimits(bounds: QuotaBounds): AccountLimits {
    const buckets = new Map<ClientAccountId, QuotaBucket>();
    const quotas = new Map<ClientAccountId, AccountQuota>();
    const admitted = new Map<ClientAccountId, number>();
    const changed = new Set<ClientAccountId>();
    const reportedUsage = new Map<InstanceId, ReportedUsage>();
    let reachableShare = 1;
    let isStartAllowanceGranted = false;
    const getBucket = (account: ServingAccount, now: Milliseconds): QuotaBucket | undefined => {
        if (!account.quota) {
            return undefined;
        }
        let bucket = buckets.get(account.name);
        if (!bucket) {
            bucket = createQuotaBucket(account.quota, now);
            bucket.setReachableShare(reachableShare, now);
            buckets.set(account.name, bucket);
        }
        return bucket;
    };
    return {
        take: (account, amount, now) => {
            const decision = getBucket(account, now)?.take(amount, now) ?? { kind: "admitted", charged: amount };
            if (decision.kind === "admitted") {
                admitted.set(account.name, (admitted.get(account.name) ?? 0) + decision.charged);
                changed.add(account.name);
            }
            return decision;
        },
        update: (accounts, now) => {
            quotas.clear();
            for (const account of accounts) {
                if (account.quota) {
                    quotas.set(account.name, account.quota);
                    getBucket(account, now)!.update(account.quota, now);
                }
                else {
                    buckets.delete(account.name);
                }
            }
        },
        handleUsage: (from, message, now) => {
            const usage = reportedUsage.get(from) ?? { totals: new Map(), hasFullReport: false };
            for (const [account, total] of message.admitted) {
                // an account's first total, before a full report, may have been admitted long ago, so it is not an
                // increase
                const increase = total - (usage.totals.get(account) ?? (usage.hasFullReport ? 0 : total));
                if (increase > 0) {
                    buckets.get(account)?.charge(increase, now);
                }
                usage.totals.set(account, total);
            }
            usage.hasFullReport ||= message.isWhole;
            reportedUsage.set(from, usage);
        },
        drainAdmitted: () => {
            const drained = [...changed].map(account => [account, admitted.get(account) ?? 0] as const);
            changed.clear();
            return drained;
        },
        listAdmitted: () => [...admitted],
        grantStartAllowance: (startDuration, instanceCount) => {
            if (isStartAllowanceGranted || buckets.size === 0) {
                return;
            }
            isStartAllowanceGranted = true;
            for (const [name, bucket] of buckets) {
                const quota = quotas.get(name);
                quota && bucket.grant(computeStartAllowance(quota, bounds, startDuration, instanceCount));
            }
        },
        setReachableShare: (newShare, now) => {
            reachableShare = newShare;
            buckets.forEach(bucket => bucket.setReachableShare(newShare, now));
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
