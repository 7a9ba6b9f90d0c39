/**
 * Computes which share of every limit belongs to this instance and how long its lease has been valid, from the
 * membership epochs that it has read.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";

// number of the epoch that is in force before the first one is recorded
const initialEpochNumber = -1;

/** Counts the time in which this instance held a valid lease. Units accrue by this time only. */
export interface LeaseClock {
    /** Total time under a valid lease. */
    readonly elapsed: Milliseconds;
    /** Monotonic time up to which `elapsed` has been counted. */
    readonly countedTo: Milliseconds;
    /** Monotonic time until which the lease was last known to be valid. */
    readonly validUntil: Milliseconds;
}

/**
 * Advances the lease clock to the present. Time between the end of the last known lease and its renewal doesn't count,
 * because other instances may have used a larger share meanwhile.
 *
 * @param clock - clock as last advanced
 * @param validUntil - monotonic time until which the lease is valid now
 * @param now - present time
 * @param clockDrift - largest fraction by which this process's clock may run fast; the counted time is reduced by it so
 * that units don't accrue too quickly
 * @returns the advanced clock; `clock` is not changed
 */
export function advanceLeaseClock(
    clock: LeaseClock,
    validUntil: Milliseconds,
    now: Milliseconds,
    clockDrift: number,
): LeaseClock {
    const counted = Math.max(0, Math.min(now, clock.validUntil) - clock.countedTo);
    return {
        elapsed: clock.elapsed + counted * (1 - clockDrift),
        countedTo: Math.max(now, clock.countedTo),
        validUntil,
    };
}

/**
 * Tracks the fraction of every limit that belongs to this instance, such as 1/8 of each rate and burst. The share is 0
 * while the instance is not a member.
 */
export interface ShareTracker {
    /**
     * Adds an epoch. After a gap in the lease the earlier epochs are discarded, because epochs may have passed unread.
     */
    readonly addEpoch: (epoch: MemberEpoch, afterGap: boolean, now: Milliseconds) => void;
    /**
     * Updates an epoch that was already added, after its `gainsAllowedAt` became known or changed. That is the time
     * from which no instance acts under an earlier epoch, so that larger shares may be used.
     */
    readonly updateEpoch: (epoch: MemberEpoch) => void;
    readonly advance: (now: Milliseconds) => void;
    readonly readShare: () => number;
    /** Monotonic time at which the share may next change without a new epoch; `undefined` if there is none. */
    readonly readNextChangeAt: () => Milliseconds | undefined;
}

/**
 * Creates a tracker for one kind of resource.
 *
 * @param self - this instance
 * @param gracePeriod - longest time that units may stay in use after the end of the lease under which they were
 * granted; other instances' shares grow only after it
 * @returns a tracker with a share of 0
 */
export function createShareTracker(self: InstanceId, gracePeriod: Milliseconds): ShareTracker {
    let epochs: EpochSequence = [];
    let share: InstanceShare = { share: 0, changesAt: undefined };
    const advance = (now: Milliseconds): void => {
        epochs = trimEpochs(epochs, now);
        share = computeShare(epochs, self, now);
    };
    const addGracePeriod = (epoch: MemberEpoch): MemberEpoch => {
        const isInitial = epoch.number === initialEpochNumber;
        return { ...epoch, gainsAllowedAt: epoch.gainsAllowedAt + (isInitial ? 0 : gracePeriod) };
    };
    return {
        addEpoch: (epoch, afterGap, now) => {
            const delayed = addGracePeriod(epoch);
            epochs = afterGap ? [delayed] : [...epochs, delayed];
            advance(now);
        },
        updateEpoch: epoch => {
            epochs = epochs.map(existing => existing.number === epoch.number ? addGracePeriod(epoch) : existing);
        },
        advance,
        readShare: () => share.share,
        readNextChangeAt: () => share.changesAt,
    };
}

type EpochSequence = readonly MemberEpoch[];

interface InstanceShare {
    readonly share: number;
    readonly changesAt: Milliseconds | undefined;
}

// drops epochs that no instance can still act under
function trimEpochs(epochs: EpochSequence, now: Milliseconds): EpochSequence {
    const first = epochs.findLastIndex(epoch => epoch.gainsAllowedAt <= now);
    return first > 0 ? epochs.slice(first) : epochs;
}

// the smallest share among all epochs that an instance may still act under: a loss applies at once, and a gain only
// when no instance acts under the previous epoch any more
function computeShare(epochs: EpochSequence, self: InstanceId, now: Milliseconds): InstanceShare {
    const pending = epochs.filter(epoch => epoch.gainsAllowedAt > now).map(epoch => epoch.gainsAllowedAt);
    const changesAt = pending.length > 0 ? Math.min(...pending) : undefined;
    const first = epochs[0];
    if (!first || first.gainsAllowedAt > now) {
        // the epoch before the first one read is unknown, so this instance can't rely on any share yet
        return { share: 0, changesAt };
    }
    const shares = epochs.map(epoch => epoch.members.includes(self) ? 1 / epoch.members.length : 0);
    return { share: Math.min(...shares), changesAt };
}
