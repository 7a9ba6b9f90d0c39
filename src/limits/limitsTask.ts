/**
 * The task that runs an instance's limits. It feeds events to the limiter core, sends the core's messages to peers and
 * completes reservations and load permits.
 *
 * @packageDocumentation
 */
import type { SettingsView } from "../config/index.js";
import type { FairQueue } from "../fairness/index.js";
import type { EpochView } from "../membership/index.js";
import type { PeerNetwork } from "../peers/index.js";
import {
    type Clock,
    createLogger,
    type InstanceId,
    type Milliseconds,
    millisecondsPerSecond,
    type SeededRandom,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import type { DrawRequest } from "./drawClient.js";
import type { LimitEffect } from "./effects.js";
import { createLimiterCore, type LimiterCore } from "./limiterCore.js";
import { defaultLimitTimes, type LimitTimes } from "./limitTimes.js";
import { createLoadBudget, type LoadDrawResult } from "./loadBudget.js";
import type { ExchangeNumber, LimitsMessage, ResourceId } from "./messages.js";
import { createOutputEstimator } from "./outputEstimate.js";
import { formatAccountResource, listResourceLimits } from "./resources.js";
import { buildLimitsStatus, createLimitCounts, recordRefusal } from "./status.js";
import type {
    LimitRefusal,
    LimitsStatus,
    LoadBudget,
    ReservationRequest,
    TokenLimiter,
    TokenReservation,
} from "./types.js";

/**
 * Output tokens that are reserved for a request: its `maximumOutputTokens` (`hardStop`), or an estimate from samples of
 * earlier requests of the same account and class (`estimate`). The limits task records no samples, so both reserve
 * `maximumOutputTokens` at present.
 */
export type OutputReservation = "hardStop" | "estimate";

/** Options of the limits task. */
export interface LimitsTaskOptions {
    readonly self: InstanceId;
    readonly settings: SettingsView;
    readonly epochs: EpochView;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: SeededRandom;
    /** Fair queue whose counters of served tokens are exchanged with the other instances; none if `undefined`. */
    readonly servedTokenCounters?: Pick<FairQueue<never>, "readCounters" | "mergeCounters">;
    /** Fraction of every limit that is assigned to this region. @default 1 */
    readonly regionShare?: number;
    /** @default "hardStop" */
    readonly outputReservation?: OutputReservation;
    /** Overrides some of the default durations and bounds. */
    readonly times?: Partial<LimitTimes>;
    /** Called with the duration of each wait for tokens, whether or not any were granted; for histograms. */
    readonly onWait?: (account: string, waited: Milliseconds) => void;
}

/** Limits of one instance. */
export interface LimitsTask extends Task {
    readonly limiter: TokenLimiter;
    readonly loadBudget: LoadBudget;
    readonly readStatus: (now: Milliseconds) => LimitsStatus;
}

interface WaitingDraw {
    readonly resource: ResourceId;
    readonly resolve: (outcome: DrawResult) => void;
}

type DrawResult =
    | Extract<LimitEffect, { kind: "grant" | "refuse"; }>
    | { readonly kind: "aborted"; };

const debug = createLogger("limits");
/** Longest time between two passes of the task's loop. */
const idlePollMilliseconds = 250;
const firstExchangeNumberLimit = 2 ** 30;
const counterIntervalMilliseconds = 500;
/** Number of members up to which counters are sent at the shortest interval. */
const fullRateMemberCount = 9;

/**
 * Creates the limits of an instance.
 *
 * @param options - dependencies and options
 * @returns the task, the token limiter for the request path, the load budget for adapter placement, and the status
 */
export function createLimitsTask(options: LimitsTaskOptions): LimitsTask {
    const { clock, epochs, settings } = options;
    const times = { ...defaultLimitTimes, ...options.times };
    const core: LimiterCore = createLimiterCore({
        self: options.self,
        times,
        firstExchangeNumber: options.random.between(0, firstExchangeNumberLimit),
    });
    const estimator = createOutputEstimator();
    const counts = createLimitCounts();
    const waiting = new Map<ExchangeNumber, WaitingDraw>();
    const drawNumbers = new WeakMap<TokenReservation, ExchangeNumber>();
    let wake: () => void = () => undefined;

    const updateCoreToNow = (): Milliseconds => {
        const now = clock.now();
        core.updateMembership(epochs.read(), epochs.readValidUntil(), now);
        return now;
    };
    const runEffect = (effect: LimitEffect): void => {
        switch (effect.kind) {
            case "send":
                counts.messagesSent++;
                options.peers.send(effect.to, "limits", effect.message);
                return;
            case "grant":
            case "refuse":
                waiting.get(effect.draw)?.resolve(effect);
                waiting.delete(effect.draw);
                return;
        }
    };
    const runEffects = (): void => {
        for (let effects = core.takeEffects(); effects.length > 0; effects = core.takeEffects()) {
            effects.forEach(runEffect);
        }
        wake();
    };
    const applySettings = (): void => {
        const current = settings.read();
        if (current) {
            core.setLimits(listResourceLimits(current, options.regionShare ?? 1), updateCoreToNow());
        }
    };
    const draw = (request: DrawRequest, signal: AbortSignal): Promise<{ draw: ExchangeNumber; end: DrawResult; }> =>
        new Promise(resolve => {
            const number = core.draw(request, updateCoreToNow());
            const abort = (): void => {
                if (waiting.delete(number)) {
                    core.cancel(number);
                    runEffects();
                    resolve({ draw: number, end: { kind: "aborted" } });
                }
            };
            waiting.set(number, {
                resource: request.resource,
                resolve: end => {
                    signal.removeEventListener("abort", abort);
                    resolve({ draw: number, end });
                },
            });
            signal.addEventListener("abort", abort, { once: true });
            runEffects();
        });

    const reserve: TokenLimiter["reserve"] = async (request, signal) => {
        const resource = formatAccountResource(request.account);
        const limits = core.findLimits(resource);
        if (!limits) {
            return wrapError<LimitRefusal>(
                settings.read() ? { kind: "unknownAccount" } : { kind: "notReady", retryAfter: millisecondsPerSecond },
            );
        }
        if (signal.aborted) {
            return wrapError<LimitRefusal>({ kind: "aborted" });
        }
        const tokens = request.promptTokens + estimateOutputTokens(request);
        if (tokens > limits.burst) {
            return wrapError<LimitRefusal>({ kind: "exceedsBurst", burst: limits.burst });
        }
        const startedAt = clock.now();
        const waitUntil = Math.min(startedAt + times.longestWait, request.deadline);
        const mayReturn = tokens - request.promptTokens;
        const { draw: number, end } = await draw(
            { resource, amount: tokens, mayReturn, priority: 0, waitUntil },
            signal,
        );
        options.onWait?.(request.account, clock.now() - startedAt);
        return decideReservation(request, tokens, number, end);
    };
    const estimateOutputTokens = (request: ReservationRequest): number => {
        const { account, requestClass, maximumOutputTokens } = request;
        return options.outputReservation === "estimate"
            ? estimator.estimate(account, requestClass, maximumOutputTokens)
            : maximumOutputTokens;
    };
    const decideReservation = (
        request: ReservationRequest,
        tokens: number,
        number: ExchangeNumber,
        end: DrawResult,
    ): Awaited<ReturnType<TokenLimiter["reserve"]>> => {
        switch (end.kind) {
            case "aborted":
                return wrapError({ kind: "aborted" });
            case "refuse":
                recordRefusal(counts, end.cause);
                return wrapError(
                    end.cause === "notReady"
                        ? { kind: "notReady", retryAfter: millisecondsPerSecond }
                        : { kind: "overLimit", retryAfter: end.retryAfter },
                );
            case "grant": {
                const now = updateCoreToNow();
                // the process may have been paused since the grant was decided
                if (now >= end.validUntil) {
                    counts.refusedPartial++;
                    return wrapError({ kind: "overLimit", retryAfter: 0 });
                }
                const resource = formatAccountResource(request.account);
                core.confirmUse(resource, number, tokens - request.promptTokens, now);
                counts[end.source === "slice" ? "grantedLocally" : "grantedByPool"]++;
                const reservation = { requestId: request.requestId, account: request.account, tokens };
                drawNumbers.set(reservation, number);
                return wrapValue(reservation);
            }
        }
    };
    const settle: TokenLimiter["settle"] = (reservation, spentTokens) => {
        const number = drawNumbers.get(reservation);
        if (number === undefined) {
            return;
        }
        drawNumbers.delete(reservation);
        const resource = formatAccountResource(reservation.account);
        const now = updateCoreToNow();
        core.release(resource, number, Math.max(0, reservation.tokens - spentTokens), now);
        core.addOverrun(resource, Math.max(0, spentTokens - reservation.tokens), now);
        runEffects();
    };
    const drawLoadUnit = async (
        resource: ResourceId,
        priority: number,
        signal: AbortSignal,
    ): Promise<LoadDrawResult> => {
        const waitUntil = clock.now() + times.longestWait;
        const { draw: number, end } = await draw({ resource, amount: 1, mayReturn: 1, priority, waitUntil }, signal);
        switch (end.kind) {
            case "aborted":
                return end;
            case "refuse":
                return { kind: "refused", retryAfter: end.retryAfter };
            case "grant":
                if (updateCoreToNow() < end.validUntil) {
                    core.confirmUse(resource, number, 1, clock.now());
                    return { kind: "granted", draw: number, validUntil: end.validUntil };
                }
                core.release(resource, number, 1, updateCoreToNow());
                runEffects();
                return { kind: "refused", retryAfter: 0 };
        }
    };
    const loadBudget = createLoadBudget({
        now: clock.now,
        sleep: clock.sleep,
        permitStartTimeout: times.permitStartTimeout,
        draw: drawLoadUnit,
        release: (resource, number) => {
            core.release(resource, number, 1, updateCoreToNow());
            runEffects();
        },
    });

    const handleMessage = (from: InstanceId, message: LimitsMessage): undefined => {
        if (message.kind === "served") {
            options.servedTokenCounters?.mergeCounters(message.counters, clock.now());
            return;
        }
        core.handleMessage(from, message, updateCoreToNow());
        runEffects();
    };
    const sendCounters = (): void => {
        const counters = options.servedTokenCounters?.readCounters();
        if (!counters || counters.served.size === 0) {
            return;
        }
        for (const member of epochs.read().members) {
            if (member !== options.self) {
                runEffect({ kind: "send", to: member, message: { kind: "served", counters } });
            }
        }
    };
    const runLoop = async (signal: AbortSignal): Promise<void> => {
        let nextCountersAt = clock.now();
        while (!signal.aborted) {
            const now = updateCoreToNow();
            core.advance(now);
            runEffects();
            if (now >= nextCountersAt) {
                sendCounters();
                nextCountersAt = now + computeCounterInterval(epochs.read().members.length);
            }
            const deadline = Math.min(now + idlePollMilliseconds, nextCountersAt, core.readNextDeadline());
            const wakeUp = new AbortController();
            wake = () => {
                if (core.readNextDeadline() < deadline) {
                    wakeUp.abort();
                }
            };
            await clock.sleep(deadline - now, AbortSignal.any([signal, wakeUp.signal]));
        }
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        applySettings();
        const stopSettings = settings.subscribe(applySettings);
        const stopEpochs = epochs.subscribe(() => {
            core.advance(updateCoreToNow());
            runEffects();
        });
        debug.debug("limits started", { instance: options.self });
        try {
            await runLoop(signal);
        }
        finally {
            stopSettings();
            stopEpochs();
            wake = () => undefined;
        }
    };

    options.peers.handle("limits", handleMessage);
    return {
        name: "limits",
        run,
        limiter: { reserve, settle },
        loadBudget,
        readStatus: now => {
            core.updateMembership(epochs.read(), epochs.readValidUntil(), now);
            return buildLimitsStatus(core, settings.read(), epochs.read(), counts, now);
        },
    };
}

/**
 * Computes how often fair queueing counters are sent to the other members. Beyond 9 members the interval grows with the
 * number of members to the power of 1.5, so that the bytes sent stay bounded.
 *
 * @param members - number of members of the epoch
 * @returns interval between two sendings, at least 500 milliseconds
 */
export function computeCounterInterval(members: number): Milliseconds {
    return counterIntervalMilliseconds * Math.max(1, members / fullRateMemberCount) ** 1.5;
}
