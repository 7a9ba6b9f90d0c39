/**
 * Decides whether a request is admitted, by its route, its key and the age of the configuration, and then by the quota
 * of its account.
 *
 * @packageDocumentation
 */
import type { StreamOrigin } from "../resumption/index.js";
import type { Clock, Milliseconds, SeededRandom } from "../shared/index.js";
import { millisecondsPerSecond, waitUnlessAborted } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { type AccountLimits, computeRequestCost } from "./accountLimits.js";
import type { AnswerEnder } from "./answerEnds.js";
import type { ConfigurationState } from "./configurationState.js";
import { readClocks } from "./freshness.js";
import type { QuotaDecision, QuotaUrgency } from "./quotaMessages.js";
import type { RetryBudget } from "./retryBudget.js";
import { chooseService } from "./routeTable.js";
import type { ClientRequest, ServingAccount, ServingRoute } from "./types.js";

/** Parts of the instance that admission uses. */
export interface AdmissionParts {
    readonly configuration: ConfigurationState;
    readonly limits: Pick<AccountLimits, "take" | "giveBack">;
    readonly retryBudget: RetryBudget;
    readonly random: SeededRandom;
    /** Age of the configuration up to which keys are accepted; an older one may miss a revocation. */
    readonly maximumConfigAge: Milliseconds;
    /** Counts the units of a request that were given or refused. @default nothing */
    readonly onQuotaDecision?: (decided: DecidedUnits) => void;
}

/** Units of a quota that a request got, or was refused. */
export interface DecidedUnits {
    readonly account: string;
    readonly route: string;
    readonly units: number;
    readonly outcome: QuotaDecision["kind"];
}

/** Times of a request that say how urgent it is. */
export interface RequestTimes {
    readonly deadlineAt: Milliseconds;
    /** End of its latency objective, which counts from the first attempt of its client. */
    readonly objectiveAt: Milliseconds;
}

/** Decision on a request; `retryAfter` is in seconds, `route` and `account` are set where they are known. */
export type Admission =
    | {
        readonly kind: "admitted";
        readonly route: ServingRoute;
        readonly service: string;
        readonly account: ServingAccount | undefined;
        /** What began the stream that the request resumes; `undefined` for other requests. */
        readonly origin?: StreamOrigin;
    }
    /** The client has disconnected meanwhile. */
    | { readonly kind: "clientLeft"; readonly route: string; readonly account: string | undefined; }
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfter: number | undefined;
        /** Whose decision it was. */
        readonly by: AnswerEnder;
        readonly route: string | undefined;
        readonly account: string | undefined;
    };

const badRequestStatus = 400;
const unauthorizedStatus = 401;
const notFoundStatus = 404;
const tooManyRequestsStatus = 429;
const serviceUnavailableStatus = 503;
const notReadyRetrySeconds = 0.5;
/** Ratio of the wait that is added at random, so that clients over their quota don't all retry at the same time. */
const retryJitterRatio = 0.5;

/**
 * Decides whether a request is admitted by its route and key. The quota of its account is applied afterwards.
 *
 * @param parts - configuration and random numbers
 * @param request - the request
 * @returns route, service and account of the request, or status and reason of the refusal
 */
export function decideAdmission(parts: AdmissionParts, request: ClientRequest): Admission {
    // before the route, which may be that of either host
    if (request.repeatedHeader !== undefined) {
        return refuse("client", badRequestStatus, `more than one ${request.repeatedHeader}`);
    }
    const active = parts.configuration.read();
    if (!active) {
        return refuse("configuration", serviceUnavailableStatus, "no configuration yet", notReadyRetrySeconds);
    }
    const route = active.routes.find(request.host, request.target);
    if (!route) {
        return refuse("configuration", notFoundStatus, "no route");
    }
    if (request.attemptId === undefined) {
        return refuse("client", badRequestStatus, "no attempt id", undefined, route);
    }
    const service = chooseService(route.targets, parts.random.next());
    if (route.isPublic || !active.config.accounts) {
        return { kind: "admitted", route, service, account: undefined };
    }
    if (parts.configuration.measureAge(readClocks()) > parts.maximumConfigAge) {
        return refuse(
            "configuration",
            serviceUnavailableStatus,
            "configuration too old for keys",
            notReadyRetrySeconds,
            route,
        );
    }
    const account = request.key === undefined ? undefined : active.accountsByKey.get(request.key);
    if (!account) {
        return refuse("configuration", unauthorizedStatus, "unknown key", undefined, route);
    }
    return { kind: "admitted", route, service, account };
}

