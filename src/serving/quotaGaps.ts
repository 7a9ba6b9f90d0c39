/**
 * Measures how long no holder decided for the accounts of a shard because the process of the last one had ended. The
 * bucket of the next holder begins empty, and gets what the rate gave in that time once for each instance and account.
 *
 * @packageDocumentation
 */
import type { ClientAccountId, Milliseconds } from "../shared/index.js";

/** Time of one shard without a holder. */
export interface QuotaGap {
    readonly since: Milliseconds;
    /** Time of the first decision of the next holder; `undefined` while there is none. */
    readonly until: Milliseconds | undefined;
    /** Accounts for which the gap was reported. */
    readonly reported: ReadonlySet<ClientAccountId>;
}

/** A holder that has decided for other instances for longer has a bucket that isn't empty for lack of a holder. */
export const longestGapMilliseconds = 3_000;
/** Time after a gap in which it is reported. */
const reportMilliseconds = 2_000;

/**
 * Records that the process of a shard's holder had ended when it was asked.
 *
 * @param gap - what was known
 * @param now - current time
 * @returns the gap, which begins now unless it has begun before
 */
export function openQuotaGap(gap: QuotaGap | undefined, now: Milliseconds): QuotaGap {
    return gap && gap.until === undefined ? gap : { since: now, until: undefined, reported: new Set() };
}

/**
 * Decides what is reported with the request of an account to the next holder.
 *
 * @param gap - what is known
 * @param account - account of the request
 * @param now - time at which the holder is asked
 * @returns the time to report, 0 for none, and the gap as it is known then; `undefined` when it is over for long
 */
export function claimQuotaGap(
    gap: QuotaGap | undefined,
    account: ClientAccountId,
    now: Milliseconds,
): { readonly duration: Milliseconds; readonly gap: QuotaGap | undefined; } {
    const until = gap?.until ?? now;
    if (!gap || until - gap.since > longestGapMilliseconds || now - until > reportMilliseconds) {
        return { duration: 0, gap: undefined };
    }
    const duration = until - gap.since;
    if (duration === 0 || gap.reported.has(account)) {
        return { duration: 0, gap };
    }
    return { duration, gap: { ...gap, reported: new Set([...gap.reported, account]) } };
}

/**
 * Takes a report back that an instance received which doesn't decide for the shard.
 *
 * @param gap - what is known
 * @param account - account of the request
 * @returns the gap, which is reported with the next request of the account
 */
export function withdrawQuotaGap(gap: QuotaGap | undefined, account: ClientAccountId): QuotaGap | undefined {
    return gap && { ...gap, reported: new Set([...gap.reported].filter(name => name !== account)) };
}

/**
 * Records that a holder has decided.
 *
 * @param gap - what was known
 * @param now - current time
 * @returns the gap, which is over
 */
export function endQuotaGap(gap: QuotaGap | undefined, now: Milliseconds): QuotaGap | undefined {
    return gap && gap.until === undefined ? { ...gap, until: now } : gap;
}
