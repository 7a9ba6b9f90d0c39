/**
 * Drains an instance that is to stop: the platform sends its clients elsewhere, what was taken is answered, what comes
 * late is refused, and all answers have ended before the platform ends the process.
 *
 * @packageDocumentation
 */
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { runTask } from "../supervision/index.js";
import type { ClientServer } from "./clientServer.js";
import type { Shutdown } from "./shutdown.js";

/** Parts of the instance that the drain uses. */
export interface DrainOptions {
    readonly clock: Clock;
    readonly shutdown: Shutdown;
    readonly clientServer: Pick<ClientServer, "countOpen" | "countPartial" | "drain" | "refuseUnread">;
    /** Number of attempts of other instances that this one carries. */
    readonly countHelped: () => number;
    /** Hands over what this instance holds, and removes it from the list of instances. */
    readonly leave: () => Promise<void>;
    /** Resolves when what waits unread now has been read. */
    readonly handleWaiting: () => Promise<void>;
}

const pollMilliseconds = 50;
/** Time in which the last answers reach their clients before the connections are closed. */
const lastAnswersMilliseconds = 200;
const log = createLogger("serving");

/**
 * Drains an instance whose stop has begun.
 *
 * @param options - parts of the instance
 * @returns when nothing is in progress any more, or the time is over
 */
export async function drainInstance(options: DrainOptions): Promise<void> {
    const { clock, shutdown, clientServer } = options;
    log.info("draining", { open: clientServer.countOpen(), remaining: Math.round(shutdown.measureRemaining()) });
    const leaving = runTask("leave", options.leave);
    const isBusy = (): boolean => clientServer.countOpen() + clientServer.countPartial() + options.countHelped() > 0;
    // the client port stays open meanwhile, as new clients still come
    while (shutdown.isNoticeTime() && shutdown.measureRemaining() > 0) {
        await clock.sleep(pollMilliseconds);
    }
    // after a standstill requests wait on connections that look unused, and connections before they are accepted
    await options.handleWaiting();
    await options.handleWaiting();
    clientServer.drain();
    while (isBusy() && shutdown.measureRemaining() > 0) {
        await clock.sleep(pollMilliseconds);
    }
    const cut = clientServer.countOpen();
    shutdown.end();
    clientServer.refuseUnread();
    await waitUntil(clock, lastAnswersMilliseconds, () => clientServer.countOpen() === 0);
    // the calls of the leave have limits of their own; what isn't handed over by now moves by its lease
    await Promise.race([leaving, clock.sleep(lastAnswersMilliseconds)]);
    log.info("stopped", { ended: cut, open: clientServer.countOpen() });
}

async function waitUntil(clock: Clock, duration: Milliseconds, isOver: () => boolean): Promise<void> {
    const until = clock.now() + duration;
    while (clock.now() < until && !isOver()) {
        await clock.sleep(Math.min(pollMilliseconds, until - clock.now()));
    }
}
