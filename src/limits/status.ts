/**
 * How the limits stand, for operators.
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

/** Counts as their owner changes them. */
export type MutableLimitCounts = { -readonly [Key in keyof LimitCounts]: LimitCounts[Key]; };

/**
 * Creates counts at zero.
 *
 * @returns the counts
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
 * Counts a refusal by its cause.
 *
 * @param counts - changed in place
 * @param cause - why units were refused
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
 * Builds the status.
 *
 * @param core - deciding part
 * @param settings - settings in force, if any
 * @param epoch - epoch in force
 * @param counts - counts so far
 * @param now - present time
 * @returns the status
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
        return "no settings yet; see the status of the configuration";
    }
    if (epoch.growAt > now) {
        return "waits until no instance acts under the epoch before; ready within seconds";
    }
    return "holds no valid lease on the epoch; see the status of the membership";
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
