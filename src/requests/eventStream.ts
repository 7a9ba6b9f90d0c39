/**
 * Queue that passes events from the runner of a request to the single reader of its response.
 *
 * @packageDocumentation
 */
import Denque from "denque";

/** Ordered queue of events for a single reader, whose read waits until the next event is pushed. */
export interface EventStream<Event> extends AsyncIterable<Event> {
    readonly push: (event: Event) => void;
    /** Ends the stream; events that were already pushed can still be read. */
    readonly close: () => void;
}

/**
 * Creates an empty stream. `push` passes an event directly to a waiting reader without queueing it, because it is
 * called for every token of a response. The queue has no limit of its own.
 *
 * @param onEnd - called once, when the stream is closed or the reader stops reading
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
