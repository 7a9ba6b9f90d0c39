/**
 * Tells whether the event loop is late, so that what is read now may have waited unread for long: a request whose client
 * has left since, for example. It is learned from the regular maintenance, and costs nothing while the loop is on time.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Delay of the event loop of this process. */
export interface LoopDelay {
    /** Records that a timer was handled which was due before; returns by how much it was late. */
    readonly recordTimer: (now: Milliseconds, nextDueAt: Milliseconds) => Milliseconds;
    /** Whether what is read now may have waited unread for long. */
    readonly isLate: (now: Milliseconds) => boolean;
    /** Returns how long ago an event may have come that is handled now. */
    readonly measureWaited: (now: Milliseconds) => Milliseconds;
}

/** Asks for the events that already wait, before something is done that can't be undone. */
export interface LoopGate {
    /** Whether what is read now may have waited unread for long. */
    readonly isLate: () => boolean;
    /** Resolves when the events that wait now have been handled, such as the close of a client's connection. */
    readonly handleWaiting: () => Promise<void>;
}

/** Lateness of a timer from which on the loop counts as late. */
const lateMilliseconds = 50;
/** Time after a late timer for which the loop counts as late: what has waited is read in several turns. */
const catchUpMilliseconds = 1_000;
/** Time in which the events of a turn are handled after its timers. */
const turnMilliseconds = 100;

/**
 * Creates the delay of a loop whose first timer isn't due yet.
 *
 * @returns the delay
 */
export function createLoopDelay(): LoopDelay {
    let dueAt = Number.POSITIVE_INFINITY;
    let lateUntil = Number.NEGATIVE_INFINITY;
    let newest = { at: Number.NEGATIVE_INFINITY, delay: 0 };
    return {
        recordTimer: (now, nextDueAt) => {
            const delay = Math.max(0, now - dueAt);
            dueAt = nextDueAt;
            // the second record of a turn says when the next timer is due
            newest = delay > 0 || now - newest.at > turnMilliseconds ? { at: now, delay } : newest;
            if (delay > lateMilliseconds) {
                lateUntil = now + catchUpMilliseconds;
            }
            return delay;
        },
        isLate: now => now < lateUntil || now - dueAt > lateMilliseconds,
        // the timers of a turn come before its other events
        measureWaited: now => Math.max(0, now - dueAt, now - newest.at <= turnMilliseconds ? newest.delay : 0),
    };
}
