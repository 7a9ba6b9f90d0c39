/**
 * Simulated log service, instance list and instance-to-instance connections, all in the virtual time of a history. Their
 * faults are outages, responses that are lost after the call took effect, appends that take effect late or twice,
 * expired records, and an instance list that shows changes late.
 *
 * @packageDocumentation
 */
import type { InstanceList, Listing, LogError, LogPage, LogRecord, LogService, LogStream } from "../backends/index.js";
import type { PeerError, PeerHandler, PeerMessagesByTopic, PeerNetwork, PeerTopic } from "../peers/index.js";
import { type Clock, type LogOffset, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import { startDetached } from "./detachedTasks.js";
import { createVirtualClock, type History } from "./history.js";

/** Faults of the virtual log. */
export interface VirtualLogFaults {
    /** Probability from 0 to 1 that an append takes effect and its response is lost. */
    readonly lostAnswerRate: number;
    /** Probability from 0 to 1 that an append takes effect twice. */
    readonly duplicateAppendRate: number;
    /** Longest time after which an append with a lost response can still take effect; 0 turns late effects off. */
    readonly maximumEffectDelay: Milliseconds;
}

/** A message between two nodes of the history. */
export type VirtualMessage =
    | { readonly kind: "send"; readonly topic: PeerTopic; readonly body: PeerMessagesByTopic[PeerTopic]; }
    | {
        readonly kind: "request";
        readonly id: number;
        readonly topic: PeerTopic;
        readonly body: PeerMessagesByTopic[PeerTopic];
    }
    | { readonly kind: "answer"; readonly id: number; readonly body: PeerMessagesByTopic[PeerTopic] | undefined; };

/** A log service in virtual time. */
export interface VirtualLog {
    /** Creates the client of a node. */
    readonly createClient: (node: string) => LogService;
    /** Lists every record that was ever appended, including expired ones. */
    readonly listRecords: (stream: LogStream) => readonly LogRecord[];
    readonly countAppends: () => number;
    readonly setFaults: (faults: VirtualLogFaults) => void;
    /** Makes the log unavailable to all nodes for a time. */
    readonly stop: (duration: Milliseconds) => void;
    /** Makes the log unavailable to one node for a time. */
    readonly cutNode: (node: string, duration: Milliseconds) => void;
    /** Expires the records before an offset. */
    readonly expire: (stream: LogStream, before: LogOffset) => void;
}

/** The log faults of a history in which every append takes effect once and is answered. */
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
 * Creates the clock of one node. A pause of the node prolongs its sleeps; after a crash they never end.
 *
 * @param history - history whose virtual time the clock reads
 * @param node - name of the node
 * @returns the clock
 */
export function createNodeClock(history: History<VirtualMessage>, node: string): Clock {
    return createVirtualClock(history.now, (delay, action) => history.scheduleOn(node, delay, action));
}

/**
 * Creates a log service in virtual time.
 *
 * @param history - history that supplies the time, the randomness and the faults of nodes
 * @returns the log, without streams or faults
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
        // a response is deferred while the node is paused and dropped once it has crashed
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

/** An instance list in virtual time. */
export interface VirtualList {
    readonly createClient: (node: string) => InstanceList;
    /** Changes the listing; clients see the change after the lag. */
    readonly update: (change: (listing: Listing) => Listing) => void;
    readonly stop: (duration: Milliseconds) => void;
}

/**
 * Creates an instance list in virtual time.
 *
 * @param history - history that supplies the time
 * @param lag - time after which clients see a change
 * @returns the list, without entries
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
 * Connects a node to the other nodes. After a restart, call it again: the new connections ignore responses to requests
 * that were sent before the restart.
 *
 * @param history - history that delivers the messages
 * @param node - name of the node
 * @returns the connections of the node
 */
export function createVirtualPeers(history: History<VirtualMessage>, node: string): PeerNetwork {
    const handlers = new Map<PeerTopic, PeerHandler<PeerTopic>>();
    const waiting = new Map<number, (body: PeerMessagesByTopic[PeerTopic] | undefined) => void>();
    // request ids must differ from those used before a restart; otherwise, a late response would match a new request
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
                startDetached(handlers.get(message.topic)?.(from, message.body));
                return;
            case "request":
                startDetached(handleRequest(from, message));
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
