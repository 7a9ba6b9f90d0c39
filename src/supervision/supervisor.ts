/**
 * Supervisor tree: starts tasks in order, restarts those that fail, and stops them in reverse order.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import { createLogger } from "../shared/index.js";

/** A long-running part that owns its sockets and its state. */
export interface Task {
    readonly name: string;
    /** Runs until the signal is aborted; resolving or throwing earlier is a failure. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Settings of a supervisor. */
export interface SupervisorOptions {
    readonly name: string;
    readonly children: readonly Task[];
    readonly clock: Clock;
    /** Failures within the window after which the supervisor itself fails. @default 5 */
    readonly maximumRestarts?: number;
    /** @default 10_000 */
    readonly restartWindow?: Milliseconds;
    /** Wait before a restart. @default 100 */
    readonly restartDelay?: Milliseconds;
}

const defaultMaximumRestarts = 5;
const defaultRestartWindowMilliseconds = 10_000;
const defaultRestartDelayMilliseconds = 100;
const debug = createLogger("supervision");

/**
 * Creates a supervisor; it is a task itself, so that supervisors nest.
 *
 * @param options - the children and how often they may fail
 * @returns a task that runs the children
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
    // a child may use those started before it, so it goes first
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
    while (!signal.aborted) {
        const error = await runOnce(child, signal);
        if (signal.aborted) {
            return;
        }
        const now = options.clock.now();
        failures = [...failures.filter(time => now - time < restartWindow), now];
        debug.warn("task failed", { task: child.name, supervisor: options.name, error: String(error) });
        if (failures.length > maximumRestarts) {
            throw new Error(
                `task ${child.name} failed ${failures.length} times in ${restartWindow} ms: ${String(error)}`,
            );
        }
        await options.clock.sleep(options.restartDelay ?? defaultRestartDelayMilliseconds, signal);
    }
}

async function runOnce(child: Task, signal: AbortSignal): Promise<unknown> {
    try {
        await child.run(signal);
        return "ended before it was stopped";
    }
    catch (error) {
        return error;
    }
}

/**
 * Waits until a signal is aborted.
 *
 * @param signal - the signal
 * @returns a promise that resolves when it is
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
