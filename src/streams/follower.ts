/**
 * Follows a stream: starts from a peer or the log, reads on through the log or a peer that reads it, serves peers, and
 * restates the state before the log forgets it.
 *
 * @packageDocumentation
 */
import type { LogError, LogService } from "../backends/index.js";
import {
    type Clock,
    createDebug,
    type InstanceId,
    type LogOffset,
    type Milliseconds,
    rankByRendezvous,
} from "../shared/index.js";
import { appendCheckpoint, createCheckpointRecords, isCheckpointDue } from "./checkpoint.js";
import { callWithTimeout } from "./limitTime.js";
import type { RequestFromPeer, StreamMessage } from "./messages.js";
import type { StreamModel, StreamState } from "./model.js";
import { createRecordRelay } from "./recordRelay.js";
import { createRecordCodec } from "./records.js";
import { createReplay, describePhase, type FinishedCheckpoint, type Replay } from "./replay.js";
import { createSnapshotServer, fetchSnapshot } from "./snapshots.js";
import { chooseRecordSource, type RecordSource } from "./sources.js";

/** What both streams let their users set. */
export interface FollowerSettings {
    /** Wall-clock time, to compare with the stamps of the log. @default Date.now */
    readonly readWallClock?: () => Milliseconds;
    /** How long the log may hold an answer back. @default 1_000 */
    readonly waitFor?: Milliseconds;
    /** How long a peer that reads the log may hold an answer back. @default 1_000 */
    readonly relayWaitFor?: Milliseconds;
    /** Instances of a region that read the log directly. @default 16 */
    readonly directReaders?: number;
    /** Time between two passes that restate the state; well below the log's retention. @default 21_600_000 */
    readonly checkpointInterval?: Milliseconds;
}

/** What a follower needs. */
export interface FollowerOptions<State extends StreamState, Change, Part, Event> extends FollowerSettings {
    readonly model: StreamModel<State, Change, Part, Event>;
    readonly instance: InstanceId;
    readonly log: LogService;
    readonly clock: Clock;
    /** Live instances that follow the stream. */
    readonly listPeers: () => readonly InstanceId[];
    /** Those of them in this instance's region. */
    readonly listRegionPeers: () => readonly InstanceId[];
    readonly requestFromPeer: RequestFromPeer<Part>;
    /** Told of records as they are decided, before the state is in force. */
    readonly handleEvent: (event: Event) => void;
    /** Told when the state in force took records into account, or became another. */
    readonly handleState: (state: State) => void;
    /** Told that at some time the log held no record that the state in force lacks. */
    readonly handleConfirmation: (requestSentAt: Milliseconds) => void;
}

/** How far a follower is. */
export interface FollowerStatus {
    /** `ready` once a complete state is in force; it stays so while the log is down. */
    readonly state: "starting" | "ready";
    /** Why replay goes no further, in words, or `undefined` while it does. */
    readonly stopped: string | undefined;
    readonly appliedOffset: LogOffset;
    readonly source: "log" | "peer" | "none";
    /** Time since the log, asked by this instance or the peer it reads through, was known to hold nothing newer. */
    readonly sinceConfirmed: Milliseconds | undefined;
    readonly logState: "ok" | "failing";
    readonly lastError: string | undefined;
    readonly lastPass: FinishedCheckpoint | undefined;
}

/** Follows a stream. */
export interface StreamFollower<State, Part> {
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** The state in force, or `undefined` before the first. */
    readonly readState: () => State | undefined;
    readonly serve: (message: StreamMessage<Part>) => Promise<StreamMessage<Part> | undefined>;
    /** Reads what a peer has and this instance lacks; for when the log can't be read. */
    readonly readFromPeer: (peer: InstanceId) => Promise<boolean>;
    readonly readStatus: (now: Milliseconds) => FollowerStatus;
}

const defaultWaitForMilliseconds = 1_000;
const defaultDirectReaders = 16;
const defaultCheckpointIntervalMilliseconds = 6 * 3_600_000;
const minimumTimeoutMilliseconds = 500;
const maximumTimeoutMilliseconds = 10_000;
const minimumRetryDelayMilliseconds = 200;
const maximumRetryDelayMilliseconds = 2_000;
const maximumPeerConfirmationAgeMilliseconds = 5_000;
const checkpointCheckIntervalMilliseconds = 5_000;
const maximumSnapshotPeers = 3;
/** Clocks of two instances are taken to differ by no more than this in rate. */
export const clockRateMargin = 1.02;
const debug = createDebug("streams");

/**
 * Creates a follower.
 *
 * @param options - the stream and what is needed to follow it
 * @returns the follower
 */
