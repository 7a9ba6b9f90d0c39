/**
 * Status of one instance's limits, for operators.
 *
 * @packageDocumentation
 */
import type { ResolvedSettings } from "../config/index.js";
import type { MemberEpoch } from "../membership/index.js";
import type { Milliseconds } from "../shared/index.js";
import type { DrawRefusalCause } from "./effects.js";
import type { LimiterCore } from "./limiterCore.js";
import { formatAccountResource } from "./resources.js";
import type { AccountStatus, LimitCounts, LimitsStatus } from "./types.js";

/** Event counts that the limits task increments. */
export type MutableLimitCounts = { -readonly [Key in keyof LimitCounts]: LimitCounts[Key]; };

/**
 * Creates event counts.
 *
 * @returns counts that are all 0; the caller owns them
 */
export function createLimitCounts(): MutableLimitCounts {
    return {
        grantedLocally: 0,
        grantedByPool: 0,
        refusedOverLimit: 0,
        refusedPartial: 0,
        refusedNotReady: 0,
        messagesSent: 0,
    };
}

/**
 * Increments the count that belongs to a refusal's cause.
 *
 * @param counts - changed in place
 * @param cause - why the draw was refused
 */
export function recordRefusal(counts: MutableLimitCounts, cause: DrawRefusalCause): void {
    switch (cause) {
        case "overLimit":
            counts.refusedOverLimit++;
            return;
        case "partial":
            counts.refusedPartial++;
            return;
        case "notReady":
            counts.refusedNotReady++;
            return;
    }
}

/**
 * Builds the status that the status endpoint shows.
 *
 * @param core - the instance's limiter core, whose membership must be up to date
 * @param settings - current settings; `undefined` before they are loaded
 * @param epoch - current epoch
 * @param counts - event counts so far; copied
 * @param now - present time
 * @returns the status; accounts without a local bucket are left out
 */
export function buildLimitsStatus(
    core: LimiterCore,
    settings: ResolvedSettings | undefined,
    epoch: MemberEpoch,
    counts: LimitCounts,
    now: Milliseconds,
): LimitsStatus {
    const ready = settings !== undefined && core.hasUsableShare(now);
    const accounts = settings ? [...settings.accounts.keys()] : [];
    return {
        ready,
        reason: ready ? undefined : describeNotReady(settings, epoch, now),
        epoch: epoch.number,
        members: epoch.members.length,
        silentMembers: core.listSilentMembers(now),
        counts: { ...counts },
        accounts: accounts.flatMap(account => buildAccountStatus(core, account, now)),
    };
}

function describeNotReady(settings: ResolvedSettings | undefined, epoch: MemberEpoch, now: Milliseconds): string {
    if (!settings) {
        return "no settings loaded yet; check the configuration status";
    }
    if (epoch.gainsAllowedAt > now) {
        return "the previous epoch may still be in use; if that lasts over a few seconds, check the membership status";
    }
    return "no valid lease on the current epoch; check the membership status";
}

function buildAccountStatus(core: LimiterCore, account: string, now: Milliseconds): readonly AccountStatus[] {
    const resource = formatAccountResource(account);
    const bucket = core.readBucket(resource, now);
    if (!bucket) {
        return [];
    }
    return [{
        account,
        tokens: bucket.level,
        capacity: bucket.capacity,
        rate: bucket.rate,
        heldTokens: bucket.held,
        waiting: core.countWaiting(resource),
    }];
}
