/**
 * Tasks that run beside their caller, which doesn't wait for them. Each has a name and a place where its failure goes, so
 * that an exception in it costs what it was doing, and not the process with all its requests.
 *
 * @packageDocumentation
 */
import { createLogger } from "../shared/index.js";
import { describeProcessEnd } from "./processEnd.js";

/** Called with what a task has thrown, after that is logged and counted. */
export type FailureHandler = (error: unknown) => void;

const failureCounts = new Map<string, number>();
const log = createLogger("supervision");

/**
 * Starts a task that its caller doesn't wait for. It begins at once; a failure is logged and counted under its name.
 *
 * @param name - constant name of the task, for the log and the metrics; it must not contain anything of a request
 * @param run - begins the task
 * @param onFailure - takes back what the task held, and tells those that wait for it
 */
export function startTask(name: string, run: () => unknown, onFailure?: FailureHandler): void {
    runTask(name, run, onFailure).catch(() => undefined);
}

/**
 * Runs a task like `startTask`, for a caller that waits for its end.
 *
 * @param name - constant name of the task
 * @param run - begins the task
 * @param onFailure - takes back what the task held
 * @returns a promise that resolves when the task has ended, also by a failure; it never rejects
 */
export async function runTask(name: string, run: () => unknown, onFailure?: FailureHandler): Promise<void> {
    try {
        await run();
    }
    catch (error) {
        recordTaskFailure(name, error);
        if (onFailure) {
            callGuarded(`${name}, after its failure`, () => onFailure(error));
        }
    }
}

/**
 * Calls a function that others depend on not to throw: one of several that are due, or a callback of a socket.
 *
 * @param name - constant name for the log and the metrics
 * @param call - function to call
 * @param onFailure - takes back what the call held
 * @returns what the function returned; `undefined` when it threw
 */
export function callGuarded<Value>(name: string, call: () => Value, onFailure?: FailureHandler): Value | undefined {
    try {
        return call();
    }
    catch (error) {
        recordTaskFailure(name, error);
        if (onFailure) {
            callGuarded(`${name}, after its failure`, () => onFailure(error));
        }
        return undefined;
    }
}

/**
 * Logs and counts a failure that its caller handles itself.
 *
 * @param name - constant name of what failed
 * @param error - what was thrown
 */
export function recordTaskFailure(name: string, error: unknown): void {
    failureCounts.set(name, (failureCounts.get(name) ?? 0) + 1);
    const { reason, calls } = describeFailure(error);
    log.error("task failed", { task: name, reason, calls });
}

/**
 * Returns the number of failures of each task of this process since its start.
 *
 * @returns names and numbers, without tasks that have not failed
 */
export function listTaskFailures(): ReadonlyMap<string, number> {
    return failureCounts;
}

// what was thrown may throw again when it is described
function describeFailure(error: unknown): { readonly reason: string; readonly calls: readonly string[]; } {
    try {
        return describeProcessEnd(error, "");
    }
    catch {
        return { reason: "an error that can't be described", calls: [] };
    }
}
