/**
 * Driver of seeded histories: virtual time, and messages that are delayed, lost, doubled or held back by a pause.
 * It knows nothing of machines or networks beyond that; the deciding functions under test do the rest.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import { type Clock, createSeededRandom, type Milliseconds, type SeededRandom } from "../shared/index.js";

/** Settings of a history. */
export interface HistoryOptions {
    readonly seed: number;
    /** @default 1 */
    readonly minimumDelay?: Milliseconds;
    /** @default 5 */
    readonly maximumDelay?: Milliseconds;
    /** Part of the messages that are lost. @default 0 */
    readonly lossRate?: number;
    /** Part of the messages that arrive twice. @default 0 */
    readonly duplicateRate?: number;
    /** Called after each step; throws when a promise is broken. */
    readonly check?: (now: Milliseconds) => void;
}

/** A history that tests and benches run. */
export interface History<Message> {
    readonly random: SeededRandom;
    readonly now: () => Milliseconds;
    /** A clock on virtual time, for tasks that sleep; needs `runAsync`. */
    readonly clock: Clock;
    /** Sets what a node does with a message; a node without a handler is down. */
    readonly setHandler: (node: string, handler: ((from: string, message: Message) => void) | undefined) => void;
    /** Sends a message between nodes. */
    readonly send: (from: string, to: string, message: Message) => void;
    /** Runs an action later, whatever happens to the nodes. */
    readonly schedule: (delay: Milliseconds, action: () => void) => void;
    /** Runs an action of a node later; after its pause if it is paused, not at all once it has crashed. */
    readonly scheduleOn: (node: string, delay: Milliseconds, action: () => void) => void;
    /** Holds back everything of a node, as a stopped process would. */
    readonly pause: (node: string, duration: Milliseconds) => void;
    readonly isPaused: (node: string) => boolean;
    /** Drops the node's handler and its scheduled actions. */
    readonly crash: (node: string) => void;
    /** Loses every message between the two groups, both ways, for a time. */
    readonly cut: (left: readonly string[], right: readonly string[], duration: Milliseconds) => void;
    /** Runs all steps up to a time. */
    readonly run: (until: Milliseconds) => void;
    /** As `run`, and lets promises settle after each step. */
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
 * @param options - seed and faults of the message exchange
 * @returns the history
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
        // a message to a node that restarts meanwhile reaches its next life, as over a reused address
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
 * Creates a clock on virtual time.
 *
 * @param now - reads the time
 * @param schedule - runs an action later, or never
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
