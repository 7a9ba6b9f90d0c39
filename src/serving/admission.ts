/**
 * Whether a request may run at all: its route, its key, the freshness of the configuration and its account's limit.
 *
 * @packageDocumentation
 */
import type { Milliseconds, SeededRandom } from "../shared/index.js";
import { millisecondsPerSecond } from "../shared/index.js";
import { type AccountLimits, computeAmount } from "./accountLimits.js";
import type { ConfigurationState } from "./configurationState.js";
import { readClocks } from "./freshness.js";
import type { RetryBudget } from "./retryBudget.js";
import { chooseTarget } from "./routeTable.js";
import type { ClientRequest, ServingAccount, ServingRoute } from "./types.js";

/** What admission depends on. */
export interface AdmissionParts {
    readonly configuration: ConfigurationState;
    readonly limits: AccountLimits;
    readonly retryBudget: RetryBudget;
    readonly random: SeededRandom;
    /** Age of the configuration up to which requests with keys are served. */
    readonly keyFreshness: Milliseconds;
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
const overLimitStatus = 429;
const busyStatus = 503;
const unreadyRetrySeconds = 0.5;
/** Part of the wait by which clients over their limit are spread. */
const retrySpread = 0.5;

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
        return refuse(busyStatus, "no configuration yet", unreadyRetrySeconds);
    }
    const route = active.routes.find(request.host, request.target);
    if (!route) {
        return refuse(notFoundStatus, "no route");
    }
    if (request.attemptId === undefined) {
        return refuse(badRequestStatus, "no attempt id", undefined, route);
    }
    const service = chooseTarget(route.targets, parts.random.next());
    if (route.isPublic || !active.config.accounts) {
        return { kind: "admitted", route, service, account: undefined };
    }
    if (parts.configuration.measureAge(readClocks()) > parts.keyFreshness) {
        return refuse(busyStatus, "configuration too old for keys", unreadyRetrySeconds, route);
    }
    const account = request.key === undefined ? undefined : active.accountOfKey.get(request.key);
    if (!account) {
        return refuse(unauthorizedStatus, "unknown key", undefined, route);
    }
    const decision = parts.limits.take(account, computeAmount(account, request), now);
    if (decision.kind === "exceeded") {
        const spread = 1 + retrySpread * parts.random.next();
        return {
            ...refuse(overLimitStatus, "over the rate", decision.wait / millisecondsPerSecond * spread, route),
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
