/**
 * Exceptions at the boundaries of tasks: functions that are given to an instance throw or reject, drawn from a seed.
 */
import { createSeededRandom } from "../../shared/index.js";

/** Source of exceptions, which throws nothing before it is armed. */
export interface FaultPoint {
    /** Returns the same functions, which fail at times; a function is named by its owner and its own name. */
    readonly wrap: <Owner extends object>(name: string, owner: Owner) => Owner;
    /** Has the next call of a function fail, and a share of the later ones. */
    readonly arm: (call: string, ratio: number) => void;
    readonly disarm: () => void;
    /** Number of exceptions so far. */
    readonly countThrown: () => number;
}

/** Exceptions and rejections that nothing handled; each of them ends a process. */
export interface ProcessEnds {
    readonly list: () => readonly string[];
    readonly stop: () => void;
}

const endEvents = ["uncaughtException", "unhandledRejection"] as const;
// a call that fails with a rejection, as that of an async function does, needs a caller that waits for a promise
const asyncCalls = new Set([
    "append",
    "readNewest",
    "readFrom",
    "readAll",
    "join",
    "leave",
    "listOwners",
    "order",
    "report",
    "sleep",
]);

/**
 * Creates a source of exceptions.
 *
 * @param seed - seed of what fails
 * @returns the source
 */
export function createFaultPoint(seed: number): FaultPoint {
    const random = createSeededRandom(seed);
    const ratios = new Map<string, number>();
    const due = new Set<string>();
    let thrown = 0;
    const callOrFail = (call: string, run: () => unknown): unknown => {
        if (!due.delete(call) && random.next() >= (ratios.get(call) ?? 0)) {
            return run();
        }
        thrown++;
        const error = new TypeError(`injected at ${call}`);
        if (asyncCalls.has(call.split(".")[1]!) && random.next() < 0.5) {
            return Promise.reject(error);
        }
        throw error;
    };
    return {
        wrap: (name, owner) =>
            Object.fromEntries(
                Object.entries(owner).map(([key, value]) => [
                    key,
                    typeof value === "function"
                        ? (...values: unknown[]) =>
                            callOrFail(`${name}.${key}`, () => (value as (...all: unknown[]) => unknown)(...values))
                        : value,
                ]),
            ) as typeof owner,
        arm: (call, ratio) => {
            ratios.set(call, ratio);
            due.add(call);
        },
        disarm: () => {
            ratios.clear();
            due.clear();
        },
        countThrown: () => thrown,
    };
}

/**
 * Collects what would end this process, in the place of the test runner, which fails the test at the first one.
 *
 * @returns the collection; the caller stops it
 */
export function collectProcessEnds(): ProcessEnds {
    const ends: string[] = [];
    const collect = (error: unknown): void => {
        ends.push(error instanceof Error ? error.stack ?? error.message : String(error));
    };
    const others = endEvents.map(event => process.listeners(event as "uncaughtException"));
    endEvents.forEach(event => process.removeAllListeners(event).on(event, collect));
    return {
        list: () => ends,
        stop: () =>
            endEvents.forEach((event, index) => {
                process.removeListener(event, collect);
                others[index]!.forEach(listener => process.on(event as "uncaughtException", listener));
            }),
    };
}