export function createStreamFollower<State extends StreamState, Change, Part, Event>(
    options: FollowerOptions<State, Change, Part, Event>,
): StreamFollower<State, Part> {
    const { model, instance, log, clock } = options;
    const { stream } = model;
    const readWallClock = options.readWallClock ?? Date.now;
    const waitFor = options.waitFor ?? defaultWaitForMilliseconds;
    const relayWaitFor = options.relayWaitFor ?? defaultWaitForMilliseconds;
    const codec = createRecordCodec(model);
    const relay = createRecordRelay(clock);
    const snapshots = createSnapshotServer(model, instance);
    let replay: Replay<State, Event> | undefined;
    let currentState: State | undefined;
    let currentOffset: LogOffset = -1;
    let completeSince: Milliseconds | undefined;
    let source: RecordSource | undefined;
    let confirmedAt: Milliseconds | undefined;
    let lastLogReadAt: Milliseconds | undefined;
    let logFailures = 0;
    let peerFailures = 0;
    let lastError: string | undefined;
    let startedCheckpoints = 0;

    const listOtherPeers = (): readonly InstanceId[] => options.listPeers().filter(peer => peer !== instance);

    const setCurrentState = (state: State): void => {
        // a state older than the one in force is never served, however it came here
        if (currentState && state.appliedOffset <= currentOffset) {
            return;
        }
        currentState = state;
        currentOffset = state.appliedOffset;
        completeSince ??= readWallClock();
        options.handleState(state);
    };
    const applyPage = (
        page: { readonly records: Parameters<Replay<State, Event>["apply"]>[0]; readonly head: LogOffset; },
        requestSentAt: Milliseconds | undefined,
    ): void => {
        if (!replay) {
            return;
        }
        replay.apply(page.records).forEach(options.handleEvent);
        const next = replay.nextOffset();
        const isAtHead = next >= page.head;
        relay.put(page.records.filter(record => record.offset < next), next);
        // the first state is put in force at the head only, for those before it are old
        const state = replay.state();
        if (state && (currentState || isAtHead)) {
            setCurrentState(state);
        }
        if (isAtHead && requestSentAt !== undefined && state && state === currentState) {
            confirmedAt = Math.max(confirmedAt ?? requestSentAt, requestSentAt);
            relay.recordConfirmation(requestSentAt);
            options.handleConfirmation(requestSentAt);
        }
    };
    const handleLogError = async (error: LogError | undefined, signal: AbortSignal): Promise<boolean> => {
        if (error?.kind === "expired") {
            lastError = `records before ${error.earliest} have expired`;
            await restartReplay(error.earliest, signal);
            return true;
        }
        logFailures++;
        lastError = error ? `log: ${error.kind}` : "log: no answer in time";
        return false;
    };
    // reads the log; answers whether it did
    const readLog = async (from: LogOffset, longPollTime: Milliseconds, signal: AbortSignal): Promise<boolean> => {
        const timeout = Math.min(maximumTimeoutMilliseconds, minimumTimeoutMilliseconds * 2 ** logFailures);
        const requestSentAt = clock.now();
        lastLogReadAt = requestSentAt;
        const page = await callWithTimeout(
            clock,
            longPollTime + timeout,
            signal,
            inner => log.read(stream, { from, waitFor: longPollTime, signal: inner }),
        );
        if (!page?.ok) {
            return handleLogError(page?.error, signal);
        }
        logFailures = 0;
        lastError = undefined;
        applyPage(page.value, requestSentAt);
        return true;
    };
    const fetchPeerSnapshot = (): ReturnType<typeof fetchSnapshot<State, Part>> => {
        const candidates = rankByRendezvous(`${stream}/snapshot/${instance}`, listOtherPeers(), maximumSnapshotPeers);
        return fetchSnapshot(model, options.requestFromPeer, candidates, currentState ? currentOffset : -2);
    };
    // the state in force stays so until a newer complete one is there
    const restartReplay = async (earliest: LogOffset, signal: AbortSignal): Promise<void> => {
        const fetched = await fetchPeerSnapshot();
        if (!signal.aborted) {
            const isUsable = fetched && fetched.state.appliedOffset + 1 >= earliest;
            replay = createReplay(model, isUsable ? fetched.state : earliest, isUsable ? fetched.lastPass : undefined);
        }
    };
    const readPeerRecords = async (peer: InstanceId, from: LogOffset, longPollTime: Milliseconds): Promise<boolean> => {
        const requestSentAt = clock.now();
        const request = { kind: "recordsRequest", from, waitFor: longPollTime } as const;
        const answer = await options.requestFromPeer(peer, request, longPollTime + minimumTimeoutMilliseconds);
        if (answer?.kind === "recordsRefused" && answer.reason === "expired") {
            lastLogReadAt = undefined;
        }
        if (answer?.kind !== "recordsPage") {
            return false;
        }
        const before = answer.confirmedBefore;
        applyPage(answer, before === undefined ? undefined : computeConfirmedAt(requestSentAt, before));
        return before !== undefined && before < maximumPeerConfirmationAgeMilliseconds;
    };
    const readThroughPeer = async (peer: InstanceId, from: LogOffset): Promise<boolean> => {
        const isFresh = await readPeerRecords(peer, from, relayWaitFor);
        peerFailures = isFresh ? 0 : peerFailures + 1;
        return isFresh;
    };
    const startReplay = async (signal: AbortSignal): Promise<void> => {
        const fetched = await fetchPeerSnapshot();
        if (signal.aborted) {
            return;
        }
        if (!fetched) {
            await startFromLog(signal);
            return;
        }
        replay = createReplay(model, fetched.state, fetched.lastPass);
        // what changed since the peer read is taken into account first, if the log answers
        const done = await readLog(replay.nextOffset(), 0, signal);
        const state = replay.state();
        if (!done && state) {
            setCurrentState(state);
        }
    };
    const startFromLog = async (signal: AbortSignal): Promise<void> => {
        const first = createReplay(model, 0);
        replay = first;
        // an empty state is complete only once the log has said so
        if (!await readLog(0, 0, signal)) {
            replay = undefined;
            await clock.sleep(minimumRetryDelayMilliseconds, signal);
        }
    };
    const readNext = async (currentReplay: Replay<State, Event>, signal: AbortSignal): Promise<void> => {
        source = chooseRecordSource({
            self: instance,
            regionInstances: [...new Set([instance, ...options.listRegionPeers()])],
            directReaders: options.directReaders ?? defaultDirectReaders,
            peerFailures,
            timeSinceOwnLogRead: lastLogReadAt === undefined ? Infinity : clock.now() - lastLogReadAt,
        });
        const from = currentReplay.nextOffset();
        const done = source.kind === "log"
            ? await readLog(from, waitFor, signal)
            : await readThroughPeer(source.peer, from);
        if (!done) {
            // a log that is down is not to be met by everybody's next try at once
            const failures = source.kind === "log" ? logFailures : peerFailures;
            const doublings = Math.max(0, failures - 1);
            await clock.sleep(
                Math.min(maximumRetryDelayMilliseconds, minimumRetryDelayMilliseconds * 2 ** doublings),
                signal,
            );
        }
    };
    const runReader = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const phase = replay?.phase().kind;
            if (!replay) {
                await startReplay(signal);
            }
            else if (phase === "complete" || phase === "gathering") {
                await readNext(replay, signal);
            }
            else {
                await clock.sleep(maximumTimeoutMilliseconds, signal);
                // another start may find a peer or a pass; a newer format needs a newer program
                replay = phase === "stopped" ? replay : undefined;
            }
        }
    };
    const writeCheckpoint = async (state: State, signal: AbortSignal): Promise<void> => {
        const before = replay?.lastPass()?.end;
        const isWanted = (): boolean => replay?.lastPass()?.end === before;
        const pass = `${instance}/${++startedCheckpoints}/${readWallClock()}`;
        const payloads = createCheckpointRecords(model.listParts(state), state.appliedOffset, pass).map(codec.encode);
        const whole = await appendCheckpoint({ log, stream, clock, isWanted }, payloads, signal);
        debug.info("restated the state", { stream, pass, whole });
    };
    const isOwnCheckpointDue = (): boolean => {
        const lastPass = replay?.lastPass();
        const order = rankByRendezvous(`${stream}/pass/${lastPass?.end ?? 0}`, [instance, ...listOtherPeers()]);
        return completeSince !== undefined && isCheckpointDue({
            wallNow: readWallClock(),
            completeSince,
            lastPass,
            interval: options.checkpointInterval ?? defaultCheckpointIntervalMilliseconds,
            rank: order.indexOf(instance),
        });
    };
    const runCheckpoints = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(checkpointCheckIntervalMilliseconds, signal);
            const state = replay?.state();
            const canWrite = replay?.phase().kind === "complete" && logFailures === 0 && state === currentState;
            if (state && canWrite && state.appliedOffset >= 0 && !signal.aborted && isOwnCheckpointDue()) {
                await writeCheckpoint(state, signal);
            }
        }
    };
    return {
        run: async signal => {
            await Promise.all([runReader(signal), runCheckpoints(signal)]);
        },
        readState: () => currentState,
        readFromPeer: peer => replay ? readPeerRecords(peer, replay.nextOffset(), 0) : Promise.resolve(false),
        serve: async message => {
            switch (message.kind) {
                case "snapshotRequest":
                    return snapshots.serve(message, currentState, replay?.lastPass(), clock.now());
                case "recordsRequest":
                    return relay.serve(message.from, message.waitFor);
                case "snapshotPart":
                case "snapshotRefused":
                case "recordsPage":
                case "recordsRefused":
                    return undefined;
            }
        },
        readStatus: now => ({
            state: currentState ? "ready" : "starting",
            stopped: replay && describePhase(replay.phase()),
            appliedOffset: currentOffset,
            source: source?.kind ?? "none",
            sinceConfirmed: confirmedAt === undefined ? undefined : now - confirmedAt,
            logState: logFailures > 0 ? "failing" : "ok",
            lastError,
            lastPass: replay?.lastPass(),
        }),
    };
}

// the request came to the peer after it was sent, so the peer's own question is at most that much older, or as much newer
function computeConfirmedAt(requestSentAt: Milliseconds, before: Milliseconds): Milliseconds {
    return before > 0 ? requestSentAt - before * clockRateMargin : requestSentAt - before / clockRateMargin;
}
