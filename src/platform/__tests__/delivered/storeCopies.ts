/**
 * Copies of a state of the stand-in store over the last seconds, as a restore needs them.
 */

/** Copies, oldest first. */
export interface StoreCopies<State> {
    /** Copies the state as it stands at a time, in milliseconds. */
    readonly add: (state: State, now: number) => void;
    /** Returns the state of a time and forgets what came later; `undefined` where there was none yet. */
    readonly restore: (at: number) => State | undefined;
}

const keptMilliseconds = 20_000;

/**
 * Creates copies, of which there are none.
 *
 * @returns the copies
 */
export function createStoreCopies<State>(): StoreCopies<State> {
    let copies: { readonly at: number; readonly state: State; }[] = [];
    const findLast = (at: number): number => copies.findLastIndex(copy => copy.at <= at);
    return {
        add: (state, now) => {
            // the newest of the old ones tells the state of the time after it
            copies = copies.slice(Math.max(0, findLast(now - keptMilliseconds)));
            copies.push({ at: now, state: structuredClone(state) });
        },
        restore: at => {
            copies = copies.slice(0, findLast(at) + 1);
            return structuredClone(copies.at(-1)?.state);
        },
    };
}
