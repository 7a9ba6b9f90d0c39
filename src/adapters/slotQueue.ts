/**
 * Requests that wait until an engine can load their adapter. A freed slot wakes the most urgent one only; the woken
 * request wakes the next one if there is room for more. Nothing is computed for a request while it waits.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { AdapterKey } from "./messages.js";

/** A request that waits. Times are on the instance's clock. */
export interface SlotWait {
    readonly key: AdapterKey;
    /** Lower numbers go first. */
    readonly priority: number;
    /** Latest end of a load with which the request can still be answered within its target latency. */
    readonly usefulUntil: Milliseconds;
    /** Time at which the request stops waiting. */
    readonly until: Milliseconds;
}

/** Queue of waiting requests. */
export interface SlotQueue {
    /** Resolves when the request is woken, its time has passed or the signal is aborted. */
    readonly wait: (request: SlotWait, signal: AbortSignal) => Promise<void>;
    /** Wakes the most urgent request: one that can be in time before others, then by priority, then by its time. */
    readonly wakeNext: (now: Milliseconds) => void;
    /** Wakes all requests for an adapter that has become resident; without a key those for all adapters. */
    readonly wakeAll: (key?: AdapterKey) => void;
}

interface WaitingRequest extends SlotWait {
    readonly wake: () => void;
}

/**
 * Creates an empty queue.
 *
 * @param clock - source of the time limits
 * @returns the queue, owned by the caller
 */
export function createSlotQueue(clock: Clock): SlotQueue {
    const waiting = new Set<WaitingRequest>();
    return {
        wait: (request, signal) =>
            new Promise(resolve => {
                const cancel = new AbortController();
                const entry: WaitingRequest = {
                    ...request,
                    wake: () => {
                        waiting.delete(entry);
                        signal.removeEventListener("abort", entry.wake);
                        cancel.abort();
                        resolve();
                    },
                };
                waiting.add(entry);
                signal.addEventListener("abort", entry.wake, { once: true });
                const waitUntilEnd = async (): Promise<void> => {
                    await clock.sleep(Math.max(0, request.until - clock.now()), cancel.signal);
                    entry.wake();
                };
                startTask("wait for a slot", waitUntilEnd, entry.wake);
            }),
        wakeNext: now => {
            let first: WaitingRequest | undefined;
            for (const entry of waiting) {
                first = !first || isBefore(entry, first, now) ? entry : first;
            }
            first?.wake();
        },
        wakeAll: key =>
            [...waiting].filter(entry => key === undefined || entry.key === key).forEach(entry => entry.wake()),
    };
}

function isBefore(left: SlotWait, right: SlotWait, now: Milliseconds): boolean {
    const isLeftOnTime = left.usefulUntil > now;
    if (isLeftOnTime !== right.usefulUntil > now) {
        return isLeftOnTime;
    }
    return left.priority === right.priority
        ? left.usefulUntil < right.usefulUntil
        : left.priority < right.priority;
}