/**
 * Takes the units of an admitted request from the quota of its account, and waits where that spreads requests over time.
 *
 * @param parts - account limits, clock and random numbers
 * @param admitted - admission by route and key
 * @param request - the request
 * @param times - times of the request
 * @param signal - aborted when the client disconnects
 * @returns the admission, or the refusal of a request beyond the quota
 */
export async function applyQuota(
    parts: AdmissionParts & { readonly clock: Clock; },
    admitted: Extract<Admission, { readonly kind: "admitted"; }>,
    request: ClientRequest,
    times: RequestTimes,
    signal: AbortSignal,
): Promise<Admission> {
    const { account, route } = admitted;
    if (!account?.quota) {
        return admitted;
    }
    const isResumed = admitted.origin !== undefined;
    const units = computeRequestCost(account, request);
    const urgency = describeUrgency(route, account, times, parts.clock.now());
    const taken = parts.limits.take(account, units, isResumed, urgency);
    const decision = await waitUnlessAborted(taken, signal);
    if (!decision) {
        startTask("units of a client that left", async () => {
            if ((await taken).kind === "admitted") {
                returnQuota(parts, admitted, request);
            }
        });
        return { kind: "clientLeft", route: route.name, account: account.name };
    }
    parts.onQuotaDecision?.({ account: account.name, route: route.name, units, outcome: decision.kind });
    switch (decision.kind) {
        case "admitted":
            if (decision.delay > 0) {
                await parts.clock.sleep(decision.delay, signal);
            }
            return admitted;
        case "exceeded": {
            // a random time would change the order in which the holder has units for those that it refused
            const jitterFactor = decision.isOrdered ? 1 : 1 + retryJitterRatio * parts.random.next();
            const retryAfter = decision.wait / millisecondsPerSecond * jitterFactor;
            return {
                ...refuse("limit", tooManyRequestsStatus, "over the rate", retryAfter, route),
                account: account.name,
            };
        }
    }
}

/**
 * Returns the units of a request that no server has run or will run.
 *
 * @param parts - account limits
 * @param admitted - admission of the request
 * @param request - the request
 */
export function returnQuota(
    parts: Pick<AdmissionParts, "limits">,
    { account }: Pick<Extract<Admission, { readonly kind: "admitted"; }>, "account">,
    request: ClientRequest,
): void {
    if (account?.quota) {
        parts.limits.giveBack(account, computeRequestCost(account, request));
    }
}

function describeUrgency(
    route: ServingRoute,
    account: ServingAccount,
    times: RequestTimes,
    now: Milliseconds,
): QuotaUrgency {
    return {
        kind: route.name,
        // within one account its own priority is the same for all kinds
        priority: route.priority,
        objectiveLeft: Math.max(0, times.objectiveAt - now),
        waited: Math.max(0, now + route.targetLatency - times.objectiveAt),
        timeLeft: Math.max(0, times.deadlineAt - now),
    };
}

function refuse(
    by: AnswerEnder,
    status: number,
    reason: string,
    retryAfter?: number,
    route?: ServingRoute,
): Extract<Admission, { readonly kind: "refused"; }> {
    return { kind: "refused", by, status, reason, retryAfter, route: route?.name, account: undefined };
}
