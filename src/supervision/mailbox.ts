/**
 * Typed message queues between tasks, built on emittery.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import { startTask } from "./backgroundTasks.js";

/** Message queue of a task: messages are handled one at a time, in the order in which they were added. */
export interface Mailbox<Message> {
    /** Adds a message to the queue without waiting for its handling. */
    readonly put: (message: Message) => void;
    /** Number of messages in the queue; the batch that is being handled is not included. */
    readonly size: () => number;
    /**
     * Handles messages in batches until the signal is aborted; a batch that was begun is handled to its end. Rejects if
     * the handler throws, and the unhandled messages of that batch are then lost.
     */
    readonly listen: (handle: (message: Message) => Promise<void> | void, signal: AbortSignal) => Promise<void>;
}

interface MailboxEvents {
    readonly arrival: undefined;
}

/**
 * Creates a mailbox.
 *
 * @returns an empty mailbox
 */
export function createMailbox<Message>(): Mailbox<Message> {
    const events = new Emittery<MailboxEvents>();
    const waiting: Message[] = [];
    const put = (message: Message): void => {
        waiting.push(message);
        if (waiting.length === 1) {
            startTask("arrival in a mailbox", () => events.emit("arrival"));
        }
    };
    const listen = async (
        handle: (message: Message) => Promise<void> | void,
        signal: AbortSignal,
    ): Promise<void> => {
        let wake: () => void = () => undefined;
        const stopListening = events.on("arrival", () => wake());
        const stopWaiting = (): void => wake();
        signal.addEventListener("abort", stopWaiting);
        try {
            while (!signal.aborted) {
                const batch = waiting.splice(0);
                for (const message of batch) {
                    await handle(message);
                }
                if (waiting.length === 0 && !signal.aborted) {
                    await new Promise<void>(resolve => wake = resolve);
                }
            }
        }
        finally {
            stopListening();
            signal.removeEventListener("abort", stopWaiting);
        }
    };
    return { put, size: () => waiting.length, listen };
}
