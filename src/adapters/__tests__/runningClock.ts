import type { Clock } from "../../shared/index.js";

/**
 * Creates a clock that goes on to the end of the next sleep whenever nothing else is to be done.
 *
 * @returns the clock, at 0
 */
export function createRunningClock(): Clock {
    let now = 0;
    let isRunning = false;
    const sleeps = new Map<() => void, number>();
    const runOn = (): void => {
        const [next] = [...sleeps].sort(([, left], [, right]) => left - right);
        isRunning = next !== undefined;
        if (next) {
            now = Math.max(now, next[1]);
            next[0]();
            setImmediate(runOn);
        }
    };
    return {
        now: () => now,
        sleep: (duration, signal) =>
            new Promise(resolve => {
                const finish = (): void => {
                    sleeps.delete(finish);
                    resolve();
                };
                sleeps.set(finish, now + duration);
                signal?.addEventListener("abort", finish, { once: true });
                if (signal?.aborted) {
                    finish();
                }
                if (!isRunning) {
                    isRunning = true;
                    setImmediate(runOn);
                }
            }),
    };
}
