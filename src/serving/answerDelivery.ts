/**
 * Delivers the body of one answer: the chunks of a read together, nothing while the delivery is paused, and the end after
 * all of them.
 *
 * @packageDocumentation
 */
import { createByteStore } from "./byteStore.js";
import type { ServerSocket } from "./serverSockets.js";

/** Delivery of one answer. */
export interface AnswerDelivery {
    /** Begins with the head; the body comes over this connection. */
    readonly begin: (socket: ServerSocket | undefined) => void;
    readonly push: (chunk: Buffer) => void;
    /** Delivers what has come, unless the delivery is paused. */
    readonly flush: () => void;
    /** Calls `notify` once all is delivered. */
    readonly end: (notify: () => void) => void;
    /** Forgets what isn't delivered, and lets the connection go. */
    readonly discard: () => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

/**
 * Creates the delivery of an answer whose head hasn't come.
 *
 * @param onData - called with the bytes of the body
 * @param onRead - has `flush` called, with a guard, at the end of each read
 * @returns the delivery
 */
export function createAnswerDelivery(onData: (chunk: Buffer) => void, onRead: () => void): AnswerDelivery {
    const store = createByteStore();
    let socket: ServerSocket | undefined;
    // the only chunk since the last delivery, which needs no copy
    let single: Buffer | undefined;
    let undelivered: Buffer[] = [];
    let isPaused = false;
    let finish: (() => void) | undefined;
    const releaseSocket = (): void => {
        if (socket) {
            socket.onRead = undefined;
            socket.release();
            socket = undefined;
        }
    };
    const takeAll = (): void => {
        undelivered.push(...single ? [single] : store.take());
        single = undefined;
    };
    const flush = (): void => {
        if (isPaused) {
            return;
        }
        takeAll();
        for (let chunk = undelivered.shift(); chunk; chunk = isPaused ? undefined : undelivered.shift()) {
            onData(chunk);
        }
        if (!isPaused && finish) {
            const finishOnce = finish;
            finish = undefined;
            finishOnce();
        }
    };
    return {
        begin: begun => {
            socket = begun;
            if (socket) {
                socket.onRead = onRead;
            }
        },
        push: chunk => {
            if (single) {
                store.push(single);
                single = undefined;
            }
            if (store.countBytes() > 0) {
                store.push(chunk);
                return;
            }
            single = chunk;
        },
        flush,
        end: notify => {
            releaseSocket();
            finish = notify;
            flush();
        },
        discard: () => {
            releaseSocket();
            single = undefined;
            store.take();
            undelivered = [];
            finish = undefined;
        },
        pause: () => {
            isPaused = true;
            socket?.hold();
        },
        resume: () => {
            isPaused = false;
            onRead();
            if (!isPaused) {
                socket?.release();
            }
        },
    };
}
