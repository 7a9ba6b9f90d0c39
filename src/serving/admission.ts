/**
 * Whether a request may run at all: its route, its key, the freshness of the configuration and its account's limit.
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

/** What admission depends on. */
export interface AdmissionParts {
    readonly configuration: ConfigurationState;
    readonly limits: AccountLimits;
    readonly retryBudget: RetryBudget;
    readonly random: SeededRandom;
    /** Age of the configuration up to which requests with keys are served. */
    readonly maximumConfigAge: Milliseconds;
}

/** Result of admission. */
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
/** Part of the wait by which clients over their limit are spread. */
const retryJitterRatio = 0.5;

/**
 * Decides on a request.
 *
 * @param parts - configuration and limits
 * @param request - the request
 * @param now - the present time
 * @returns its route, service and account, or why it is refused
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
