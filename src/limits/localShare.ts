/**
 * How much of a limit is this instance's own, by the epochs it has read and the lease it holds on them.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../membership/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";

// nobody acted before the first epoch
const initialEpochNumber = -1;

/** Counts the time in which this instance held a valid lease; units accrue by it. */
export interface LeaseClock {
    /** Valid time so far. */
    readonly elapsed: Milliseconds;
    /** Time up to which `elapsed` counts. */
    readonly countedTo: Milliseconds;
    /** Time up to which the lease was known to hold. */
    readonly validUntil: Milliseconds;
}

/**
 * Moves the validity clock on. A gap between the end of the known lease and its renewal doesn't count: others may have
 * grown in it.
 *
 * @param clock - the clock so far
 * @param validUntil - the lease as it stands now
 * @param now - present time
 * @param clockDrift - most by which this process's clock may run fast; units must not accrue by it
 * @returns the clock now
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

/** This instance's part of one kind of limit, such as 1/8 of each rate and burst; 0 for a non-member. */
export interface ShareTracker {
    /** Adds an epoch. After a gap in the lease it starts afresh, for epochs may have passed unread. */
    readonly addEpoch: (epoch: MemberEpoch, afterGap: boolean, now: Milliseconds) => void;
    /** Takes note that the time at which a known epoch's gains may be used has become known, or has changed. */
    readonly updateEpoch: (epoch: MemberEpoch) => void;
    readonly advance: (now: Milliseconds) => void;
    readonly readShare: () => number;
    /** Time at which the share may change by itself, or `undefined`. */
    readonly readNextChangeAt: () => Milliseconds | undefined;
}

/**
 * Creates the tracker of a share.
 *
 * @param self - this instance
 * @param gracePeriod - how long units may be in use after the end of the lease under which they were granted
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
        return { ...epoch, growAt: epoch.growAt + (isInitial ? 0 : gracePeriod) };
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

// forgets the epochs that no instance acts on any more
function trimEpochs(epochs: EpochSequence, now: Milliseconds): EpochSequence {
    const first = epochs.findLastIndex(epoch => epoch.growAt <= now);
    return first > 0 ? epochs.slice(first) : epochs;
}

// the least share of all epochs that may still be acted on: losses count at once, gains when nobody acts on the one before
function computeShare(epochs: EpochSequence, self: InstanceId, now: Milliseconds): InstanceShare {
    const pending = epochs.filter(epoch => epoch.growAt > now).map(epoch => epoch.growAt);
    const changesAt = pending.length > 0 ? Math.min(...pending) : undefined;
    const first = epochs[0];
    if (!first || first.growAt > now) {
        // the epoch before the first one read is not known, so nothing is this instance's own yet
        return { share: 0, changesAt };
    }
    const shares = epochs.map(epoch => epoch.members.includes(self) ? 1 / epoch.members.length : 0);
    return { share: Math.min(...shares), changesAt };
}
