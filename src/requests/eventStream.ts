/**
 * A queue of events between a request's runner and the reader of its answer.
 *
 * @packageDocumentation
 */
import Denque from "denque";

/** Events in order, for one reader; reading waits for the next one. */
export interface EventStream<Event> extends AsyncIterable<Event> {
    readonly push: (event: Event) => void;
    /** Ends the stream after what was pushed. */
    readonly close: () => void;
}

/**
 * Creates an empty stream. A waiting reader gets an event straight from `push`: this runs for each token.
 *
 * @param onEnd - called once, when the stream is closed or its reader leaves
 * @returns the stream
 */
export function createEventStream<Event>(onEnd: () => void): EventStream<Event> {
    const waiting = new Denque<Event>();
    let closed = false;
    let resolveRead: ((result: IteratorResult<Event, undefined>) => void) | undefined;
    const resolvePendingRead = (result: IteratorResult<Event, undefined>): void => {
        const resolve = resolveRead;
        resolveRead = undefined;
        resolve?.(result);
    };
    const close = (): void => {
        if (!closed) {
            closed = true;
            onEnd();
        }
        resolvePendingRead({ done: true, value: undefined });
    };
    const readNext = (): Promise<IteratorResult<Event, undefined>> => {
        const event = waiting.shift();
        if (event !== undefined) {
            return Promise.resolve({ done: false, value: event });
        }
        return closed
            ? Promise.resolve({ done: true, value: undefined })
            : new Promise(resolve => resolveRead = resolve);
    };
    return {
        push: event => {
            if (resolveRead) {
                resolvePendingRead({ done: false, value: event });
            }
            else {
                waiting.push(event);
            }
        },
        close,
        [Symbol.asyncIterator]: () => ({
            next: readNext,
            return: () => {
                close();
                return Promise.resolve({ done: true, value: undefined });
            },
        }),
    };
}
