/**
 * Runs calls to plain services: claims the keys of at-most-once calls, chooses backend servers, retries, and reports
 * the outcome.
 *
 * @packageDocumentation
 */
import type { BackendError, ServiceRequest, ServiceResponse } from "../backends/index.js";
import type { ResolvedServiceRoute, ResolvedSettings } from "../config/index.js";
import type { TokenReservation } from "../limits/index.js";
import type { BackendServerId, Result } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { AtMostOnceProtocol, WonClaim } from "./atMostOnceProtocol.js";
import { checkAuthorization, createNotRunOutcome } from "./authorize.js";
import type { RequestOutcome } from "./outcome.js";
import { computeFingerprint, computeRecordKey } from "./replicaGroups.js";
import type { RunContext } from "./runContext.js";
import { decideServiceFault } from "./serviceFault.js";
import {
    convertLimitRefusal,
    convertToUnknown,
    createRefusedResult,
    createReplayResult,
    createUnknownOutcome,
} from "./serviceResults.js";
import type { ServiceCall, ServiceCallResult } from "./types.js";

/** Runner of the service calls of one instance. */
export interface ServiceRunner {
    readonly run: (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
    ) => Promise<ServiceCallResult>;
    /** Counts the attempts in progress at backend servers, including those whose caller already has its outcome. */
    readonly countInFlight: () => number;
}

const earlierRequestUnknownMessage =
    "the outcome of an earlier request with this Idempotency-Key is unknown; sending it again may run it twice";
const lateResponseLimitMilliseconds = 60_000;
const faultyStatuses: readonly number[] = [502, 503, 504];

/**
 * Creates the runner of service calls.
 *
 * @param context - dependencies and shared state of the runners
 * @param once - protocol that claims the keys of at-most-once calls
 * @returns the runner
 */
