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
import { limitTime } from "./limitTime.js";
import type { AskPeer, StreamMessage } from "./messages.js";
import type { StreamModel, StreamState } from "./model.js";
import { createRecordCodec } from "./records.js";
import { createRecordRelay } from "./relay.js";
import { createReplay, describePhase, type FinishedPass, type Replay } from "./replay.js";
import { appendPass, createPass, isRestateDue } from "./restate.js";
import { createSnapshotServer, fetchSnapshot } from "./snapshots.js";
import { chooseSource, type RecordSource } from "./sources.js";

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
    readonly restateInterval?: Milliseconds;
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
    readonly ask: AskPeer<Part>;
    /** Told of records as they are decided, before the state is in force. */
    readonly decided: (event: Event) => void;
    /** Told when the state in force took records into account, or became another. */
    readonly advanced: (state: State) => void;
    /** Told that at some time the log held no record that the state in force lacks. */
    readonly confirmed: (askedAt: Milliseconds) => void;
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
    readonly lastPass: FinishedPass | undefined;
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
const defaultRestateIntervalMilliseconds = 6 * 3_600_000;
const shortestAnswerMilliseconds = 500;
const longestAnswerMilliseconds = 10_000;
const retryPauseMilliseconds = 200;
const longestPauseMilliseconds = 2_000;
const staleRelayMilliseconds = 5_000;
const restateCheckMilliseconds = 5_000;
const snapshotCandidates = 3;
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
    let inForce: State | undefined;
    let inForceOffset: LogOffset = -1;
    let completeSince: Milliseconds | undefined;
    let source: RecordSource | undefined;
    let confirmedAt: Milliseconds | undefined;
    let ownLogTryAt: Milliseconds | undefined;
    let logFailures = 0;
    let peerFailures = 0;
    let lastError: string | undefined;
    let passesStarted = 0;

    const listOthers = (): readonly InstanceId[] => options.listPeers().filter(peer => peer !== instance);

    const putInForce = (state: State): void => {
        // a state older than the one in force is never served, however it came here
        if (inForce && state.appliedOffset <= inForceOffset) {
            return;
        }
        inForce = state;
        inForceOffset = state.appliedOffset;
        completeSince ??= readWallClock();
        options.advanced(state);
    };
    const takePage = (
        page: { readonly records: Parameters<Replay<State, Event>["apply"]>[0]; readonly head: LogOffset; },
        askedAt: Milliseconds | undefined,
    ): void => {
        if (!replay) {
            return;
        }
        replay.apply(page.records).forEach(options.decided);
        const next = replay.nextOffset();
        const atHead = next >= page.head;
        relay.put(page.records.filter(record => record.offset < next), next);
        // the first state is put in force at the head only, for those before it are old
        const state = replay.state();
        if (state && (inForce || atHead)) {
            putInForce(state);
        }
        if (atHead && askedAt !== undefined && state && state === inForce) {
            confirmedAt = Math.max(confirmedAt ?? askedAt, askedAt);
            relay.recordConfirmation(askedAt);
            options.confirmed(askedAt);
        }
    };
    const handleLogError = async (error: LogError | undefined, signal: AbortSignal): Promise<boolean> => {
        if (error?.kind === "expired") {
            lastError = `records before ${error.earliest} have expired`;
            await startAnew(error.earliest, signal);
            return true;
        }
        logFailures++;
        lastError = error ? `log: ${error.kind}` : "log: no answer in time";
        return false;
    };
    // reads the log; answers whether it did
    const readLog = async (from: LogOffset, hold: Milliseconds, signal: AbortSignal): Promise<boolean> => {
        const limit = Math.min(longestAnswerMilliseconds, shortestAnswerMilliseconds * 2 ** logFailures);
        const askedAt = clock.now();
        ownLogTryAt = askedAt;
        const page = await limitTime(
            clock,
            hold + limit,
            signal,
            inner => log.read(stream, { from, waitFor: hold, signal: inner }),
        );
        if (!page?.ok) {
            return handleLogError(page?.error, signal);
        }
        logFailures = 0;
        lastError = undefined;
        takePage(page.value, askedAt);
        return true;
    };
    const fetchFromPeers = (): ReturnType<typeof fetchSnapshot<State, Part>> => {
        const candidates = rankByRendezvous(`${stream}/snapshot/${instance}`, listOthers(), snapshotCandidates);
        return fetchSnapshot(model, options.ask, candidates, inForce ? inForceOffset : -2);
    };
    // the state in force stays so until a newer complete one is there
    const startAnew = async (earliest: LogOffset, signal: AbortSignal): Promise<void> => {
        const fetched = await fetchFromPeers();
        if (!signal.aborted) {
            const usable = fetched && fetched.state.appliedOffset + 1 >= earliest;
            replay = createReplay(model, usable ? fetched.state : earliest, usable ? fetched.lastPass : undefined);
        }
    };
    const readRecords = async (peer: InstanceId, from: LogOffset, hold: Milliseconds): Promise<boolean> => {
        const askedAt = clock.now();
        const request = { kind: "recordsRequest", from, waitFor: hold } as const;
        const answer = await options.ask(peer, request, hold + shortestAnswerMilliseconds);
        if (answer?.kind === "recordsRefused" && answer.reason === "expired") {
            ownLogTryAt = undefined;
        }
        if (answer?.kind !== "recordsPage") {
            return false;
        }
        const before = answer.confirmedBefore;
        takePage(answer, before === undefined ? undefined : computeConfirmedAt(askedAt, before));
        return before !== undefined && before < staleRelayMilliseconds;
    };
    const readRelay = async (peer: InstanceId, from: LogOffset): Promise<boolean> => {
        const fresh = await readRecords(peer, from, relayWaitFor);
        peerFailures = fresh ? 0 : peerFailures + 1;
        return fresh;
    };
    const start = async (signal: AbortSignal): Promise<void> => {
        const fetched = await fetchFromPeers();
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
            putInForce(state);
        }
    };
    const startFromLog = async (signal: AbortSignal): Promise<void> => {
        const first = createReplay(model, 0);
        replay = first;
        // an empty state is complete only once the log has said so
        if (!await readLog(0, 0, signal)) {
            replay = undefined;
            await clock.sleep(retryPauseMilliseconds, signal);
        }
    };
    const readNext = async (current: Replay<State, Event>, signal: AbortSignal): Promise<void> => {
        source = chooseSource({
            self: instance,
            regionInstances: [...new Set([instance, ...options.listRegionPeers()])],
            directReaders: options.directReaders ?? defaultDirectReaders,
            peerFailures,
            sinceOwnLogTry: ownLogTryAt === undefined ? Infinity : clock.now() - ownLogTryAt,
        });
        const from = current.nextOffset();
        const done = source.kind === "log" ? await readLog(from, waitFor, signal) : await readRelay(source.peer, from);
        if (!done) {
            // a log that is down is not to be met by everybody's next try at once
            const failures = source.kind === "log" ? logFailures : peerFailures;
            const doublings = Math.max(0, failures - 1);
            await clock.sleep(Math.min(longestPauseMilliseconds, retryPauseMilliseconds * 2 ** doublings), signal);
        }
    };
    const runReader = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const phase = replay?.phase().kind;
            if (!replay) {
                await start(signal);
            }
            else if (phase === "complete" || phase === "gathering") {
                await readNext(replay, signal);
            }
            else {
                await clock.sleep(longestAnswerMilliseconds, signal);
                // another start may find a peer or a pass; a newer format needs a newer program
                replay = phase === "stopped" ? replay : undefined;
            }
        }
    };
    const runPass = async (state: State, signal: AbortSignal): Promise<void> => {
        const before = replay?.lastPass()?.end;
        const isWanted = (): boolean => replay?.lastPass()?.end === before;
        const pass = `${instance}/${++passesStarted}/${readWallClock()}`;
        const payloads = createPass(model.listParts(state), state.appliedOffset, pass).map(codec.encode);
        const whole = await appendPass({ log, stream, clock, isWanted }, payloads, signal);
        debug.info("restated the state", { stream, pass, whole });
    };
    const isPassDue = (): boolean => {
        const lastPass = replay?.lastPass();
        const order = rankByRendezvous(`${stream}/pass/${lastPass?.end ?? 0}`, [instance, ...listOthers()]);
        return completeSince !== undefined && isRestateDue({
            wallNow: readWallClock(),
            completeSince,
            lastPass,
            interval: options.restateInterval ?? defaultRestateIntervalMilliseconds,
            rank: order.indexOf(instance),
        });
    };
    const runRestater = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(restateCheckMilliseconds, signal);
            const state = replay?.state();
            const able = replay?.phase().kind === "complete" && logFailures === 0 && state === inForce;
            if (state && able && state.appliedOffset >= 0 && !signal.aborted && isPassDue()) {
                await runPass(state, signal);
            }
        }
    };
    return {
        run: async signal => {
            await Promise.all([runReader(signal), runRestater(signal)]);
        },
        readState: () => inForce,
        readFromPeer: peer => replay ? readRecords(peer, replay.nextOffset(), 0) : Promise.resolve(false),
        serve: async message => {
            switch (message.kind) {
                case "snapshotRequest":
                    return snapshots.serve(message, inForce, replay?.lastPass(), clock.now());
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
            state: inForce ? "ready" : "starting",
            stopped: replay && describePhase(replay.phase()),
            appliedOffset: inForceOffset,
            source: source?.kind ?? "none",
            sinceConfirmed: confirmedAt === undefined ? undefined : now - confirmedAt,
            logState: logFailures > 0 ? "failing" : "ok",
            lastError,
            lastPass: replay?.lastPass(),
        }),
    };
}

// the request came to the peer after it was sent, so the peer's own question is at most that much older, or as much newer
function computeConfirmedAt(askedAt: Milliseconds, before: Milliseconds): Milliseconds {
    return before > 0 ? askedAt - before * clockRateMargin : askedAt - before / clockRateMargin;
}
