/**
 * Longest time from the beginning of a stream to the end of a client's last return, over the configurations by which
 * streams that may still go on have begun: a lower time-out doesn't end them.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Lifetime of streams as configurations follow each other. */
export interface StreamLifetime {
    /** Sets the lifetime of streams that begin by a new configuration. */
    readonly update: (lifetime: Milliseconds, now: Milliseconds) => void;
    /** Returns the longest lifetime of the streams that may go on now; 0 before the first configuration. */
    readonly read: (now: Milliseconds) => Milliseconds;
}

interface EarlierLifetime {
    readonly lifetime: Milliseconds;
    /** End of the last stream that began by it. */
    readonly until: Milliseconds;
}

/** Time for which other instances may still begin streams by a configuration that is replaced here. */
const spreadMilliseconds: Milliseconds = 5_000;

/**
 * Creates the lifetime before the first configuration.
 *
 * @returns the lifetime, of which an instance needs one object
 */
export function createStreamLifetime(): StreamLifetime {
    let current: Milliseconds = 0;
    // longer than the present one
    let earlier: readonly EarlierLifetime[] = [];
    return {
        update: (lifetime, now) => {
            const replaced = { lifetime: current, until: now + spreadMilliseconds + current };
            current = lifetime;
            earlier = [...earlier, replaced].filter(entry => entry.lifetime > current && entry.until > now);
        },
        read: now =>
            earlier.reduce(
                (longest, { lifetime, until }) => until > now ? Math.max(longest, lifetime) : longest,
                current,
            ),
    };
}
