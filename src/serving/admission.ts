/**
 * Decides whether a request is admitted, by its route, its key, the age of the configuration and the quota of its
 * account.
 *
 * @packageDocumentation
 */
import type { Milliseconds, SeededRandom } from "../shared/index.js";
import { millisecondsPerSecond } from "../shared/index.js";
import { type AccountLimits, computeRequestCost } from "./accountLimits.js";
import type { ConfigurationState } from "./configurationState.js";
import { readClocks } from "./freshness.js";
import type { RetryBudget } from "./retryBudget.js";
import { chooseService } from "./routeTable.js";
import type { ClientRequest, ServingAccount, ServingRoute } from "./types.js";

/** Parts of the instance that admission uses. */
export interface AdmissionParts {
    readonly configuration: ConfigurationState;
    readonly limits: AccountLimits;
    readonly retryBudget: RetryBudget;
    readonly random: SeededRandom;
    /** Age of the configuration up to which keys are accepted; an older one may miss a revocation. */
    readonly maximumConfigAge: Milliseconds;
}

/** Decision on a request; `retryAfter` is in seconds, `route` and `account` are set where they are known. */
export type Admission =
    | {
        readonly kind: "admitted";
        readonly route: ServingRoute;
        readonly service: string;
        readonly account: ServingAccount | undefined;
    }
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfter: number | undefined;
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
 * Decides whether a request is admitted, and charges its account if it is.
 *
 * @param parts - configuration, account limits and random numbers
 * @param request - the request
 * @param now - current time
 * @returns route, service and account of the request, or status and reason of the refusal
 */
export function decideAdmission(parts: AdmissionParts, request: ClientRequest, now: Milliseconds): Admission {
    const active = parts.configuration.read();
    if (!active) {
        return refuse(serviceUnavailableStatus, "no configuration yet", notReadyRetrySeconds);
    }
    const route = active.routes.find(request.host, request.target);
    if (!route) {
        return refuse(notFoundStatus, "no route");
    }
    if (request.attemptId === undefined) {
        return refuse(badRequestStatus, "no attempt id", undefined, route);
    }
    const service = chooseService(route.targets, parts.random.next());
    if (route.isPublic || !active.config.accounts) {
        return { kind: "admitted", route, service, account: undefined };
    }
    if (parts.configuration.measureAge(readClocks()) > parts.maximumConfigAge) {
        return refuse(serviceUnavailableStatus, "configuration too old for keys", notReadyRetrySeconds, route);
    }
    const account = request.key === undefined ? undefined : active.accountsByKey.get(request.key);
    if (!account) {
        return refuse(unauthorizedStatus, "unknown key", undefined, route);
    }
    const decision = parts.limits.take(account, computeRequestCost(account, request), now);
    if (decision.kind === "exceeded") {
        const jitterFactor = 1 + retryJitterRatio * parts.random.next();
        return {
            ...refuse(
                tooManyRequestsStatus,
                "over the rate",
                decision.wait / millisecondsPerSecond * jitterFactor,
                route,
            ),
            account: account.name,
        };
    }
    return { kind: "admitted", route, service, account };
}

function refuse(
    status: number,
    reason: string,
    retryAfter?: number,
    route?: ServingRoute,
): Extract<Admission, { readonly kind: "refused"; }> {
    return { kind: "refused", status, reason, retryAfter, route: route?.name, account: undefined };
}
