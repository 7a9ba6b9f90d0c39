/**
 * Limits of client accounts over all instances: own admissions, those that the others tell, and the part of the rate that
 * instances out of hearing may use.
 *
 * @packageDocumentation
 */
import type { ClientAccountId, InstanceId, Milliseconds } from "../shared/index.js";
import type { UsageMessage } from "./messages.js";
import { computeStartAllowance, type QuotaBounds } from "./startAllowance.js";
import type { AccountQuota, ClientRequest, ServingAccount } from "./types.js";
import { createUsageBucket, type QuotaDecision, type UsageBucket } from "./usageBucket.js";

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
    readonly grantStart: (startTime: Milliseconds, instanceCount: number) => void;
    /** Sets the part of the rate that the instances in hearing have together. */
    readonly setShare: (share: number, now: Milliseconds) => void;
}

interface HeardUsage {
    readonly totals: Map<ClientAccountId, number>;
    isComplete: boolean;
}

/**
 * Creates the limits.
 *
 * @param bounds - how exactly limits are to be kept
 * @returns no accounts yet
 */
export function createAccountLimits(bounds: QuotaBounds): AccountLimits {
    const buckets = new Map<ClientAccountId, UsageBucket>();
    const quotas = new Map<ClientAccountId, AccountQuota>();
    const admitted = new Map<ClientAccountId, number>();
    const changed = new Set<ClientAccountId>();
    const heard = new Map<InstanceId, HeardUsage>();
    let share = 1;
    let hasStarted = false;
    const findBucket = (account: ServingAccount, now: Milliseconds): UsageBucket | undefined => {
        if (!account.quota) {
            return undefined;
        }
        let bucket = buckets.get(account.name);
        if (!bucket) {
            bucket = createUsageBucket(account.quota, now);
            bucket.setShare(share, now);
            buckets.set(account.name, bucket);
        }
        return bucket;
    };
    return {
        take: (account, amount, now) => {
            const decision = findBucket(account, now)?.take(amount, now) ?? { kind: "admitted", counted: amount };
            if (decision.kind === "admitted") {
                admitted.set(account.name, (admitted.get(account.name) ?? 0) + decision.counted);
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
            const usage = heard.get(from) ?? { totals: new Map(), isComplete: false };
            for (const [account, total] of message.admitted) {
                // what an instance admitted before its whole list was heard may be long ago
                const more = total - (usage.totals.get(account) ?? (usage.isComplete ? 0 : total));
                if (more > 0) {
                    buckets.get(account)?.charge(more, now);
                }
                usage.totals.set(account, total);
            }
            usage.isComplete ||= message.isWhole;
            heard.set(from, usage);
        },
        drainAdmitted: () => {
            const drained = [...changed].map(account => [account, admitted.get(account) ?? 0] as const);
            changed.clear();
            return drained;
        },
        listAdmitted: () => [...admitted],
        grantStart: (startTime, instanceCount) => {
            if (hasStarted || buckets.size === 0) {
                return;
            }
            hasStarted = true;
            for (const [name, bucket] of buckets) {
                const quota = quotas.get(name);
                quota && bucket.grant(computeStartAllowance(quota, bounds, startTime, instanceCount));
            }
        },
        setShare: (newShare, now) => {
            share = newShare;
            buckets.forEach(bucket => bucket.setShare(newShare, now));
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
export function computeAmount(account: ServingAccount, request: Pick<ClientRequest, "tokens">): number {
    if (account.quota?.unit !== "tokens") {
        return 1;
    }
    return request.tokens ? request.tokens.prompt + request.tokens.output : account.quota.plainTokens;
}
