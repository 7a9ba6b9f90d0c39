/**
 * Request handling of one instance: admits calls, runs them, and drains before a shutdown.
 *
 * @packageDocumentation
 */
import type { LogService } from "../backends/index.js";
import type { EpochView, OwnershipView } from "../membership/index.js";
import type { PeerNetwork } from "../peers/index.js";
import { type InstanceId, type Milliseconds, millisecondsPerSecond } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import {
    type AtMostOnceStatus,
    createAtMostOnceProtocol,
    defaultRecordLifetimeMilliseconds,
} from "./atMostOnceProtocol.js";
import { createNotRunOutcome, resolveAccount } from "./authorize.js";
import { defaultRetryAfterMilliseconds } from "./lifecycle.js";
import { runModel } from "./modelRunner.js";
import { buildNotRunReport } from "./notRunReport.js";
import { describeReason, type OutcomeReason, type RequestOutcome } from "./outcome.js";
import { parseKeyTimestamp } from "./replicaGroups.js";
import { resolveModelTarget } from "./resolveTarget.js";
import { createRunContext, type RunDependencies } from "./runContext.js";
import { createServiceRunner } from "./serviceRunner.js";
import type { ModelCall, ModelCallEvent, RequestService, ServiceCall, ServiceCallResult } from "./types.js";

/** Dependencies and settings of the request handling. */
export interface RequestsTaskOptions extends RunDependencies {
    readonly self: InstanceId;
    readonly epochs: EpochView;
    readonly ownership?: OwnershipView;
    readonly peers: PeerNetwork;
    readonly log?: LogService;
    /** Milliseconds for which the outcome of an at-most-once request is kept for replay. @default 15 minutes */
    readonly recordLifetime?: Milliseconds;
    /** Wall-clock time in milliseconds since 1970, compared with the time in version 7 UUID keys. @default Date.now */
    readonly readWallClock?: () => Milliseconds;
    /** Longest time that a leaving instance waits until its records have reached other replicas. @default 15_000 */
    readonly handoverTimeLimit?: Milliseconds;
}

/** Counts of the request handling for the status page. */
export interface RequestsStatus {
    /** Number of calls in progress; a service call that runs on after its caller got the outcome is not counted. */
    readonly running: number;
    readonly draining: boolean;
    readonly ejectedBackendServers: number;
    readonly records: AtMostOnceStatus;
}

/** Task that handles the requests of one instance. */
export interface RequestsTask extends Task {
    readonly service: RequestService;
    /**
     * Waits until `run` has handed over the records of this instance to their next replicas, at most until the time
     * limit. Must be called while `run` is active, after the drain and after the instance has left the membership; the
     * next replicas are not known earlier.
     */
    readonly waitForHandover: () => Promise<void>;
    readonly readStatus: (now: Milliseconds) => RequestsStatus;
}

const defaultHandoverTimeLimitMilliseconds = 15_000;
const drainPollMilliseconds = 20;
const pruneIntervalMilliseconds = 10 * millisecondsPerSecond;
const idempotencyKeyLimitCharacters = 255;

/**
 * Creates the request handling of one instance.
 *
 * @param options - dependencies and settings
 * @returns a task, with the service that the HTTP server calls
 */