export function createServiceRunner(context: RunContext, once: AtMostOnceProtocol): ServiceRunner {
    const inFlight = new Map<BackendServerId, number>();
    const addInFlight = (server: BackendServerId, change: number): void => {
        const count = (inFlight.get(server) ?? 0) + change;
        if (count === 0) {
            inFlight.delete(server);
            return;
        }
        inFlight.set(server, count);
    };

    const run: ServiceRunner["run"] = async (call, route, account, signal) => {
        const endCall = createReporter(context, call, route, account);
        if (route.repeat !== "once" || call.idempotencyKey === undefined) {
            return endCall(await runWithReservation(call, route, account, signal, undefined));
        }
        const key = computeRecordKey(account, route.id, call.idempotencyKey);
        const deadline = call.arrivedAt + route.deadline;
        const claimed = await once.claim(key, computeFingerprint(call), deadline, signal);
        switch (claimed.kind) {
            case "won":
                return endCall(await runWithReservation(call, route, account, signal, claimed.claim));
            case "replay":
                return endCall({ outcome: claimed.result.outcome, response: claimed.result.response });
            case "mismatch":
                return endCall(createRefusedResult("duplicateMismatch"));
            case "unavailable":
                return endCall(createRefusedResult(signal.aborted ? "cancelled" : "recordUnavailable"));
            case "unknown":
                return endCall({
                    outcome: createUnknownOutcome("broken", earlierRequestUnknownMessage),
                    response: undefined,
                });
        }
    };

    // every path settles the claim and the reservation, or the key would stay claimed and the tokens reserved
    const runWithReservation = async (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
        claim: WonClaim | undefined,
    ): Promise<ServiceCallResult> => {
        const watch = watchAuthorization(call, route, account, signal);
        const reserved = await context.limiter.reserve({
            requestId: call.requestId,
            account,
            requestClass: route.requestClass,
            promptTokens: route.costTokens,
            maximumOutputTokens: 0,
            deadline: call.arrivedAt + route.deadline,
        }, watch.signal);
        watch.stop();
        if (!reserved.ok) {
            const refusal = watch.readRevocation() ?? convertLimitRefusal(reserved.error);
            claim?.settle(refusal);
            return refusal;
        }
        const result = await runByRepeatPolicy(call, route, account, signal, claim);
        settleTokens(reserved.value, result.outcome);
        return result;
    };
    const settleTokens = (reservation: TokenReservation, outcome: RequestOutcome): void =>
        context.limiter.settle(reservation, outcome.kind === "notRun" ? 0 : reservation.tokens);
    const watchAuthorization = (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
    ): AuthorizationWatch => {
        const controller = new AbortController();
        let revocation: ServiceCallResult | undefined;
        const stop = context.watchSettings(settings => {
            revocation = findRevocation(settings, call, route, account);
            if (revocation) {
                controller.abort();
            }
        });
        return { signal: AbortSignal.any([signal, controller.signal]), stop, readRevocation: () => revocation };
    };

    const runByRepeatPolicy = (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
        claim: WonClaim | undefined,
    ): Promise<ServiceCallResult> =>
        route.repeat === "once"
            ? runAtMostOnce(call, route, account, signal, claim)
            : runIdempotent(call, route, account, signal);

    // a call that was sent is not aborted by a disconnect, and only some time after its deadline, so that the outcome
    // of a slow call can still be stored for replay
    const runAtMostOnce = async (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
        claim: WonClaim | undefined,
    ): Promise<ServiceCallResult> => {
        const workController = new AbortController();
        const deadline = call.arrivedAt + route.deadline;
        const progress = { mayHaveRun: false };
        const bounds = { callerSignal: signal, workSignal: workController.signal, claim, progress };
        const finalResult = runAttempts(call, route, account, bounds);
        startTask("settlement of a claim", async () => claim?.settle(createReplayResult(await finalResult)));
        const timerController = new AbortController();
        const late = context.clock.sleep(Math.max(0, deadline - context.clock.now()), timerController.signal).then(
            () => {
                if (!timerController.signal.aborted) {
                    startTask("time limit of a late answer", async () => {
                        await context.clock.sleep(lateResponseLimitMilliseconds, timerController.signal);
                        workController.abort();
                    }, () => workController.abort());
                }
                // `checkDispatch` refuses attempts after the deadline, so a call that was not sent by now never runs
                return progress.mayHaveRun
                    ? { outcome: createUnknownOutcome("deadlinePassed"), response: undefined }
                    : createRefusedResult("deadlinePassed");
            },
        );
        const stopTimer = (): void => timerController.abort();
        finalResult.then(stopTimer, stopTimer);
        return Promise.race([finalResult, late]);
    };
    const runIdempotent = async (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        signal: AbortSignal,
    ): Promise<ServiceCallResult> => {
        const workController = new AbortController();
        const timerController = new AbortController();
        let cut: ServiceCallResult | undefined;
        const stopWatching = context.watchSettings(settings => {
            const revocation = findRevocation(settings, call, route, account);
            if (revocation?.outcome.kind === "notRun") {
                cut = { outcome: { ...revocation.outcome, kind: "unknown" }, response: undefined };
                workController.abort();
            }
        });
        const remaining = Math.max(0, call.arrivedAt + route.deadline - context.clock.now());
        startTask("deadline of a request", async () => {
            await context.clock.sleep(remaining, timerController.signal);
            workController.abort();
        }, () => workController.abort());
        const workSignal = AbortSignal.any([signal, workController.signal]);
        const result = await runAttempts(call, route, account, {
            callerSignal: workSignal,
            workSignal,
            claim: undefined,
            progress: { mayHaveRun: false },
        });
        timerController.abort();
        stopWatching();
        const wasInterrupted = result.outcome.kind === "unknown" || result.outcome.kind === "failed";
        return cut && wasInterrupted ? cut : result;
    };

    const runAttempts = async (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        bounds: AttemptBounds,
    ): Promise<ServiceCallResult> => {
        const excluded: BackendServerId[] = [];
        const { progress } = bounds;
        for (let attempts = 1;; attempts++) {
            const attempt = await tryServer(call, route, account, excluded, bounds);
            if (attempt.kind === "refused") {
                return progress.mayHaveRun ? convertToUnknown(attempt.result) : attempt.result;
            }
            if (attempt.result.ok) {
                return { outcome: { kind: "completed" }, response: attempt.result.value };
            }
            const decision = decideServiceFault({
                repeat: route.repeat,
                error: attempt.result.error,
                attempts,
                mayHaveRun: attempt.mayHaveRunBefore,
                budget: context.readRetryCredit(route.id),
                jitter: context.random.next(),
            });
            if (decision.kind === "end") {
                return { outcome: decision.outcome, response: undefined };
            }
            progress.mayHaveRun = decision.mayHaveRun;
            excluded.push(attempt.server);
            context.takeRetryCredit(route.id, decision.cost);
            await context.clock.sleep(decision.delay, bounds.callerSignal);
        }
    };
    const tryServer = async (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        excluded: readonly BackendServerId[],
        bounds: AttemptBounds,
    ): Promise<ServerAttempt> => {
        const refusal = checkDispatch(call, route, account, bounds);
        if (refusal) {
            return { kind: "refused", result: refusal };
        }
        const server = chooseServer(route.pool, excluded);
        if (!server) {
            return { kind: "refused", result: createRefusedResult("noBackend") };
        }
        if (excluded.length === 0) {
            context.addFirstAttempt(route.id, route.retryBudget);
        }
        const mayHaveRunBefore = bounds.progress.mayHaveRun;
        bounds.progress.mayHaveRun = true;
        addInFlight(server.id, 1);
        const result = await context.getServiceClient(server.address).call(
            createServiceRequest(call),
            bounds.workSignal,
        );
        addInFlight(server.id, -1);
        recordServerResult(server.id, result);
        return { kind: "tried", server: server.id, result, mayHaveRunBefore };
    };
    // there must be no await between these checks and the send in `tryServer`, or their results may be outdated
    const checkDispatch = (
        call: ServiceCall,
        route: ResolvedServiceRoute,
        account: string,
        bounds: AttemptBounds,
    ): ServiceCallResult | undefined => {
        const now = context.clock.now();
        if (now >= call.arrivedAt + route.deadline) {
            return createRefusedResult("deadlinePassed");
        }
        if (bounds.callerSignal.aborted) {
            return createRefusedResult("cancelled");
        }
        if (bounds.claim && !bounds.claim.mayDispatch(now)) {
            return createRefusedResult("recordUnavailable");
        }
        return findRevocation(context.settings.read(), call, route, account);
    };
    const recordServerResult = (server: BackendServerId, result: Result<ServiceResponse, BackendError>): void => {
        const isFaulty = result.ok
            ? faultyStatuses.includes(result.value.status)
            : result.error.kind !== "aborted" && result.error.kind !== "refused";
        if (result.ok || isFaulty) {
            context.recordServerResult(server, isFaulty ? "faulty" : "worked");
        }
    };
    const chooseServer = (
        pool: string,
        excluded: readonly BackendServerId[],
    ): { readonly id: BackendServerId; readonly address: string; } | undefined => {
        const servers = context.membership.read().backendServers.filter(server =>
            server.kind === "service" && server.pool === pool && server.state === "live"
        );
        const ejected = context.listEjectedServers(pool);
        const healthy = servers.filter(server => !excluded.includes(server.id) && !ejected.includes(server.id));
        const rest = servers.filter(server => !excluded.includes(server.id));
        const candidates = healthy.length > 0 ? healthy : rest;
        const fewestInFlight = Math.min(...candidates.map(server => inFlight.get(server.id) ?? 0));
        const leastLoaded = candidates.filter(server => (inFlight.get(server.id) ?? 0) === fewestInFlight);
        return leastLoaded.length > 0 ? context.random.choose(leastLoaded) : undefined;
    };
    return {
        run,
        countInFlight: () => [...inFlight.values()].reduce((sum, count) => sum + count, 0),
    };
}

