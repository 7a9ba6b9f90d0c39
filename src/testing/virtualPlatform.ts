/**
 * The platform's log and list and the connections between instances in the virtual time of a history, with their faults:
 * outages, answers lost after taking effect, appends that take effect late or twice, expiry, and a list that lags.
 *
 * @packageDocumentation
 */
import type { InstanceList, Listing, LogError, LogPage, LogRecord, LogService, LogStream } from "../backends/index.js";
import type { PeerError, PeerHandler, PeerMessagesByTopic, PeerNetwork, PeerTopic } from "../peers/index.js";
import { type Clock, type LogOffset, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import { createVirtualClock, type History } from "./history.js";

/** Faults of the virtual log. */
export interface VirtualLogFaults {
    /** Part of the calls whose answer is lost after taking effect. */
    readonly lostAnswerRate: number;
    /** Part of the appends that take effect twice. */
    readonly duplicateAppendRate: number;
    /** Longest time after which a lost append still takes effect. */
    readonly maximumEffectDelay: Milliseconds;
}

/** Message between two nodes of the history. */
export type VirtualMessage =
    | { readonly kind: "send"; readonly topic: PeerTopic; readonly body: PeerMessagesByTopic[PeerTopic]; }
    | {
        readonly kind: "request";
        readonly id: number;
        readonly topic: PeerTopic;
        readonly body: PeerMessagesByTopic[PeerTopic];
    }
    | { readonly kind: "answer"; readonly id: number; readonly body: PeerMessagesByTopic[PeerTopic] | undefined; };

/** The virtual log. */
export interface VirtualLog {
    /** Creates a node's client. */
    readonly createClient: (node: string) => LogService;
    /** Every record that was ever appended, expired ones included. */
    readonly listRecords: (stream: LogStream) => readonly LogRecord[];
    readonly countAppends: () => number;
    readonly setFaults: (faults: VirtualLogFaults) => void;
    /** Takes the log down for a time. */
    readonly stop: (duration: Milliseconds) => void;
    /** Cuts one node off from the log for a time. */
    readonly cutNode: (node: string, duration: Milliseconds) => void;
    /** Forgets the records before an offset. */
    readonly expire: (stream: LogStream, before: LogOffset) => void;
}

/** No faults. */
export const noLogFaults: VirtualLogFaults = { lostAnswerRate: 0, duplicateAppendRate: 0, maximumEffectDelay: 0 };

const answerTimeoutMilliseconds = 400;
const callDelayMilliseconds = 5;
const defaultPageRecords = 500;

interface VirtualStream {
    readonly records: LogRecord[];
    readonly waiting: Set<() => void>;
    earliest: LogOffset;
}

/**
 * Creates a clock of a node: its sleeps are held back while the node is paused and never end once it has crashed.
 *
 * @param history - the history
 * @param node - the node
 * @returns the clock
 */
export function createNodeClock(history: History<VirtualMessage>, node: string): Clock {
    return createVirtualClock(history.now, (delay, action) => history.scheduleOn(node, delay, action));
}

/**
 * Creates the log.
 *
 * @param history - the history
 * @returns an empty log
 */
export function createVirtualLog(history: History<VirtualMessage>): VirtualLog {
    const streams = new Map<LogStream, VirtualStream>();
    const cutUntil = new Map<string, Milliseconds>();
    let faults = noLogFaults;
    let downUntil = 0;
    let appends = 0;

    const findStream = (name: LogStream): VirtualStream => {
        const known = streams.get(name) ?? { records: [], waiting: new Set(), earliest: 0 };
        streams.set(name, known);
        return known;
    };
    const isDown = (node: string): boolean => history.now() < Math.max(downUntil, cutUntil.get(node) ?? 0);
    const appendRecord = (name: LogStream, payload: Uint8Array): LogOffset => {
        const stream = findStream(name);
        const offset = stream.records.length;
        stream.records.push({ offset, appendedAt: history.now(), payload });
        appends++;
        const woken = [...stream.waiting];
        stream.waiting.clear();
        woken.forEach(wake => wake());
        return offset;
    };
    const readPage = (name: LogStream, from: LogOffset, limit: number): Result<LogPage, LogError> => {
        const { records, earliest } = findStream(name);
        return from < earliest
            ? wrapError({ kind: "expired", earliest })
            : wrapValue({ records: records.slice(from, from + limit), earliest, head: records.length });
    };
    const drawDelay = (): Milliseconds => history.random.between(1, callDelayMilliseconds);
    const createClient = (node: string): LogService => {
        // an answer reaches the node after its pause, and never once it has crashed
        const respond = <Value>(resolve: (value: Value) => void, value: Value, delay = drawDelay()): void =>
            history.scheduleOn(node, delay, () => resolve(value));
        const append: LogService["append"] = (name, payload) =>
            new Promise(resolve => {
                history.schedule(drawDelay(), () => {
                    if (isDown(node)) {
                        respond(resolve, wrapError({ kind: "unavailable", detail: "down" }));
                        return;
                    }
                    const late = faults.maximumEffectDelay > 0 && history.random.chance(faults.lostAnswerRate / 2);
                    if (late) {
                        const delay = history.random.between(1, faults.maximumEffectDelay);
                        history.schedule(delay, () => void appendRecord(name, payload));
                    }
                    const offset = late ? -1 : appendRecord(name, payload);
                    if (history.random.chance(faults.duplicateAppendRate)) {
                        history.schedule(drawDelay(), () => void appendRecord(name, payload));
                    }
                    if (late || history.random.chance(faults.lostAnswerRate)) {
                        const lost: Result<LogOffset, LogError> = wrapError({ kind: "unknownOutcome", detail: "lost" });
                        respond(resolve, lost, answerTimeoutMilliseconds);
                    }
                    else {
                        respond(resolve, wrapValue(offset));
                    }
                });
            });
        const read: LogService["read"] = (name, options) =>
            new Promise(resolve => {
                const limit = options.maximumRecords ?? defaultPageRecords;
                const finishRead = (): void => {
                    const page = readPage(name, options.from, limit);
                    respond(resolve, isDown(node) ? wrapError({ kind: "unavailable", detail: "down" }) : page);
                };
                history.schedule(drawDelay(), () => {
                    const stream = findStream(name);
                    if (options.waitFor && options.from >= stream.records.length && !isDown(node)) {
                        let isDone = false;
                        const finish = (): void => {
                            stream.waiting.delete(finish);
                            if (!isDone) {
                                isDone = true;
                                finishRead();
                            }
                        };
                        stream.waiting.add(finish);
                        history.schedule(options.waitFor, finish);
                        return;
                    }
                    finishRead();
                });
            });
        return { append, read };
    };
    return {
        createClient,
        listRecords: name => findStream(name).records,
        countAppends: () => appends,
        setFaults: next => {
            faults = next;
        },
        stop: duration => {
            downUntil = Math.max(downUntil, history.now() + duration);
        },
        cutNode: (node, duration) => {
            cutUntil.set(node, history.now() + duration);
        },
        expire: (name, before) => {
            const stream = findStream(name);
            stream.earliest = Math.max(stream.earliest, Math.min(before, stream.records.length));
        },
    };
}

/** The virtual list. */
export interface VirtualList {
    readonly createClient: (node: string) => InstanceList;
    /** Changes what there is; clients see it after the lag. */
    readonly update: (change: (listing: Listing) => Listing) => void;
    readonly stop: (duration: Milliseconds) => void;
}

/**
 * Creates the list.
 *
 * @param history - the history
 * @param lag - time after which a change shows
 * @returns an empty list
 */
export function createVirtualList(history: History<VirtualMessage>, lag: Milliseconds): VirtualList {
    let current: Listing = { instances: [], backendServers: [] };
    let visible = current;
    let downUntil = 0;
    return {
        createClient: node => ({
            list: () =>
                new Promise(resolve => {
                    history.schedule(1, () => {
                        const isDown = history.now() < downUntil;
                        const listing = visible;
                        history.scheduleOn(node, 1, () =>
                            resolve(isDown ? wrapError({ kind: "unavailable", detail: "down" }) : wrapValue(listing)));
                    });
                }),
        }),
        update: change => {
            current = change(current);
            const listing = current;
            history.schedule(lag, () => {
                visible = listing;
            });
        },
        stop: duration => {
            downUntil = history.now() + duration;
        },
    };
}

/**
 * Connects a node to the others; what its earlier life had asked is forgotten.
 *
 * @param history - the history
 * @param node - the node
 * @returns its connections
 */
export function createVirtualPeers(history: History<VirtualMessage>, node: string): PeerNetwork {
    const handlers = new Map<PeerTopic, PeerHandler<PeerTopic>>();
    const waiting = new Map<number, (body: PeerMessagesByTopic[PeerTopic] | undefined) => void>();
    // ids of another life must not match
    let nextId = Math.floor(history.now()) * 100_000;

    const handleRequest = async (
        from: string,
        message: Extract<VirtualMessage, { kind: "request"; }>,
    ): Promise<void> => {
        const body = await handlers.get(message.topic)?.(from, message.body);
        history.scheduleOn(node, 0, () => history.send(node, from, { kind: "answer", id: message.id, body }));
    };
    history.setHandler(node, (from, message) => {
        switch (message.kind) {
            case "send":
                void handlers.get(message.topic)?.(from, message.body);
                return;
            case "request":
                void handleRequest(from, message);
                return;
            case "answer":
                waiting.get(message.id)?.(message.body);
                return;
        }
    });
    return {
        self: node,
        send: (to, topic, body) => history.send(node, to, { kind: "send", topic, body }),
        request: <Topic extends PeerTopic>(
            to: string,
            topic: Topic,
            body: PeerMessagesByTopic[Topic],
            timeout: Milliseconds,
        ): Promise<Result<PeerMessagesByTopic[Topic], PeerError>> =>
            new Promise(resolve => {
                const id = nextId++;
                const finish = (answer: PeerMessagesByTopic[PeerTopic] | undefined): void => {
                    waiting.delete(id);
                    resolve(
                        answer === undefined
                            ? wrapError({ kind: "timeout" })
                            : wrapValue(answer as PeerMessagesByTopic[Topic]),
                    );
                };
                waiting.set(id, finish);
                history.scheduleOn(node, timeout, () => finish(undefined));
                history.send(node, to, { kind: "request", id, topic, body });
            }),
        handle: (topic, handler) => {
            handlers.set(topic, handler as unknown as PeerHandler<PeerTopic>);
        },
    };
}