export function createRequestsTask(options: RequestsTaskOptions): RequestsTask {
    const context = createRunContext(options);
    const once = createAtMostOnceProtocol(options);
    const services = createServiceRunner(context, once);
    const recordLifetime = options.recordLifetime ?? defaultRecordLifetimeMilliseconds;
    const readWallClock = options.readWallClock ?? Date.now;
    const handoverTimeLimit = options.handoverTimeLimit ?? defaultHandoverTimeLimitMilliseconds;
    let running = 0;
    let draining = false;

    const runModelCall = (call: ModelCall, signal: AbortSignal): AsyncIterable<ModelCallEvent> => {
        const settings = options.settings.read();
        if (draining || !settings) {
            return streamOutcome(recordRefusal(call, draining ? "shuttingDown" : "notReady"));
        }
        const target = resolveModelTarget(settings, call.model, call.keyHash);
        if (!target.ok) {
            return streamOutcome(recordRefusal(call, target.error.reason, target.error.message));
        }
        running++;
        return runModel(context, call, target.value, signal, () => running--);
    };
    const runServiceCall = async (call: ServiceCall, signal: AbortSignal): Promise<ServiceCallResult> => {
        running++;
        try {
            return await acceptServiceCall(call, signal);
        }
        finally {
            running--;
        }
    };
    const acceptServiceCall = async (call: ServiceCall, signal: AbortSignal): Promise<ServiceCallResult> => {
        const refuse = (reason: OutcomeReason, message?: string): ServiceCallResult => ({
            outcome: recordRefusal(call, reason, message),
            response: undefined,
        });
        const settings = options.settings.read();
        if (draining || !settings) {
            return refuse(draining ? "shuttingDown" : "notReady");
        }
        const route = settings.routes.get(call.route);
        if (route?.kind !== "service") {
            return refuse("unknownRoute");
        }
        const account = resolveAccount(settings, route, call.keyHash);
        if (!account.ok) {
            return refuse(account.error.reason, account.error.message);
        }
        const keyFault = route.repeat === "once" ? checkIdempotencyKey(call.idempotencyKey) : undefined;
        return keyFault ? refuse(keyFault.reason, keyFault.message) : services.run(call, route, account.value, signal);
    };
    const checkIdempotencyKey = (
        key: string | undefined,
    ): { readonly reason: OutcomeReason; readonly message: string; } | undefined => {
        if (key === undefined) {
            return undefined;
        }
        if (key === "" || key.length > idempotencyKeyLimitCharacters) {
            return {
                reason: "badRequest",
                message: `the Idempotency-Key must have 1 to ${idempotencyKeyLimitCharacters} characters`,
            };
        }
        const createdAt = parseKeyTimestamp(key);
        if (createdAt !== undefined && readWallClock() - createdAt > recordLifetime) {
            const message =
                "the Idempotency-Key is older than the time for which outcomes are kept; find out whether an "
                + "earlier request with this key ran, and send the request with a new key only if none did";
            return { reason: "recordUnavailable", message };
        }
        return undefined;
    };
    const recordRefusal = (call: ModelCall | ServiceCall, reason: OutcomeReason, message?: string): RequestOutcome => {
        const isTemporary = reason === "shuttingDown" || reason === "notReady";
        const retryAfter = isTemporary ? defaultRetryAfterMilliseconds : undefined;
        const outcome = createNotRunOutcome(reason, message ?? describeReason(reason), retryAfter);
        options.onReport(buildNotRunReport({
            requestId: call.requestId,
            route: call.kind === "service" ? call.route : undefined,
            outcome,
            total: options.clock.now() - call.arrivedAt,
        }));
        return outcome;
    };
    const drain = async (): Promise<void> => {
        draining = true;
        while (running > 0 || services.countInFlight() > 0) {
            await options.clock.sleep(drainPollMilliseconds);
        }
    };
    const waitForHandover = async (): Promise<void> => {
        const until = options.clock.now() + handoverTimeLimit;
        while (hasRecordsToHandOver() && options.clock.now() < until) {
            await options.clock.sleep(drainPollMilliseconds);
        }
    };
    const hasRecordsToHandOver = (): boolean => {
        const epoch = options.epochs.read();
        const hasOtherMembers = epoch.members.some(member => member !== options.self);
        const isMember = epoch.members.includes(options.self);
        return once.hasPendingWork() || (isMember && hasOtherMembers && once.readStatus().records > 0);
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        const records = once.run(signal);
        while (!signal.aborted) {
            await options.clock.sleep(pruneIntervalMilliseconds, signal);
            context.prune();
        }
        await records;
    };
    return {
        name: "requests",
        run,
        service: { runModelCall, runServiceCall, drain },
        waitForHandover,
        readStatus: () => ({
            running,
            draining,
            ejectedBackendServers: context.countEjectedServers(),
            records: once.readStatus(),
        }),
    };
}

async function* streamOutcome(outcome: RequestOutcome): AsyncGenerator<ModelCallEvent> {
    yield { kind: "outcome", outcome };
}
