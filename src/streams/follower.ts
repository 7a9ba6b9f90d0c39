/**
 * Follower of a stream: takes its first state from a peer or the log, keeps it up to date from the log or from a peer
 * that reads the log, serves other instances, and writes checkpoints before records expire.
 *
 * @packageDocumentation
 */
import type { LogError, LogService } from "../backends/index.js";
import {
    type Clock,
    createLogger,
    type InstanceId,
    type LogOffset,
    type Milliseconds,
    rankByRendezvous,
} from "../shared/index.js";
import { callWithTimeout } from "./callWithTimeout.js";
import { appendCheckpoint, createCheckpointRecords, isCheckpointDue } from "./checkpoint.js";
import type { RequestFromPeer, StreamMessage } from "./messages.js";
import type { StreamModel, StreamState } from "./model.js";
import { createRecordRelay } from "./recordRelay.js";
import { createRecordCodec } from "./records.js";
import { chooseRecordSource, type RecordSource } from "./recordSource.js";
import { createReplay, describePhase, type FinishedCheckpoint, type Replay } from "./replay.js";
import { createSnapshotServer, fetchSnapshot } from "./snapshots.js";

/** Optional settings of a follower, which are the same for every stream. */
export interface FollowerSettings {
    /** Returns the wall-clock time, which is compared with the timestamps of the log. @default Date.now */
    readonly readWallClock?: () => Milliseconds;
    /** Long-poll time of a read from the log: the log may hold its response back for so long. @default 1_000 */
    readonly waitFor?: Milliseconds;
    /** Long-poll time of a read from a peer that reads the log. @default 1_000 */
    readonly relayWaitFor?: Milliseconds;
    /** Number of instances per region that read the log directly. @default 16 */
    readonly directReaders?: number;
    /** Time between two checkpoints; must be well below the retention time of the log. @default 21_600_000 */
    readonly checkpointInterval?: Milliseconds;
}

/** Options of a follower. */
export interface FollowerOptions<State extends StreamState, Change, Part, Event> extends FollowerSettings {
    readonly model: StreamModel<State, Change, Part, Event>;
    readonly instance: InstanceId;
    readonly log: LogService;
    readonly clock: Clock;
    /** Lists the live instances that follow the stream. */
    readonly listPeers: () => readonly InstanceId[];
    /** Lists the live instances of this instance's region that follow the stream. */
    readonly listRegionPeers: () => readonly InstanceId[];
    readonly requestFromPeer: RequestFromPeer<Part>;
    /** Called with the event of each applied change, before `handleState` is called with the state that includes it. */
    readonly handleEvent: (event: Event) => void;
    /** Called after records were applied to the current state, and after another state replaced it. */
    readonly handleState: (state: State) => void;
    /** Called when a read, sent to the log at this monotonic time, found no record that the current state lacks. */
    readonly handleConfirmation: (requestSentAt: Milliseconds) => void;
}

/** Status of a follower. */
export interface FollowerStatus {
    /** `ready` once there is a complete state; stays `ready` while the log is unavailable. */
    readonly state: "starting" | "ready";
    /** Why replay hasn't a complete state or can't continue; `undefined` while neither is so. */
    readonly stopped: string | undefined;
    readonly appliedOffset: LogOffset;
    /** Source of the latest read; `none` before the first. */
    readonly source: "log" | "peer" | "none";
    /**
     * Time since the latest read, by this instance or the peer that it reads from, that found nothing newer in the log
     * than the current state; `undefined` before the first such read.
     */
    readonly sinceConfirmed: Milliseconds | undefined;
    readonly logState: "ok" | "failing";
    readonly lastError: string | undefined;
    readonly lastPass: FinishedCheckpoint | undefined;
}

/** Follower of a stream. */
export interface StreamFollower<State, Part> {
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Returns the current state, which the follower owns and changes; `undefined` before the first complete one. */
    readonly readState: () => State | undefined;
    /** Answers a request of a peer; `undefined` for messages that are responses. */
    readonly serve: (message: StreamMessage<Part>) => Promise<StreamMessage<Part> | undefined>;
    /**
     * Reads records that a peer has and this instance lacks, for use while the log is unavailable. Resolves with
     * whether the peer answered and has confirmed the end of the log within the last 5 s.
     */
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
/** Highest assumed ratio between the rates of the clocks of two instances. */
export const clockRateMargin = 1.02;
const debug = createLogger("streams");

/**
 * Creates a follower of one stream.
 *
 * @param options - model of the stream, services and peers, and callbacks
 * @returns the follower, which does nothing until it is run
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
        // an older state never replaces the current one, whichever source it came from
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
        // the first state becomes current only at the head of the log, because an earlier one is out of date
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
    // returns whether the read succeeded, or failed because of expired records and the replay was restarted
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
    // keeps the current state until there is a newer complete one
    const restartReplay = async (earliest: LogOffset, signal: AbortSignal): Promise<void> => {
        const fetched = await fetchPeerSnapshot();
        if (!signal.aborted) {
            const isUsable = fetched && fetched.state.appliedOffset + 1 >= earliest;
            replay = createReplay(
                model,
                isUsable ? fetched.state : earliest,
                isUsable ? fetched.lastPass : undefined,
            );
        }
    };
    const readPeerRecords = async (peer: InstanceId, from: LogOffset, longPollTime: Milliseconds): Promise<boolean> => {
        const requestSentAt = clock.now();
        const request = { kind: "recordsRequest", from, waitFor: longPollTime } as const;
        const answer = await options.requestFromPeer(peer, request, longPollTime + minimumTimeoutMilliseconds);
        if (answer?.kind === "recordsRefused" && answer.reason === "expired") {
            // no longer limits the rate of reads from the log, because this peer has dropped the records
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
        // applies later records of the log first; if the log can't be read, the peer's state becomes current as it is
        const done = await readLog(replay.nextOffset(), 0, signal);
        const state = replay.state();
        if (!done && state) {
            setCurrentState(state);
        }
    };
    const startFromLog = async (signal: AbortSignal): Promise<void> => {
        const first = createReplay(model, 0);
        replay = first;
        // an empty state counts as complete only after a read of the log has succeeded
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
            // exponential delay, so that the retries of all instances don't overload a log that recovers
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
                // a new start may find a peer or a checkpoint; only an upgrade helps against an unknown record format
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

// converts the age of a peer's confirmation to this instance's clock, never to a later time than the true one: the
// request reached the peer after it was sent, and the margin lengthens a positive age and shortens a negative one
function computeConfirmedAt(requestSentAt: Milliseconds, before: Milliseconds): Milliseconds {
    return before > 0 ? requestSentAt - before * clockRateMargin : requestSentAt - before / clockRateMargin;
}
