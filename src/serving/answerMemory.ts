/**
 * Bounds the memory that all answers of this instance hold together before they are delivered: responses that are kept
 * until they are complete, and events that aren't complete yet. At the bound the answer that holds most gives up.
 *
 * @packageDocumentation
 */

/** Memory of all answers. */
export interface AnswerMemory {
    /**
     * Adds an answer that holds nothing yet.
     *
     * @param giveUp - called when the answer holds most and the bound is passed; it must then hold less
     */
    readonly open: (giveUp: () => void) => HeldMemory;
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

interface Holder {
    bytes: number;
    readonly giveUp: () => void;
}

/**
 * Bound of all answers of an instance. A machine has 350 MB, of which the heap may take 160 MB; a third of the rest is for
 * what answers hold, the others for the program itself and for what passes through.
 */
export const answerMemoryBytes = 64 * 1_048_576;

/**
 * Creates the memory without answers.
 *
 * @param limit - bound in bytes
 * @returns the memory, of which an instance needs one object
 */
export function createAnswerMemory(limit: number = answerMemoryBytes): AnswerMemory {
    const holders = new Set<Holder>();
    let total = 0;
    const setBytes = (holder: Holder, bytes: number): void => {
        total += bytes - holder.bytes;
        holder.bytes = bytes;
    };
    // one that gives up is asked only once for what it holds
    const limitTotal = (): void => {
        while (total > limit) {
            const largest = [...holders].reduce((first, second) => second.bytes > first.bytes ? second : first);
            setBytes(largest, 0);
            holders.delete(largest);
            largest.giveUp();
        }
    };
    return {
        open: giveUp => {
            const holder: Holder = { bytes: 0, giveUp };
            let isClosed = false;
            return {
                set: bytes => {
                    if (isClosed || bytes === holder.bytes) {
                        return;
                    }
                    setBytes(holder, bytes);
                    if (bytes === 0) {
                        holders.delete(holder);
                        return;
                    }
                    holders.add(holder);
                    limitTotal();
                },
                close: () => {
                    isClosed = true;
                    setBytes(holder, 0);
                    holders.delete(holder);
                },
            };
        },
        countBytes: () => total,
    };
}
