/**
 * The time that an instance has from the signal to stop until the platform ends its process, and what may still begin in
 * it: an attempt whose answer would be cut off must not begin.
 *
 * @packageDocumentation
 */
import { setMaxListeners } from "node:events";
import type { Clock, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { AnswerTimes } from "./answerTimes.js";
import { type ClockReading, measureAge, readClocks } from "./freshness.js";
import { isRetryable } from "./outcomePolicy.js";
import type { ServingRoute } from "./types.js";

/** Settings of the stop. */
export interface ShutdownOptions {
    readonly clock: Clock;
    /** Time from the signal until the platform ends the process. */
    readonly grace: Milliseconds;
    /** Part of that time in which connections are closed and the process ends. */
    readonly exitReserve: Milliseconds;
    /** Time from the signal that the platform needs to notice that an instance isn't ready, in which new clients come. */
    readonly noticeTime: Milliseconds;
    readonly answerTimes: Pick<AnswerTimes, "estimate">;
    /** Reads the clocks. @default those of the process */
    readonly readNow?: () => ClockReading;
}

/** What is known of a request whose attempt is to begin. */
export interface PendingAttempt {
    readonly route: Pick<ServingRoute, "name" | "kind" | "canResume">;
    /** Time at which its answer must have ended, on the clock of the instance. */
    readonly deadlineAt: Milliseconds;
}

/** A wait that ends when its request may not begin any more. */
export interface LimitedWait {
    /** Aborted when the client disconnects, or when no attempt may begin any more. */
    readonly signal: AbortSignal;
    /** Ends the observation. */
    readonly finish: () => void;
}

/** Stop of an instance; nothing is limited before it begins. */
export interface Shutdown {
    /** Begins the stop; a second signal changes nothing. `delay` is how long ago the signal may have come. */
    readonly begin: (delay: Milliseconds) => void;
    readonly hasBegun: () => boolean;
    /** Time since the signal; `undefined` before the stop. */
    readonly measureSinceBegun: () => Milliseconds | undefined;
    /** Time until all answers must have ended; infinite before the stop, and never negative. */
    readonly measureRemaining: () => Milliseconds;
    /** Whether the platform may still send new clients, as it can't have noticed the stop yet. */
    readonly isNoticeTime: () => boolean;
    /** Whether an attempt can be expected to have its answer before the end. */
    readonly mayBegin: (attempt: PendingAttempt) => boolean;
    /** Limits a wait of a request before its next attempt. */
    readonly limitWait: (attempt: PendingAttempt, client: AbortSignal) => LimitedWait;
    /** Aborted at the end, when answers in progress are ended. */
    readonly ended: AbortSignal;
    /** Ends all answers in progress. */
    readonly end: () => void;
}

/** Interval at which waiting requests are asked whether they may still begin. */
const checkIntervalMilliseconds = 50;

/**
 * Creates the stop of an instance that runs.
 *
 * @param options - times of the platform and the clocks
 * @returns the stop, of which an instance needs one object
 */
export function createShutdown(options: ShutdownOptions): Shutdown {
    const { clock, readNow = readClocks } = options;
    const ending = new AbortController();
    // each attempt in progress listens
    setMaxListeners(0, ending.signal);
    const waits = new Set<() => void>();
    let begunAt: ClockReading | undefined;
    const measureElapsed = (): Milliseconds => begunAt ? measureAge(begunAt, readNow()) : 0;
    const measureRemaining = (): Milliseconds => {
        if (ending.signal.aborted) {
            return 0;
        }
        return begunAt
            ? Math.max(0, options.grace - options.exitReserve - measureElapsed())
            : Number.POSITIVE_INFINITY;
    };
    const isNoticeTime = (): boolean => measureElapsed() < options.noticeTime;
    // a request that has its deadline before the end is answered in any case. Of others only those are taken that may be
    // sent again, and only while new clients come, who have not been told yet to go elsewhere
    const isBeginAllowed = ({ route, deadlineAt }: PendingAttempt): boolean => {
        const remaining = measureRemaining();
        if (deadlineAt - clock.now() <= remaining) {
            return remaining > 0;
        }
        const estimate = options.answerTimes.estimate(route.name) ?? Number.POSITIVE_INFINITY;
        return isRetryable(route) && isNoticeTime() && estimate <= remaining;
    };
    const checkWaits = async (): Promise<void> => {
        while (measureRemaining() > 0) {
            [...waits].forEach(check => check());
            await clock.sleep(checkIntervalMilliseconds, ending.signal);
        }
        [...waits].forEach(check => check());
    };
    return {
        begin: delay => {
            if (begunAt) {
                return;
            }
            const { monotonic, timeOfDay } = readNow();
            begunAt = { monotonic: monotonic - delay, timeOfDay: timeOfDay - delay };
            startTask("waits of a stopping instance", checkWaits);
        },
        hasBegun: () => begunAt !== undefined,
        measureSinceBegun: () => begunAt && measureElapsed(),
        measureRemaining,
        isNoticeTime,
        mayBegin: isBeginAllowed,
        limitWait: (attempt, client) => {
            const wait = new AbortController();
            const abort = (): void => wait.abort();
            // a client that left before isn't heard of again
            const check = (): void => isBeginAllowed(attempt) && !client.aborted ? undefined : abort();
            client.addEventListener("abort", abort, { once: true });
            waits.add(check);
            check();
            return {
                signal: wait.signal,
                finish: () => {
                    client.removeEventListener("abort", abort);
                    waits.delete(check);
                },
            };
        },
        ended: ending.signal,
        end: () => ending.abort(),
    };
}