type ServerAttempt =
    | { readonly kind: "refused"; readonly result: ServiceCallResult; }
    | {
        readonly kind: "tried";
        readonly server: BackendServerId;
        readonly result: Result<ServiceResponse, BackendError>;
        readonly mayHaveRunBefore: boolean;
    };

interface AuthorizationWatch {
    /** Aborted when the caller disconnects or the call loses its authorization. */
    readonly signal: AbortSignal;
    readonly stop: () => void;
    readonly readRevocation: () => ServiceCallResult | undefined;
}

interface AttemptBounds {
    /** Aborted to end a backoff and to prevent further attempts. */
    readonly callerSignal: AbortSignal;
    /** Aborted to cancel the attempt in progress at the backend server. */
    readonly workSignal: AbortSignal;
    /** Claim on the idempotency key; `undefined` for calls that may run more than once or have no key. */
    readonly claim: WonClaim | undefined;
    /** Whether an attempt may have run; also true while an attempt is in progress. */
    readonly progress: { mayHaveRun: boolean; };
}

function createServiceRequest(call: ServiceCall): ServiceRequest {
    const { requestId, method, path, headers, body } = call;
    return { requestId, method, path, headers, body };
}

function findRevocation(
    settings: ResolvedSettings | undefined,
    call: ServiceCall,
    route: ResolvedServiceRoute,
    account: string,
): ServiceCallResult | undefined {
    const revocation = checkAuthorization(settings, route.id, call.keyHash, account);
    return revocation && { outcome: createNotRunOutcome(revocation.reason, revocation.message), response: undefined };
}

function createReporter(
    context: RunContext,
    call: ServiceCall,
    route: ResolvedServiceRoute,
    account: string,
): (result: ServiceCallResult) => ServiceCallResult {
    return result => {
        context.onReport({
            requestId: call.requestId,
            route: route.id,
            account,
            requestClass: route.requestClass,
            adapter: undefined,
            backendServer: undefined,
            outcome: result.outcome,
            attempts: result.outcome.kind === "notRun" ? 0 : 1,
            queueWait: 0,
            loadStall: 0,
            timeToFirstToken: undefined,
            tokenGaps: [],
            promptTokens: result.outcome.kind === "notRun" ? 0 : route.costTokens,
            outputTokens: 0,
            total: context.clock.now() - call.arrivedAt,
        });
        return result;
    };
}
