/**
 * Deterministic simulation of a group of nodes. A history is one seeded run in virtual time, in which messages are
 * delayed, lost, duplicated, or deferred while a node is paused. The behavior of the nodes comes from the code under
 * test.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import { type Clock, createSeededRandom, type Milliseconds, type SeededRandom } from "../shared/index.js";

/** Options of {@link createHistory}. */
export interface HistoryOptions {
    readonly seed: number;
    /** @default 1 */
    readonly minimumDelay?: Milliseconds;
    /** @default 5 */
    readonly maximumDelay?: Milliseconds;
    /** Probability from 0 to 1 that a message is lost. @default 0 */
    readonly lossRate?: number;
    /** Probability from 0 to 1 that a message is sent twice. @default 0 */
    readonly duplicateRate?: number;
    /** Called after each step; throws when an invariant is violated. */
    readonly check?: (now: Milliseconds) => void;
}

/** A simulated run, driven by a test or a bench. */
export interface History<Message> {
    readonly random: SeededRandom;
    readonly now: () => Milliseconds;
    /** Clock that reads virtual time. Its sleeps only end under `runAsync`. */
    readonly clock: Clock;
    /** Sets the message handler of a node. A node without a handler is down and loses its messages. */
    readonly setHandler: (node: string, handler: ((from: string, message: Message) => void) | undefined) => void;
    /** Sends a message between nodes. */
    readonly send: (from: string, to: string, message: Message) => void;
    /** Runs an action after a delay, independent of pauses and crashes of nodes. */
    readonly schedule: (delay: Milliseconds, action: () => void) => void;
    /** Runs an action of a node after a delay. A pause of the node defers the action; a crash drops it. */
    readonly scheduleOn: (node: string, delay: Milliseconds, action: () => void) => void;
    /** Defers the messages and actions of a node for a time, like a process that was stopped by a signal. */
    readonly pause: (node: string, duration: Milliseconds) => void;
    readonly isPaused: (node: string) => boolean;
    /** Removes the handler of a node and drops the actions that were scheduled on it. */
    readonly crash: (node: string) => void;
    /** Creates a network partition: every message between the two groups is lost in both directions for a time. */
    readonly cut: (left: readonly string[], right: readonly string[], duration: Milliseconds) => void;
    /** Runs all steps that are due up to and including the given time. */
    readonly run: (until: Milliseconds) => void;
    /** Does the same as `run`, and lets pending promises settle after each step. */
    readonly runAsync: (until: Milliseconds) => Promise<void>;
}

interface Step {
    readonly at: Milliseconds;
    readonly order: number;
    readonly node: string | undefined;
    readonly crashCount: number;
    readonly action: () => void;
}

interface Cut {
    readonly left: ReadonlySet<string>;
    readonly right: ReadonlySet<string>;
    readonly until: Milliseconds;
}

/**
 * Creates an empty history at time 0.
 *
 * @param options - seed, message delays and fault probabilities
 * @returns the history, without nodes or scheduled steps
 */
export function createHistory<Message>(options: HistoryOptions): History<Message> {
    const random = createSeededRandom(options.seed);
    const steps = new Heap<Step>((left, right) => left.at - right.at || left.order - right.order);
    const handlers = new Map<string, (from: string, message: Message) => void>();
    const pausedUntil = new Map<string, Milliseconds>();
    const crashCounts = new Map<string, number>();
    let cuts: readonly Cut[] = [];
    let now: Milliseconds = 0;
    let order = 0;

    const readCrashCount = (node: string): number => crashCounts.get(node) ?? 0;
    const addStep = (node: string | undefined, at: Milliseconds, action: () => void): void => {
        steps.push({ at, order: order++, node, crashCount: node === undefined ? 0 : readCrashCount(node), action });
    };
    const isPaused = (node: string): boolean => (pausedUntil.get(node) ?? 0) > now;
    const isCut = (from: string, to: string): boolean =>
        cuts.some(cut =>
            cut.until > now
            && ((cut.left.has(from) && cut.right.has(to)) || (cut.left.has(to) && cut.right.has(from)))
        );
    const deliver = (from: string, to: string, message: Message): void => {
        const delay = random.between(options.minimumDelay ?? 1, options.maximumDelay ?? 5);
        // a node that restarts before the delivery receives the message after its restart, as with a reused address
        const deliverNow = (): void => {
            if (isPaused(to)) {
                addStep(undefined, pausedUntil.get(to)!, deliverNow);
            }
            else if (!isCut(from, to)) {
                handlers.get(to)?.(from, message);
            }
        };
        addStep(undefined, now + delay, deliverNow);
    };
    const runStep = (step: Step): void => {
        now = Math.max(now, step.at);
        if (step.node !== undefined) {
            if (step.crashCount !== readCrashCount(step.node)) {
                return;
            }
            if (isPaused(step.node)) {
                steps.push({ ...step, at: pausedUntil.get(step.node)!, order: order++ });
                return;
            }
        }
        step.action();
        options.check?.(now);
    };
    const takeStep = (until: Milliseconds): Step | undefined => {
        const next = steps.peek();
        return next && next.at <= until ? steps.pop() : undefined;
    };

    return {
        random,
        now: () => now,
        clock: createVirtualClock(() => now, (delay, action) => addStep(undefined, now + delay, action)),
        isPaused,
        setHandler: (node, handler) => {
            if (handler) {
                handlers.set(node, handler);
            }
            else {
                handlers.delete(node);
            }
        },
        send: (from, to, message) => {
            const copies = random.chance(options.duplicateRate ?? 0) ? 2 : 1;
            for (let copy = 0; copy < copies; copy++) {
                if (!random.chance(options.lossRate ?? 0) && !isCut(from, to)) {
                    deliver(from, to, message);
                }
            }
        },
        schedule: (delay, action) => addStep(undefined, now + delay, action),
        scheduleOn: (node, delay, action) => addStep(node, now + delay, action),
        pause: (node, duration) => {
            pausedUntil.set(node, Math.max(pausedUntil.get(node) ?? 0, now + duration));
        },
        crash: node => {
            crashCounts.set(node, readCrashCount(node) + 1);
            handlers.delete(node);
            pausedUntil.delete(node);
        },
        cut: (left, right, duration) => {
            cuts = [...cuts.filter(cut => cut.until > now), {
                left: new Set(left),
                right: new Set(right),
                until: now + duration,
            }];
        },
        run: until => {
            for (let step = takeStep(until); step; step = takeStep(until)) {
                runStep(step);
            }
            now = Math.max(now, until);
        },
        runAsync: async until => {
            await settlePromises();
            for (let step = takeStep(until); step; step = takeStep(until)) {
                runStep(step);
                await settlePromises();
            }
            now = Math.max(now, until);
        },
    };
}

/**
 * Creates a clock that reads virtual time.
 *
 * @param now - returns the current virtual time
 * @param schedule - runs an action after a delay; it may drop the action, and then the sleep ends only by its signal
 * @returns the clock
 */
export function createVirtualClock(
    now: () => Milliseconds,
    schedule: (delay: Milliseconds, action: () => void) => void,
): Clock {
    const sleep = (duration: Milliseconds, signal?: AbortSignal): Promise<void> =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = (): void => {
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            signal?.addEventListener("abort", finish, { once: true });
            schedule(Math.max(0, duration), finish);
        });
    return { now, sleep };
}

function settlePromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
