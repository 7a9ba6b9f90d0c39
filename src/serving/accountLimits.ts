/**
 * Limits of client accounts over all instances: own admissions, those that the others tell, and the part of the rate that
 * instances out of hearing may use.
 *
 * @packageDocumentation
 */
import type { ClientAccountId, InstanceId, Milliseconds } from "../shared/index.js";
import type { UsageMessage } from "./messages.js";
import { createQuotaBucket, type QuotaBucket, type QuotaDecision } from "./quotaBucket.js";
import { computeStartAllowance, type QuotaBounds } from "./startAllowance.js";
import type { AccountQuota, ClientRequest, ServingAccount } from "./types.js";

/** Limits of all client accounts. */
export interface AccountLimits {
    readonly take: (account: ServingAccount, amount: number, now: Milliseconds) => QuotaDecision;
    /** Takes over new quotas of a configuration. */
    readonly update: (accounts: readonly ServingAccount[], now: Milliseconds) => void;
    readonly handleUsage: (from: InstanceId, message: UsageMessage, now: Milliseconds) => void;
    /** Own admissions that changed since the last call. */
    readonly drainAdmitted: () => UsageMessage["admitted"];
    /** All own admissions, for a peer that hears of them the first time. */
    readonly listAdmitted: () => UsageMessage["admitted"];
    /** Gives accounts what an instance may admit at its start; once, and when all instances are known. */
    readonly grantStartAllowance: (startDuration: Milliseconds, instanceCount: number) => void;
    /** Sets the part of the rate that the instances in hearing have together. */
    readonly setReachableShare: (share: number, now: Milliseconds) => void;
}

interface ReportedUsage {
    readonly totals: Map<ClientAccountId, number>;
    hasFullReport: boolean;
}

/**
 * Creates the limits.
 *
 * @param bounds - how exactly limits are to be kept
 * @returns no accounts yet
 */
export function createAccountLimits(bounds: QuotaBounds): AccountLimits {
    const buckets = new Map<ClientAccountId, QuotaBucket>();
    const quotas = new Map<ClientAccountId, AccountQuota>();
    const admitted = new Map<ClientAccountId, number>();
    const changed = new Set<ClientAccountId>();
    const reportedUsage = new Map<InstanceId, ReportedUsage>();
    let reachableShare = 1;
    let isStartGranted = false;
    const findBucket = (account: ServingAccount, now: Milliseconds): QuotaBucket | undefined => {
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
            const decision = findBucket(account, now)?.take(amount, now) ?? { kind: "admitted", charged: amount };
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
                    findBucket(account, now)!.update(account.quota, now);
                }
                else {
                    buckets.delete(account.name);
                }
            }
        },
        handleUsage: (from, message, now) => {
            const usage = reportedUsage.get(from) ?? { totals: new Map(), hasFullReport: false };
            for (const [account, total] of message.admitted) {
                // what an instance admitted before its whole list was heard may be long ago
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
            if (isStartGranted || buckets.size === 0) {
                return;
            }
            isStartGranted = true;
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
 * Computes what a request takes out of its account's limit.
 *
 * @param account - the account
 * @param request - the request
 * @returns tokens or requests, as the limit counts
 */
export function computeRequestCost(account: ServingAccount, request: Pick<ClientRequest, "tokens">): number {
    if (account.quota?.unit !== "tokens") {
        return 1;
    }
    return request.tokens ? request.tokens.prompt + request.tokens.output : account.quota.defaultTokens;
}
