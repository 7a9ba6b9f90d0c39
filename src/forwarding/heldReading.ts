/**
 * Holds the reading of a forwarded attempt while its client doesn't read, and says so to the carrying instance at an interval, as
 * that one ends attempts which nobody asks for.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import { waitForAbort } from "../supervision/index.js";

/** Reading of one attempt. */
export interface HeldReading {
    /** Begins to hold the reading, unless it is held or has ended. */
    readonly pause: () => void;
    readonly resume: () => void;
    /** Ends it for good: nothing is held or said any more. */
    readonly end: () => void;
    /** Resolves when the reading isn't held, or has been resumed or ended once. */
    readonly wait: () => Promise<void>;
}

/** Dependencies of the reading. */
export interface HeldReadingOptions {
    readonly clock: Clock;
    /** Tells the carrying instance that the attempt goes on; the message may be lost. */
    readonly keep: () => void;
    /** Time after which nobody waits for the answer, so that it isn't kept. @default it is kept for as long as it is held */
    readonly keepUntil: Milliseconds | undefined;
}

/** Interval of the messages; two in a row may be lost before the carrying instance gives the attempt up. */
const keepMilliseconds = 400;

/**
 * Creates the reading of an attempt, which isn't held.
 *
 * @param options - clock and message
 * @returns the reading
 */
export function createHeldReading(
    { clock, keep, keepUntil = Number.POSITIVE_INFINITY }: HeldReadingOptions,
): HeldReading {
    let hold: AbortController | undefined;
    let hasEnded = false;
    const resume = (): void => {
        hold?.abort();
        hold = undefined;
    };
    const waitWhileHeld = async (released: AbortSignal): Promise<void> => {
        while (!released.aborted && clock.now() + keepMilliseconds < keepUntil) {
            await clock.sleep(keepMilliseconds, released);
            if (!released.aborted) {
                keep();
            }
        }
        await waitForAbort(released);
    };
    return {
        pause: () => {
            hold ??= hasEnded ? undefined : new AbortController();
        },
        resume,
        end: () => {
            hasEnded = true;
            resume();
        },
        wait: () => hold ? waitWhileHeld(hold.signal) : Promise.resolve(),
    };
}
