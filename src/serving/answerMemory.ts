/**
 * Bounds the memory that all answers of this instance hold together before they are delivered: responses that are kept
 * until they are complete, and events that aren't complete yet. Near the bound large answers wait, so that their servers
 * send no more; the one that holds most gives up when that lasts, or at once at the bound.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** What an answer is told; each call may have the answer hold less. */
export interface MemoryHolder {
    /** Called when the answer holds most and there is no room; it must then hold less. */
    readonly giveUp: () => void;
    /** Called when nothing more of the answer is to be read for now. @default it can't wait, and gives up at the bound only */
    readonly pause?: () => void;
    readonly resume?: () => void;
}

/** Memory of all answers. */
export interface AnswerMemory {
    /** Adds an answer that holds nothing yet. */
    readonly open: (holder: MemoryHolder) => HeldMemory;
    /** Returns what all answers hold, in bytes. */
    readonly countBytes: () => number;
}

/** Memory of one answer. */
export interface HeldMemory {
    /** Records how much the answer holds now, in bytes. */
    readonly set: (bytes: number) => void;
    /** Ends the answer, which holds nothing more. */
    readonly close: () => void;
}

interface Entry extends MemoryHolder {
    bytes: number;
}

/**
 * Bound of all answers of an instance. A machine has 350 MB, of which the heap may take 160 MB; a third of the rest is for
 * what answers hold, the others for the program itself and for what passes through.
 */
export const answerMemoryBytes = 64 * 1_048_576;
/** Part of the bound from which on answers that hold more than `smallBytes` wait. */
const waitingRatio = 0.75;
const smallBytes = 65_536;
/** Time for which answers wait for room before the one that holds most gives up. */
const patienceMilliseconds: Milliseconds = 250;

/**
 * Creates the memory without answers.
 *
 * @param limit - bound in bytes
 * @param startTimer - calls back after a time
 * @returns the memory, of which an instance needs one object
 */
export function createAnswerMemory(
    limit: number = answerMemoryBytes,
    startTimer: (end: () => void, duration: Milliseconds) => void = startUnreferenced,
): AnswerMemory {
    const entries = new Set<Entry>();
    const waiting = new Set<Entry>();
    const waitingLimit = limit * waitingRatio;
    let total = 0;
    let isTimed = false;
    const setBytes = (entry: Entry, bytes: number): void => {
        total += bytes - entry.bytes;
        entry.bytes = bytes;
        if (bytes === 0) {
            entries.delete(entry);
        }
    };
    const resumeWaiting = (entry: Entry): void => {
        if (waiting.delete(entry)) {
            entry.resume?.();
        }
    };
    // each that goes on may take one more read
    const resumeSome = (): void => {
        const count = Math.floor((waitingLimit - total) / smallBytes);
        for (const entry of [...waiting].slice(0, Math.max(0, count))) {
            resumeWaiting(entry);
        }
    };
    // one that gives up is asked only once for what it holds
    const shrinkLargest = (among: Iterable<Entry>): void => {
        const largest = [...among].reduce((first, second) => second.bytes > first.bytes ? second : first);
        setBytes(largest, 0);
        largest.giveUp();
        resumeWaiting(largest);
        resumeSome();
    };
    const expectRoom = (): void => {
        if (!isTimed) {
            isTimed = true;
            startTimer(() => {
                isTimed = false;
                if (waiting.size > 0) {
                    shrinkLargest([...entries].filter(entry => entry.pause));
                }
                if (waiting.size > 0) {
                    expectRoom();
                }
            }, patienceMilliseconds);
        }
    };
    return {
        open: holder => {
            const entry: Entry = { ...holder, bytes: 0 };
            let isClosed = false;
            return {
                set: bytes => {
                    if (isClosed || bytes === entry.bytes) {
                        return;
                    }
                    setBytes(entry, bytes);
                    if (bytes <= smallBytes) {
                        resumeWaiting(entry);
                    }
                    if (bytes === 0) {
                        resumeSome();
                        return;
                    }
                    entries.add(entry);
                    if (entry.pause && total > waitingLimit && bytes > smallBytes && !waiting.has(entry)) {
                        waiting.add(entry);
                        entry.pause();
                        expectRoom();
                    }
                    while (total > limit) {
                        shrinkLargest(entries);
                    }
                },
                close: () => {
                    isClosed = true;
                    setBytes(entry, 0);
                    waiting.delete(entry);
                    resumeSome();
                },
            };
        },
        countBytes: () => total,
    };
}

function startUnreferenced(end: () => void, duration: Milliseconds): void {
    setTimeout(end, duration).unref();
}
