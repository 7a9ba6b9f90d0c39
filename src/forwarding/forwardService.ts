/**
 * Sends attempts of instances that reach no server, and keeps their events until they are asked for.
 *
 * @packageDocumentation
 */
import { type AnswerMemory, createAnswerMemory, type HeldMemory } from "../serving/answerMemory.js";
import { type ByteStore, createByteStore } from "../serving/byteStore.js";
import type { Attempt, AttemptFault, ServerConnections } from "../serving/serverConnections.js";
import type { BackendServer, ServerResponseHead, ServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { recordTaskFailure } from "../supervision/index.js";
import type { AttemptEvent, ForwardingMessage, StartMessage } from "./messages.js";

/** Dependencies of the service. */
export interface ForwardServiceOptions {
    readonly clock: Clock;
    /** Connections that lead to the servers directly. */
    readonly connections: Pick<ServerConnections, "send">;
    readonly findServer: (run: ServerRunId) => BackendServer | undefined;
    /** Whether this instance reaches servers itself: an attempt is never forwarded twice. */
    readonly isReaching: () => boolean;
    /** Whether this instance stops and begins no attempts of others. */
    readonly isStopping: () => boolean;
    /** Memory of all answers of this instance. @default one for these attempts alone */
    readonly answerMemory?: Pick<AnswerMemory, "open">;
}

/** Service for other instances. */
export interface ForwardService {
    readonly start: (message: StartMessage) => Promise<ForwardingMessage>;
    readonly read: (id: string) => Promise<ForwardingMessage>;
    /** Keeps an attempt whose client doesn't read at present, so that nobody asks for its events. */
    readonly keep: (id: string) => void;
    readonly abort: (id: string) => void;
    readonly hasRoom: () => boolean;
    /** Returns the number of attempts of others in progress. */
    readonly countAttempts: () => number;
    /** Ends attempts whose events nobody asks for, and which nobody keeps any more. */
    readonly expire: (now: Milliseconds) => void;
}

interface ForwardedAttempt {
    attempt: Attempt | undefined;
    /** Events before the bytes. */
    events: AttemptEvent[];
    /** Memory that the events keep alive. */
    eventBytes: number;
    /** Bytes of the answer that wait to be fetched; small chunks of them are one event. */
    readonly bytes: ByteStore;
    readonly memory: HeldMemory;
    /** Whether the memory of all answers has no room for more. */
    isWaiting: boolean;
    isOver: boolean;
    askedAt: Milliseconds;
    wake: () => void;
}

/** Attempts of others that run at a time; more are refused, so that own clients don't suffer. */
const maximumAttempts = 64;
/** Bytes that wait to be fetched, from which on the server is held back. */
const pauseBytes = 65_536;
/** Time for which an answer waits for an event. */
const waitMilliseconds = 300;
/** Time without a question, or a message that keeps the attempt, after which the sender is taken to have ended. */
const abandonedMilliseconds = 1_500;
/** Memory of a string beside its characters. */
const stringBytes = 16;
const log = createLogger("forwarding");

/**
 * Creates the service without attempts.
 *
 * @param options - servers and their connections
 * @returns the service
 */
export function createForwardService(options: ForwardServiceOptions): ForwardService {
    const { clock, answerMemory = createAnswerMemory() } = options;
    const attempts = new Map<string, ForwardedAttempt>();
    const hasRoom = (): boolean => options.isReaching() && !options.isStopping() && attempts.size < maximumAttempts;
    const add = (entry: ForwardedAttempt, event: AttemptEvent): void => {
        moveBytes(entry);
        entry.events.push(event);
        entry.eventBytes += event.kind === "head" ? estimateHeadBytes(event.head) : 0;
        entry.isOver ||= event.kind === "end" || event.kind === "fault";
        recordMemory(entry);
        entry.wake();
    };
    const addBytes = (entry: ForwardedAttempt, chunk: Buffer): void => {
        entry.bytes.push(chunk);
        if (entry.bytes.countBytes() > pauseBytes) {
            entry.attempt?.pause();
        }
        recordMemory(entry);
        entry.wake();
    };
    const resumeAttempt = (entry: ForwardedAttempt): void => {
        if (!entry.isWaiting && entry.bytes.countBytes() <= pauseBytes) {
            entry.attempt?.resume();
        }
    };
    const openMemory = (id: string): HeldMemory =>
        answerMemory.open({
            // the other instance hears that the attempt is unknown, which is no fault of its server
            giveUp: () => {
                log.warn("attempt of another instance given up for want of memory", { id });
                abort(id);
            },
            pause: () => {
                const entry = attempts.get(id);
                if (entry) {
                    entry.isWaiting = true;
                    entry.attempt?.pause();
                }
            },
            resume: () => {
                const entry = attempts.get(id);
                if (entry) {
                    entry.isWaiting = false;
                    resumeAttempt(entry);
                }
            },
        });
    const take = async (id: string, entry: ForwardedAttempt): Promise<ForwardingMessage> => {
        entry.askedAt = clock.now();
        if (entry.events.length === 0 && entry.bytes.countBytes() === 0) {
            const cancel = new AbortController();
            const woken = new Promise<void>(resolve => entry.wake = resolve);
            await Promise.race([woken, clock.sleep(waitMilliseconds, cancel.signal)]);
            cancel.abort();
        }
        const isFull = entry.bytes.countBytes() > pauseBytes;
        moveBytes(entry);
        // what goes on below may bring the end at once, which is fetched next time
        const { events, isOver } = entry;
        entry.askedAt = clock.now();
        entry.events = [];
        entry.eventBytes = 0;
        entry.memory.set(0);
        if (isFull) {
            resumeAttempt(entry);
        }
        if (isOver) {
            entry.memory.close();
            attempts.delete(id);
        }
        return { kind: "events", events };
    };
    const abort = (id: string): void => {
        const entry = attempts.get(id);
        if (entry) {
            attempts.delete(id);
            entry.events = [];
            entry.bytes.take();
            entry.memory.close();
            entry.attempt?.abort();
        }
    };
    return {
        start: async message => {
            const server = options.findServer(message.run);
            if (!server || !hasRoom() || attempts.has(message.id)) {
                return { kind: "refused", reason: server ? "no room" : "server not listed" };
            }
            const entry: ForwardedAttempt = {
                attempt: undefined,
                events: [],
                eventBytes: 0,
                bytes: createByteStore(),
                memory: openMemory(message.id),
                isWaiting: false,
                isOver: false,
                askedAt: clock.now(),
                wake: () => undefined,
            };
            attempts.set(message.id, entry);
            const send = (): Attempt =>
                options.connections.send(
                    {
                        server,
                        attemptId: message.attemptId,
                        method: message.method,
                        target: message.target,
                        headers: message.headers,
                        body: message.body && Buffer.from(message.body),
                        wasRefused: message.wasRefused,
                    },
                    {
                        onHead: head => add(entry, { kind: "head", head }),
                        onData: chunk => addBytes(entry, chunk),
                        onEnd: () => add(entry, { kind: "end" }),
                        onFault: fault =>
                            add(entry, {
                                kind: "fault",
                                fault: {
                                    kind: describeFaultKind(fault),
                                    detail: fault.detail,
                                    ...fault.kind === "broken" && fault.isNoAnswer && { isNoAnswer: true },
                                },
                            }),
                    },
                );
            try {
                entry.attempt = send();
            }
            catch (error) {
                // nothing was sent, so that the other instance may choose again
                entry.memory.close();
                attempts.delete(message.id);
                recordTaskFailure("attempt of another instance", error);
                return { kind: "refused", reason: "failed inside" };
            }
            return take(message.id, entry);
        },
        read: async id => {
            const entry = attempts.get(id);
            return entry ? take(id, entry) : { kind: "refused", reason: "attempt unknown" };
        },
        keep: id => {
            const entry = attempts.get(id);
            if (entry) {
                entry.askedAt = clock.now();
            }
        },
        abort,
        hasRoom,
        countAttempts: () => attempts.size,
        expire: now => {
            [...attempts].filter(([, { askedAt }]) => now - askedAt > abandonedMilliseconds).forEach(
                ([id, { askedAt }]) => {
                    log.info("forwarded attempt abandoned", { id, silence: Math.round(now - askedAt) });
                    abort(id);
                },
            );
        },
    };
}

// the bytes come before whatever event comes next
function moveBytes(entry: ForwardedAttempt): void {
    entry.eventBytes += entry.bytes.countHeldBytes();
    entry.bytes.take().forEach(chunk => entry.events.push({ kind: "data", chunk }));
}

function recordMemory({ bytes, eventBytes, memory }: ForwardedAttempt): void {
    memory.set(bytes.countHeldBytes() + eventBytes);
}

function estimateHeadBytes({ passedHeaders }: ServerResponseHead): number {
    return passedHeaders.reduce((sum, text) => sum + text.length + stringBytes, 0);
}

// the sender checks its requests itself; one of an older version doesn't know `unsendable`
function describeFaultKind({ kind }: AttemptFault): Exclude<AttemptFault["kind"], "rerouted" | "unsendable"> {
    switch (kind) {
        case "rerouted":
            return "notSent";
        case "unsendable":
            return "withdrawn";
        case "notSent":
        case "withdrawn":
        case "broken":
        case "crossed":
            return kind;
    }
}
