/**
 * Supervisors: they start tasks in order, restart those that fail, and stop them in reverse order.
 *
 * @packageDocumentation
 */
import { type Clock, createSystemClock, type Milliseconds } from "../shared/index.js";
import { callGuarded, recordTaskFailure } from "./backgroundTasks.js";

/** A long-running part of the instance that owns its sockets and its state. */
export interface Task {
    /** Name shown in logs and errors. */
    readonly name: string;
    /** Runs until the signal is aborted; resolving or throwing earlier is a failure. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** A failure that has lasted too long: its task isn't started again. */
export class LastingFailure extends Error {}

/** Settings of a supervisor. */
export interface SupervisorOptions {
    readonly name: string;
    readonly children: readonly Task[];
    readonly clock: Clock;
    /** Number of restarts of a child within the window; at the next failure the supervisor itself fails. @default 5 */
    readonly maximumRestarts?: number;
    /** Period over which a child's failures are counted. @default 10_000 */
    readonly restartWindow?: Milliseconds;
    /** Delay before the first restart; it doubles with each failure that follows within the window. @default 100 */
    readonly restartDelay?: Milliseconds;
    /** Longest delay before a restart. @default 2_000 */
    readonly maximumRestartDelay?: Milliseconds;
    /**
     * Time for which a child may fail again and again, without running for a whole window meanwhile; after it, the
     * supervisor itself fails. @default unlimited
     */
    readonly failureLimit?: Milliseconds;
}

const defaultMaximumRestarts = 5;
const defaultRestartWindowMilliseconds = 10_000;
const defaultRestartDelayMilliseconds = 100;
const defaultMaximumRestartDelayMilliseconds = 2_000;
/** Doublings of the delay before a restart, so that the number stays finite. */
const maximumDoublings = 20;
const systemClock = createSystemClock();

/**
 * Creates a supervisor. A supervisor is itself a task, so supervisors can be nested.
 *
 * @param options - child tasks and the limits of their restarts
 * @returns a task that runs the children until it is stopped or a child fails too often
 */
export function createSupervisor(options: SupervisorOptions): Task {
    return { name: options.name, run: signal => superviseChildren(options, signal) };
}

async function superviseChildren(options: SupervisorOptions, signal: AbortSignal): Promise<void> {
    const controllers = options.children.map(() => new AbortController());
    const failure = new AbortController();
    let firstError: unknown;
    const running = options.children.map((child, index) =>
        superviseChild(options, child, controllers[index]!.signal).catch((error: unknown) => {
            firstError ??= error;
            failure.abort();
        })
    );
    await waitForAbort(AbortSignal.any([signal, failure.signal]));
    // a child may use the children started before it, so the last one started is stopped first
    for (let index = controllers.length - 1; index >= 0; index--) {
        controllers[index]!.abort();
        await running[index];
    }
    if (firstError !== undefined) {
        throw firstError;
    }
}

async function superviseChild(options: SupervisorOptions, child: Task, signal: AbortSignal): Promise<void> {
    const maximumRestarts = options.maximumRestarts ?? defaultMaximumRestarts;
    const restartWindow = options.restartWindow ?? defaultRestartWindowMilliseconds;
    let failures: readonly Milliseconds[] = [];
    let failingSince: Milliseconds | undefined;
    let doublings = 0;
    while (!signal.aborted) {
        const startedAt = readTime(options);
        const error = await runOnce(child, signal);
        if (signal.aborted) {
            return;
        }
        const now = readTime(options);
        recordTaskFailure(child.name, error);
        if (error instanceof LastingFailure) {
            throw error;
        }
        failures = [...failures.filter(time => now - time < restartWindow), now];
        if (failures.length > maximumRestarts) {
            throw new Error(
                `task ${child.name} failed ${failures.length} times in ${restartWindow} ms: ${String(error)}`,
            );
        }
        if (failingSince === undefined || now - startedAt >= restartWindow) {
            failingSince = now;
            doublings = 0;
        }
        if (now - failingSince >= (options.failureLimit ?? Number.POSITIVE_INFINITY)) {
            throw new Error(`task ${child.name} fails since ${Math.round(now - failingSince)} ms: ${String(error)}`);
        }
        await pauseBeforeRestart(options, computeRestartDelay(options, doublings), signal);
        doublings++;
    }
}

// what restarts the others must not end with an exception of its own
function readTime({ clock }: SupervisorOptions): Milliseconds {
    return callGuarded("clock of a supervisor", clock.now) ?? systemClock.now();
}

async function pauseBeforeRestart(
    { clock }: SupervisorOptions,
    duration: Milliseconds,
    signal: AbortSignal,
): Promise<void> {
    try {
        await clock.sleep(duration, signal);
    }
    catch (error) {
        recordTaskFailure("clock of a supervisor", error);
        await systemClock.sleep(duration, signal);
    }
}

function computeRestartDelay(options: SupervisorOptions, doublings: number): Milliseconds {
    const first = options.restartDelay ?? defaultRestartDelayMilliseconds;
    const longest = Math.max(first, options.maximumRestartDelay ?? defaultMaximumRestartDelayMilliseconds);
    return Math.min(longest, first * 2 ** Math.min(doublings, maximumDoublings));
}

async function runOnce(child: Task, signal: AbortSignal): Promise<unknown> {
    try {
        await child.run(signal);
        return "the task returned before it was stopped";
    }
    catch (error) {
        return error;
    }
}

/**
 * Waits until a signal is aborted.
 *
 * @param signal - signal to wait for
 * @returns a promise that resolves once the signal is aborted, immediately if it already is
 */
export function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
